// JSON form of messages. Field names are short and fields with default values are omitted, because
// field names make up most bytes of the membership traffic of a zone.
#include "membership/message.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace balsambay::membership {
namespace {

using nlohmann::json;

constexpr size_t kMaxStringBytes = 512;
constexpr size_t kMaxListSize = 4096;  // entries of one list

json ToJson(const member_update& update) {
  return json::array(
      {update.id, update.address, update.incarnation, static_cast<uint64_t>(update.status)});
}

json ToJson(const fact& fact) {
  return json::array({fact.origin, fact.key, fact.value, fact.version, fact.urgent ? 1 : 0});
}

template <class T>
json ListToJson(const std::vector<T>& entries) {
  json list = json::array();
  for (const T& entry : entries) list.push_back(ToJson(entry));
  return list;
}

// Adds a field unless it is empty.
void PutString(json& object, const char* name, const std::string& value) {
  if (!value.empty()) object[name] = value;
}

// Adds a field unless it is 0.
void PutNumber(json& object, const char* name, uint64_t value) {
  if (value != 0) object[name] = value;
}

// The following functions parse values. On an invalid value they set `ok` to false; from then on
// they return defaults.
std::string ParseString(const json& value, bool& ok) {
  ok = ok && value.is_string() && value.get_ref<const std::string&>().size() <= kMaxStringBytes;
  return ok ? value.get<std::string>() : "";
}

uint64_t ParseNumber(const json& value, uint64_t max, bool& ok) {
  ok = ok && value.is_number_unsigned() && value.get<uint64_t>() <= max;
  return ok ? value.get<uint64_t>() : 0;
}

constexpr uint64_t kMaxNumber = std::numeric_limits<uint64_t>::max();
// Maximum of received counters such as incarnations and versions. Incrementing them cannot
// overflow.
constexpr uint64_t kMaxCounter = kMaxNumber / 2;

member_status ParseStatus(const json& value, bool& ok) {
  return static_cast<member_status>(
      ParseNumber(value, static_cast<uint64_t>(member_status::kLeft), ok));
}

std::string StringAt(const json& object, const char* name, bool& ok) {
  const auto found = object.find(name);
  return found == object.end() ? "" : ParseString(*found, ok);
}

uint64_t NumberAt(const json& object, const char* name, uint64_t max, bool& ok) {
  const auto found = object.find(name);
  return found == object.end() ? 0 : ParseNumber(*found, max, ok);
}

bool IsArrayOfSize(const json& value, size_t size) {
  return value.is_array() && value.size() == size;
}

void Parse(const json& array, member_update& update, bool& ok) {
  ok = ok && IsArrayOfSize(array, 4);
  if (!ok) return;
  update.id = ParseString(array[0], ok);
  update.address = ParseString(array[1], ok);
  update.incarnation = ParseNumber(array[2], kMaxCounter, ok);
  update.status = ParseStatus(array[3], ok);
}

void Parse(const json& array, fact& fact, bool& ok) {
  ok = ok && IsArrayOfSize(array, 5);
  if (!ok) return;
  fact.origin = ParseString(array[0], ok);
  fact.key = ParseString(array[1], ok);
  fact.value = ParseString(array[2], ok);
  fact.version = ParseNumber(array[3], kMaxCounter, ok);
  fact.urgent = ParseNumber(array[4], 1, ok) == 1;
}

template <class T>
std::vector<T> ListAt(const json& object, const char* name, bool& ok) {
  std::vector<T> list;
  const auto found = object.find(name);
  if (found == object.end()) return list;
  ok = ok && found->is_array() && found->size() <= kMaxListSize;
  if (!ok) return list;
  for (const json& entry : *found) Parse(entry, list.emplace_back(), ok);
  return list;
}

void ParseConfigVersion(const json& object, message& message, bool& ok) {
  const auto found = object.find("c");
  if (found == object.end()) return;
  ok = ok && IsArrayOfSize(*found, 2);
  if (!ok) return;
  message.config_version = ParseNumber((*found)[0], kMaxCounter, ok);
  // The limit of the age is lower, because the receiver converts it to microseconds.
  message.config_age_ms = ParseNumber((*found)[1], kMaxCounter / 1000, ok);
}

}  // namespace

json ToJson(const message& message) {
  json object = {{"t", kMessageType},           {"k", static_cast<uint64_t>(message.kind)},
                 {"z", message.zone},           {"i", message.sender_id},
                 {"a", message.sender_address}, {"n", message.incarnation}};
  if (message.status != member_status::kAlive) object["s"] = static_cast<uint64_t>(message.status);
  PutNumber(object, "q", message.sequence);
  PutString(object, "g", message.target);
  PutString(object, "h", message.target_address);
  PutNumber(object, "d", message.digest);
  if (message.config_version != 0) {
    object["c"] = json::array({message.config_version, message.config_age_ms});
  }
  if (!message.updates.empty()) object["u"] = ListToJson(message.updates);
  if (!message.facts.empty()) object["f"] = ListToJson(message.facts);
  return object;
}

result<message> MessageFromJson(const json& json) {
  bool ok = json.is_object() && json.value("t", nlohmann::json()) == kMessageType;
  if (!ok) return Failure(errc::kInvalidArgument, "not a membership message");
  message message;
  message.kind = static_cast<message_kind>(
      NumberAt(json, "k", static_cast<uint64_t>(message_kind::kSyncReply), ok));
  message.zone = StringAt(json, "z", ok);
  message.sender_id = StringAt(json, "i", ok);
  message.sender_address = StringAt(json, "a", ok);
  message.incarnation = NumberAt(json, "n", kMaxCounter, ok);
  if (json.contains("s")) message.status = ParseStatus(json["s"], ok);
  message.sequence = NumberAt(json, "q", kMaxNumber, ok);
  message.target = StringAt(json, "g", ok);
  message.target_address = StringAt(json, "h", ok);
  message.digest = NumberAt(json, "d", kMaxNumber, ok);
  ParseConfigVersion(json, message, ok);
  message.updates = ListAt<member_update>(json, "u", ok);
  message.facts = ListAt<fact>(json, "f", ok);
  if (!ok || message.sender_id.empty()) {
    return Failure(errc::kInvalidArgument, "malformed membership message");
  }
  return message;
}

}  // namespace balsambay::membership
