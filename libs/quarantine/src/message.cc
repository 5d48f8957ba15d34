// Updates in JSON. Peers may be of another version or send anything.
#include "quarantine/message.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace balsambay::quarantine {
namespace {

using nlohmann::json;
using std::chrono_literals::operator""h;

// More than any daemon keeps of one fingerprint.
constexpr size_t kMaxLives = 64;
// Of the engines of one path.
constexpr size_t kMaxEndpoints = 256;
constexpr size_t kMaxIdBytes = 200;
// Longer than any run goes on.
constexpr uint64_t kMaxLostAfterMs = std::chrono::milliseconds(24h).count();

json Describe(const std::vector<endpoint_life>& lives) {
  json out = json::array();
  for (const endpoint_life& life : lives) out.push_back({life.endpoint, life.incarnation});
  return out;
}

bool IsId(const json& value) {
  return value.is_string() && value.get_ref<const std::string&>().size() <= kMaxIdBytes;
}

// Absent lists are empty.
std::optional<std::vector<endpoint_life>> ReadLives(const json& body, const char* name) {
  const auto found = body.find(name);
  std::vector<endpoint_life> out;
  if (found == body.end()) return out;
  if (!found->is_array() || found->size() > kMaxLives) return std::nullopt;
  for (const json& life : *found) {
    const bool valid =
        life.is_array() && life.size() == 2 && IsId(life[0]) && life[1].is_number_unsigned();
    if (!valid) return std::nullopt;
    out.push_back({life[0], life[1]});
  }
  return out;
}

std::optional<std::vector<std::string>> ReadIds(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end()) return std::vector<std::string>();
  const bool valid =
      found->is_array() && found->size() <= kMaxEndpoints && std::ranges::all_of(*found, IsId);
  if (!valid) return std::nullopt;
  return found->get<std::vector<std::string>>();
}

uint64_t ReadNumber(const json& body, const char* name, uint64_t fallback) {
  const json value = body.value(name, json());
  return value.is_number_unsigned() ? value.get<uint64_t>() : fallback;
}

}  // namespace

json Describe(const update& item) {
  json out = {
      {"high", item.key.high}, {"low", item.key.low}, {"claim", static_cast<unsigned>(item.claim)}};
  const auto put = [&out](const char* name, const json& list) {
    if (!list.empty()) out[name] = list;
  };
  put("losses", Describe(item.losses));
  put("half", Describe(item.half));
  put("cleared", Describe(item.cleared));
  put("endpoints", item.endpoints);
  if (item.condemned) out["condemned"] = true;
  const auto lost_after = std::chrono::ceil<std::chrono::milliseconds>(item.lost_after);
  if (lost_after.count() > 0) out["lost_after_ms"] = static_cast<uint64_t>(lost_after.count());
  return out;
}

std::optional<update> ReadUpdate(std::string_view daemon, const json& value) {
  if (!value.is_object()) return std::nullopt;
  const bool named = value.value("high", json()).is_number_unsigned() &&
                     value.value("low", json()).is_number_unsigned();
  auto losses = ReadLives(value, "losses");
  auto half = ReadLives(value, "half");
  auto cleared = ReadLives(value, "cleared");
  auto endpoints = ReadIds(value, "endpoints");
  constexpr auto kLastClaim = static_cast<uint64_t>(claim_kind::kHolding);
  const uint64_t claim = ReadNumber(value, "claim", kLastClaim + 1);
  if (!named || !losses || !half || !cleared || !endpoints || claim > kLastClaim) {
    return std::nullopt;
  }
  return update{.daemon = std::string(daemon),
                .key = {value["high"], value["low"]},
                .losses = *std::move(losses),
                .cleared = *std::move(cleared),
                .condemned = value.value("condemned", json()) == json(true),
                .claim = static_cast<claim_kind>(claim),
                .endpoints = *std::move(endpoints),
                .half = *std::move(half),
                .lost_after = std::chrono::milliseconds(
                    std::min(ReadNumber(value, "lost_after_ms", 0), kMaxLostAfterMs))};
}

}  // namespace balsambay::quarantine
