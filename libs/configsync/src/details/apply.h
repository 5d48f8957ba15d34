// Puts a higher version in force: checks its digest, validates it, extends the history and
// announces it to peers.
#pragma once

#include <span>

#include "configsync/configsync.h"

namespace balsambay::configsync::details {

// Whether `version` should replace the version in force.
bool ShouldApply(const state& state, uint64_t version);

// Whether deltas can lead to `version`: it must be higher than the version in force, and the last
// digest must have matched.
bool CanApplyDeltas(const state& state, uint64_t version);

// `deltas` must not be empty, must be consecutive and start at the version in force + 1. Returns
// false if a patch fails or the digest differs; true also if the version is rejected or unneeded.
bool AdoptDeltas(state& state, std::span<const delta> deltas, time_point now, effects& effects);

// Applies `deltas`, which start at `version` + 1, to a snapshot of `version`. Returns false if a
// digest differs or a patch fails; true also if the result is rejected or unneeded.
bool AdoptSnapshot(state& state, uint64_t version, const std::string& digest,
                   nlohmann::json document, std::span<const delta> deltas, time_point now,
                   effects& effects);

// Sends the version in force to one peer.
void Announce(const state& state, const std::string& receiver, time_point now, effects& effects);

// Sets `ready` if a version is in force, no higher usable version is known, and the table has
// answered or the start grace has passed.
void UpdateReady(state& state, time_point now);

}  // namespace balsambay::configsync::details
