// Parsers for untrusted JSON: with bounded nesting depth, or for the top-level strings alone.
#include "core/schemas.h"

namespace peppergate {
namespace {

/// Whether a JSON text exceeds the nesting limit. Brackets inside strings are not counted.
bool tooDeep(std::string_view text) {
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t place = 0; place < text.size(); ++place) {
    char letter = text[place];
    if (inString) {
      if (letter == '\\') ++place;
      else if (letter == '"') inString = false;
    } else if (letter == '"') {
      inString = true;
    } else if (letter == '{' || letter == '[') {
      if (++depth > kDeepestDocument) return true;
    } else if ((letter == '}' || letter == ']') && depth > 0) {
      --depth;
    }
  }
  return false;
}

/// SAX handler that keeps the top-level string fields of an object.
class HeadReader final : public nlohmann::json_sax<Json> {
 public:
  explicit HeadReader(DocumentHead& head) : head_(head) {}

  bool null() override { return inObject(); }
  bool boolean(bool) override { return inObject(); }
  bool number_integer(number_integer_t) override { return inObject(); }
  bool number_unsigned(number_unsigned_t) override { return inObject(); }
  bool number_float(number_float_t, const string_t&) override { return inObject(); }
  bool binary(binary_t&) override { return inObject(); }
  bool string(string_t& text) override {
    if (depth_ == 1) head_.texts[key_] = std::move(text);
    return inObject();
  }
  bool start_object(std::size_t) override { return ++depth_ <= kDeepestDocument; }
  bool start_array(std::size_t) override { return inObject() && ++depth_ <= kDeepestDocument; }
  bool end_object() override { return leave(); }
  bool end_array() override { return leave(); }
  bool key(string_t& name) override {
    if (depth_ == 1) {
      key_ = std::move(name);
      head_.texts.erase(key_);  // for a duplicate key the last value counts
    }
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool inObject() const { return depth_ > 0; }
  bool leave() {
    --depth_;
    return true;
  }

  DocumentHead& head_;
  std::string key_;
  std::size_t depth_ = 0;
};

}  // namespace

Json parseDocument(std::string_view text) {
  if (tooDeep(text)) return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

DocumentHead readHead(std::string_view text) {
  DocumentHead head;
  HeadReader reader(head);
  head.readable = Json::sax_parse(text, &reader);
  return head;
}

}  // namespace peppergate
