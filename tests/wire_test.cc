// Encoding and decoding of frames, and rejection of invalid ones.
#include "wire/frame.h"

#include "core/random.h"
#include "tests/testing.h"
#include "wire/json_fields.h"

using namespace peppergate;

TEST_GROUP(Wire){};

TEST(Wire, EveryFieldSurvivesARoundTrip) {
  StateReply answer;
  answer.sentAt = at(12.5);
  answer.proof = true;
  answer.proofAge = seconds(0.25);
  answer.view = {{7}, {11}, {{12}, {13}}, {6}, {{11}, {12}, {13}}};
  answer.now = {{{7}, {1}}, {{7}, {2}}, {{6}, {3}}};
  answer.setup = std::string("with\0zero", 9);
  std::string frame = encodeFrame(5, Message{answer});
  FrameHead head = readFrameHead(5, frame);
  CHECK(head.fault == FrameFault::kNone);
  auto message = decodeBody(head.kind, std::span<const char>(frame).subspan(kFrameHeadBytes));
  CHECK(message.ok());
  auto& back = std::get<StateReply>(*message);
  CHECK(toJson(back).dump(-1, ' ', true) == toJson(answer).dump(-1, ' ', true));
}

TEST(Wire, EachInvalidHeadFieldHasItsOwnFault) {
  std::string good = encodeFrame(5, Message{StateRequest{}});
  CHECK(readFrameHead(6, good).fault == FrameFault::kOtherFleet);
  std::string bad = good;
  bad[0] = 'x';
  CHECK(readFrameHead(5, bad).fault == FrameFault::kBadMagic);
  bad = good;
  bad[5] = 9;
  CHECK(readFrameHead(5, bad).fault == FrameFault::kOtherWireVersion);
  bad = good;
  bad[7] = 99;
  CHECK(readFrameHead(5, bad).fault == FrameFault::kUnknownKind);
  bad = good;
  bad[16] = 127;
  CHECK(readFrameHead(5, bad).fault == FrameFault::kTooLarge);
}

TEST(Wire, ADamagedBodyFailsItsChecksum) {
  std::string frame = encodeFrame(5, Message{ChangeRequest{{1}, "id", "{}"}});
  FrameHead head = readFrameHead(5, frame);
  std::string body = frame.substr(kFrameHeadBytes);
  CHECK(bodyMatchesHead(head, body));
  for (std::size_t place = 0; place < body.size(); ++place) {
    std::string damaged = body;
    damaged[place] = static_cast<char>(damaged[place] ^ 1);
    CHECK_FALSE(bodyMatchesHead(head, damaged));
  }
  CHECK_FALSE(bodyMatchesHead(head, std::string_view(body).substr(1)));
}

TEST(Wire, DecodingRandomBodiesNeverCrashes) {
  Random random(9);
  std::string good =
      encodeFrame(5, Message{Shuffle{{}, {MemberRecord{}, MemberRecord{}}, {}, {}, true}});
  int taken = 0, declined = 0;
  for (int turn = 0; turn < 3000; ++turn) {
    std::string body = good.substr(kFrameHeadBytes);
    body.resize(random.below(body.size() + 1));
    for (int flips = 0; flips < 3 && !body.empty(); ++flips)
      body[random.below(body.size())] = static_cast<char>(random.next());
    auto message = decodeBody(static_cast<std::uint16_t>(random.below(25)), body);
    ++(message.ok() ? taken : declined);
  }
  CHECK(declined > 1000);
  LONGS_EQUAL(3000, taken + declined);
}
