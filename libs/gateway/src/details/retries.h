// Whether a request may be sent once more: time, containment, at most once, and the limits of the
// route and of the shared budget.
#pragma once

#include <string_view>

#include "details/state.h"

namespace balsambay::gateway {

// A refusal counts against an endpoint for this long; by then the platform's list or a report tells
// why. A successor or an order that was refused is followed by another one after this time.
inline constexpr duration kRefusalHold = std::chrono::milliseconds(700);

// If not granted, the limit that forbids it.
enum class permission : uint8_t {
  kGranted,
  kNoTime,
  kQuarantined,
  kMayHaveRun,
  kSendsUsed,
  kEndpointsUsed,
  kBudgetUsed,
};

std::string_view ToString(permission item);

bool IsIdempotent(const call& item);

// Whether another attempt may be sent after one that ended with `failure`.
permission MayTryAgain(gateway_state& state, const call& item, attempt_failure failure,
                       bool pipelined, time_point now);

// Whether a successor of the open attempt may be sent for the reason `why`. Leaves a send for the
// time after the open attempt has ended.
permission MayReplace(gateway_state& state, const call& item, attempt_failure why, time_point now);

// The inputs of the decision, for a request that ends because of it.
void LogDenied(gateway_state& state, const call& item, permission why, time_point now);

}  // namespace balsambay::gateway
