// Registry of the endpoints that this gateway knows, from three sources: the platform's list of
// endpoints, reports of engines, and outcomes of requests. To be used on the main loop only.
#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "details/state.h"

namespace balsambay::gateway {

// Index of the kind of accelerator in the model's kinds; their number: it is not one of them.
size_t KindIndex(const pipeline::model_spec& model, std::string_view name);

// The Find functions return null for an unknown endpoint; the registry keeps ownership.
endpoint* FindEndpoint(gateway_state& state, std::string_view id);
endpoint* FindByAddress(gateway_state& state, std::string_view address);
// `name`: the endpoint's numeric name in messages between gateways.
endpoint* FindByName(gateway_state& state, uint32_t name);

// Version up to which the list of endpoints is known completely.
uint64_t EndpointListVersion(const gateway_state& state);
// Time since that version was last confirmed as the newest one.
duration EndpointListAge(const gateway_state& state, time_point now);

// Whether the list of endpoints has not been confirmed for the time within which a change of it has
// to be known (settings::change_propagation_limit).
bool IsEndpointListStale(const gateway_state& state, time_point now);

// To be used while the list is old: whether the endpoint may be leaving without this gateway
// knowing it, because no message of the endpoint within settings::change_propagation_limit shows
// that it stays. Other endpoints are preferred, if there are any.
bool MayHaveMissedLeaving(const gateway_state& state, const endpoint& target, time_point now);

// Whether new requests may be sent to the endpoint.
bool IsUsable(const gateway_state& state, const endpoint& target, time_point now);

// Engines of a pipelined service with their state and load, for the choice of a path.
std::vector<pipeline::engine> ViewEngines(const gateway_state& state,
                                          const catalog::service& service, time_point now);

// Applies the complete list of endpoints of the platform.
void ReplaceEndpoints(gateway_state& state, std::span<const listed_endpoint> listed);

// A healthy endpoint may be silent for about a second; one that is silent for twice as long is
// considered ended.
inline constexpr duration kMaxSilence = std::chrono::milliseconds(2000);

// Evidence for the loss of an endpoint.
enum class loss_evidence : uint8_t {
  kSilence,  // does not answer, but may resume after a while
  kProof,    // refuses connections, or its zone is cut off
};

// Takes an endpoint out of use until it answers again, and moves its requests to other endpoints.
// `silent_since`: start of the time without answers; kNever: it may have been lost just now.
void MarkDown(gateway_state& state, endpoint& target, std::string_view reason,
              loss_evidence evidence, time_point silent_since = kNever);

// Whether an endpoint that was removed from the list without notice may still run requests that
// were sent to it.
bool MayServeUnlisted(const gateway_state& state, const std::string& id, uint64_t incarnation,
                      time_point now);

// Marks an endpoint that is out of use as ended: it refuses connections, was restarted or has been
// silent for too long. The quarantine counts the loss against the requests that ran on it. No
// effect if the endpoint is in use.
void MarkEnded(gateway_state& state, endpoint& target);

// Whether the requests that ran on this incarnation of the endpoint have ended. An endpoint that
// has only been silent for a short time may still run them.
bool HasEnded(const endpoint& target, uint64_t incarnation, time_point now);

// Takes an endpoint back into use.
void MarkUp(gateway_state& state, endpoint& target, std::string_view reason);

// Records the load that an engine reported at `at`: `committed` in tokens x layers.
void RecordReportedLoad(endpoint& target, double committed, int sequences, time_point at);
// Records the layers that an engine held at `at`; older than the known state: no effect.
void RecordHeldLayers(gateway_state& state, endpoint& target,
                      std::optional<pipeline::layer_range> held, time_point at);

// Records that the endpoint itself announced that it is about to leave. Final within its
// incarnation, whatever the list says. `told_by`: source of the announcement, for the log.
void MarkLeaving(gateway_state& state, endpoint& target, std::string_view told_by);

// Applies what a reply to any kind of request states about the endpoint itself.
void ApplyReplyMetadata(gateway_state& state, endpoint& target, const reply_metadata& facts);

// The earliest time at which an otherwise usable endpoint of the service accepts requests again
// after a refusal; nullopt when none has refused.
std::optional<time_point> EarliestRetryTime(const gateway_state& state, std::string_view service,
                                            time_point now);

// Applies a report that this gateway requested.
void ApplyReport(gateway_state& state, endpoint& target, const engine_report& report);

// Adds the outcome of a request to the endpoint's failure rate.
void RecordOutcome(endpoint& target, bool failed, time_point now);
// Between 0 and 1; decays with the time since the last outcome.
double FailureRate(const endpoint& target, time_point now);

// Adds (`sign` 1) or removes (-1) the load of an attempt on the endpoints of its path.
void AttachLoad(gateway_state& state, const attempt& current, int sign);

}  // namespace balsambay::gateway
