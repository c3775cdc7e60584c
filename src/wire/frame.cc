#include "wire/frame.h"

#include <avro.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <cstring>
#include <memory>

#include "wire/body_validation.h"
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
  int& recordCounter;
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
      std::string name = "Record" + std::to_string(recordCounter++);
      SchemaWriter writer{inner, recordCounter};
      T::visit(field, writer);
      return {{"type", "record"}, {"name", name}, {"fields", inner}};
    }
  }
};

template <class T>
void writeValue(avro_value_t* target, const T& field);

struct AvroWriter {
  avro_value_t* record;
  std::size_t index = 0;
  template <class T>
  void operator()(const char*, const T& field) {
    avro_value_t slot;
    avro_value_get_by_index(record, index++, &slot, nullptr);
    writeValue(&slot, field);
  }
};

template <class T>
void writeValue(avro_value_t* target, const T& field) {
  if constexpr (kIsTagged<T>) writeValue(target, field.value);
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
      writeValue(&slot, element);
    }
  } else {
    AvroWriter writer{target};
    T::visit(field, writer);
  }
}

template <class T>
bool readValue(avro_value_t* source, T& field);

struct AvroReader {
  avro_value_t* record;
  bool valid = true;
  std::size_t index = 0;
  template <class T>
  void operator()(const char*, T& field) {
    avro_value_t slot;
    valid = valid && avro_value_get_by_index(record, index++, &slot, nullptr) == 0 &&
            readValue(&slot, field);
  }
};

template <class T>
bool readVector(avro_value_t* source, std::vector<T>& field) {
  std::size_t count = 0;
  if (avro_value_get_size(source, &count) != 0) return false;
  field.clear();
  for (std::size_t index = 0; index < count; ++index) {
    avro_value_t slot;
    if (avro_value_get_by_index(source, index, &slot, nullptr) != 0) return false;
    if (!readValue(&slot, field.emplace_back())) return false;
  }
  return true;
}

template <class T>
bool readValue(avro_value_t* source, T& field) {
  if constexpr (kIsTagged<T>) return readValue(source, field.value);
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
    return readVector(source, field);
  } else {
    AvroReader reader{source};
    T::visit(field, reader);
    return reader.valid;
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
  return readValue(value, message.emplace<Index>());
}

template <std::size_t... Indexes>
bool decodeKind(std::size_t kind, avro_value_t* value, Message& message,
                std::index_sequence<Indexes...>) {
  using Decoder = bool (*)(avro_value_t*, Message&);
  constexpr std::array<Decoder, kKinds> kDecoders{&decodeInto<Indexes>...};
  return kDecoders[kind](value, message);
}

template <std::size_t... Indexes>
bool bodyFitsKind(std::size_t kind, std::span<const char> body, std::index_sequence<Indexes...>) {
  using Check = bool (*)(std::span<const char>);
  constexpr std::array<Check, kKinds> kChecks{
      &bodyFits<std::variant_alternative_t<Indexes, Message>>...};
  return kChecks[kind](body);
}

struct AvroType {
  avro_schema_t schema = nullptr;
  avro_value_iface_t* valueInterface = nullptr;
};

std::array<AvroType, kKinds> makeAvroTypes() {
  auto schemas = allSchemas(std::make_index_sequence<kKinds>{});
  std::array<AvroType, kKinds> types;
  for (std::size_t index = 0; index < kKinds; ++index) {
    avro_schema_from_json_length(schemas[index].data(), schemas[index].size(),
                                 &types[index].schema);
    types[index].valueInterface = avro_generic_class_from_schema(types[index].schema);
  }
  return types;
}

const AvroType& avroTypeOf(std::size_t kind) {
  static const std::array<AvroType, kKinds> kTypes = makeAvroTypes();
  return kTypes[kind];
}

struct AvroValue {
  avro_value_t value{};
  explicit AvroValue(std::size_t kind) {
    avro_generic_value_new(avroTypeOf(kind).valueInterface, &value);
  }
  ~AvroValue() { avro_value_decref(&value); }
  AvroValue(const AvroValue&) = delete;
  AvroValue& operator=(const AvroValue&) = delete;
};

template <class T>
void appendBigEndian(std::string& out, T number) {
  for (std::size_t shift = sizeof(T); shift-- > 0;)
    out.push_back(static_cast<char>((number >> (8 * shift)) & 0xff));
}

