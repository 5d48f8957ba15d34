// Composes messages, piggybacks queued updates and facts on them within the byte limits, and
// spreads them by gossip.
#pragma once

#include <string>
#include <string_view>

#include "membership/membership.h"

namespace balsambay::membership::details {

// Returns a message with as many queued updates and facts as fit. `receiver_id` is empty for a seed
// of which only the address is known.
outgoing_message Compose(state& state, message_kind kind, std::string receiver_id,
                         std::string address, time_point now);

// Returns a message without updates and facts.
outgoing_message ComposeWithoutGossip(const state& state, message_kind kind,
                                      std::string receiver_id, std::string address, time_point now);

// Sends queued updates and facts to settings::gossip_fanout random members.
void Broadcast(state& state, time_point now, effects& effects);

// Sends queued updates and facts to one random member; does nothing if nothing is queued.
void GossipToOneMember(state& state, time_point now, effects& effects);

bool HasQueuedGossip(const state& state);

// Stores the facts that are new or have a higher version, queues them for gossip, and broadcasts if
// one of them is urgent.
void ApplyFacts(state& state, const std::vector<fact>& facts, time_point now, effects& effects);

// Adds the gossip bytes that `elapsed` earns to the token bucket.
void RefillGossipTokens(state& state, duration elapsed);

// Queues `fact` as not sent yet.
void QueueFact(state& state, const fact& fact);

}  // namespace balsambay::membership::details
