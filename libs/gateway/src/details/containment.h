// Containment of requests that crash the endpoints that run them: reports attempts, lost endpoints
// and updates of other gateways to the quarantine (quarantine/quarantine.h), and stores the
// quarantined fingerprints in the shared table.
#pragma once

#include <optional>
#include <span>

#include "details/state.h"

namespace balsambay::gateway {

// Hash of the caller, path and body of a request. Independent of the request's id and host, so that
// repeated requests have the same fingerprint.
quarantine::fingerprint ComputeFingerprint(const call& request);

// The shared parts of the request's prompt, for logs.
std::string PromptPartsText(const call& request);

// Keys of the shared parts of the request's prompt. Two requests for the same service have the same
// key for the same part, also in different workspaces. Precondition: the fingerprint is set.
std::vector<quarantine::shared_feature> ComputeFeatures(const call& request);

// Whether the request's content or a part of its prompt has this key.
bool HasKey(const call& request, const quarantine::fingerprint& key);

// Starts the periodic work. Call once.
void StartContainment(gateway_state& state);

// Asks the quarantine whether an attempt may start, and registers it if so. After kAllow or
// kAllowIsolated, call RecordAttemptPath() with its path, or EndAttempt().
quarantine::decision AdmitAttempt(gateway_state& state, const call& request);

// What AdmitAttempt() would decide now, without registering the attempt.
quarantine::verdict PredictAdmission(const gateway_state& state, const call& request);

bool IsQuarantined(const gateway_state& state, const call& request);

// When the quarantine of the request ends; time_point() if it is not quarantined.
time_point QuarantinedUntil(const gateway_state& state, const call& request);

// The quarantined part of the request's prompt; empty: none.
std::string_view QuarantinedPart(const gateway_state& state, const call& request);

// Whether the open attempt has passed enough outputs on to show that the request does not crash its
// engines.
bool HasShownProgress(const call& request);

// Whether a request that is suspected of crashing endpoints runs on this endpoint.
bool HasSuspect(const gateway_state& state, std::string_view endpoint_id);

// Registers all engines that the request's attempts use. Call before one of the attempts is sent or
// changes its path.
void RecordAttemptPath(gateway_state& state, const call& request, std::span<const call_hop> path);

// Call when an endpoint has begun to execute the request.
void RecordExecuting(gateway_state& state, const call& request);

// Call for each output of a request that has no successor attempt.
void RecordProgress(gateway_state& state, const call& request);

// Call when the connection of the attempt to `target` broke. Probes whether the endpoint is alive.
void OnConnectionBroken(gateway_state& state, const call& request, endpoint& target);

enum class attempt_end : uint8_t {
  kCompleted,  // the answer is complete
  kClosed,     // failed or cancelled, without evidence of a lost endpoint
};

// Call before EndAttempt() when an attempt ends without an answer of its endpoint. If the endpoint
// is a plain one and is found lost, it was lost with the request on it; starts a check of it. No
// effect for other attempts.
void RecordUnanswered(gateway_state& state, const call& request, const attempt& ended);

// Call when an endpoint has answered a request.
void OnEndpointAnswered(gateway_state& state, const endpoint& target);

// Call when an endpoint that was removed from the list, without having announced that it leaves, is
// found lost. Requests that were sent to it after `alive_until` are not the cause.
void OnRemovedEndpointLost(gateway_state& state, const std::string& id, uint64_t incarnation,
                           time_point alive_until = time_point::min());

// No effect if the attempt has ended already.
void EndAttempt(gateway_state& state, const call& request, attempt_end how);

// Call when an endpoint has not answered since `silent_since` but may recover, before its requests
// move to other endpoints. Call OnEndpointLost() or OnEndpointAlive() when its state is known.
void OnEndpointSilent(gateway_state& state, const endpoint& target, time_point silent_since);

// Counts the loss of the endpoint against the requests on it, except those that were sent to it
// after `silent_since`. Call before they move to other endpoints.
void OnEndpointLost(gateway_state& state, const endpoint& target, time_point silent_since = kNever);

// Call when the endpoint answered a probe that was sent at `asked`, in this incarnation; 0: the
// answer did not name the incarnation.
void OnEndpointAlive(gateway_state& state, const endpoint& target, uint64_t incarnation,
                     time_point asked);

// Merges the updates of a peer. Returns the fingerprints about which they contain new information.
std::vector<quarantine::fingerprint> MergeQuarantineUpdates(
    gateway_state& state, const std::string& peer, std::span<const quarantine::update> updates);

// Applies all quarantine records of the shared table. A fingerprint whose record was removed is
// released.
void ApplyQuarantineRecords(gateway_state& state, std::span<const quarantine_record> records);

}  // namespace balsambay::gateway
