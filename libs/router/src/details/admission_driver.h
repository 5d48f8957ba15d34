// Connects the admission gate to the requests of this daemon.
#pragma once

#include "details/state.h"

namespace balsambay::router {

// Takes over workspaces and limits of the configuration in force.
void ConfigureAdmission(router_state& state);

// Capacity of each model and service has changed.
void UpdateCapacity(router_state& state);

// Offers a new request. It continues with OnAdmitted or ends with a refusal, now or later.
void OfferRequest(router_state& state, const request_ptr& request);

// The request has ended; its place is free.
void ReleaseAdmission(router_state& state, const caller_request& request);

}  // namespace balsambay::router
