// Member table: applies updates about members by their precedence and reports the resulting events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "membership/membership.h"

namespace balsambay::membership::details {

bool IsLive(member_status status);  // alive or suspect

// Applies an update about any daemon, this one included. An update that changes the member table is
// queued for gossip; an update that wrongly describes this daemon is refuted.
void ApplyUpdate(state& state, const member_update& update, time_point now, effects& effects);

member_update UpdateOf(const member& member);
member_update OwnUpdate(const state& state);

// Digest of the ids and incarnations of this daemon and the live members. Equal on two daemons with
// the same live members; suspicion does not change it.
uint64_t TableDigest(const state& state);

// Returns up to `count` random live members other than `excluded_id`.
std::vector<const member*> PickRandomMembers(state& state, size_t count,
                                             std::string_view excluded_id = "");

// Declares suspects failed whose suspicion has timed out. Removes failed and left members after
// settings::tombstone_lifetime.
void ExpireMembers(state& state, time_point now, effects& effects);

// Time from suspicion to failure at the current number of live members.
duration SuspicionTimeout(const state& state);

// Refutes `update` about this daemon: takes a higher incarnation than the update and broadcasts it.
// If the update says that this daemon failed or left, its facts are queued again, because members
// that consider it failed have dropped them.
void Refute(state& state, const member_update& update, time_point now, effects& effects);

}  // namespace balsambay::membership::details
