// Composes messages and adds queued news within the byte bounds.
#pragma once

#include <string>
#include <string_view>

#include "membership/membership.h"

namespace balsambay::membership::details {

// Message to a member, or to a seed when `to` is empty, with as much news as fits.
send Compose(state& state, message_kind kind, std::string to, std::string address, time_point now);

// The same without news.
send ComposeWithoutGossip(const state& state, message_kind kind, std::string to,
                          std::string address, time_point now);

// Sends queued news to `gossip_fanout` random members at once.
void Broadcast(state& state, time_point now, effects& out);

// Sends queued news to one random member; nothing when there is no news.
void GossipToOneMember(state& state, time_point now, effects& out);

bool HasQueuedGossip(const state& state);

// Stores what is new in `facts`, and passes urgent news on at once.
void ApplyFacts(state& state, const std::vector<fact>& facts, time_point now, effects& out);

// Adds to the byte budget of news.
void RefillGossipTokens(state& state, duration elapsed);

void QueueFact(state& state, const fact& item);

}  // namespace balsambay::membership::details
