#pragma once
// Converts any struct with a `visit` function to JSON and back; used for files and status pages.
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "core/types.h"

namespace peppergate {

using Json = nlohmann::json;

template <class T>
inline constexpr bool kIsVector = false;
template <class T>
inline constexpr bool kIsVector<std::vector<T>> = true;
template <class T>
inline constexpr bool kIsTagged = false;
template <class Tag, class R>
inline constexpr bool kIsTagged<Tagged<Tag, R>> = true;

template <class T>
Json toJson(const T& value);
template <class T>
void fromJson(const Json& json, T& value);

struct JsonWriter {
  Json& object;
  template <class T>
  void operator()(const char* name, const T& field) {
    object[name] = toJson(field);
  }
};

struct JsonReader {
  const Json& object;
  template <class T>
  void operator()(const char* name, T& field) {
    fromJson(object.at(name), field);
  }
};

/// Converts a value to JSON: `toJson(SectionVersion{{1},{2}})["epoch"] == 1`.
template <class T>
Json toJson(const T& value) {
  if constexpr (kIsTagged<T>) return value.value;
  else if constexpr (std::is_same_v<T, Duration>) return value.microseconds;
  else if constexpr (std::is_same_v<T, MonotonicTime>) return value.microseconds;
  else if constexpr (std::is_enum_v<T>) return static_cast<int>(value);
  else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) return value;
  else if constexpr (kIsVector<T>) {
    Json array = Json::array();
    for (const auto& element : value) array.push_back(toJson(element));
    return array;
  } else {
    Json object = Json::object();
    JsonWriter writer{object};
    T::visit(value, writer);
    return object;
  }
}

/// Converts JSON to a value; throws nlohmann's typed exceptions on a missing field or wrong type.
/// Example: `fromJson(Json::parse("{\"epoch\":1,\"sequence\":2}"), version);`
template <class T>
void fromJson(const Json& json, T& value) {
  if constexpr (kIsTagged<T>) json.get_to(value.value);
  else if constexpr (std::is_same_v<T, Duration>) json.get_to(value.microseconds);
  else if constexpr (std::is_same_v<T, MonotonicTime>) json.get_to(value.microseconds);
  else if constexpr (std::is_enum_v<T>) value = static_cast<T>(json.get<int>());
  else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) json.get_to(value);
  else if constexpr (kIsVector<T>) {
    value.clear();
    for (const auto& element : json) fromJson(element, value.emplace_back());
  } else {
    JsonReader reader{json};
    T::visit(value, reader);
  }
}

}  // namespace peppergate
