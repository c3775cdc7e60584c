// A loop that is behind must handle members' frames before clients' requests, and must detect a
// caller's disconnect that it has not processed yet.
#include <event2/bufferevent.h>

#include <memory>

#include "io/web_server.h"
#include "tests/http_testing.h"

using namespace peppergate;

namespace {

constexpr std::size_t kSenderFieldBytes = 32;  // each frame is preceded by its sender's address

std::string frameFrom(const std::string& sender) {
  std::string senderField = sender;
  senderField.resize(kSenderFieldBytes, '\0');
  return senderField + encodeFrame(fleetMark("one"), Message{DiscoveredEnginesRequest{{7}}});
}

}  // namespace

TEST_GROUP(LoopOrder) { TestLoop loop; };

// A frame is handled first even if requests were ready before it arrived.
TEST(LoopOrder, AMembersFrameIsHandledBeforeReadyRequests) {
  constexpr std::size_t kRequests = 20;
  std::vector<std::string> order;
  Address address = freeAddress();
  MemberTransport transport(loop.loop(), address, "one",
                            [&](const Address&, Message) { order.push_back("frame"); });
  CHECK(transport.listen().ok());
  TestPeer member(loop, address);
  loop.runPending();
  struct ReadyRequest {
    int ends[2] = {-1, -1};
    std::vector<std::string>* order = nullptr;
    event* readable = nullptr;
  };
  std::vector<std::unique_ptr<ReadyRequest>> requests;
  for (std::size_t number = 0; number < kRequests; ++number) {
    auto request = std::make_unique<ReadyRequest>();
    CHECK_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, request->ends));
    request->order = &order;
    static constexpr auto kRead = [](evutil_socket_t, short, void* ready) {
      static_cast<ReadyRequest*>(ready)->order->push_back("request");
    };
    request->readable = event_new(loop.base(), request->ends[0], EV_READ, kRead, request.get());
    event_add(request->readable, nullptr);
    requests.push_back(std::move(request));
  }
  for (auto& request : requests) CHECK_EQUAL(1, write(request->ends[1], "r", 1));
  member.send(frameFrom("127.0.0.1:1"));
  CHECK(loop.runUntil([&] { return order.size() == kRequests + 1; }));
  STRCMP_EQUAL("frame", order.front().c_str());
  for (auto& request : requests) {
    event_free(request->readable);
    close(request->ends[0]);
    close(request->ends[1]);
  }
}

TEST(LoopOrder, ACallersDisconnectIsDetectedFromItsSocket) {
  std::shared_ptr<WebRequest> request;
  WebServer server(loop.loop(), [&](std::shared_ptr<WebRequest> arrival) { request = arrival; });
  Address address = freeAddress();
  CHECK(server.listen(address, 4096).ok());
  auto caller = std::make_unique<TestPeer>(loop, address);
  caller->send("POST /v1/stream HTTP/1.1\r\nHost: here\r\nContent-Length: 1\r\n\r\nx");
  CHECK(loop.runUntil([&] { return request != nullptr; }));
  CHECK(request->isCallerConnected());
  caller.reset();  // closes the connection; the loop has not run since
  CHECK_FALSE(request->isCallerConnected());
  request->respond(200, {}, "late");
  CHECK_FALSE(request->isCallerConnected());
  loop.runPending();
}
