// Connects the ledger library to the table, to other entry daemons and to the requests of this one.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "details/state.h"

namespace balsambay::router {

// Creates the shard set. Without a platform there is no ledger and non-repeatable requests are
// refused.
result<void> StartLedger(router_state& state);

// The set of live daemons has changed.
void UpdateLedgerMembers(router_state& state);

// Asks the shard's owner for the durable start record. Continues with Dispatch or ends the request.
void ClaimRequest(router_state& state, const request_ptr& request);

// Right before a non-repeatable request is dispatched. False: the grant has expired.
bool TryDispatchClaim(caller_request& request);

// The open attempt proved that nothing ran.
void MarkClaimNotStarted(caller_request& request);

// The request has ended; `ran_result` is empty unless it ran. Tells the owner until it confirms.
void CloseClaim(router_state& state, caller_request& request, bool ran, std::string ran_result);

// Messages "claim", "abandon", "finish", "claim_reply" and "handover" of a peer.
void HandleLedgerMessage(router_state& state, std::string_view peer, const nlohmann::json& message);

// Graceful stop: hands over the shards.
void ReleaseLedger(router_state& state);
bool LedgerReleased(const router_state& state);

}  // namespace balsambay::router
