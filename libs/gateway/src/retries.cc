// Limits of further attempts.
#include "details/retries.h"

#include <array>

#include "details/attempt.h"
#include "details/containment.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// A further attempt that would begin later than this before the deadline cannot succeed.
constexpr duration kLeastTimeLeft = 20ms;
// Refusals are proofs that nothing ran, so a request may meet a few.
constexpr int kMaxSends = 5;

bool HasReachedAll(gateway_state& state, const call& item) {
  return static_cast<int>(CountedEndpoints(state, item).size()) >= item.route->max_attempts;
}

}  // namespace

std::string_view ToString(permission item) {
  constexpr std::array<std::string_view, 7> kNames = {
      "granted",    "no_time",        "quarantined", "may_have_run",
      "sends_used", "endpoints_used", "budget_used"};
  return kNames.at(static_cast<size_t>(item));
}

bool IsIdempotent(const call& item) { return item.route->idempotent || item.route->resumable; }

permission MayTryAgain(gateway_state& state, const call& item, attempt_failure failure,
                       bool pipelined, time_point now) {
  if (item.due - now < kLeastTimeLeft) return permission::kNoTime;
  if (IsQuarantined(state, item)) return permission::kQuarantined;
  if (item.may_have_run && !IsIdempotent(item)) return permission::kMayHaveRun;
  if (failure == attempt_failure::kNotSent) return permission::kGranted;
  if (item.sends >= kMaxSends) return permission::kSendsUsed;
  // A pipelined request may go through a head again with other engines behind it.
  if (!pipelined && HasReachedAll(state, item)) return permission::kEndpointsUsed;
  const bool within = MayRepeat(state.budget, item.service, now);
  return within ? permission::kGranted : permission::kBudgetUsed;
}

permission MayReplace(gateway_state& state, const call& item, attempt_failure why, time_point now) {
  if (!IsIdempotent(item)) return permission::kMayHaveRun;
  if (item.sends + 1 >= kMaxSends) return permission::kSendsUsed;
  return MayTryAgain(state, item, why, IsPipelined(*item.open), now);
}

void LogDenied(gateway_state& state, const call& item, permission why, time_point now) {
  metrics::Increment(state.metrics.registry, state.metrics.denied);
  const budget_use used = UseOf(state.budget, item.service, now);
  log::Log(log::level::kInfo, "further attempt denied",
           {{"request", item.incoming.id},
            {"limit", ToString(why)},
            {"sends", item.sends},
            {"endpoints", CountedEndpoints(state, item).size()},
            {"endpoints_allowed", item.route->max_attempts},
            {"repeats", used.repeats},
            {"repeats_allowed", used.allowed},
            {"left_ms", WholeMilliseconds(item.due - now)}});
}

}  // namespace balsambay::gateway
