// Reads of the platform's table: polls config/head and fetches higher versions. At most one read is
// outstanding.
#pragma once

#include "configsync/configsync.h"

namespace balsambay::configsync::details {

// Treats an outstanding read as failed after its timeout, and reads config/head if a poll is due.
void PollIfDue(state& state, time_point now, effects& effects);
time_point NextPollDeadline(const state& state);
// `read` is the read that `reply` belongs to; it must no longer be outstanding.
void OnReadSucceeded(state& state, const pending_read& read, const table::read_reply& reply,
                     time_point now, effects& effects);
// Ends the outstanding read, doubles the fallback interval up to its maximum and schedules the next
// poll.
void OnReadFailed(state& state, time_point now);

}  // namespace balsambay::configsync::details
