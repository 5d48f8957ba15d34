// Reports of engines and reachability of zones and peers.
#pragma once

#include <string_view>

#include "details/state.h"

namespace balsambay::gateway {

// Asks an engine for its report, unless it is being asked already; no answer takes it out of use.
// Requests that the report names as stalled move off the engines that cause it.
void AskEndpoint(gateway_state& state, endpoint& item, std::string_view why);

void StartMonitor(gateway_state& state);

// Load exchange with other gateways.
result<void> StartPeers(gateway_state& state);
void ReplacePeers(gateway_state& state, std::span<const peer_address> peers);

}  // namespace balsambay::gateway
