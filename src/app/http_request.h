#pragma once
// A blocking HTTP call for command-line tools.
#include "io/web_client.h"

namespace peppergate {

/// Sends one HTTP request and waits for its answer; status 0 if there is none.
WebResponse sendHttpRequest(const Address& address, const std::string& method,
                            const std::string& path, const std::string& body,
                            Duration timeout = seconds(8));

}  // namespace peppergate
