// Detection of plain endpoints that have gone silent. Engines are asked for reports instead
// (monitor.h). To be used on the main loop only.
#pragma once

#include <string>

#include "details/state.h"

namespace balsambay::gateway {

// Checks whether the endpoint is alive, unless a check is under way. It counts as lost when it
// refuses the connection, when another endpoint answers at its address, or when it answers nothing
// until it has been silent for kMaxSilence. The check does not need the endpoint's list entry,
// which may have expired.
void CheckSilence(gateway_state& state, const plain_instance& target, time_point silent_since);

// The same for the endpoint of an attempt without an answer. No effect for engines.
void CheckSilence(gateway_state& state, const call& request, const attempt& unanswered);

// Call when the endpoint has answered a request.
void EndSilence(gateway_state& state, const endpoint& target);

// Since when the endpoint, which is being checked or was found silent, has answered nothing; kNever
// for others. Requests that were sent to it later are not the cause of its loss.
time_point SilentSince(const gateway_state& state, const std::string& id, uint64_t incarnation);

// Starts checks of endpoints with overdue requests and concludes those that are due. Call every
// 100 ms.
void UpdateSilence(gateway_state& state, time_point now);

}  // namespace balsambay::gateway
