#include "wire/frame.h"

#include <avro.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <cstring>
#include <memory>

#include "wire/body_bounds.h"
#include "wire/json_fields.h"

namespace peppergate {
namespace {

constexpr std::array<std::string_view, kMessageKinds> kKindNames{
    "Shuffle",      "PromiseAsk",   "PromiseAnswer",   "AcceptAsk",      "AcceptAnswer",
    "CopyAsk",      "CopyAnswer",   "NewsAsk",         "NewsAnswer",     "ChangeAsk",
    "ChangeAnswer", "HoldAsk",      "HoldAnswer",      "EngineListNews", "EngineListAsk",
    "PictureNote",  "IndexPut",     "IndexAsk",        "UsageNote",      "HolderAsk",
    "HolderAnswer", "CaretakerAsk", "CaretakerAnswer", "CaretakerNote",  "PartNews",
    "RosterNews",   "RosterAsk",    "EngineTrouble",   "EngineUse",      "PartAsk"};
static_assert(!kKindNames.back().empty(), "every message kind needs a name");

// Builds Avro schemas from the same `visit` functions that write and read the values.
struct SchemaWriter {
  Json& fields;
  int& counter;
  template <class T>
  void operator()(const char* name, const T& field) {
    fields.push_back({{"name", name}, {"type", schemaOf(field)}});
  }
  template <class T>
  Json schemaOf(const T& field) {
    if constexpr (kIsTagged<T>) return schemaOf(field.value);
    else if constexpr (std::is_same_v<T, std::string>) return "bytes";
    else if constexpr (std::is_same_v<T, bool>) return "boolean";
    else if constexpr (std::is_floating_point_v<T>) return "double";
    else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T> ||
                       std::is_same_v<T, Duration> || std::is_same_v<T, MonotonicTime>)
      return "long";
    else if constexpr (kIsVector<T>)
      return {{"type", "array"}, {"items", schemaOf(typename T::value_type{})}};
    else {
      Json inner = Json::array();
      std::string name = "Record" + std::to_string(counter++);
      SchemaWriter writer{inner, counter};
      T::visit(field, writer);
      return {{"type", "record"}, {"name", name}, {"fields", inner}};
    }
  }
};

template <class T>
void putValue(avro_value_t* target, const T& field);

struct AvroWriter {
  avro_value_t* record;
  std::size_t index = 0;
  template <class T>
  void operator()(const char*, const T& field) {
    avro_value_t slot;
    avro_value_get_by_index(record, index++, &slot, nullptr);
    putValue(&slot, field);
  }
};

template <class T>
void putValue(avro_value_t* target, const T& field) {
  if constexpr (kIsTagged<T>) putValue(target, field.value);
  else if constexpr (std::is_same_v<T, std::string>)
    avro_value_set_bytes(target, const_cast<char*>(field.data()), field.size());
  else if constexpr (std::is_same_v<T, bool>) avro_value_set_boolean(target, field ? 1 : 0);
  else if constexpr (std::is_floating_point_v<T>) avro_value_set_double(target, field);
  else if constexpr (std::is_same_v<T, Duration> || std::is_same_v<T, MonotonicTime>)
    avro_value_set_long(target, field.microseconds);
  else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>)
    avro_value_set_long(target, static_cast<std::int64_t>(field));
  else if constexpr (kIsVector<T>) {
    for (const auto& element : field) {
      avro_value_t slot;
      avro_value_append(target, &slot, nullptr);
      putValue(&slot, element);
    }
  } else {
    AvroWriter writer{target};
    T::visit(field, writer);
  }
}

template <class T>
bool takeValue(avro_value_t* source, T& field);

struct AvroReader {
  avro_value_t* record;
  bool good = true;
  std::size_t index = 0;
  template <class T>
  void operator()(const char*, T& field) {
    avro_value_t slot;
    good = good && avro_value_get_by_index(record, index++, &slot, nullptr) == 0 &&
           takeValue(&slot, field);
  }
};

template <class T>
bool takeVector(avro_value_t* source, std::vector<T>& field) {
  std::size_t count = 0;
  if (avro_value_get_size(source, &count) != 0) return false;
  field.clear();
  for (std::size_t index = 0; index < count; ++index) {
    avro_value_t slot;
    if (avro_value_get_by_index(source, index, &slot, nullptr) != 0) return false;
    if (!takeValue(&slot, field.emplace_back())) return false;
  }
  return true;
}

