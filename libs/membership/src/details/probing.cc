// Probes: one member a period, in a shuffled order that visits each member once a round.
#include "details/probing.h"

#include <algorithm>

#include "details/gossip.h"
#include "details/members.h"

namespace balsambay::membership::details {
namespace {

constexpr double kPeriodJitter = 0.1;

void RefillProbeOrder(state& state) {
  for (const auto& [id, member] : state.members) {
    if (IsLive(member.status)) state.probe_order.push_back(id);
  }
  std::ranges::shuffle(state.probe_order, state.rng);
}

// The next live member in the order, or nullptr when there is none.
const member* NextTarget(state& state) {
  if (state.probe_order.empty()) RefillProbeOrder(state);
  while (!state.probe_order.empty()) {
    const std::string id = state.probe_order.back();
    state.probe_order.pop_back();
    const auto found = state.members.find(id);
    if (found != state.members.end() && IsLive(found->second.status)) return &found->second;
  }
  return nullptr;
}

void SendPing(state& state, const member& target, uint64_t sequence, time_point now, effects& out) {
  send ping = Compose(state, message_kind::kPing, target.id, target.address, now);
  ping.content.sequence = sequence;
  out.sends.push_back(std::move(ping));
}

void StartAttempt(state& state, const member& target, int attempt, time_point now, effects& out) {
  const uint64_t sequence = state.next_sequence++;
  ++state.counters.probes;
  state.current_probe = probe{.target = target.id,
                              .sequence = sequence,
                              .started = now,
                              .indirect_due = now + state.config.direct_timeout,
                              .deadline = now + state.config.period,
                              .attempt = attempt};
  SendPing(state, target, sequence, now, out);
}

void StartProbe(state& state, time_point now, effects& out) {
  const member* target = NextTarget(state);
  if (target != nullptr) StartAttempt(state, *target, 1, now, out);
}

void SendIndirect(state& state, time_point now, effects& out) {
  probe& current = *state.current_probe;
  current.indirect_due = kNever;
  ++state.counters.indirect_rounds;
  const auto target = state.members.find(current.target);
  if (target == state.members.end()) return;
  const std::string address = target->second.address;
  SendPing(state, target->second, current.sequence, now, out);
  const auto helpers = static_cast<size_t>(state.config.indirect_probes);
  for (const member* helper : PickRandomMembers(state, helpers, current.target)) {
    send request = Compose(state, message_kind::kPingRequest, helper->id, helper->address, now);
    request.content.sequence = current.sequence;
    request.content.target = current.target;
    request.content.target_address = address;
    out.sends.push_back(std::move(request));
  }
}

// Starts another attempt, or suspects the member. The suspected member gets the suspicion with one
// more ping, so that it can refute at once.
void EndAttempt(state& state, time_point now, effects& out) {
  const probe last = *state.current_probe;
  state.current_probe.reset();
  const auto found = state.members.find(last.target);
  if (found == state.members.end() || !IsLive(found->second.status)) return;
  if (last.attempt < state.config.probe_attempts) {
    StartAttempt(state, found->second, last.attempt + 1, now, out);
    return;
  }
  member_update update = UpdateOf(found->second);
  update.status = member_status::kSuspect;
  ++state.counters.suspicions;
  ApplyUpdate(state, update, now, out);
  SendPing(state, found->second, state.next_sequence++, now, out);
}

void ExpireRelayed(state& state, time_point now) {
  std::erase_if(state.relayed_probes,
                [now](const auto& entry) { return entry.second.expires <= now; });
}

// Members per message of a table exchange; about 3 KB.
constexpr size_t kSyncBatch = 64;

std::vector<member_update> LiveUpdates(const state& state) {
  std::vector<member_update> updates = {OwnUpdate(state)};
  for (const auto& [id, member] : state.members) {
    if (IsLive(member.status)) updates.push_back(UpdateOf(member));
  }
  return updates;
}

std::vector<fact> UrgentFacts(const state& state) {
  std::vector<fact> facts;
  const auto collect = [&facts](const auto& from) {
    for (const auto& [key, item] : from) {
      if (item.urgent) facts.push_back(item);
    }
  };
  collect(state.own_facts);
  for (const auto& [id, member] : state.members) {
    if (IsLive(member.status)) collect(member.facts);
  }
  return facts;
}

template <class T>
void TakeBatch(std::vector<T>& from, std::vector<T>& to) {
  const auto count = static_cast<std::ptrdiff_t>(std::min(from.size(), kSyncBatch));
  to.assign(from.end() - count, from.end());
  from.resize(from.size() - static_cast<size_t>(count));
}

void SendTable(state& state, const message& request, time_point now, effects& out) {
  std::vector<member_update> updates = LiveUpdates(state);
  std::vector<fact> facts = UrgentFacts(state);
  while (!updates.empty() || !facts.empty()) {
    send part = ComposeWithoutGossip(state, message_kind::kSyncReply, request.sender_id,
                                     request.sender_address, now);
    TakeBatch(updates, part.content.updates);
    TakeBatch(facts, part.content.facts);
    out.sends.push_back(std::move(part));
  }
}

// Sequence of a sync request that answers another one; it is not answered by a third.
constexpr uint64_t kAnswerSequence = 1;

void SendSyncRequest(state& state, const std::string& to, const std::string& address,
                     uint64_t sequence, time_point now, effects& out) {
  send request = Compose(state, message_kind::kSyncRequest, to, address, now);
  request.content.digest = TableDigest(state);
  request.content.sequence = sequence;
  out.sends.push_back(std::move(request));
}

bool IsLiveAddress(const state& state, const std::string& address) {
  return address == state.config.address ||
         std::ranges::any_of(state.members, [&address](const auto& entry) {
           return entry.second.address == address && IsLive(entry.second.status);
         });
}

void ContactSeeds(state& state, time_point now, effects& out) {
  std::vector<std::string> lost;
  for (const std::string& seed : state.config.seeds) {
    if (!IsLiveAddress(state, seed)) lost.push_back(seed);
  }
  if (lost.empty()) return;
  if (LiveCount(state) > 1) lost = {lost[UniformBelow(state.rng, lost.size())]};
  for (const std::string& seed : lost) SendSyncRequest(state, "", seed, 0, now, out);
}

void ContactFailed(state& state, time_point now, effects& out) {
  std::vector<const member*> failed;
  for (const auto& [id, member] : state.members) {
    if (member.status == member_status::kFailed) failed.push_back(&member);
  }
  if (failed.empty()) return;
  SendPing(state, *failed[UniformBelow(state.rng, failed.size())], state.next_sequence++, now, out);
}

}  // namespace

void AdvanceProbe(state& state, time_point now, effects& out) {
  ExpireRelayed(state, now);
  if (state.current_probe && state.current_probe->indirect_due <= now)
    SendIndirect(state, now, out);
  if (state.current_probe && state.current_probe->deadline <= now) EndAttempt(state, now, out);
  if (state.next_probe > now || state.current_probe) return;
  state.next_probe = now + Jitter(state.rng, state.config.period, kPeriodJitter);
  StartProbe(state, now, out);
}

void ReplyToPing(state& state, const message& ping, time_point now, effects& out) {
  send ack = Compose(state, message_kind::kAck, ping.sender_id, ping.sender_address, now);
  ack.content.sequence = ping.sequence;
  ack.content.target = state.config.id;
  out.sends.push_back(std::move(ack));
}

void RelayPing(state& state, const message& request, time_point now, effects& out) {
  if (state.relayed_probes.size() >= state.config.max_members) return;
  const uint64_t sequence = state.next_sequence++;
  state.relayed_probes[sequence] = {request.sender_id, request.target, request.sequence,
                                    now + state.config.period};
  member target;
  target.id = request.target;
  target.address = request.target_address;
  SendPing(state, target, sequence, now, out);
}

void OnAck(state& state, const message& ack, time_point now, effects& out) {
  const bool direct = ack.target == ack.sender_id;
  if (state.current_probe && state.current_probe->sequence == ack.sequence &&
      state.current_probe->target == ack.target) {
    state.current_probe.reset();
  }
  const auto found = state.relayed_probes.find(ack.sequence);
  if (!direct || found == state.relayed_probes.end() || found->second.target != ack.sender_id)
    return;
  const relayed_probe relayed = found->second;
  state.relayed_probes.erase(found);
  const auto requester = state.members.find(relayed.requester);
  if (requester == state.members.end()) return;
  send reply =
      Compose(state, message_kind::kAck, requester->second.id, requester->second.address, now);
  reply.content.sequence = relayed.requester_sequence;
  reply.content.target = relayed.target;
  out.sends.push_back(std::move(reply));
}

void CompleteProbe(state& state, const std::string& id) {
  if (state.current_probe && state.current_probe->target == id) state.current_probe.reset();
}

void RequestSync(state& state, time_point now, effects& out) {
  for (const member* target : PickRandomMembers(state, 1)) {
    SendSyncRequest(state, target->id, target->address, 0, now, out);
  }
}

void ReplyToSync(state& state, const message& request, time_point now, effects& out) {
  if (request.digest == TableDigest(state)) return;
  state.next_sync = std::min(state.next_sync, now + state.config.resync_delay);
  SendTable(state, request, now, out);
  if (request.sequence == kAnswerSequence) return;
  SendSyncRequest(state, request.sender_id, request.sender_address, kAnswerSequence, now, out);
}

void ContactUnreachable(state& state, time_point now, effects& out) {
  ContactSeeds(state, now, out);
  ContactFailed(state, now, out);
}

}  // namespace balsambay::membership::details
