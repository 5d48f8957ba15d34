// One attempt of a request at an endpoint: choice, sending, reply.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "details/state.h"

namespace balsambay::gateway {

std::string_view ToString(attempt_failure failure);

// What an attempt reports to the request that owns it, while it is the open one or its successor.
struct attempt_events {
  void (*on_answer)(gateway_state& state, const call_ptr& item, const attempt_ptr& from);
  void (*on_failure)(gateway_state& state, const call_ptr& item, const attempt_ptr& from,
                     attempt_failure failure);
  void (*on_output)(gateway_state& state, const call_ptr& item, const attempt_ptr& from,
                    std::string_view events);
  // The engines of the open attempt could not be replaced; it goes on as it is.
  void (*on_reroute_failed)(gateway_state& state, const call_ptr& item);
};

enum class start_result : uint8_t {
  kStarted,
  kNoRoom,
  kTooSlow,  // a stream would not keep the pace that its route asks for
  kNoEndpoint,
  kNoneApart,  // a suspect should wait for engines without others
};

// Chooses an endpoint or path and sends the request there: as the open attempt, or as its successor
// if there is one. A successor enters at another endpoint than the open attempt.
start_result StartAttempt(gateway_state& state, const call_ptr& item, const attempt_events& events);

// Whether a successor of the open attempt could be sent somewhere now.
bool MayStartElsewhere(gateway_state& state, const call& item);

// Endpoints that count against the attempts that the route allows: the request was sent there, and
// they have not ended since. One that broke off may live on, since the loss may be another
// engine's.
std::set<std::string> CountedEndpoints(gateway_state& state, const call& item);

// Cancels the attempt and releases its load. No effect if it is closed.
void CloseAttempt(gateway_state& state, attempt& item);

// Whether an endpoint takes part in the attempt.
bool HasPart(const attempt& item, std::string_view endpoint_id);

bool IsPipelined(const attempt& item);

// Whether the attempt has made no output for unusually long.
bool IsStalled(const gateway_state& state, const attempt& item, time_point now);

// Replaces the engines after the head of the open attempt. False when no path can be had; paths
// that cross more zones than the present one count only with `allow_crossings`: new engines read
// the whole text so far, and across zones its activations share one pipe, where the requests of a
// lost engine would queue.
bool Reroute(gateway_state& state, const call_ptr& item, bool allow_crossings,
             const attempt_events& events);

}  // namespace balsambay::gateway
