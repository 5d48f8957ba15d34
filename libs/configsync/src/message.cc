// JSON encoding of messages. Member names are short, and members with their default value are
// omitted.
#include "configsync/message.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace balsambay::configsync {
namespace {

using nlohmann::json;

// Upper bound of received numbers: an age in milliseconds fits into a duration, and a version can
// be incremented without overflow.
constexpr uint64_t kMaxVersionOrAge = std::numeric_limits<uint64_t>::max() / 4000;

void PutNonZero(json& encoded, const char* name, uint64_t value) {
  if (value != 0) encoded[name] = value;
}

void PutNonEmpty(json& encoded, const char* name, const std::string& value) {
  if (!value.empty()) encoded[name] = value;
}

// Returns the unsigned number `name`, 0 if it is absent. Clears `valid` if it has another type or
// exceeds `max`.
uint64_t NumberAt(const json& encoded, const char* name, uint64_t max, bool& valid) {
  const auto found = encoded.find(name);
  if (found == encoded.end()) return 0;
  valid = valid && found->is_number_unsigned() && found->get<uint64_t>() <= max;
  return valid ? found->get<uint64_t>() : 0;
}

// Returns the string `name`, empty if it is absent. Clears `valid` if it has another type.
std::string TextAt(const json& encoded, const char* name, bool& valid) {
  const auto found = encoded.find(name);
  if (found == encoded.end()) return "";
  valid = valid && found->is_string();
  return valid ? found->get<std::string>() : "";
}

}  // namespace

json ToJson(const message& message) {
  json encoded = {{"t", kMessageType}, {"k", static_cast<uint64_t>(message.kind)}};
  PutNonZero(encoded, "v", message.version);
  PutNonZero(encoded, "a", message.age_ms);
  PutNonZero(encoded, "h", message.base_version);
  PutNonZero(encoded, "o", message.offset);
  PutNonZero(encoded, "n", message.total_bytes);
  PutNonZero(encoded, "x", static_cast<uint64_t>(message.transfer));
  PutNonEmpty(encoded, "d", message.digest);
  PutNonEmpty(encoded, "b", message.data);
  return encoded;
}

result<message> MessageFromJson(const json& json) {
  bool valid = json.is_object() && json.value("t", nlohmann::json()) == kMessageType;
  if (!valid) return Failure(errc::kInvalidArgument, "not a configuration message");
  message decoded;
  decoded.kind = static_cast<message_kind>(
      NumberAt(json, "k", static_cast<uint64_t>(message_kind::kChunk), valid));
  decoded.version = NumberAt(json, "v", kMaxVersionOrAge, valid);
  decoded.age_ms = NumberAt(json, "a", kMaxVersionOrAge, valid);
  decoded.base_version = NumberAt(json, "h", kMaxVersionOrAge, valid);
  decoded.offset = NumberAt(json, "o", kMaxVersionOrAge, valid);
  decoded.total_bytes = NumberAt(json, "n", kMaxVersionOrAge, valid);
  decoded.transfer = static_cast<transfer_kind>(
      NumberAt(json, "x", static_cast<uint64_t>(transfer_kind::kSnapshot), valid));
  decoded.digest = TextAt(json, "d", valid);
  decoded.data = TextAt(json, "b", valid);
  if (!valid) return Failure(errc::kInvalidArgument, "malformed configuration message");
  return decoded;
}

}  // namespace balsambay::configsync
