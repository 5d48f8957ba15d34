// Wire form of lease rows and the observer's rule for a takeover.
#include "lease/lease_row.h"

#include <nlohmann/json.hpp>

namespace balsambay::lease {
namespace {

// Holder of rows that cannot be read: never equal to a daemon's id, and not "released".
constexpr std::string_view kUnreadableHolder = "(unreadable)";

bool IsCounter(const nlohmann::json& json, const char* member) {
  const auto it = json.find(member);
  return it != json.end() && it->is_number_unsigned();
}

}  // namespace

std::string Encode(const lease_row& row) {
  return nlohmann::json{{"holder", row.holder}, {"epoch", row.epoch}, {"renewal", row.renewal}}
      .dump();
}

result<lease_row> Decode(std::string_view value) {
  const auto json = nlohmann::json::parse(value, nullptr, false);
  const bool valid = json.is_object() && json.contains("holder") && json["holder"].is_string() &&
                     IsCounter(json, "epoch") && IsCounter(json, "renewal");
  if (!valid) return Failure(errc::kInvalidArgument, "not a lease row: " + std::string(value));
  return lease_row{json["holder"].get<std::string>(), json["epoch"].get<uint64_t>(),
                   json["renewal"].get<uint64_t>()};
}

result<void> Validate(const timing& timing) {
  const duration usable = timing.lease_time - timing.margin;
  if (timing.margin <= duration::zero() || timing.renew_interval + timing.call_timeout >= usable) {
    return Failure(errc::kInvalidArgument,
                   "renew interval plus call timeout must be below lease time minus margin");
  }
  return Success();
}

void Observe(observation& seen, const table::row* row, time_point now) {
  const uint64_t version = row == nullptr ? 0 : row->version;
  if (seen.known && seen.version == version) return;
  seen = {.known = true, .version = version, .row = {}, .since = now};
  if (row == nullptr) return;
  const auto decoded = Decode(row->value);
  seen.row = decoded ? decoded.value() : lease_row{std::string(kUnreadableHolder), 0, 0};
}

time_point TakeoverTime(const observation& seen, const timing& timing) {
  if (!seen.known || seen.row.holder == kUnreadableHolder) return kNever;
  return seen.row.holder.empty() ? seen.since : seen.since + timing.lease_time;
}

}  // namespace balsambay::lease
