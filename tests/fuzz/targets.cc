#include "tests/fuzz/targets.h"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace peppergate::fuzz {
namespace {

constexpr std::array<std::string_view, 30> kHttpWords{"\r\n",
                                                      "\r\n\r\n",
                                                      "\n",
                                                      ": ",
                                                      "HTTP/1.1 ",
                                                      "HTTP/1.0 ",
                                                      "HTTP/1.1 100 Continue\r\n\r\n",
                                                      "HTTP/1.1 200 OK\r\n",
                                                      "HTTP/1.1 204 No Content\r\n",
                                                      "GET / HTTP/1.1\r\n",
                                                      "POST /a/b HTTP/1.1\r\n",
                                                      "HEAD ",
                                                      "Host: a\r\n",
                                                      "Content-Length: ",
                                                      "Content-Length: 5\r\n",
                                                      "Transfer-Encoding: chunked\r\n",
                                                      "Transfer-Encoding: ",
                                                      "Connection: close\r\n",
                                                      "Connection: keep-alive, X-Attempt-Id\r\n",
                                                      "Keep-Alive: timeout=",
                                                      "Expect: 100-continue\r\n",
                                                      "X-Attempt-Id: t1\r\n",
                                                      "X-Prompt-Prefix: 5c1e:800,91bd:410\r\n",
                                                      "X-Token-Count: 1460,80\r\n",
                                                      "X-Time-Left-Ms: 8000\r\n",
                                                      "Authorization: Token key\r\n",
                                                      "Last-Event-Id: 12\r\n",
                                                      "0\r\n\r\n",
                                                      "5\r\nhello\r\n",
                                                      "ffffffffffffffff\r\n"};
constexpr std::array<std::string_view, 12> kEventWords{"\n\n",
                                                       "\r\n\r\n",
                                                       "\r\r",
                                                       "id: ",
                                                       "id: 1\n",
                                                       "data: ",
                                                       "data: a\n",
                                                       "event: ",
                                                       ":\n",
                                                       "x-weight-versions: 2\n",
                                                       "id:18446744073709551615\n",
                                                       "retry: 1\n"};
constexpr std::array<std::string_view, 36> kJsonWords{"{",
                                                      "}",
                                                      "[",
                                                      "]",
                                                      "null",
                                                      "true",
                                                      "false",
                                                      "\"\"",
                                                      "{}",
                                                      "[]",
                                                      ",",
                                                      ":",
                                                      "1e400",
                                                      "\\u0000",
                                                      "\\ud800",
                                                      "\"routes\":",
                                                      "\"service_lines\":",
                                                      "\"senders\":",
                                                      "\"limits\":",
                                                      "\"edition\":",
                                                      "\"upsert\":",
                                                      "\"remove\":",
                                                      "\"kind\":",
                                                      "\"split\":",
                                                      "\"share\":",
                                                      "\"name\":",
                                                      "\"access_keys\":",
                                                      "\"next_token\":",
                                                      "\"epoch\":",
                                                      "\"events\":",
                                                      "\"held\":",
                                                      "\"models\":",
                                                      "\"changeId\":",
                                                      "\"basedOn\":\"1.1\"",
                                                      "\"version\":",
                                                      "[[[[[[[["};
constexpr std::array<std::string_view, 12> kTomlWords{"[",
                                                      "]",
                                                      "[[",
                                                      "]]",
                                                      "=",
                                                      "\"\"\"",
                                                      "'''",
                                                      "{ a = ",
                                                      "inf",
                                                      "nan",
                                                      "1979-05-27T07:32:00Z",
                                                      "[listen]\n"};

constexpr std::array<Target, 13> kTargets{{
    {"request_head", &runRequestHead, kHttpWords},
    {"answer", &runAnswer, kHttpWords},
    {"chunks", &runChunks, kHttpWords},
    {"events", &runEvents, kEventWords},
    {"older_events", &runOlderEvents, kEventWords},
    {"orders", &runOrders, kJsonWords},
    {"change", &runChange, kJsonWords},
    {"engine_answers", &runEngineAnswers, kJsonWords},
    {"engine_list", &runEngineList, kJsonWords},
    {"settings", &runSettings, kTomlWords},
    {"state_files", &runStateFiles, kJsonWords},
    {"frame", &runFrame, {}},
    {"frame_body", &runFrameBody, {}},
}};

// FNV-1a.
constexpr std::uint64_t kHashStart = 0xcbf29ce484222325ULL, kHashFactor = 0x100000001b3ULL;
constexpr std::size_t kHashedMessageBytes = 60;  // prefix of a message that is hashed, in bytes

}  // namespace

std::span<const Target> allTargets() { return kTargets; }

void require(bool holds, std::string_view property) {
  if (holds) return;
  std::fprintf(stderr, "broken property: %.*s\n", static_cast<int>(property.size()),
               property.data());
  std::abort();
}

std::uint64_t hashOutcomes(std::initializer_list<std::uint64_t> outcomes) {
  std::uint64_t hash = kHashStart;
  for (std::uint64_t outcome : outcomes) hash = (hash ^ outcome) * kHashFactor;
  return hash;
}

std::uint64_t hashMessage(std::string_view message) {
  std::uint64_t hash = kHashStart;
  for (char character : message.substr(0, kHashedMessageBytes))
    if (character < '0' || character > '9')
      hash = (hash ^ static_cast<unsigned char>(character)) * kHashFactor;
  return hash;
}

}  // namespace peppergate::fuzz
