// Submits the requests of this daemon to the admission gate.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Passes workspaces and limits of the active configuration to the gate.
void ConfigureAdmission(router_state& state);

// Passes the capacity of each model and service to the gate. Call after every change.
void UpdateCapacity(router_state& state);

// Offers a new request to the gate. The gate answers now or later: OnAdmitted() is called or the
// request ends with a refusal.
void OfferRequest(router_state& state, const request_ptr& request);

// Releases the capacity that an ended request held in the gate.
void ReleaseAdmission(router_state& state, const caller_request& request);

}  // namespace balsambay::router