template <class T>
bool takeValue(avro_value_t* source, T& field) {
  if constexpr (kIsTagged<T>) return takeValue(source, field.value);
  else if constexpr (std::is_same_v<T, std::string>) {
    const void* bytes = nullptr;
    std::size_t size = 0;
    if (avro_value_get_bytes(source, &bytes, &size) != 0) return false;
    field.assign(static_cast<const char*>(bytes), size);
    return true;
  } else if constexpr (std::is_same_v<T, bool>) {
    int raw = 0;
    if (avro_value_get_boolean(source, &raw) != 0) return false;
    field = raw != 0;
    return true;
  } else if constexpr (std::is_floating_point_v<T>) {
    return avro_value_get_double(source, &field) == 0;
  } else if constexpr (std::is_same_v<T, Duration> || std::is_same_v<T, MonotonicTime>) {
    return avro_value_get_long(source, &field.microseconds) == 0;
  } else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
    std::int64_t raw = 0;
    if (avro_value_get_long(source, &raw) != 0) return false;
    field = static_cast<T>(raw);
    return true;
  } else if constexpr (kIsVector<T>) {
    return takeVector(source, field);
  } else {
    AvroReader reader{source};
    T::visit(field, reader);
    return reader.good;
  }
}

constexpr std::size_t kKinds = std::variant_size_v<Message>;

template <std::size_t Index>
std::string schemaForIndex() {
  int counter = 0;
  Json fields = Json::array();
  SchemaWriter writer{fields, counter};
  return writer.schemaOf(std::variant_alternative_t<Index, Message>{}).dump();
}

template <std::size_t... Indexes>
std::array<std::string, kKinds> allSchemas(std::index_sequence<Indexes...>) {
  return {schemaForIndex<Indexes>()...};
}

template <std::size_t Index>
bool decodeInto(avro_value_t* value, Message& message) {
  return takeValue(value, message.emplace<Index>());
}

template <std::size_t... Indexes>
bool decodeKind(std::size_t kind, avro_value_t* value, Message& message,
                std::index_sequence<Indexes...>) {
  using Decoder = bool (*)(avro_value_t*, Message&);
  constexpr std::array<Decoder, kKinds> kDecoders{&decodeInto<Indexes>...};
  return kDecoders[kind](value, message);
}

template <std::size_t... Indexes>
bool fitsKind(std::size_t kind, std::span<const char> body, std::index_sequence<Indexes...>) {
  using Check = bool (*)(std::span<const char>);
  constexpr std::array<Check, kKinds> checks{
      &bodyFits<std::variant_alternative_t<Indexes, Message>>...};
  return checks[kind](body);
}

struct ValueClass {
  avro_schema_t schema = nullptr;
  avro_value_iface_t* shape = nullptr;
};

std::array<ValueClass, kKinds> makeClasses() {
  auto schemas = allSchemas(std::make_index_sequence<kKinds>{});
  std::array<ValueClass, kKinds> classes;
  for (std::size_t index = 0; index < kKinds; ++index) {
    avro_schema_from_json_length(schemas[index].data(), schemas[index].size(),
                                 &classes[index].schema);
    classes[index].shape = avro_generic_class_from_schema(classes[index].schema);
  }
  return classes;
}

const ValueClass& classOf(std::size_t kind) {
  static const std::array<ValueClass, kKinds> kClasses = makeClasses();
  return kClasses[kind];
}

struct AvroValue {
  avro_value_t value{};
  explicit AvroValue(std::size_t kind) { avro_generic_value_new(classOf(kind).shape, &value); }
  ~AvroValue() { avro_value_decref(&value); }
  AvroValue(const AvroValue&) = delete;
  AvroValue& operator=(const AvroValue&) = delete;
};

template <class T>
void putNumber(std::string& out, T number) {
  for (std::size_t shift = sizeof(T); shift-- > 0;)
    out.push_back(static_cast<char>((number >> (8 * shift)) & 0xff));
}

