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

// A link to a peer has come up.
void GreetPeer(router_state& state, std::string_view peer);

}  // namespace balsambay::router
