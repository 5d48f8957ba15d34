// Admission by priority while a service is close to its capacity: connects the decision
// (admission/overload.h) to the requests and endpoints of this gateway. Without effect unless the
// configuration has more than one priority.
#pragma once

#include <optional>
#include <span>

#include "admission/overload.h"
#include "details/state.h"

namespace balsambay::gateway {

// How full the engines of a pipelined service are: the largest of the fill of the KV cache of the
// scarcest layer, the slots of heads in use, and the time per token, where 0 is that of idle
// engines and 1 is `max_token_ms`. nullopt: some layer is held by no usable engine.
std::optional<double> EngineFullness(const pipeline::model_spec& model,
                                     std::span<const pipeline::engine> engines,
                                     std::optional<double> max_token_ms);

// Whether requests of more than one priority may arrive under this configuration.
bool HasSeveralPriorities(const catalog::document& content);

// Decides on a request for which no attempt was made yet. nullopt: accepted. Otherwise the time
// after which the caller should return.
std::optional<duration> ShedByPriority(gateway_state& state, call& request);

// Time after which a request that is refused for lack of room should return.
duration RoomRetryAfter(gateway_state& state, const call& request);

// Records that an accepted request missed a goal of its route because of the load, or was refused
// after all for lack of room. The first call for a request counts.
void RecordOverloaded(gateway_state& state, call& request);

// Records the first output, or the pause before a further one, of a request.
void RecordFirstOutput(gateway_state& state, call& request);
void RecordPause(gateway_state& state, call& request, duration pause);

// Records a complete reply.
void RecordServed(gateway_state& state, call& request);

// To be called once for each request that has ended.
void RecordEndOfCall(gateway_state& state, call& request);

}  // namespace balsambay::gateway
