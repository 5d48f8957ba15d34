// One attempt of a request at an endpoint: choice, sending, reply.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "details/state.h"

namespace balsambay::gateway {

// Why an attempt produced no answer.
enum class attempt_failure : uint8_t {
  kNotSent,      // the endpoint could not be reached; nothing was sent
  kNotExecuted,  // the endpoint or an engine on its path refused before it began
  kBroken,       // connection broken, malformed or foreign reply
  kStalled,      // no answer for too long, or an engine on the path was lost
  kFailed,       // the endpoint answered with an error of its own
  kMoved,        // the endpoint is about to leave; the request goes on elsewhere
};

std::string_view ToString(attempt_failure failure);

// What the attempt reports to the request that owns it. Each has no effect for attempts that are
// not the open one.
struct attempt_events {
  void (*on_answer)(gateway_state& state, const call_ptr& item);
  void (*on_failure)(gateway_state& state, const call_ptr& item, attempt_failure failure);
  void (*on_output)(gateway_state& state, const call_ptr& item, std::string_view events);
  // The engines of the open attempt could not be replaced; it goes on as it is.
  void (*on_reroute_failed)(gateway_state& state, const call_ptr& item);
};

enum class start_result : uint8_t {
  kStarted,
  kNoRoom,
  kNoEndpoint,
  kNoneApart,  // a suspect should wait for engines without others
};

// Chooses an endpoint or path and sends the request there.
start_result StartAttempt(gateway_state& state, const call_ptr& item, const attempt_events& events);

// Whether the request could go on elsewhere if its open attempt ended now.
bool MayStartElsewhere(gateway_state& state, const call& item);

// Endpoints that count against the attempts that the route allows: the request was sent there, and
// they have not ended since. One that broke off may live on, since the loss may be another
// engine's.
std::set<std::string> CountedEndpoints(gateway_state& state, const call& item);

// Cancels the open attempt and releases its load.
void CloseAttempt(gateway_state& state, call& item);

// Replaces the engines after the head of the open attempt. False when no path can be had; paths
// that cross more zones than the present one count only with `allow_crossings`: new engines read
// the whole text so far, and across zones its activations share one pipe, where the requests of a
// lost engine would queue.
bool Reroute(gateway_state& state, const call_ptr& item, bool allow_crossings,
             const attempt_events& events);

}  // namespace balsambay::gateway
