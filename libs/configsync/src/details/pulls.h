// Transfers between peers: a daemon with a lower version pulls chunks of bounded size from one
// peer.
#pragma once

#include <string>
#include <string_view>

#include "configsync/configsync.h"

namespace balsambay::configsync::details {

// Records the version in force at a peer, which confirms the own version if they are equal. Starts
// a pull if a peer has a higher version and none is in progress.
void UpdatePeerVersion(state& state, std::string_view peer, uint64_t version, duration age,
                       time_point now, effects& effects);

// Abandons the current pull if its chunk timed out. Starts a pull of the highest version if
// none is in progress and a peer has a higher one.
void AdvancePull(state& state, time_point now, effects& effects);

// Sends the requested chunk, or an announcement if the peer needs no transfer.
void ServeChunk(state& state, const std::string& receiver, const message& request, time_point now,
                effects& effects);
// Appends a chunk to the current pull and applies the transfer once it is complete.
void OnChunk(state& state, const std::string& sender, const message& chunk, time_point now,
             effects& effects);

}  // namespace balsambay::configsync::details
