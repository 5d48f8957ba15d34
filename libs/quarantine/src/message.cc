// JSON encoding of updates. Peers may run another version or send malformed data, so the decoder
// checks types and bounds of all fields.
#include "quarantine/message.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace balsambay::quarantine {
namespace {

using nlohmann::json;
using std::chrono_literals::operator""h;

// More endpoint instances than any daemon keeps for one fingerprint.
constexpr size_t kMaxInstances = 64;
// Upper bound for the number of engines of one path.
constexpr size_t kMaxEndpoints = 256;
constexpr size_t kMaxIdBytes = 200;
// Longer than any run lasts.
constexpr uint64_t kMaxLostAfterMs = std::chrono::milliseconds(24h).count();

json ToJson(const std::vector<endpoint_instance>& instances) {
  json list = json::array();
  for (const endpoint_instance& instance : instances)
    list.push_back({instance.endpoint, instance.incarnation});
  return list;
}

bool IsId(const json& value) {
  return value.is_string() && value.get_ref<const std::string&>().size() <= kMaxIdBytes;
}

// An absent list is read as an empty one; nullopt for an invalid list. The same holds for
// ReadIds().
std::optional<std::vector<endpoint_instance>> ReadInstances(const json& body, const char* name) {
  const auto found = body.find(name);
  std::vector<endpoint_instance> result;
  if (found == body.end()) return result;
  if (!found->is_array() || found->size() > kMaxInstances) return std::nullopt;
  for (const json& instance : *found) {
    const bool valid = instance.is_array() && instance.size() == 2 && IsId(instance[0]) &&
                       instance[1].is_number_unsigned();
    if (!valid) return std::nullopt;
    result.push_back({instance[0], instance[1]});
  }
  return result;
}

std::optional<std::vector<std::string>> ReadIds(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end()) return std::vector<std::string>();
  const bool valid =
      found->is_array() && found->size() <= kMaxEndpoints && std::ranges::all_of(*found, IsId);
  if (!valid) return std::nullopt;
  return found->get<std::vector<std::string>>();
}

bool IsHash(const json& value) {
  return value.is_number_unsigned() &&
         value.get<uint64_t>() <= std::numeric_limits<uint32_t>::max();
}

// `fallback` if the number is absent or invalid.
uint64_t ReadNumber(const json& body, const char* name, uint64_t fallback) {
  const json value = body.value(name, json());
  return value.is_number_unsigned() ? value.get<uint64_t>() : fallback;
}

}  // namespace

json ToJson(std::span<const feature_source> sources) {
  json list = json::array();
  for (const feature_source& source : sources) list.push_back({source.workspace, source.content});
  return list;
}

std::optional<std::vector<feature_source>> ParseSources(const json& list) {
  if (!list.is_array() || list.size() > kMaxInstances) return std::nullopt;
  std::vector<feature_source> sources;
  for (const json& source : list) {
    const bool valid =
        source.is_array() && source.size() == 2 && IsHash(source[0]) && IsHash(source[1]);
    if (!valid) return std::nullopt;
    sources.push_back({source[0], source[1]});
  }
  return sources;
}

json ToJson(const update& message) {
  json body = {{"high", message.key.high},
               {"low", message.key.low},
               {"claim", static_cast<unsigned>(message.claim)}};
  const auto add_list = [&body](const char* name, const json& list) {
    if (!list.empty()) body[name] = list;
  };
  add_list("losses", ToJson(message.losses));
  add_list("half", ToJson(message.half_losses));
  add_list("cleared", ToJson(message.cleared));
  add_list("endpoints", message.endpoints);
  // The field name differs from the member name: peers of other versions read it.
  if (message.quarantined) body["condemned"] = true;
  const auto lost_after = std::chrono::ceil<std::chrono::milliseconds>(message.lost_after);
  add_list("executing", ToJson(message.executing));
  add_list("sources", ToJson(message.sources));
  if (message.confined) body["confined"] = true;
  if (message.loss_rounds > 0) body["rounds"] = message.loss_rounds;
  if (message.feature_runs > 0) body["runs"] = message.feature_runs;
  if (lost_after.count() > 0) body["lost_after_ms"] = static_cast<uint64_t>(lost_after.count());
  return body;
}

std::optional<update> ParseUpdate(std::string_view daemon, const json& value) {
  if (!value.is_object()) return std::nullopt;
  const bool has_key = value.value("high", json()).is_number_unsigned() &&
                       value.value("low", json()).is_number_unsigned();
  auto losses = ReadInstances(value, "losses");
  auto half_losses = ReadInstances(value, "half");
  auto cleared = ReadInstances(value, "cleared");
  auto executing = ReadInstances(value, "executing");
  auto endpoints = ReadIds(value, "endpoints");
  auto sources = ParseSources(value.value("sources", json::array()));
  constexpr auto kLastClaim = static_cast<uint64_t>(claim_kind::kHolding);
  const uint64_t claim = ReadNumber(value, "claim", kLastClaim + 1);
  if (!has_key || !losses || !half_losses || !cleared || !endpoints || !sources || !executing ||
      claim > kLastClaim) {
    return std::nullopt;
  }
  return update{.daemon = std::string(daemon),
                .key = {value["high"], value["low"]},
                .losses = *std::move(losses),
                .cleared = *std::move(cleared),
                .quarantined = value.value("condemned", json()) == json(true),
                .claim = static_cast<claim_kind>(claim),
                .endpoints = *std::move(endpoints),
                .half_losses = *std::move(half_losses),
                .lost_after = std::chrono::milliseconds(
                    std::min(ReadNumber(value, "lost_after_ms", 0), kMaxLostAfterMs)),
                .sources = *std::move(sources),
                .executing = *std::move(executing),
                .confined = value.value("confined", json()) == json(true),
                .loss_rounds = ReadNumber(value, "rounds", 0),
                .feature_runs = ReadNumber(value, "runs", 0)};
}

}  // namespace balsambay::quarantine
