// Connects the ledger library to the table service, to other entry daemons and to the requests of
// this daemon.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "details/state.h"

namespace balsambay::router {

// Creates the shard set. Without a platform there is no ledger, and non-repeatable requests are
// refused.
result<void> StartLedger(router_state& state);

// Call when the set of live daemons has changed.
void UpdateLedgerMembers(router_state& state);

// Asks the shard's owner for the durable start record. Then calls Dispatch() or ends the request.
void ClaimRequest(router_state& state, const request_ptr& request);

// Call right before a request is dispatched. Returns false when the grant of a non-repeatable
// request has expired.
bool TryDispatchClaim(caller_request& request);

// Records that the endpoint proved that the attempt did not run.
void MarkClaimNotStarted(caller_request& request);

// Reports the end of the request to the shard owner until the owner confirms it. `ran_result` is
// empty unless the request ran.
void CloseClaim(router_state& state, caller_request& request, bool ran, std::string ran_result);

// Handles the messages "claim", "abandon", "finish", "claim_reply" and "handover" of a peer.
void HandleLedgerMessage(router_state& state, std::string_view peer, const nlohmann::json& message);

// Starts the handover of all shards, for a graceful shutdown.
void ReleaseLedger(router_state& state);

// Whether the handover is complete.
bool LedgerReleased(const router_state& state);

}  // namespace balsambay::router
