#include "core/remembered_changes.h"

#include <algorithm>

namespace peppergate {
namespace {

std::string quoted(const std::string& text) {
  return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// One record as text: change id, version and configuration version, separated by spaces.
std::string entryText(const RememberedChange& change) {
  return change.id + " " + std::to_string(change.version.epoch.value) + "." +
         std::to_string(change.version.sequence.value) + " " + std::to_string(change.config.value);
}

RememberedChange readEntry(const Json& entry) {
  RememberedChange change;
  if (entry.is_object()) {  // the format of earlier releases
    change.id = entry.at("id").get<std::string>();
    fromJson(entry.at("version"), change.version);
    return change;
  }
  const std::string text = entry.get<std::string>();
  const auto number = text.rfind(' ');
  const auto version = number == std::string::npos ? number : text.rfind(' ', number - 1);
  const auto dot = version == std::string::npos ? version : text.find('.', version);
  if (dot == std::string::npos)
    throw Json::other_error::create(501, "malformed record of an applied change", nullptr);
  change.id = text.substr(0, version);
  change.version.epoch = {std::strtoull(text.c_str() + version + 1, nullptr, 10)};
  change.version.sequence = {std::strtoull(text.c_str() + dot + 1, nullptr, 10)};
  change.config = {std::strtoull(text.c_str() + number + 1, nullptr, 10)};
  return change;
}

}  // namespace

void RememberedChanges::Block::add(const RememberedChange& change) {
  versions.emplace(change.id, change.version);
  if (!text.empty()) text += ',';
  text += quoted(entryText(change));
  highest.version = std::max(highest.version, change.version);
  highest.config = std::max(highest.config, change.config);
}

const SectionVersion* RememberedChanges::find(const std::string& id) const {
  if (auto found = newest_.versions.find(id); found != newest_.versions.end())
    return &found->second;
  for (const auto& block : full_)
    if (auto found = block->versions.find(id); found != block->versions.end())
      return &found->second;
  return nullptr;
}

std::size_t RememberedChanges::size() const {
  return full_.size() * kBlockSize + newest_.versions.size();
}

void RememberedChanges::add(RememberedChange change, std::size_t limit) {
  newest_.add(change);
  if (newest_.versions.size() >= kBlockSize)
    full_.push_back(std::make_shared<const Block>(std::exchange(newest_, {})));
  while (!full_.empty() && size() - kBlockSize >= limit) {
    const ForgottenChanges& gone = full_.front()->highest;
    forgotten_.version = std::max(forgotten_.version, gone.version);
    forgotten_.config = std::max(forgotten_.config, gone.config);
    full_.erase(full_.begin());
  }
}

std::string RememberedChanges::text() const {
  std::string text = "[";
  for (const auto& block : full_) {
    text += block->text;
    text += ',';
  }
  text += newest_.text;
  if (text.back() == ',') text.pop_back();
  return text + "]";
}

std::string RememberedChanges::forgottenText() const {
  return Json{{"config", forgotten_.config.value}, {"version", toJson(forgotten_.version)}}.dump();
}

RememberedChanges RememberedChanges::read(const Json& changes, const Json& forgotten) {
  RememberedChanges remembered;
  for (const auto& entry : changes) remembered.add(readEntry(entry), SIZE_MAX);
  if (forgotten.is_object()) {
    fromJson(forgotten.at("version"), remembered.forgotten_.version);
    remembered.forgotten_.config = {forgotten.at("config").get<std::uint64_t>()};
  }
  return remembered;
}

}  // namespace peppergate
