// Takes a higher version into force: digest, validation, history, announcement.
#pragma once

#include <span>

#include "configsync/configsync.h"

namespace balsambay::configsync::details {

// Whether `version` should replace the one in force.
bool IsWanted(const state& state, uint64_t version);

// Deltas lead only upwards, and only from a document that matched its digest.
bool CanUseDeltas(const state& state, uint64_t version);

// `deltas` must be consecutive and start at version + 1. False when they do not fit the document.
bool AdoptDeltas(state& state, std::span<const delta> deltas, time_point now, effects& out);

// A document at `version`, whose digest is checked, followed by deltas from version + 1 on.
bool AdoptSnapshot(state& state, uint64_t version, const std::string& digest,
                   nlohmann::json document, std::span<const delta> deltas, time_point now,
                   effects& out);

void Announce(const state& state, const std::string& to, time_point now, effects& out);

// Sets `ready` once the conditions for the first version hold.
void UpdateReady(state& state, time_point now);

}  // namespace balsambay::configsync::details
