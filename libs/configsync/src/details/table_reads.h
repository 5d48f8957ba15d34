// Reads of the platform's table: when to poll config/head, and fetch of versions.
#pragma once

#include "configsync/configsync.h"

namespace balsambay::configsync::details {

void PollIfDue(state& state, time_point now, effects& out);
time_point NextPollDeadline(const state& state);
void OnRead(state& state, const pending_read& read, const table::read_reply& reply, time_point now,
            effects& out);
void OnReadFailed(state& state, time_point now);

}  // namespace balsambay::configsync::details
