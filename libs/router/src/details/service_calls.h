// Calls to service endpoints.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Starts the next attempt of a service request.
void DispatchServiceCall(router_state& state, const request_ptr& request);

}  // namespace balsambay::router
