// Entry points that concern the whole set.
#include "details/shard_set.h"

#include <algorithm>
#include <numeric>

namespace balsambay::ledger {

void shard_set_deleter::operator()(shard_set* set) const { delete set; }

shard_set_ptr MakeShardSet(const settings& settings, const faults& faults) {
  CheckInvariant(Validate(settings).has_value(), "the settings of the ledger are valid");
  shard_set_ptr set(new shard_set);
  set->config = settings;
  set->broken = faults;
  set->shards.resize(settings.shard_count);
  SetLive(*set, {}, time_point{});
  return set;
}

void SetLive(shard_set& set, std::span<const std::string> live, time_point now) {
  set.live.assign(live.begin(), live.end());
  if (std::ranges::find(live, set.config.self) == live.end()) set.live.push_back(set.config.self);
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    const auto order = RankOwners(id, set.live);
    const auto self = std::ranges::find(order, set.config.self);
    set.shards[id].rank = static_cast<uint32_t>(self - order.begin());
    set.shards[id].preferred = order.front();
  }
  if (set.observe_call == 0) set.observe_deadline = now;
}

int64_t WallMs(const shard_set& set, time_point now) {
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - set.tick_time);
  return set.wall_ms + elapsed.count();
}

void Emit(shard_set& set, lease::table_call call, effects& out) {
  const bool read = std::holds_alternative<table::read_request>(call.request);
  ++(read ? set.count.reads : set.count.transactions);
  out.emplace_back(std::move(call));
}

effects OnTick(shard_set& set, time_point now, int64_t wall_ms) {
  effects out;
  set.tick_time = now;
  set.wall_ms = wall_ms;
  RefuseLateChanges(set, now, out);
  RefuseLateReads(set, now, out);
  TickBatch(set, now, out);
  TickShards(set, now, out);
  SweepExpired(set, now);
  StartBatchIfDue(set, now, out);
  return out;
}

effects OnTableReply(shard_set& set, uint64_t id, lease::table_outcome outcome, time_point now) {
  effects out;
  if (id == 0) return out;
  const bool handled = OnBatchReply(set, id, outcome, now, out) ||
                       OnShardReply(set, id, outcome, now, out) ||
                       OnResultReply(set, id, outcome, out);
  if (handled) StartBatchIfDue(set, now, out);
  return out;
}

effects OnHandoverRequest(shard_set& set, shard_id id, std::string_view from, time_point now) {
  effects out;
  if (id >= set.shards.size()) return out;
  shard& shard = set.shards[id];
  const duration interval = set.config.handover_interval;
  const bool settled = now >= shard.held_since + interval && now >= set.last_handover + interval;
  if (shard.state != shard_state::kServing || shard.preferred != from || !settled) return out;
  Step(shard.state, shard_event::kHandOver);
  set.last_handover = now;
  StartBatchIfDue(set, now, out);
  return out;
}

effects Release(shard_set& set, time_point now) {
  effects out;
  set.stopping = true;
  for (shard& shard : set.shards) Step(shard.state, shard_event::kHandOver);
  StartBatchIfDue(set, now, out);
  return out;
}

bool Released(const shard_set& set) {
  return set.stopping && std::ranges::all_of(set.shards, [](const shard& shard) {
           return shard.state == shard_state::kForeign;
         });
}

time_point NextDeadline(const shard_set& set) {
  return std::min({NextChangeDeadline(set), NextReadDeadline(set), NextBatchDeadline(set),
                   NextShardDeadline(set), set.next_sweep});
}

std::vector<shard_id> ServedShards(const shard_set& set) {
  std::vector<shard_id> ids;
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    if (set.shards[id].state == shard_state::kServing) ids.push_back(id);
  }
  return ids;
}

size_t RecordCount(const shard_set& set) {
  return std::transform_reduce(set.shards.begin(), set.shards.end(), size_t{0}, std::plus<>(),
                               [](const shard& shard) { return shard.records.size(); });
}

const counters& Counters(const shard_set& set) { return set.count; }

}  // namespace balsambay::ledger
