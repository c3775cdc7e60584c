#include "app/http_request.h"

namespace peppergate {

WebResponse sendHttpRequest(const Address& address, const std::string& method,
                            const std::string& path, const std::string& body, Duration timeout) {
  EventLoop loop;
  WebResponse result;
  {
    WebClient client(loop);
    CallHttp call;
    call.address = address;
    call.method = method;
    call.path = path;
    call.body = body;
    call.timeout = timeout;
    if (!body.empty()) call.headers["Content-Type"] = "application/json";
    client.call(call, [&](const WebResponse& response) {
      result = response;
      loop.runAfter(milliseconds(2), [&loop] { loop.stop(); });
    });
    loop.run();
  }
  return result;
}

}  // namespace peppergate
