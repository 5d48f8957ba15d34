// Decides whether a request may be sent again. Checks the time left before its deadline, the
// quarantine, the end of a stop, that a non-idempotent request runs at most once, the limits of the
// route and the shared repeat budget.
#pragma once

#include <string_view>

#include "details/state.h"

namespace balsambay::gateway {

// An engine that has refused a request is not chosen for this long; by then the platform's list or
// a report of the engine gives the reason. Also the time after which a refused successor or reroute
// order is followed by another one.
inline constexpr duration kRefusalBackoff = std::chrono::milliseconds(700);

// Result of the decision: kGranted, or the limit that forbids the send.
enum class retry_verdict : uint8_t {
  kGranted,
  kNoTime,
  kQuarantined,
  kMayHaveRun,  // an earlier attempt may have run, and the request is not idempotent
  kSendsUsed,
  kEndpointsUsed,
  kBudgetUsed,
  kStopping,  // the gateway ends before another attempt could
};

// Name in log lines.
std::string_view ToString(retry_verdict value);

// Whether the request may run more than once, or can be continued after its last event.
bool IsIdempotent(const call& request);

// Whether another attempt may be sent after one that ended with `failure`.
retry_verdict MayRetry(gateway_state& state, const call& request, attempt_failure failure,
                       bool pipelined, time_point now);

// Whether a successor of the open attempt may be sent. Keeps one send in reserve for a retry after
// the open attempt has ended.
retry_verdict MaySendSuccessor(gateway_state& state, const call& request, attempt_failure reason,
                               time_point now);

// Logs the inputs of the decision. Call for a request that ends because it may not be sent again.
void LogRetryDenied(gateway_state& state, const call& request, retry_verdict reason,
                    time_point now);

}  // namespace balsambay::gateway
