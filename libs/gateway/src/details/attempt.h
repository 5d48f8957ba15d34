// Attempts of a request: choice of an endpoint or a path of engines, sending, and reception of the
// reply.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "details/state.h"

namespace balsambay::gateway {

// Name in log lines and metrics.
std::string_view ToString(attempt_failure failure);

// Callbacks from an attempt to the request that owns it. They are called only while the attempt is
// the open one of the request or its successor.
struct attempt_callbacks {
  // The reply is complete and is not a failure.
  void (*on_reply)(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt);
  void (*on_failure)(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt,
                     attempt_failure failure);
  // Complete events of a streamed reply.
  void (*on_output)(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt,
                    std::string_view events);
  // A reroute order was refused; the open attempt continues on its present path.
  void (*on_reroute_failed)(gateway_state& state, const call_ptr& request);
};

enum class start_result : uint8_t {
  kStarted,
  kNoRoom,
  kTooSlow,  // a stream would miss the gap goal of its route
  kNoEndpoint,
  kNoIsolatedEngines,  // a suspect should wait for engines that run no other suspect
};

// Chooses an endpoint or a path and sends the request there. The new attempt becomes the open one,
// or the successor if there is an open attempt already. A successor is sent to another first
// endpoint than the open attempt.
start_result StartAttempt(gateway_state& state, const call_ptr& request,
                          const attempt_callbacks& callbacks);

// Whether there is an endpoint or path to which a successor of the open attempt could be sent now.
bool HasSuccessorTarget(gateway_state& state, const call& request);

// Endpoints that count towards the attempts that the route allows: those to which the request was
// sent and which have not ended since. An endpoint whose connection broke is still counted, because
// it may be alive and another engine of the path lost.
std::set<std::string> CountedEndpoints(gateway_state& state, const call& request);

// Cancels the attempt and releases its load. No effect if it is already closed.
void CloseAttempt(gateway_state& state, attempt& attempt);

// Whether the endpoint is on the path of the attempt.
bool UsesEndpoint(const attempt& attempt, std::string_view endpoint_id);

// Whether the attempt runs on a path of engines that hold layers, not on a plain endpoint.
bool IsPipelined(const attempt& attempt);

// Whether the attempt has produced no output for longer than its stall threshold.
bool IsStalled(const gateway_state& state, const attempt& attempt, time_point now);

// Orders the head of the open attempt to use other engines after it. Returns false if there is no
// path; true if the order was sent or one is already under way. Paths with more zone crossings than
// the present one are used only with `allow_crossings`: new engines have to process the whole text
// so far, and activations between zones share one link, where the requests of a lost engine would
// queue.
bool Reroute(gateway_state& state, const call_ptr& request, bool allow_crossings,
             const attempt_callbacks& callbacks);

}  // namespace balsambay::gateway
