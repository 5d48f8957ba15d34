// News travel on every message, within a bound for each message and a byte budget a second.
#include "details/gossip.h"

#include <algorithm>
#include <cmath>

#include "details/members.h"

namespace balsambay::membership::details {
namespace {

// Bytes of one CBOR list item beside its texts: numbers, status and list heads.
constexpr size_t kItemOverheadBytes = 16;
// Normal facts reach about 94% of a zone with 3 sends each; the next version reaches the rest.
constexpr int kNormalFactSends = 3;
// Ranks of normal facts start here, behind all urgent ones.
constexpr int kNormalFactRank = 1000;
// Unused budget is kept for this long, so that news after a quiet time leave at once.
constexpr double kBurstSeconds = 2;
constexpr char kSeparator = '\x1f';

std::string FactName(const fact& item) { return item.origin + kSeparator + item.key; }

const fact* FindFact(const state& state, std::string_view name) {
  const size_t split = name.find(kSeparator);
  const std::string_view origin = name.substr(0, split);
  const std::string_view key = name.substr(split + 1);
  const auto* facts = &state.own_facts;
  if (origin != state.config.id) {
    const auto member = state.members.find(origin);
    if (member == state.members.end()) return nullptr;
    facts = &member->second.facts;
  }
  const auto found = facts->find(key);
  return found == facts->end() ? nullptr : &found->second;
}

int SendLimit(const state& state) {
  const double digits = std::ceil(std::log10(static_cast<double>(LiveCount(state) + 1)));
  return state.config.transmission_factor * std::max(1, static_cast<int>(digits));
}

size_t SizeOf(const member_update& update) {
  return update.id.size() + update.address.size() + kItemOverheadBytes;
}

size_t SizeOf(const fact& item) {
  return item.origin.size() + item.key.size() + item.value.size() + kItemOverheadBytes;
}

member_update UpdateFor(const state& state, const std::string& id) {
  if (id == state.config.id) return OwnUpdate(state);
  const auto found = state.members.find(id);
  return found == state.members.end() ? member_update{} : UpdateOf(found->second);
}

void CountSend(gossip_queue& queue, const std::string& key, int rank, int limit) {
  if (rank >= limit) {
    Remove(queue, key);
  } else {
    Put(queue, key, rank);
  }
}

// What one message and the byte budget still allow.
struct news_budget {
  size_t message_bytes;
  double& tokens;
};

bool Take(news_budget& budget, size_t size) {
  if (size > budget.message_bytes || static_cast<double>(size) > budget.tokens) return false;
  budget.message_bytes -= size;
  budget.tokens -= static_cast<double>(size);
  return true;
}

void AddUpdates(state& state, news_budget& budget, std::vector<member_update>& out) {
  const int limit = SendLimit(state);
  std::vector<std::pair<int, std::string>> taken;
  for (const auto& [rank, id] : state.update_queue.order) {
    member_update update = UpdateFor(state, id);
    if (!Take(budget, SizeOf(update))) break;
    taken.emplace_back(rank, id);
    if (!update.id.empty()) out.push_back(std::move(update));
  }
  for (const auto& [rank, id] : taken) CountSend(state.update_queue, id, rank + 1, limit);
}

// Facts of ranks in [first, end); each is sent until its rank reaches `limit`.
void AddFacts(state& state, int first, int end, int limit, news_budget& budget,
              std::vector<fact>& out) {
  std::vector<std::pair<int, std::string>> taken;
  const auto& order = state.fact_queue.order;
  for (auto it = order.lower_bound({first, ""}); it != order.end() && it->first < end; ++it) {
    const fact* item = FindFact(state, it->second);
    if (!Take(budget, item == nullptr ? 0 : SizeOf(*item))) break;
    taken.push_back(*it);
    if (item != nullptr) out.push_back(*item);
  }
  for (const auto& [rank, name] : taken) CountSend(state.fact_queue, name, rank + 1, limit);
}

// Urgent facts first, then member updates, then normal facts.
void AddNews(state& state, message& out) {
  news_budget budget{state.config.max_piggyback_bytes, state.gossip_tokens};
  const int urgent_limit = std::min(SendLimit(state), kNormalFactRank - 1);
  AddFacts(state, 0, kNormalFactRank, urgent_limit, budget, out.facts);
  AddUpdates(state, budget, out.updates);
  const int normal_limit = kNormalFactRank + kNormalFactSends;
  AddFacts(state, kNormalFactRank, normal_limit, normal_limit, budget, out.facts);
}

// A receiver that is believed suspect, failed or gone must learn it to be able to refute.
void AddAccusation(const state& state, const std::string& to, std::vector<member_update>& out) {
  const auto found = state.members.find(to);
  if (found == state.members.end() || found->second.status == member_status::kAlive) return;
  out.push_back(UpdateOf(found->second));
}

uint64_t AgeMs(const state& state, time_point now) {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - state.config_confirmed);
  return static_cast<uint64_t>(std::max<int64_t>(age.count(), 0));
}

message Header(const state& state, message_kind kind, time_point now) {
  message out;
  out.kind = kind;
  out.zone = state.config.zone;
  out.sender_id = state.config.id;
  out.sender_address = state.config.address;
  out.incarnation = state.incarnation;
  out.status = OwnUpdate(state).status;
  out.config_version = state.config_version;
  if (state.config_version != 0) out.config_age_ms = AgeMs(state, now);
  return out;
}

void GossipTo(state& state, size_t count, time_point now, effects& out) {
  for (const member* target : PickRandomMembers(state, count)) {
    send next = Compose(state, message_kind::kGossip, target->id, target->address, now);
    if (next.content.updates.empty() && next.content.facts.empty()) return;
    out.sends.push_back(std::move(next));
  }
}

// Whether `item` is new and was stored.
bool StoreFact(state& state, const fact& item) {
  const auto origin = state.members.find(item.origin);
  if (origin == state.members.end() || !IsLive(origin->second.status)) return false;
  auto& facts = origin->second.facts;
  const auto known = facts.find(item.key);
  if (known != facts.end() && known->second.version >= item.version) return false;
  const bool too_many = known == facts.end() && facts.size() >= state.config.max_facts;
  if (too_many || item.value.size() > state.config.max_fact_bytes) {
    ++state.counters.limit_rejections;
    return false;
  }
  facts[item.key] = item;
  return true;
}

}  // namespace

