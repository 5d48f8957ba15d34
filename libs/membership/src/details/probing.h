// Periodic work: direct and indirect probes, table exchange, and attempts to reach lost members.
#pragma once

#include "membership/membership.h"

namespace balsambay::membership::details {

// Runs the steps of the current probe that are due and starts the next one.
void AdvanceProbe(state& state, time_point now, effects& out);

void ReplyToPing(state& state, const message& ping, time_point now, effects& out);
void RelayPing(state& state, const message& request, time_point now, effects& out);
void OnAck(state& state, const message& ack, time_point now, effects& out);
// Any message from the probed member proves that it runs.
void CompleteProbe(state& state, const std::string& id);

void RequestSync(state& state, time_point now, effects& out);
void ReplyToSync(state& state, const message& request, time_point now, effects& out);
// Contacts seeds that are not live members and one failed member, so that cuts heal.
void ContactUnreachable(state& state, time_point now, effects& out);

}  // namespace balsambay::membership::details
