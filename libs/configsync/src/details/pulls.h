// Transfers between peers: a daemon that lags pulls parts of bounded size from one peer.
#pragma once

#include <string>
#include <string_view>

#include "configsync/configsync.h"

namespace balsambay::configsync::details {

// Notes what a peer has in force; starts a pull when it is higher.
void OnPeerHas(state& state, std::string_view peer, uint64_t version, duration age, time_point now,
               effects& out);

// Gives up a pull without progress and starts one from another peer.
void ContinuePulls(state& state, time_point now, effects& out);

void Serve(state& state, const std::string& to, const message& request, time_point now,
           effects& out);
void OnPart(state& state, const std::string& from, const message& part, time_point now,
            effects& out);

}  // namespace balsambay::configsync::details
