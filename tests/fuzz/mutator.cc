#include "tests/fuzz/mutator.h"

#include <algorithm>
#include <array>

namespace peppergate::fuzz {
namespace {

constexpr std::size_t kMaxMutationSteps = 5;
constexpr std::size_t kMaxInsertedBytes = 16;
/// One in this many repetitions is long, to find deep recursion and quadratic run time.
constexpr std::uint64_t kLongRepetitionOneIn = 16;
constexpr std::size_t kMaxShortRepetitions = 8, kMaxLongRepetitions = 20'000;

constexpr std::array<char, 16> kInterestingBytes{
    '\0', '\t', '\n', '\r', ' ', '"', ',', ':', '[', ']', '{', '}', '\\', '\'', '\x7f', '\xff'};
constexpr std::array<std::string_view, 14> kInterestingNumbers{"0",
                                                               "1",
                                                               "-1",
                                                               "2147483647",
                                                               "2147483648",
                                                               "4294967296",
                                                               "9007199254740993",
                                                               "9223372036854775807",
                                                               "9223372036854775808",
                                                               "18446744073709551615",
                                                               "18446744073709551616",
                                                               "1e308",
                                                               "1e-999",
                                                               "0.00000001"};
constexpr std::array<unsigned char, 6> kInterestingBinaryBytes{0x00, 0x01, 0x7f, 0x80, 0xfe, 0xff};

bool isDigit(char character) { return character >= '0' && character <= '9'; }

}  // namespace

std::string Mutator::next(std::span<const std::string> corpus) {
  static constexpr std::array<MutationStep, 11> kSteps{
      &Mutator::flipBit,      &Mutator::setByte,           &Mutator::insertBytes,
      &Mutator::insertWord,   &Mutator::eraseRange,        &Mutator::truncate,
      &Mutator::copyRange,    &Mutator::repeatRange,       &Mutator::splice,
      &Mutator::changeNumber, &Mutator::changeBinaryNumber};
  std::string input;
  if (!corpus.empty()) input = corpus[random_.below(corpus.size())];
  std::size_t steps = 1 + random_.below(kMaxMutationSteps);
  for (std::size_t step = 0; step < steps; ++step)
    (this->*kSteps[random_.below(kSteps.size())])(input, corpus);
  if (input.size() > kMaxInputBytes) input.resize(kMaxInputBytes);
  return input;
}

std::size_t Mutator::randomLength(const std::string& input, std::size_t start) {
  std::size_t remaining = input.size() - start;
  // Most ranges are short; one in four may reach up to the end of the input.
  std::size_t bound = random_.below(4) == 0 ? remaining : std::min<std::size_t>(remaining, 24);
  return random_.below(bound + 1);
}

void Mutator::flipBit(std::string& input, std::span<const std::string>) {
  if (input.empty()) return;
  char& byte = input[random_.below(input.size())];
  byte = static_cast<char>(byte ^ (1 << random_.below(8)));
}

void Mutator::setByte(std::string& input, std::span<const std::string>) {
  if (input.empty()) return;
  char& byte = input[random_.below(input.size())];
  bool interesting = random_.below(2) == 0;
  byte = interesting ? kInterestingBytes[random_.below(kInterestingBytes.size())]
                     : static_cast<char>(random_.next());
}

void Mutator::insertBytes(std::string& input, std::span<const std::string>) {
  std::string bytes(1 + random_.below(kMaxInsertedBytes), '\0');
  for (char& byte : bytes) byte = static_cast<char>(random_.next());
  input.insert(randomOffset(input), bytes);
}

void Mutator::insertWord(std::string& input, std::span<const std::string> corpus) {
  if (dictionary_.empty()) return insertBytes(input, corpus);
  input.insert(randomOffset(input), dictionary_[random_.below(dictionary_.size())]);
}

void Mutator::eraseRange(std::string& input, std::span<const std::string>) {
  std::size_t start = randomOffset(input);
  input.erase(start, randomLength(input, start));
}

void Mutator::truncate(std::string& input, std::span<const std::string>) {
  input.resize(randomOffset(input));
}

void Mutator::copyRange(std::string& input, std::span<const std::string>) {
  std::size_t start = randomOffset(input);
  std::string range = input.substr(start, randomLength(input, start));
  input.insert(randomOffset(input), range);
}

void Mutator::repeatRange(std::string& input, std::span<const std::string>) {
  std::size_t start = randomOffset(input);
  std::string range = input.substr(start, randomLength(input, start));
  if (range.empty()) return;
  bool isLong = random_.below(kLongRepetitionOneIn) == 0;
  std::size_t times = 1 + random_.below(isLong ? kMaxLongRepetitions : kMaxShortRepetitions);
  times = std::min(times, kMaxInputBytes / range.size());
  std::string repeated;
  repeated.reserve(times * range.size());
  for (std::size_t time = 0; time < times; ++time) repeated += range;
  input.insert(start, repeated);
}

void Mutator::splice(std::string& input, std::span<const std::string> corpus) {
  if (corpus.empty()) return;
  const std::string& other = corpus[random_.below(corpus.size())];
  input.resize(randomOffset(input));
  input += other.substr(random_.below(other.size() + 1));
}

void Mutator::changeNumber(std::string& input, std::span<const std::string> corpus) {
  std::size_t start = randomOffset(input);
  while (start < input.size() && !isDigit(input[start])) ++start;
  if (start == input.size()) return setByte(input, corpus);
  std::size_t end = start;
  while (end < input.size() && isDigit(input[end])) ++end;
  input.replace(start, end - start, kInterestingNumbers[random_.below(kInterestingNumbers.size())]);
}

void Mutator::changeBinaryNumber(std::string& input, std::span<const std::string>) {
  std::size_t start = randomOffset(input);
  std::size_t size =
      std::min<std::size_t>(std::size_t{1} << random_.below(4), input.size() - start);
  auto byte =
      static_cast<char>(kInterestingBinaryBytes[random_.below(kInterestingBinaryBytes.size())]);
  for (std::size_t at = start; at < start + size; ++at) input[at] = byte;
}

}  // namespace peppergate::fuzz
