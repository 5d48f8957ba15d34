// Placement of layers on engines. One gateway at a time does it, under a lease in the shared table.
#pragma once

#include "details/state.h"

namespace balsambay::gateway {

// Whether the list of engines is complete enough to plan from: it was last changed `unchanged_for`
// ago. `nothing_held`: no engine holds layers, so all will be placed at once.
bool HasSettled(bool nothing_held, duration unchanged_for, duration lease_held_for);

void StartPlacer(gateway_state& state);

// Hands the lease over, so that another gateway takes over at once.
void StopPlacer(gateway_state& state);

}  // namespace balsambay::gateway
