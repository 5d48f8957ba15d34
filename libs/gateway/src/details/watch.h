// Assignment of endpoints to the gateways that probe them: each endpoint is probed by a few
// gateways, whatever the size of the installation.
#pragma once

#include <string_view>
#include <vector>

#include "details/state.h"

namespace balsambay::gateway {

// Number of gateways of a zone that probe an endpoint for the zone, to detect its loss and its
// recovery. The second one covers for a first that is gone or has no network path to the endpoint.
inline constexpr size_t kZoneWatchers = 2;

// Rank of this gateway among the live gateways of its zone that watch the endpoint, from 0.
size_t ZoneWatchRank(gateway_state& state, endpoint& target);

// Ids of the first kZoneWatchers other gateways of this zone by that rank.
std::vector<std::string_view> TopZoneWatchers(const gateway_state& state, const endpoint& target);

// Whether this gateway asks the engine for its regular reports: it has rank 0 in the engine's zone,
// or among all gateways when that zone has none.
bool IsReportWatcher(gateway_state& state, endpoint& target);

// Whether the gateway `remote` is known to reach the shared store.
bool IsStoreContact(const gateway_state& state, const peer& remote, time_point now);

}  // namespace balsambay::gateway