send ComposeWithoutGossip(const state& state, message_kind kind, std::string to,
                          std::string address, time_point now) {
  return {std::move(to), std::move(address), Header(state, kind, now)};
}

send Compose(state& state, message_kind kind, std::string to, std::string address, time_point now) {
  send out = ComposeWithoutGossip(state, kind, std::move(to), std::move(address), now);
  AddAccusation(state, out.to, out.content.updates);
  AddNews(state, out.content);
  return out;
}

void Broadcast(state& state, time_point now, effects& out) {
  GossipTo(state, static_cast<size_t>(state.config.gossip_fanout), now, out);
}

void GossipToOneMember(state& state, time_point now, effects& out) {
  if (HasQueuedGossip(state)) GossipTo(state, 1, now, out);
}

bool HasQueuedGossip(const state& state) {
  return !state.update_queue.order.empty() || !state.fact_queue.order.empty();
}

void ApplyFacts(state& state, const std::vector<fact>& facts, time_point now, effects& out) {
  bool urgent = false;
  for (const fact& item : facts) {
    if (!StoreFact(state, item)) continue;
    out.facts.push_back(item);
    QueueFact(state, item);
    urgent = urgent || item.urgent;
  }
  if (urgent) Broadcast(state, now, out);
}

void RefillGossipTokens(state& state, duration elapsed) {
  const auto rate = static_cast<double>(state.config.gossip_bytes_per_second);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  state.gossip_tokens = std::min(rate * kBurstSeconds, state.gossip_tokens + rate * seconds);
}

void QueueFact(state& state, const fact& item) {
  Put(state.fact_queue, FactName(item), item.urgent ? 0 : kNormalFactRank);
}

}  // namespace balsambay::membership::details
