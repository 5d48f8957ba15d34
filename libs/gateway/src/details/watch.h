// Which gateways ask which endpoints: every endpoint is asked by a few, whatever the number of
// gateways.
#pragma once

#include <string_view>
#include <vector>

#include "details/state.h"

namespace balsambay::gateway {

// Gateways of a zone that find out whether an endpoint is lost for the zone, and when it is back.
// A second one makes up for a first that is gone or lacks a way to the endpoint.
inline constexpr size_t kZoneWatchers = 2;

// Place of this gateway among the living ones of its zone in the order for the endpoint, 0 first.
size_t ZoneWatchRank(gateway_state& state, endpoint& item);

// The other gateways of this zone that come first in that order.
std::vector<std::string_view> FirstZoneWatchers(const gateway_state& state, const endpoint& item);

// Whether this gateway is the one that asks the engine in regular rounds: the first of the engine's
// zone, or of all when that zone has no gateways.
bool IsRegularWatcher(gateway_state& state, endpoint& item);

// Whether a gateway is known to reach the shared store.
bool IsStoreContact(const gateway_state& state, const peer& other, time_point now);

}  // namespace balsambay::gateway
