// Names of refusal and retry reasons, in the order of the enumerators.
#include "admission/reason.h"

#include <algorithm>
#include <array>

namespace balsambay::admission {
namespace {

constexpr std::array<std::string_view, kRefusalReasonCount> kRefusalNames = {
    "bad_request",       "unauthorized",    "unknown_model",   "unknown_service",
    "too_large",         "slow_sender",     "key_conflict",    "duplicate_in_progress",
    "duplicate_unknown", "workspace_limit", "queue_full",      "deadline",
    "no_route",          "uncovered_model", "quarantined",     "ledger_unavailable",
    "retry_budget",      "draining",        "endpoint_failed", "not_ready"};
constexpr std::array<std::string_view, kRetryReasonCount> kRetryNames = {
    "connect_failed", "refused", "stage_lost", "stalled", "reset", "overloaded"};

template <class Enum, size_t N>
std::optional<Enum> Parse(const std::array<std::string_view, N>& names, std::string_view name) {
  const auto it = std::ranges::find(names, name);
  if (it == names.end()) return std::nullopt;
  return static_cast<Enum>(it - names.begin());
}

}  // namespace

std::string_view ToString(refusal_reason reason) {
  return kRefusalNames[static_cast<size_t>(reason)];
}

std::string_view ToString(retry_reason reason) { return kRetryNames[static_cast<size_t>(reason)]; }

std::optional<refusal_reason> ParseRefusalReason(std::string_view name) {
  return Parse<refusal_reason>(kRefusalNames, name);
}

std::optional<retry_reason> ParseRetryReason(std::string_view name) {
  return Parse<retry_reason>(kRetryNames, name);
}

}  // namespace balsambay::admission
