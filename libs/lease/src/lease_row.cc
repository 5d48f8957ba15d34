// Encoding of lease rows, validation of lease timing, and the rule for a takeover.
#include "lease/lease_row.h"

#include <nlohmann/json.hpp>

namespace balsambay::lease {
namespace {

// Stands for the holder of a row that cannot be decoded. Differs from all daemon ids and from the
// empty holder of a released row.
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
  if (!valid) return Failure(errc::kInvalidArgument, "invalid lease row: " + std::string(value));
  return lease_row{json["holder"].get<std::string>(), json["epoch"].get<uint64_t>(),
                   json["renewal"].get<uint64_t>()};
}

result<void> Validate(const timing& timing) {
  const duration usable = timing.lease_duration - timing.margin;
  if (timing.margin <= duration::zero() || timing.renew_interval + timing.call_timeout >= usable) {
    return Failure(errc::kInvalidArgument,
                   "lease timing: renew interval plus call timeout must be below lease time minus "
                   "a positive margin");
  }
  return Success();
}

void Observe(observation& observed, const table::row* row, time_point now) {
  const uint64_t version = row == nullptr ? 0 : row->version;
  if (observed.known && observed.version == version) return;
  observed = {.known = true, .version = version, .row = {}, .unchanged_since = now};
  if (row == nullptr) return;
  const auto decoded = Decode(row->value);
  observed.row = decoded ? decoded.value() : lease_row{std::string(kUnreadableHolder), 0, 0};
}

time_point TakeoverTime(const observation& observed, const timing& timing) {
  if (!observed.known || observed.row.holder == kUnreadableHolder) return kNever;
  return observed.row.holder.empty() ? observed.unchanged_since
                                     : observed.unchanged_since + timing.lease_duration;
}

}  // namespace balsambay::lease
