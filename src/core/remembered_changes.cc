#include "core/remembered_changes.h"

#include <algorithm>

namespace peppergate {
namespace {

std::string jsonString(const std::string& text) {
  return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// One record as text: change id, version and configuration version, separated by spaces.
std::string recordText(const RememberedChange& change) {
  return change.id + " " + std::to_string(change.version.epoch.value) + "." +
         std::to_string(change.version.sequence.value) + " " +
         std::to_string(change.configVersion.value);
}

RememberedChange parseRecord(const Json& entry) {
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
  change.configVersion = {std::strtoull(text.c_str() + number + 1, nullptr, 10)};
  return change;
}

}  // namespace

void RememberedChanges::Block::add(const RememberedChange& change) {
  versions.emplace(change.id, change.version);
  if (!text.empty()) text += ',';
  text += jsonString(recordText(change));
  highest.version = std::max(highest.version, change.version);
  highest.configVersion = std::max(highest.configVersion, change.configVersion);
}

const SectionVersion* RememberedChanges::find(const std::string& id) const {
  if (auto found = newestBlock_.versions.find(id); found != newestBlock_.versions.end())
    return &found->second;
  for (const auto& block : fullBlocks_)
    if (auto found = block->versions.find(id); found != block->versions.end())
      return &found->second;
  return nullptr;
}

std::size_t RememberedChanges::size() const {
  return fullBlocks_.size() * kRecordsPerBlock + newestBlock_.versions.size();
}

void RememberedChanges::add(RememberedChange change, std::size_t limit) {
  newestBlock_.add(change);
  if (newestBlock_.versions.size() >= kRecordsPerBlock)
    fullBlocks_.push_back(std::make_shared<const Block>(std::exchange(newestBlock_, {})));
  while (!fullBlocks_.empty() && size() - kRecordsPerBlock >= limit) {
    const EvictionMarks& evicted = fullBlocks_.front()->highest;
    evictionMarks_.version = std::max(evictionMarks_.version, evicted.version);
    evictionMarks_.configVersion = std::max(evictionMarks_.configVersion, evicted.configVersion);
    fullBlocks_.erase(fullBlocks_.begin());
  }
}

std::string RememberedChanges::recordsText() const {
  std::string text = "[";
  for (const auto& block : fullBlocks_) {
    text += block->text;
    text += ',';
  }
  text += newestBlock_.text;
  if (text.back() == ',') text.pop_back();
  return text + "]";
}

std::string RememberedChanges::evictionMarksText() const {
  return Json{{"config", evictionMarks_.configVersion.value},
              {"version", toJson(evictionMarks_.version)}}
      .dump();
}

RememberedChanges RememberedChanges::parse(const Json& changes, const Json& forgotten) {
  RememberedChanges remembered;
  for (const auto& entry : changes) remembered.add(parseRecord(entry), SIZE_MAX);
  if (forgotten.is_object()) {
    fromJson(forgotten.at("version"), remembered.evictionMarks_.version);
    remembered.evictionMarks_.configVersion = {forgotten.at("config").get<std::uint64_t>()};
  }
  return remembered;
}

}  // namespace peppergate
