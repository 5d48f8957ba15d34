// Piggybacks updates and facts on messages, within a byte limit per message and a byte rate.
#include "details/gossip.h"

#include <algorithm>
#include <cmath>

#include "details/members.h"

namespace balsambay::membership::details {
namespace {

// Estimated bytes of an update or fact in CBOR without its strings: numbers, status and array
// heads.
constexpr size_t kEntryOverheadBytes = 16;
// Normal facts are sent 3 times by each daemon and reach about 94% of a zone; the next version
// reaches the rest.
constexpr int kNormalFactSends = 3;
// First rank of normal facts. The ranks of urgent facts are lower, so that they are sent first.
constexpr int kFirstNormalFactRank = 1000;
// Capacity of the token bucket in seconds of its rate, so that updates and facts after a period
// without any are sent at once.
constexpr double kBurstSeconds = 2;
// Separates origin and key of a fact in its queue key.
constexpr char kSeparator = '\x1f';

std::string FactQueueKey(const fact& fact) { return fact.origin + kSeparator + fact.key; }

// Returns nullptr if the fact or its origin is no longer known.
const fact* FindFact(const state& state, std::string_view queue_key) {
  const size_t split = queue_key.find(kSeparator);
  const std::string_view origin = queue_key.substr(0, split);
  const std::string_view key = queue_key.substr(split + 1);
  const auto* facts = &state.own_facts;
  if (origin != state.config.id) {
    const auto member = state.members.find(origin);
    if (member == state.members.end()) return nullptr;
    facts = &member->second.facts;
  }
  const auto found = facts->find(key);
  return found == facts->end() ? nullptr : &found->second;
}

// Number of times that an update or urgent fact is sent.
int SendLimit(const state& state) {
  const double digits = std::ceil(std::log10(static_cast<double>(LiveMemberCount(state) + 1)));
  return state.config.transmission_factor * std::max(1, static_cast<int>(digits));
}

size_t SizeOf(const member_update& update) {
  return update.id.size() + update.address.size() + kEntryOverheadBytes;
}

size_t SizeOf(const fact& fact) {
  return fact.origin.size() + fact.key.size() + fact.value.size() + kEntryOverheadBytes;
}

// Returns an update with an empty id if the member is no longer known.
member_update UpdateFor(const state& state, const std::string& id) {
  if (id == state.config.id) return OwnUpdate(state);
  const auto found = state.members.find(id);
  return found == state.members.end() ? member_update{} : UpdateOf(found->second);
}

// Changes the rank of a sent entry to `rank`, or removes the entry if `rank` has reached `limit`.
void RecordSend(gossip_queue& queue, const std::string& key, int rank, int limit) {
  if (rank >= limit) {
    Remove(queue, key);
  } else {
    Put(queue, key, rank);
  }
}

// Bytes that may still be added to one message.
struct piggyback_budget {
  size_t message_bytes;  // left of settings::max_piggyback_bytes
  double& tokens;        // state::gossip_tokens
};

// Reserves `size` bytes; returns false if the budget is too small.
bool Reserve(piggyback_budget& budget, size_t size) {
  if (size > budget.message_bytes || static_cast<double>(size) > budget.tokens) return false;
  budget.message_bytes -= size;
  budget.tokens -= static_cast<double>(size);
  return true;
}

void AddUpdates(state& state, piggyback_budget& budget, std::vector<member_update>& updates) {
  const int limit = SendLimit(state);
  std::vector<std::pair<int, std::string>> sent;
  for (const auto& [rank, id] : state.update_queue.order) {
    member_update update = UpdateFor(state, id);
    if (!Reserve(budget, SizeOf(update))) break;
    sent.emplace_back(rank, id);
    if (!update.id.empty()) updates.push_back(std::move(update));
  }
  for (const auto& [rank, id] : sent) RecordSend(state.update_queue, id, rank + 1, limit);
}

// Adds queued facts with ranks in [first_rank, end_rank). A fact stays queued until its rank
// reaches `limit`.
void AddFacts(state& state, int first_rank, int end_rank, int limit, piggyback_budget& budget,
              std::vector<fact>& facts) {
  std::vector<std::pair<int, std::string>> sent;
  const auto& order = state.fact_queue.order;
  for (auto it = order.lower_bound({first_rank, ""}); it != order.end() && it->first < end_rank;
       ++it) {
    const fact* fact = FindFact(state, it->second);
    if (!Reserve(budget, fact == nullptr ? 0 : SizeOf(*fact))) break;
    sent.push_back(*it);
    if (fact != nullptr) facts.push_back(*fact);
  }
  for (const auto& [rank, queue_key] : sent)
    RecordSend(state.fact_queue, queue_key, rank + 1, limit);
}

// Adds queued entries in the order urgent facts, updates, normal facts.
void AddPiggyback(state& state, message& message) {
  piggyback_budget budget{state.config.max_piggyback_bytes, state.gossip_tokens};
  const int urgent_limit = std::min(SendLimit(state), kFirstNormalFactRank - 1);
  AddFacts(state, 0, kFirstNormalFactRank, urgent_limit, budget, message.facts);
  AddUpdates(state, budget, message.updates);
  const int normal_limit = kFirstNormalFactRank + kNormalFactSends;
  AddFacts(state, kFirstNormalFactRank, normal_limit, normal_limit, budget, message.facts);
}

// Adds the receiver's own status if it is known as suspect, failed or left, so that the receiver
// can refute it.
void AddReceiverStatus(const state& state, const std::string& receiver_id,
                       std::vector<member_update>& updates) {
  const auto found = state.members.find(receiver_id);
  if (found == state.members.end() || found->second.status == member_status::kAlive) return;
  updates.push_back(UpdateOf(found->second));
}

// Time since the configuration version was last known to be the latest.
uint64_t ConfigAgeMs(const state& state, time_point now) {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - state.config_confirmed);
  return static_cast<uint64_t>(std::max<int64_t>(age.count(), 0));
}

// Returns a message with the fields that every kind of message has.
message MakeHeader(const state& state, message_kind kind, time_point now) {
  message header;
  header.kind = kind;
  header.zone = state.config.zone;
  header.sender_id = state.config.id;
  header.sender_address = state.config.address;
  header.incarnation = state.incarnation;
  header.status = OwnUpdate(state).status;
  header.config_version = state.config_version;
  if (state.config_version != 0) header.config_age_ms = ConfigAgeMs(state, now);
  return header;
}

// Sends gossip to up to `count` random members, until nothing more is queued or allowed.
void GossipToMembers(state& state, size_t count, time_point now, effects& effects) {
  for (const member* target : PickRandomMembers(state, count)) {
    outgoing_message gossip =
        Compose(state, message_kind::kGossip, target->id, target->address, now);
    if (gossip.content.updates.empty() && gossip.content.facts.empty()) return;
    effects.outgoing_messages.push_back(std::move(gossip));
  }
}

// Stores `fact` unless its version is not higher than the stored one, its origin is not a live
// member or a limit is exceeded. Returns whether it was stored.
bool StoreFact(state& state, const fact& fact) {
  const auto origin = state.members.find(fact.origin);
  if (origin == state.members.end() || !IsLive(origin->second.status)) return false;
  auto& facts = origin->second.facts;
  const auto stored = facts.find(fact.key);
  if (stored != facts.end() && stored->second.version >= fact.version) return false;
  const bool too_many = stored == facts.end() && facts.size() >= state.config.max_facts;
  if (too_many || fact.value.size() > state.config.max_fact_bytes) {
    ++state.counters.limit_rejections;
    return false;
  }
  facts[fact.key] = fact;
  return true;
}

}  // namespace

