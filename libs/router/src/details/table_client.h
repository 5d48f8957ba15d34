// Calls to the platform's table service.
#pragma once

#include <functional>

#include "details/state.h"
#include "lease/table_call.h"

namespace balsambay::router {

// Sends the call and invokes `done` once with its outcome. Anything but a valid reply is reported
// as unknown_outcome, because a request that was sent can take effect later.
void SendTableCall(router_state& state, const lease::table_call& call,
                   std::function<void(const lease::table_outcome&)> done);

}  // namespace balsambay::router
