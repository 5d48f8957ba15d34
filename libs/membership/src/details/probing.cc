// Probes one member per period, in a random order that visits each member once per round.
#include "details/probing.h"

#include <algorithm>

#include "details/gossip.h"
#include "details/members.h"

namespace balsambay::membership::details {
namespace {

constexpr double kPeriodJitter = 0.1;  // relative

void RefillProbeOrder(state& state) {
  for (const auto& [id, member] : state.members) {
    if (IsLive(member.status)) state.probe_order.push_back(id);
  }
  std::ranges::shuffle(state.probe_order, state.rng);
}

// Removes and returns the next live member of the probe order; nullptr if no member is live.
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

void SendPing(state& state, const member& target, uint64_t sequence, time_point now,
              effects& effects) {
  outgoing_message ping = Compose(state, message_kind::kPing, target.id, target.address, now);
  ping.content.sequence = sequence;
  effects.outgoing_messages.push_back(std::move(ping));
}

void StartAttempt(state& state, const member& target, int attempt, time_point now,
                  effects& effects) {
  const uint64_t sequence = state.next_sequence++;
  ++state.counters.probes;
  state.current_probe = probe{.target = target.id,
                              .sequence = sequence,
                              .started = now,
                              .indirect_due = now + state.config.direct_timeout,
                              .deadline = now + state.config.period,
                              .attempt = attempt};
  SendPing(state, target, sequence, now, effects);
}

void StartProbe(state& state, time_point now, effects& effects) {
  const member* target = NextTarget(state);
  if (target != nullptr) StartAttempt(state, *target, 1, now, effects);
}

// Repeats the direct ping and asks random members to ping the target as well.
void SendIndirectProbes(state& state, time_point now, effects& effects) {
  probe& current = *state.current_probe;
  current.indirect_due = kNever;
  ++state.counters.indirect_rounds;
  const auto target = state.members.find(current.target);
  if (target == state.members.end()) return;
  const std::string address = target->second.address;
  SendPing(state, target->second, current.sequence, now, effects);
  const auto helpers = static_cast<size_t>(state.config.indirect_probes);
  for (const member* helper : PickRandomMembers(state, helpers, current.target)) {
    outgoing_message request =
        Compose(state, message_kind::kPingRequest, helper->id, helper->address, now);
    request.content.sequence = current.sequence;
    request.content.target = current.target;
    request.content.target_address = address;
    effects.outgoing_messages.push_back(std::move(request));
  }
}

// Ends an attempt that was not acknowledged: starts another attempt, or suspects the target.
// Another ping carries the suspicion to the target, so that it can refute at once.
void EndAttempt(state& state, time_point now, effects& effects) {
  const probe ended = *state.current_probe;
  state.current_probe.reset();
  const auto found = state.members.find(ended.target);
  if (found == state.members.end() || !IsLive(found->second.status)) return;
  if (ended.attempt < state.config.probe_attempts) {
    StartAttempt(state, found->second, ended.attempt + 1, now, effects);
    return;
  }
  member_update update = UpdateOf(found->second);
  update.status = member_status::kSuspect;
  ++state.counters.suspicions;
  ApplyUpdate(state, update, now, effects);
  SendPing(state, found->second, state.next_sequence++, now, effects);
}

void ExpireRelayed(state& state, time_point now) {
  std::erase_if(state.relayed_probes,
                [now](const auto& entry) { return entry.second.expires <= now; });
}

// Members, and facts, per sync reply; 64 members take about 3 KB.
constexpr size_t kSyncBatchSize = 64;

std::vector<member_update> LiveUpdates(const state& state) {
  std::vector<member_update> updates = {OwnUpdate(state)};
  for (const auto& [id, member] : state.members) {
    if (IsLive(member.status)) updates.push_back(UpdateOf(member));
  }
  return updates;
}

std::vector<fact> UrgentFacts(const state& state) {
  std::vector<fact> facts;
  const auto collect = [&facts](const auto& source) {
    for (const auto& [key, fact] : source) {
      if (fact.urgent) facts.push_back(fact);
    }
  };
  collect(state.own_facts);
  for (const auto& [id, member] : state.members) {
    if (IsLive(member.status)) collect(member.facts);
  }
  return facts;
}

// Moves up to kSyncBatchSize elements from the end of `remaining` to `batch`.
template <class T>
void MoveBatch(std::vector<T>& remaining, std::vector<T>& batch) {
  const auto count = static_cast<std::ptrdiff_t>(std::min(remaining.size(), kSyncBatchSize));
  batch.assign(remaining.end() - count, remaining.end());
  remaining.resize(remaining.size() - static_cast<size_t>(count));
}

// Sends the live members and urgent facts to the sender of `request`, in batches.
void SendTable(state& state, const message& request, time_point now, effects& effects) {
  std::vector<member_update> updates = LiveUpdates(state);
  std::vector<fact> facts = UrgentFacts(state);
  while (!updates.empty() || !facts.empty()) {
    outgoing_message reply = ComposeWithoutGossip(state, message_kind::kSyncReply,
                                                  request.sender_id, request.sender_address, now);
    MoveBatch(updates, reply.content.updates);
    MoveBatch(facts, reply.content.facts);
    effects.outgoing_messages.push_back(std::move(reply));
  }
}

// Sequence of a sync request that is sent in response to another one. The receiver does not respond
// with a third request.
constexpr uint64_t kReverseSyncSequence = 1;

void SendSyncRequest(state& state, const std::string& receiver_id, const std::string& address,
                     uint64_t sequence, time_point now, effects& effects) {
  outgoing_message request = Compose(state, message_kind::kSyncRequest, receiver_id, address, now);
  request.content.digest = TableDigest(state);
  request.content.sequence = sequence;
  effects.outgoing_messages.push_back(std::move(request));
}

bool IsLiveAddress(const state& state, const std::string& address) {
  return address == state.config.address ||
         std::ranges::any_of(state.members, [&address](const auto& entry) {
           return entry.second.address == address && IsLive(entry.second.status);
         });
}

// Sends a sync request to all seeds while no other member is live, else to a random one of the
// seeds that are not live members.
void ContactSeeds(state& state, time_point now, effects& effects) {
  std::vector<std::string> missing;
  for (const std::string& seed : state.config.seeds) {
    if (!IsLiveAddress(state, seed)) missing.push_back(seed);
  }
  if (missing.empty()) return;
  if (LiveMemberCount(state) > 1) missing = {missing[UniformBelow(state.rng, missing.size())]};
  for (const std::string& seed : missing) SendSyncRequest(state, "", seed, 0, now, effects);
}

// Pings one random failed member.
void ContactFailed(state& state, time_point now, effects& effects) {
  std::vector<const member*> failed;
  for (const auto& [id, member] : state.members) {
    if (member.status == member_status::kFailed) failed.push_back(&member);
  }
  if (failed.empty()) return;
  SendPing(state, *failed[UniformBelow(state.rng, failed.size())], state.next_sequence++, now,
           effects);
}

}  // namespace

void AdvanceProbe(state& state, time_point now, effects& effects) {
  ExpireRelayed(state, now);
  if (state.current_probe && state.current_probe->indirect_due <= now)
    SendIndirectProbes(state, now, effects);
  if (state.current_probe && state.current_probe->deadline <= now) EndAttempt(state, now, effects);
  if (state.next_probe > now || state.current_probe) return;
  state.next_probe = now + Jitter(state.rng, state.config.period, kPeriodJitter);
  StartProbe(state, now, effects);
}

void ReplyToPing(state& state, const message& ping, time_point now, effects& effects) {
  outgoing_message ack =
      Compose(state, message_kind::kAck, ping.sender_id, ping.sender_address, now);
  ack.content.sequence = ping.sequence;
  ack.content.target = state.config.id;
  effects.outgoing_messages.push_back(std::move(ack));
}

void RelayPing(state& state, const message& request, time_point now, effects& effects) {
  if (state.relayed_probes.size() >= state.config.max_members) return;
  const uint64_t sequence = state.next_sequence++;
  state.relayed_probes[sequence] = {request.sender_id, request.target, request.sequence,
                                    now + state.config.period};
  member target;
  target.id = request.target;
  target.address = request.target_address;
  SendPing(state, target, sequence, now, effects);
}

void OnAck(state& state, const message& ack, time_point now, effects& effects) {
  const bool is_direct = ack.target == ack.sender_id;
  if (state.current_probe && state.current_probe->sequence == ack.sequence &&
      state.current_probe->target == ack.target) {
    state.current_probe.reset();
  }
  const auto found = state.relayed_probes.find(ack.sequence);
  if (!is_direct || found == state.relayed_probes.end() || found->second.target != ack.sender_id)
    return;
  const relayed_probe relayed = found->second;
  state.relayed_probes.erase(found);
  const auto requester = state.members.find(relayed.requester);
  if (requester == state.members.end()) return;
  outgoing_message reply =
      Compose(state, message_kind::kAck, requester->second.id, requester->second.address, now);
  reply.content.sequence = relayed.requester_sequence;
  reply.content.target = relayed.target;
  effects.outgoing_messages.push_back(std::move(reply));
}

void CompleteProbe(state& state, const std::string& id) {
  if (state.current_probe && state.current_probe->target == id) state.current_probe.reset();
}

void RequestSync(state& state, time_point now, effects& effects) {
  for (const member* target : PickRandomMembers(state, 1)) {
    SendSyncRequest(state, target->id, target->address, 0, now, effects);
  }
}

void ReplyToSync(state& state, const message& request, time_point now, effects& effects) {
  if (request.digest == TableDigest(state)) return;
  state.next_sync = std::min(state.next_sync, now + state.config.resync_delay);
  SendTable(state, request, now, effects);
  if (request.sequence == kReverseSyncSequence) return;
  SendSyncRequest(state, request.sender_id, request.sender_address, kReverseSyncSequence, now,
                  effects);
}

void ContactUnreachable(state& state, time_point now, effects& effects) {
  ContactSeeds(state, now, effects);
  ContactFailed(state, now, effects);
}

}  // namespace balsambay::membership::details
