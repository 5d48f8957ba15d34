// Connects the configuration library to the table, the peers and the parts that use the
// configuration.
#pragma once

#include <nlohmann/json.hpp>

#include "details/state.h"

namespace balsambay::router {

result<void> StartConfig(router_state& state);
void HandleConfigMessage(router_state& state, std::string_view peer, const nlohmann::json& message);

// Commits a document on top of `base_version` and answers the operator's request with the result.
void SubmitConfig(router_state& state, const net::exchange_ptr& exchange, uint64_t base_version,
                  const nlohmann::json& document);

// The document in force, null when there is none.
nlohmann::json ConfigDocument(const router_state& state);

// Time since this daemon last knew that no newer version was accepted; -1 before the first.
int64_t ConfigAgeMs(const router_state& state);

// The live daemons of the zone have changed.
void UpdateConfigMembers(router_state& state);

// A member of the zone has told its version.
void HandlePeerVersion(router_state& state, std::string_view peer, uint64_t version, duration age);

// Whether this daemon may serve: it has a version that is not below any that it knew of at its
// start.
bool IsConfigReady(const router_state& state);

}  // namespace balsambay::router
