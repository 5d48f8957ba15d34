// Placement of layers on engines by one gateway at a time, the holder of a lease in the shared
// table. To be used on the main loop only.
#pragma once

#include "details/state.h"

namespace balsambay::gateway {

// Whether the list of endpoints is complete enough for planning. `nothing_held`: no engine holds
// layers, so all layers are placed at once. `unchanged_for`: time since the last change of the list
// or of an endpoint's state. `lease_held_for`: time since this gateway acquired the lease.
bool HasSettled(bool nothing_held, duration unchanged_for, duration lease_held_for);

// Starts to compete for the lease and to place layers while holding it. Call once.
void StartPlacer(gateway_state& state);

// Gives the lease up, because it was acquired at the former address of the store, and competes for
// it at the new one.
void RestartLease(gateway_state& state);

// Releases the lease, so that another gateway can acquire it at once.
void StopPlacer(gateway_state& state);

}  // namespace balsambay::gateway
