// JSON form of messages, with short names and without defaults.
#include "configsync/message.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace balsambay::configsync {
namespace {

using nlohmann::json;

// Bounds on values from outside: ages fit into a duration, versions can be incremented.
constexpr uint64_t kMaxNumber = std::numeric_limits<uint64_t>::max() / 4000;

void PutNumber(json& out, const char* name, uint64_t value) {
  if (value != 0) out[name] = value;
}

void PutText(json& out, const char* name, const std::string& value) {
  if (!value.empty()) out[name] = value;
}

uint64_t NumberAt(const json& in, const char* name, uint64_t max, bool& ok) {
  const auto found = in.find(name);
  if (found == in.end()) return 0;
  ok = ok && found->is_number_unsigned() && found->get<uint64_t>() <= max;
  return ok ? found->get<uint64_t>() : 0;
}

std::string TextAt(const json& in, const char* name, bool& ok) {
  const auto found = in.find(name);
  if (found == in.end()) return "";
  ok = ok && found->is_string();
  return ok ? found->get<std::string>() : "";
}

}  // namespace

json ToJson(const message& message) {
  json out = {{"t", kMessageType}, {"k", static_cast<uint64_t>(message.kind)}};
  PutNumber(out, "v", message.version);
  PutNumber(out, "a", message.age_ms);
  PutNumber(out, "h", message.have);
  PutNumber(out, "o", message.offset);
  PutNumber(out, "n", message.total);
  PutNumber(out, "x", static_cast<uint64_t>(message.transfer));
  PutText(out, "d", message.digest);
  PutText(out, "b", message.data);
  return out;
}

result<message> MessageFromJson(const json& json) {
  bool ok = json.is_object() && json.value("t", nlohmann::json()) == kMessageType;
  if (!ok) return Failure(errc::kInvalidArgument, "not a configuration message");
  message out;
  out.kind = static_cast<message_kind>(
      NumberAt(json, "k", static_cast<uint64_t>(message_kind::kPart), ok));
  out.version = NumberAt(json, "v", kMaxNumber, ok);
  out.age_ms = NumberAt(json, "a", kMaxNumber, ok);
  out.have = NumberAt(json, "h", kMaxNumber, ok);
  out.offset = NumberAt(json, "o", kMaxNumber, ok);
  out.total = NumberAt(json, "n", kMaxNumber, ok);
  out.transfer = static_cast<transfer_kind>(
      NumberAt(json, "x", static_cast<uint64_t>(transfer_kind::kSnapshot), ok));
  out.digest = TextAt(json, "d", ok);
  out.data = TextAt(json, "b", ok);
  if (!ok) return Failure(errc::kInvalidArgument, "malformed configuration message");
  return out;
}

}  // namespace balsambay::configsync
