#pragma once
// Frames between members over TCP: one connection per direction, with a bounded output buffer. A
// message that finds the buffer full is dropped.
#include <absl/status/status.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/outbox.h"
#include "io/event_loop.h"
#include "wire/frame.h"

namespace peppergate {

/// Sends messages to other members and passes received ones to a handler.
class MemberTransport {
 public:
  using MessageHandler = std::function<void(const Address& from, Message message)>;
  MemberTransport(EventLoop& loop, Address self, std::string_view fleet, MessageHandler handler);
  ~MemberTransport();

  /// Starts to listen for other members; fails if the port is in use.
  absl::Status listen();
  /// Sends if the output buffer has room. Delivery isn't guaranteed: the protocols above repeat
  /// their messages.
  void send(const Address& to, const Message& message);
  /// Sends to several members; the message is encoded once.
  void broadcast(const std::vector<Address>& to, const Message& message);
  /// Fault injection: exchanges no messages with these addresses, instead of those set before.
  void blockAddresses(std::set<std::string> addresses) { blockedAddresses_ = std::move(addresses); }
  /// Counts of frames and connections that were not accepted or not sent, by kind of fault.
  const std::map<std::string, std::uint64_t>& faultCounts() const { return faultCounts_; }
  /// What was queued to other members of one kind of message; the bytes include frame headers.
  struct SentCounts {
    std::uint64_t messages = 0, bytes = 0;
  };
  const std::array<SentCounts, kMessageKinds>& sentByKind() const { return sentByKind_; }

 private:
  struct OutgoingConnection;
  struct IncomingConnection;
  void readFrames(IncomingConnection& incoming);
  bufferevent* connectionTo(const Address& to);
  void queue(const Address& to, const std::string& frame, std::size_t kind);
  void close(IncomingConnection& incoming);
  void countFault(std::string_view kind);

  EventLoop& loop_;
  Address self_;
  std::uint64_t fleetMark_;
  MessageHandler handler_;
  evconnlistener* listener_ = nullptr;
  std::map<Address, std::unique_ptr<OutgoingConnection>> outgoing_;
  std::map<bufferevent*, std::unique_ptr<IncomingConnection>> incoming_;
  std::set<std::string> blockedAddresses_;
  std::map<std::string, std::uint64_t> faultCounts_;
  std::array<SentCounts, kMessageKinds> sentByKind_;
};

/// Parses an IPv4 address with a port, such as "127.0.0.1:7000"; false if it is invalid.
bool parseAddress(const std::string& text, struct sockaddr_in& address);

}  // namespace peppergate
