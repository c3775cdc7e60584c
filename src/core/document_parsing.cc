// Parsers for untrusted JSON: with bounded nesting depth, or for the top-level strings alone.
#include "core/schemas.h"

namespace peppergate {
namespace {

/// Whether a JSON text exceeds the nesting limit. Brackets inside strings are not counted.
bool exceedsMaxDepth(std::string_view text) {
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    char character = text[index];
    if (inString) {
      if (character == '\\') ++index;
      else if (character == '"') inString = false;
    } else if (character == '"') {
      inString = true;
    } else if (character == '{' || character == '[') {
      if (++depth > kMaxDocumentDepth) return true;
    } else if ((character == '}' || character == ']') && depth > 0) {
      --depth;
    }
  }
  return false;
}

/// SAX handler that keeps the top-level string fields of an object.
class TopLevelStringReader final : public nlohmann::json_sax<Json> {
 public:
  explicit TopLevelStringReader(TopLevelStrings& result) : result_(result) {}

  bool null() override { return inObject(); }
  bool boolean(bool) override { return inObject(); }
  bool number_integer(number_integer_t) override { return inObject(); }
  bool number_unsigned(number_unsigned_t) override { return inObject(); }
  bool number_float(number_float_t, const string_t&) override { return inObject(); }
  bool binary(binary_t&) override { return inObject(); }
  bool string(string_t& text) override {
    if (depth_ == 1) result_.values[key_] = std::move(text);
    return inObject();
  }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxDocumentDepth; }
  bool start_array(std::size_t) override { return inObject() && ++depth_ <= kMaxDocumentDepth; }
  bool end_object() override { return closeContainer(); }
  bool end_array() override { return closeContainer(); }
  bool key(string_t& name) override {
    if (depth_ == 1) {
      key_ = std::move(name);
      result_.values.erase(key_);  // for a duplicate key the last value counts
    }
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool inObject() const { return depth_ > 0; }
  bool closeContainer() {
    --depth_;
    return true;
  }

  TopLevelStrings& result_;
  std::string key_;
  std::size_t depth_ = 0;
};

}  // namespace

Json parseDocument(std::string_view text) {
  if (exceedsMaxDepth(text)) return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

TopLevelStrings readTopLevelStrings(std::string_view text) {
  TopLevelStrings result;
  TopLevelStringReader reader(result);
  result.valid = Json::sax_parse(text, &reader);
  return result;
}

}  // namespace peppergate
