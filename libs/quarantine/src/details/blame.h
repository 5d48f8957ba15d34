// Attribution of a lost endpoint to the fingerprints that were running on it, and the weight of the
// loss for each of them.
#pragma once

#include <map>

#include "details/entries.h"

namespace balsambay::quarantine::details {

using attributed_losses = std::map<fingerprint, attributed_loss>;

// With kOneCopy: attributes the loss of `instance` to all fingerprints that were running on
// it, with full weight.
attributed_losses AttributeToAllRuns(const table& state, const endpoint_life& instance);

// With kShared: grades the loss by the rules of kShared. Marks it as counted in the
// routes concerned, and adds it to the recent losses and to the entries concerned.
attributed_losses GradeLoss(table& state, const endpoint_life& instance, time_point now,
                            time_point alive_until);

// With kShared: the losses that await confirmation if the endpoint stops responding.
std::map<fingerprint, pending_loss> PendingLossesOn(const table& state,
                                                    const endpoint_life& instance, time_point now,
                                                    time_point until, time_point alive_until);

// Whether the run has progressed on this instance of an endpoint.
bool HasProgressedOn(const run& active, const endpoint_life& instance);

}  // namespace balsambay::quarantine::details
