// Connects the quarantine of crash-causing requests.
#pragma once

#include "details/dispatch.h"
#include "details/state.h"

namespace balsambay::router {

void OnRunStarted(router_state& state, const request& item);
void OnRunFailed(router_state& state, const request& item, const attempt_error& error);

}  // namespace balsambay::router
