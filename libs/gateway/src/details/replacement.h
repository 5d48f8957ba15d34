// Replacement of running attempts whose endpoints leave, are lost or are slow. A successor is sent
// while the open attempt goes on and replaces it with its first output. Until then nothing that
// runs is ended, so a successor that is refused or may not be sent costs the caller nothing.
#pragma once

#include <string>

#include "details/state.h"

namespace balsambay::gateway {

// The successor has made output: it becomes the open attempt, and the former one ends.
void TakeOver(gateway_state& state, const call_ptr& item);

// Ends the successor; the open attempt goes on, and what was withheld of it is passed on.
void DropSuccessor(gateway_state& state, const call_ptr& item, std::string_view reason);

// The open attempt goes on without a successor, and no other one is sent within `pause`. Passes on
// what was withheld of it.
void GoOn(gateway_state& state, const call_ptr& item, duration pause);

// Registers the request with the quarantine for its next attempt, or again for the one that goes
// on: the quarantine knows one run of it. Returns whether it may run.
bool AskAgain(gateway_state& state, const call_ptr& item);

// Whether the open attempt makes output while its successor has not; that output waits. False: the
// first of them to make output goes on.
bool MustWithhold(const call& item, time_point now);

// Looks for another endpoint when the open attempt at a plain one has not answered within the
// route's latency goal.
void WatchTry(gateway_state& state, const call_ptr& item);

// The order to replace engines behind the head of the open attempt was refused.
void OnRerouteFailed(gateway_state& state, const call_ptr& item);

// Moves requests off an endpoint. `lost`: it does not answer; otherwise it is about to leave, and
// most requests end before it does.
void MoveCallsOff(gateway_state& state, const std::string& endpoint_id, bool lost);

// Looks for requests without progress and asks their engines for the reason.
void CheckProgress(gateway_state& state);

}  // namespace balsambay::gateway
