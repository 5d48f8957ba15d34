// Attribution of a lost endpoint to the fingerprints that were running on it, and the weight of the
// loss for each of them.
#pragma once

#include <map>

#include "details/entries.h"

namespace balsambay::quarantine::details {

using attributed_losses = std::map<fingerprint, attributed_loss>;

// With kSingleCopy: attributes the loss of `instance` to all fingerprints that were running on
// it, with full weight.
attributed_losses AttributeToAllRuns(const table& state, const endpoint_instance& instance);

// With kConcurrent: grades the loss by the rules of kConcurrent. Marks it as counted in the
// routes concerned, and adds it to the recent losses and to the entries concerned.
attributed_losses GradeLoss(table& state, const endpoint_instance& instance, time_point now,
                            time_point alive_until);

// With kConcurrent: the losses that await confirmation if the endpoint stops responding.
std::map<fingerprint, pending_loss> PendingLossesOn(const table& state,
                                                    const endpoint_instance& instance,
                                                    time_point now, time_point until,
                                                    time_point alive_until);

// When the run was placed on this instance; time_point() if it is not on its route.
time_point PlacedAt(const run& active, const endpoint_instance& instance);

// Whether the run has progressed on this instance of an endpoint.
bool HasProgressedOn(const run& active, const endpoint_instance& instance);

}  // namespace balsambay::quarantine::details
