// Placement of layers on engines. One gateway at a time does it, under a lease in the shared table.
#pragma once

#include "details/state.h"

namespace balsambay::gateway {

void StartPlacer(gateway_state& state);

// Hands the lease over, so that another gateway takes over at once.
void StopPlacer(gateway_state& state);

}  // namespace balsambay::gateway