template <class T>
T readBigEndian(std::span<const char> bytes, std::size_t offset) {
  T number = 0;
  for (std::size_t index = 0; index < sizeof(T); ++index)
    number = static_cast<T>((number << 8) | static_cast<unsigned char>(bytes[offset + index]));
  return number;
}

struct MessageWriter {
  avro_value_t* value;
  template <class T>
  void operator()(const T& message) const {
    writeValue(value, message);
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
  std::visit(MessageWriter{&value.value}, message);
  std::size_t size = 0;
  avro_value_sizeof(&value.value, &size);
  std::string frame;
  frame.reserve(kFrameHeadBytes + size);
  appendBigEndian(frame, kFrameMagic);
  appendBigEndian(frame, kWireVersion);
  appendBigEndian(frame, static_cast<std::uint16_t>(message.index()));
  appendBigEndian(frame, mark);
  appendBigEndian(frame, static_cast<std::uint32_t>(size));
  appendBigEndian(frame, std::uint32_t{0});
  frame.resize(kFrameHeadBytes + size);
  avro_writer_t writer =
      avro_writer_memory(frame.data() + kFrameHeadBytes, static_cast<std::int64_t>(size));
  avro_value_write(writer, &value.value);
  avro_writer_free(writer);
  std::string checksum;
  appendBigEndian(checksum, XXH32(frame.data() + kFrameHeadBytes, size, 0));
  frame.replace(kFrameHeadBytes - checksum.size(), checksum.size(), checksum);
  return frame;
}

FrameHead readFrameHead(std::uint64_t mark, std::span<const char> bytes) {
  FrameHead head;
  head.kind = readBigEndian<std::uint16_t>(bytes, 6);
  head.length = readBigEndian<std::uint32_t>(bytes, 16);
  head.checksum = readBigEndian<std::uint32_t>(bytes, 20);
  if (readBigEndian<std::uint32_t>(bytes, 0) != kFrameMagic) head.fault = FrameFault::kBadMagic;
  else if (readBigEndian<std::uint16_t>(bytes, 4) != kWireVersion)
    head.fault = FrameFault::kOtherWireVersion;
  else if (readBigEndian<std::uint64_t>(bytes, 8) != mark) head.fault = FrameFault::kOtherFleet;
  else if (head.kind >= kKinds) head.fault = FrameFault::kUnknownKind;
  else if (head.length > kMaxFrameBytes) head.fault = FrameFault::kTooLarge;
  return head;
}

bool bodyMatchesHead(const FrameHead& head, std::span<const char> body) {
  return body.size() == head.length && XXH32(body.data(), body.size(), 0) == head.checksum;
}

absl::StatusOr<Message> decodeBody(std::uint16_t kind, std::span<const char> body) {
  if (kind >= kKinds)
    return absl::InvalidArgumentError(std::string(frameFaultName(FrameFault::kUnknownKind)));
  // The library allocates whatever size a body declares, so bodies are validated first.
  if (!bodyFitsKind(kind, body, std::make_index_sequence<kKinds>{}))
    return absl::DataLossError(std::string(frameFaultName(FrameFault::kBadBody)));
  AvroValue value(kind);
  avro_reader_t reader = avro_reader_memory(body.data(), static_cast<std::int64_t>(body.size()));
  bool good = avro_value_read(reader, &value.value) == 0;
  avro_reader_free(reader);
  Message message;
  if (good) good = decodeKind(kind, &value.value, message, std::make_index_sequence<kKinds>{});
  if (!good) return absl::DataLossError(std::string(frameFaultName(FrameFault::kBadBody)));
  return message;
}

std::string avroSchemaText(std::uint16_t kind) {
  return allSchemas(std::make_index_sequence<kKinds>{})[kind];
}

std::string_view frameFaultName(FrameFault fault) {
  static constexpr std::array<std::string_view, 8> kNames{
      "none",         "bad magic", "other wire version", "other fleet",
      "unknown kind", "too large", "bad body",           "bad sum"};
  return kNames[static_cast<std::size_t>(fault)];
}

std::string_view messageKindName(std::size_t kind) { return kKindNames.at(kind); }

}  // namespace peppergate
