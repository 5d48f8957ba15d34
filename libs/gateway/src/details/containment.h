// Requests that crash the endpoints that run them.
#pragma once

#include "details/state.h"

namespace balsambay::gateway {

// The same for each call with the same caller, path and body, whatever its id and host.
quarantine::fingerprint FingerprintOf(const call& item);

// Tells of each request that is on the endpoint, before it moves elsewhere.
void NoteLost(gateway_state& state, const endpoint& item);

}  // namespace balsambay::gateway
