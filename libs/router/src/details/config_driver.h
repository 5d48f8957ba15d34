// Connects the configsync library to the table service, to the peers and to the components that use
// the configuration.
#pragma once

#include <nlohmann/json.hpp>

#include "details/state.h"

namespace balsambay::router {

result<void> StartConfig(router_state& state);
void HandleConfigMessage(router_state& state, std::string_view peer, const nlohmann::json& message);

// Commits `document` as the successor of `base_version` and responds to the operator's request with
// the result.
void SubmitConfig(router_state& state, const net::exchange_ptr& exchange, uint64_t base_version,
                  const nlohmann::json& document);

// The document of the active configuration; null when there is none.
nlohmann::json ConfigDocument(const router_state& state);

// Milliseconds since this daemon last confirmed that no newer version was accepted; -1 before the
// first version.
int64_t ConfigAgeMs(const router_state& state);

// Call when the set of live daemons of the zone has changed.
void UpdateConfigMembers(router_state& state);

// Handles the configuration version that a member of the zone has reported. `age`: time since the
// member confirmed it.
void HandlePeerVersion(router_state& state, std::string_view peer, uint64_t version, duration age);

// Whether this daemon may serve: it has a version that is not older than any version that it
// learned of at its start.
bool IsConfigReady(const router_state& state);

}  // namespace balsambay::router
