// Direct and indirect probes, synchronization of member tables, and attempts to reach seeds and
// members that are not live.
#pragma once

#include "membership/membership.h"

namespace balsambay::membership::details {

// Runs the steps of the current probe that are due, and starts the next probe when its period
// begins.
void AdvanceProbe(state& state, time_point now, effects& effects);

// Replies to a ping with an acknowledgement.
void ReplyToPing(state& state, const message& ping, time_point now, effects& effects);
// Pings the target of a ping request.
void RelayPing(state& state, const message& request, time_point now, effects& effects);
// Ends the current probe if `ack` acknowledges it, or forwards `ack` to the member that requested
// it.
void OnAck(state& state, const message& ack, time_point now, effects& effects);
// Ends the current probe if its target is `id`: any message from the target proves that it runs.
void CompleteProbe(state& state, const std::string& id);

// Sends the digest of the member table to one random live member.
void RequestSync(state& state, time_point now, effects& effects);
// If the digests differ, sends the member table and requests the sender's in turn.
void ReplyToSync(state& state, const message& request, time_point now, effects& effects);
// Contacts seeds that are not live members and one failed member, so that the halves of a zone
// merge after a network partition.
void ContactUnreachable(state& state, time_point now, effects& effects);

}  // namespace balsambay::membership::details
