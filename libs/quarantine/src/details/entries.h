// The bounded table of fingerprints and the state of one entry.
#pragma once

#include "quarantine/quarantine.h"

namespace balsambay::quarantine::details {

// Finds or adds the entry and makes it the most recently used one; may evict others.
entry& Touch(table& state, const fingerprint& key);

entry* Find(table& state, const fingerprint& key);

// Derives the state from losses, pending losses and peers' claims, moves it along the chart and
// keeps the entry in the right list. Wakes held requests.
void Reassess(table& state, const fingerprint& key, entry& item, outputs& out);

bool Contains(std::span<const endpoint_life> lives, const endpoint_life& life);

// Adds a confirmed loss unless it is known or was cleared. Returns whether it was added. A
// fingerprint that completed lately is condemned only by a loss while it ran as a suspect
// (`alone`), because a request that crashes each endpoint never completes.
bool AddLoss(const settings& config, entry& item, const endpoint_life& life, bool alone,
             time_point now);

void MoveToCleared(entry& item, const endpoint_life& life);

// Ends the own claim unless a loss is still to be confirmed.
void ReleaseClaim(entry& item);

claim_kind OwnClaim(const entry& item);

// Collects the endpoints of suspected runs anew, after runs or peers' claims changed.
void RebuildSuspectEndpoints(table& state);

update MakeUpdate(const table& state, const fingerprint& key, const entry& item);

}  // namespace balsambay::quarantine::details
