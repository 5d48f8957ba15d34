// Applies the decision of stopping.h to the requests of a gateway, and learns from completed ones.
#pragma once

#include <optional>

#include "details/state.h"

namespace balsambay::gateway {

// Call when a request has been answered completely and successfully.
void RecordDuration(gateway_state& state, const call& request, time_point now);

// Forgets the routes that the configuration does not contain.
void ForgetOtherRoutes(gateway_state& state);

// Whether a new attempt of the request can end before the gateway does; nullopt: the gateway does
// not stop, or the reply has begun and can no longer be refused.
std::optional<stop_decision> CheckAgainstStop(const gateway_state& state, const call& request,
                                              time_point now);

// Logs the decision with its inputs, and counts a refusal.
void RecordStopDecision(gateway_state& state, const call& request, const stop_decision& decision,
                        time_point now);

}  // namespace balsambay::gateway