template <class T>
T takeNumber(std::span<const char> bytes, std::size_t offset) {
  T number = 0;
  for (std::size_t index = 0; index < sizeof(T); ++index)
    number = static_cast<T>((number << 8) | static_cast<unsigned char>(bytes[offset + index]));
  return number;
}

struct Putter {
  avro_value_t* value;
  template <class T>
  void operator()(const T& message) const {
    putValue(value, message);
  }
};

}  // namespace

std::uint64_t fleetMark(std::string_view fleet) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(fleet.data()), fleet.size(), digest.data());
  std::uint64_t mark = 0;
  std::memcpy(&mark, digest.data(), sizeof mark);
  return mark;
}

std::string encodeFrame(std::uint64_t mark, const Message& message) {
  AvroValue value(message.index());
  std::visit(Putter{&value.value}, message);
  std::size_t size = 0;
  avro_value_sizeof(&value.value, &size);
  std::string frame;
  frame.reserve(kFrameHeadSize + size);
  putNumber(frame, kFrameMagic);
  putNumber(frame, kWireVersion);
  putNumber(frame, static_cast<std::uint16_t>(message.index()));
  putNumber(frame, mark);
  putNumber(frame, static_cast<std::uint32_t>(size));
  putNumber(frame, std::uint32_t{0});
  frame.resize(kFrameHeadSize + size);
  avro_writer_t writer =
      avro_writer_memory(frame.data() + kFrameHeadSize, static_cast<std::int64_t>(size));
  avro_value_write(writer, &value.value);
  avro_writer_free(writer);
  std::string sum;
  putNumber(sum, XXH32(frame.data() + kFrameHeadSize, size, 0));
  frame.replace(kFrameHeadSize - sum.size(), sum.size(), sum);
  return frame;
}

FrameHead readFrameHead(std::uint64_t mark, std::span<const char> bytes) {
  FrameHead head;
  head.kind = takeNumber<std::uint16_t>(bytes, 6);
  head.length = takeNumber<std::uint32_t>(bytes, 16);
  head.sum = takeNumber<std::uint32_t>(bytes, 20);
  if (takeNumber<std::uint32_t>(bytes, 0) != kFrameMagic) head.fault = FrameFault::kBadMagic;
  else if (takeNumber<std::uint16_t>(bytes, 4) != kWireVersion)
    head.fault = FrameFault::kOtherWireVersion;
  else if (takeNumber<std::uint64_t>(bytes, 8) != mark) head.fault = FrameFault::kOtherFleet;
  else if (head.kind >= kKinds) head.fault = FrameFault::kUnknownKind;
  else if (head.length > kLargestFrame) head.fault = FrameFault::kTooLarge;
  return head;
}

bool bodyIsWhole(const FrameHead& head, std::span<const char> body) {
  return body.size() == head.length && XXH32(body.data(), body.size(), 0) == head.sum;
}

absl::StatusOr<Message> decodeBody(std::uint16_t kind, std::span<const char> body) {
  if (kind >= kKinds)
    return absl::InvalidArgumentError(std::string(faultName(FrameFault::kUnknownKind)));
  // The library allocates whatever size a body declares, so bodies are validated first.
  if (!fitsKind(kind, body, std::make_index_sequence<kKinds>{}))
    return absl::DataLossError(std::string(faultName(FrameFault::kBadBody)));
  AvroValue value(kind);
  avro_reader_t reader = avro_reader_memory(body.data(), static_cast<std::int64_t>(body.size()));
  bool good = avro_value_read(reader, &value.value) == 0;
  avro_reader_free(reader);
  Message message;
  if (good) good = decodeKind(kind, &value.value, message, std::make_index_sequence<kKinds>{});
  if (!good) return absl::DataLossError(std::string(faultName(FrameFault::kBadBody)));
  return message;
}

std::string schemaText(std::uint16_t kind) {
  return allSchemas(std::make_index_sequence<kKinds>{})[kind];
}

std::string_view faultName(FrameFault fault) {
  static constexpr std::array<std::string_view, 8> kNames{
      "none",         "bad magic", "other wire version", "other fleet",
      "unknown kind", "too large", "bad body",           "bad sum"};
  return kNames[static_cast<std::size_t>(fault)];
}

std::string_view messageKindName(std::size_t kind) { return kKindNames.at(kind); }

}  // namespace peppergate
