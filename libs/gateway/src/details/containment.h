// Containment of requests that crash the endpoints that run them: connects attempts, lost endpoints
// and other gateways with the quarantine, and keeps what is refused in the shared table.
#pragma once

#include <optional>
#include <span>

#include "details/state.h"

namespace balsambay::gateway {

// The same for each call with the same caller, path and body, whatever its id and host.
quarantine::fingerprint FingerprintOf(const call& item);

// Starts the periodic work. Call once.
void StartContainment(gateway_state& state);

// Asks before an attempt. A permitted one (kAllow, kAllowAlone) is placed, or closed with
// EndAttempt.
quarantine::decision AskToRun(gateway_state& state, const call& item);

// What AskToRun() would answer now, without effect.
quarantine::verdict WouldRun(const gateway_state& state, const call& item);

bool IsQuarantined(const gateway_state& state, const call& item);

// When it may come back, if it is quarantined.
time_point QuarantinedUntil(const gateway_state& state, const call& item);

// Whether its open attempt has shown that the engines bear it.
bool HasShownProgress(const call& item);

// Whether a request that is suspected of crashing endpoints runs there.
bool HasSuspect(const gateway_state& state, std::string_view endpoint_id);

// All engines of the request's attempts, before one of them is sent or changes.
void PlaceAttempt(gateway_state& state, const call& item, std::span<const call_hop> path);

// Call for each output of a request that has no successor under way.
void NoteOutput(gateway_state& state, const call& item);

// The connection of the attempt broke. The endpoint is asked whether it lives.
void NoteBroken(gateway_state& state, const call& item, endpoint& target);

enum class attempt_end : uint8_t { kAnswered, kClosed };

// No effect for attempts that have ended.
void EndAttempt(gateway_state& state, const call& item, attempt_end how);

// The endpoint has not answered since `silent_since` and may go on. Call before requests move
// elsewhere, and NoteLost() or NoteAlive() once it is known.
void NoteSilent(gateway_state& state, const endpoint& item, time_point silent_since);

// Holds the loss against the requests on the endpoint, but for those that were sent there later
// than `silent_since`. Call before they move elsewhere.
void NoteLost(gateway_state& state, const endpoint& item, time_point silent_since = kNever);

// The endpoint answered a question of the time `asked` in this incarnation; 0: it did not name it.
void NoteAlive(gateway_state& state, const endpoint& item, uint64_t incarnation, time_point asked);

// What a peer said. Returns the fingerprints of which it told something new.
std::vector<quarantine::fingerprint> MergeSuspects(gateway_state& state, const std::string& peer,
                                                   std::span<const quarantine::update> updates);

// The complete records of the shared table.
void ReplaceQuarantine(gateway_state& state, std::span<const quarantine_record> records);

}  // namespace balsambay::gateway
