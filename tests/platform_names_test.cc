// Code under src/ must not contain names of the platform's interfaces.
#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "platform/wire_names.h"
#include "tests/testing.h"

using namespace peppergate;

namespace {

std::string lower(std::string_view text) {
  std::string copy(text);
  std::ranges::transform(copy, copy.begin(),
                         [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return copy;
}

bool isWordCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_';
}

/// Whether a text contains a word as a whole word; both must be in lower case.
bool containsWord(const std::string& text, const std::string& word) {
  for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
    bool begins = at == 0 || !isWordCharacter(text[at - 1]) || !isWordCharacter(word.front());
    std::size_t end = at + word.size();
    bool ends = end == text.size() || !isWordCharacter(text[end]) || !isWordCharacter(word.back());
    if (begins && ends) return true;
  }
  return false;
}

std::string readFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

TEST_GROUP(PlatformWords){};

TEST(PlatformWords, DoNotOccurInSrc) {
  std::size_t files = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(SOURCE_FOLDER "/src")) {
    if (!entry.is_regular_file()) continue;
    ++files;
    std::string text = lower(readFile(entry.path()));
    for (auto word : platform::kPlatformOnlyNames)
      CHECK_FALSE_TEXT(containsWord(text, lower(word)),
                       (entry.path().string() + " contains " + std::string(word)).c_str());
  }
  CHECK(files > 50);
}

TEST(PlatformWords, SearchFindsWholeWordsOnly) {
  CHECK(containsWord(lower("a[\"Berths\"] = 1"), "berths"));
  CHECK(containsWord(lower("{\"X-Attempt-Id\", id}"), lower("X-Attempt-Id")));
  CHECK_FALSE(containsWord("expedition", "edition"));
  CHECK_FALSE(containsWord("auto senders = 1", "\"senders\""));
}
