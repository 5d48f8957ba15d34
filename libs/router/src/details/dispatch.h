// Starts attempts and handles their events.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Starts the next attempt. Precondition: phase kReady.
void Dispatch(router_state& state, const request_ptr& item);

// Closes the attempt and retries or gives up. `endpoint` names the one to avoid, empty when not
// known.
void HandleAttemptFailure(router_state& state, const request_ptr& item, uint32_t attempt,
                          attempts::attempt_failure failure, std::string_view retry_reason,
                          std::string_view endpoint, std::string_view detail);

// Counts the attempt on the endpoints of its route; `delta` is 1 or -1.
void CountInFlight(router_state& state, const request& item, int delta);

}  // namespace balsambay::router
