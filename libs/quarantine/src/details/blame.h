// Against which fingerprints the loss of an endpoint is held, and how much it counts.
#pragma once

#include <map>

#include "details/entries.h"

namespace balsambay::quarantine::details {

using findings = std::map<fingerprint, finding>;

// With trial::kOneCopy: all that ran on `life`.
findings AffectedBy(const table& state, const endpoint_life& life);

// With trial::kShared, see there. Notes the loss for the routes and fingerprints that it concerns.
findings GradeLoss(table& state, const endpoint_life& life, time_point now, time_point alive_until);

// With trial::kShared: the losses that wait for confirmation if the endpoint falls silent.
std::map<fingerprint, pending_loss> PendingOf(const table& state, const endpoint_life& life,
                                              time_point now, time_point until,
                                              time_point alive_until);

// Whether the run has progressed on this life of an endpoint.
bool HasProgressed(const run& active, const endpoint_life& life);

}  // namespace balsambay::quarantine::details
