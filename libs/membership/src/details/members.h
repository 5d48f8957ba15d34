// The member table: which update wins, and the events that follow.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "membership/membership.h"

namespace balsambay::membership::details {

bool IsLive(member_status status);  // alive or suspect

// Applies an update about any daemon, the own one included, and queues it when it is news.
void ApplyUpdate(state& state, const member_update& update, time_point now, effects& out);

member_update UpdateOf(const member& member);
member_update OwnUpdate(const state& state);

// Digest of ids and incarnations of the live members with the own daemon. Equal on two daemons that
// agree; suspicion does not change it.
uint64_t TableDigest(const state& state);

// Up to `count` random live members, without `except`.
std::vector<const member*> PickRandomMembers(state& state, size_t count,
                                             std::string_view except = "");

// Declares suspects failed whose time is over; removes old tombstones.
void ExpireMembers(state& state, time_point now, effects& out);

duration SuspicionTimeout(const state& state);

// Takes a higher incarnation than the accusation and sends the news at once. Members that declared
// this daemon failed have dropped its facts and get them again.
void Refute(state& state, const member_update& accusation, time_point now, effects& out);

}  // namespace balsambay::membership::details