outgoing_message ComposeWithoutGossip(const state& state, message_kind kind,
                                      std::string receiver_id, std::string address,
                                      time_point now) {
  return {std::move(receiver_id), std::move(address), MakeHeader(state, kind, now)};
}

outgoing_message Compose(state& state, message_kind kind, std::string receiver_id,
                         std::string address, time_point now) {
  outgoing_message composed =
      ComposeWithoutGossip(state, kind, std::move(receiver_id), std::move(address), now);
  AddReceiverStatus(state, composed.receiver_id, composed.content.updates);
  AddPiggyback(state, composed.content);
  return composed;
}

void Broadcast(state& state, time_point now, effects& effects) {
  GossipToMembers(state, static_cast<size_t>(state.config.gossip_fanout), now, effects);
}

void GossipToOneMember(state& state, time_point now, effects& effects) {
  if (HasQueuedGossip(state)) GossipToMembers(state, 1, now, effects);
}

bool HasQueuedGossip(const state& state) {
  return !state.update_queue.order.empty() || !state.fact_queue.order.empty();
}

void ApplyFacts(state& state, const std::vector<fact>& facts, time_point now, effects& effects) {
  bool urgent = false;
  for (const fact& fact : facts) {
    if (!StoreFact(state, fact)) continue;
    effects.facts.push_back(fact);
    QueueFact(state, fact);
    urgent = urgent || fact.urgent;
  }
  if (urgent) Broadcast(state, now, effects);
}

void RefillGossipTokens(state& state, duration elapsed) {
  const auto rate = static_cast<double>(state.config.gossip_bytes_per_second);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  state.gossip_tokens = std::min(rate * kBurstSeconds, state.gossip_tokens + rate * seconds);
}

void QueueFact(state& state, const fact& fact) {
  Put(state.fact_queue, FactQueueKey(fact), fact.urgent ? 0 : kFirstNormalFactRank);
}

}  // namespace balsambay::membership::details
