// JSON form of messages: short names and no defaults, because most bytes of a zone's membership
// traffic are names.
#include "membership/message.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace balsambay::membership {
namespace {

using nlohmann::json;

constexpr size_t kMaxTextBytes = 512;
constexpr size_t kMaxListItems = 4096;

json ToJson(const member_update& update) {
  return json::array(
      {update.id, update.address, update.incarnation, static_cast<uint64_t>(update.status)});
}

json ToJson(const fact& item) {
  return json::array({item.origin, item.key, item.value, item.version, item.urgent ? 1 : 0});
}

template <class T>
json ListToJson(const std::vector<T>& items) {
  json out = json::array();
  for (const T& item : items) out.push_back(ToJson(item));
  return out;
}

void PutText(json& out, const char* name, const std::string& value) {
  if (!value.empty()) out[name] = value;
}

void PutNumber(json& out, const char* name, uint64_t value) {
  if (value != 0) out[name] = value;
}

// Readers set `ok` to false on the first wrong value and then return defaults.
std::string Text(const json& value, bool& ok) {
  ok = ok && value.is_string() && value.get_ref<const std::string&>().size() <= kMaxTextBytes;
  return ok ? value.get<std::string>() : "";
}

uint64_t Number(const json& value, uint64_t max, bool& ok) {
  ok = ok && value.is_number_unsigned() && value.get<uint64_t>() <= max;
  return ok ? value.get<uint64_t>() : 0;
}

constexpr uint64_t kAny = std::numeric_limits<uint64_t>::max();
// Leaves room for increments of incarnations and fact versions that come from outside.
constexpr uint64_t kMaxCounter = kAny / 2;

member_status Status(const json& value, bool& ok) {
  return static_cast<member_status>(Number(value, static_cast<uint64_t>(member_status::kLeft), ok));
}

std::string TextAt(const json& in, const char* name, bool& ok) {
  const auto found = in.find(name);
  return found == in.end() ? "" : Text(*found, ok);
}

uint64_t NumberAt(const json& in, const char* name, uint64_t max, bool& ok) {
  const auto found = in.find(name);
  return found == in.end() ? 0 : Number(*found, max, ok);
}

bool IsArrayOf(const json& value, size_t size) { return value.is_array() && value.size() == size; }

void Read(const json& in, member_update& out, bool& ok) {
  ok = ok && IsArrayOf(in, 4);
  if (!ok) return;
  out.id = Text(in[0], ok);
  out.address = Text(in[1], ok);
  out.incarnation = Number(in[2], kMaxCounter, ok);
  out.status = Status(in[3], ok);
}

void Read(const json& in, fact& out, bool& ok) {
  ok = ok && IsArrayOf(in, 5);
  if (!ok) return;
  out.origin = Text(in[0], ok);
  out.key = Text(in[1], ok);
  out.value = Text(in[2], ok);
  out.version = Number(in[3], kMaxCounter, ok);
  out.urgent = Number(in[4], 1, ok) == 1;
}

template <class T>
std::vector<T> ListAt(const json& in, const char* name, bool& ok) {
  std::vector<T> out;
  const auto found = in.find(name);
  if (found == in.end()) return out;
  ok = ok && found->is_array() && found->size() <= kMaxListItems;
  if (!ok) return out;
  for (const json& item : *found) Read(item, out.emplace_back(), ok);
  return out;
}

void ReadConfig(const json& in, message& out, bool& ok) {
  const auto found = in.find("c");
  if (found == in.end()) return;
  ok = ok && IsArrayOf(*found, 2);
  if (!ok) return;
  out.config_version = Number((*found)[0], kMaxCounter, ok);
  out.config_age_ms = Number((*found)[1], kMaxCounter / 1000, ok);
}

}  // namespace

json ToJson(const message& message) {
  json out = {{"t", kMessageType},           {"k", static_cast<uint64_t>(message.kind)},
              {"z", message.zone},           {"i", message.sender_id},
              {"a", message.sender_address}, {"n", message.incarnation}};
  if (message.status != member_status::kAlive) out["s"] = static_cast<uint64_t>(message.status);
  PutNumber(out, "q", message.sequence);
  PutText(out, "g", message.target);
  PutText(out, "h", message.target_address);
  PutNumber(out, "d", message.digest);
  if (message.config_version != 0) {
    out["c"] = json::array({message.config_version, message.config_age_ms});
  }
  if (!message.updates.empty()) out["u"] = ListToJson(message.updates);
  if (!message.facts.empty()) out["f"] = ListToJson(message.facts);
  return out;
}

result<message> MessageFromJson(const json& json) {
  bool ok = json.is_object() && json.value("t", nlohmann::json()) == kMessageType;
  if (!ok) return Failure(errc::kInvalidArgument, "not a membership message");
  message out;
  out.kind = static_cast<message_kind>(
      NumberAt(json, "k", static_cast<uint64_t>(message_kind::kSyncReply), ok));
  out.zone = TextAt(json, "z", ok);
  out.sender_id = TextAt(json, "i", ok);
  out.sender_address = TextAt(json, "a", ok);
  out.incarnation = NumberAt(json, "n", kMaxCounter, ok);
  if (json.contains("s")) out.status = Status(json["s"], ok);
  out.sequence = NumberAt(json, "q", kAny, ok);
  out.target = TextAt(json, "g", ok);
  out.target_address = TextAt(json, "h", ok);
  out.digest = NumberAt(json, "d", kAny, ok);
  ReadConfig(json, out, ok);
  out.updates = ListAt<member_update>(json, "u", ok);
  out.facts = ListAt<fact>(json, "f", ok);
  if (!ok || out.sender_id.empty()) {
    return Failure(errc::kInvalidArgument, "malformed membership message");
  }
  return out;
}

}  // namespace balsambay::membership
