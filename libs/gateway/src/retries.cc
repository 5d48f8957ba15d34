// Limits on the number of attempts of a request.
#include "details/retries.h"

#include <array>

#include "details/attempt.h"
#include "details/containment.h"
#include "details/stop_check.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// An attempt that starts with less time than this before the deadline cannot succeed.
constexpr duration kMinTimeLeft = 20ms;
// Several, because an attempt that was refused did not run, so that sending it again does no harm.
constexpr int kMaxSends = 5;

// Whether the request was sent to as many endpoints as its route allows.
bool IsEndpointLimitReached(gateway_state& state, const call& request) {
  return static_cast<int>(CountedEndpoints(state, request).size()) >= request.route->max_attempts;
}

}  // namespace

std::string_view ToString(retry_verdict value) {
  constexpr std::array<std::string_view, 8> kNames = {
      "granted",    "no_time",        "quarantined", "may_have_run",
      "sends_used", "endpoints_used", "budget_used", "stopping"};
  return kNames.at(static_cast<size_t>(value));
}

bool IsIdempotent(const call& request) {
  return request.route->idempotent || request.route->resumable;
}

retry_verdict MayRetry(gateway_state& state, const call& request, attempt_failure failure,
                       bool pipelined, time_point now) {
  if (request.due - now < kMinTimeLeft) return retry_verdict::kNoTime;
  if (IsQuarantined(state, request)) return retry_verdict::kQuarantined;
  if (request.may_have_run && !IsIdempotent(request)) return retry_verdict::kMayHaveRun;
  const auto in_stop = CheckAgainstStop(state, request, now);
  if (in_stop && in_stop->verdict != stop_verdict::kFits) return retry_verdict::kStopping;
  if (failure == attempt_failure::kNotSent) return retry_verdict::kGranted;
  if (request.sends >= kMaxSends) return retry_verdict::kSendsUsed;
  // The limit does not apply to pipelined requests: one may enter at the same head again, with
  // other engines after it.
  if (!pipelined && IsEndpointLimitReached(state, request)) return retry_verdict::kEndpointsUsed;
  const bool within_budget = MayRepeat(state.budget, request.service, now);
  return within_budget ? retry_verdict::kGranted : retry_verdict::kBudgetUsed;
}

retry_verdict MaySendSuccessor(gateway_state& state, const call& request, attempt_failure reason,
                               time_point now) {
  if (!IsIdempotent(request)) return retry_verdict::kMayHaveRun;
  if (request.sends + 1 >= kMaxSends) return retry_verdict::kSendsUsed;
  return MayRetry(state, request, reason, IsPipelined(*request.open), now);
}

void LogRetryDenied(gateway_state& state, const call& request, retry_verdict reason,
                    time_point now) {
  metrics::Increment(state.metrics.registry, state.metrics.denied_attempts);
  const budget_usage usage = GetUsage(state.budget, request.service, now);
  log::Log(log::level::kInfo, "further attempt denied",
           {{"request", request.incoming.id},
            {"limit", ToString(reason)},
            {"sends", request.sends},
            {"endpoints", CountedEndpoints(state, request).size()},
            {"endpoints_allowed", request.route->max_attempts},
            {"repeats", usage.repeats},
            {"repeats_allowed", usage.allowed},
            {"left_ms", WholeMilliseconds(request.due - now)}});
}

}  // namespace balsambay::gateway
