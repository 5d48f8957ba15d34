// Public functions, except Claim(), Abandon() and Finish(), which are in claims.cc.
#include "details/shard_set.h"

#include <algorithm>
#include <numeric>

namespace balsambay::ledger {

void shard_set_deleter::operator()(shard_set* set) const { delete set; }

shard_set_ptr MakeShardSet(const settings& settings, const faults& faults) {
  CheckInvariant(Validate(settings).has_value(), "the settings of the ledger are valid");
  shard_set_ptr set(new shard_set);
  set->config = settings;
  set->test_faults = faults;
  set->shards.resize(settings.shard_count);
  SetLiveDaemons(*set, {}, time_point{});
  return set;
}

void SetLiveDaemons(shard_set& set, std::span<const std::string> live_daemons, time_point now) {
  set.live_daemons.assign(live_daemons.begin(), live_daemons.end());
  if (std::ranges::find(live_daemons, set.config.self) == live_daemons.end())
    set.live_daemons.push_back(set.config.self);
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    const auto ranking = RankOwners(id, set.live_daemons);
    const auto self = std::ranges::find(ranking, set.config.self);
    set.shards[id].rank = static_cast<uint32_t>(self - ranking.begin());
    set.shards[id].preferred_owner = ranking.front();
  }
  if (set.observe_call == 0) set.observe_deadline = now;
}

int64_t WallTimeMs(const shard_set& set, time_point now) {
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - set.tick_time);
  return set.wall_ms + elapsed.count();
}

void EmitCall(shard_set& set, lease::table_call call, effects& effects) {
  const bool read = std::holds_alternative<table::read_request>(call.request);
  ++(read ? set.count.reads : set.count.transactions);
  effects.emplace_back(std::move(call));
}

effects OnTick(shard_set& set, time_point now, int64_t wall_ms) {
  effects effects;
  set.tick_time = now;
  set.wall_ms = wall_ms;
  RefuseOverdueChanges(set, now, effects);
  RefuseOverdueReads(set, now, effects);
  TickBatch(set, now, effects);
  TickShards(set, now, effects);
  SweepExpired(set, now);
  StartBatchIfDue(set, now, effects);
  return effects;
}

effects OnTableReply(shard_set& set, uint64_t id, lease::table_outcome outcome, time_point now) {
  effects effects;
  if (id == 0) return effects;
  const bool handled = OnBatchReply(set, id, outcome, now, effects) ||
                       OnShardReply(set, id, outcome, now, effects) ||
                       OnResultReply(set, id, outcome, effects);
  if (handled) StartBatchIfDue(set, now, effects);
  return effects;
}

effects OnHandoverRequest(shard_set& set, shard_id id, std::string_view requester, time_point now) {
  effects effects;
  if (id >= set.shards.size()) return effects;
  shard& shard = set.shards[id];
  const duration interval = set.config.handover_interval;
  const bool interval_elapsed =
      now >= shard.held_since + interval && now >= set.last_handover + interval;
  if (shard.state != shard_state::kServing || shard.preferred_owner != requester ||
      !interval_elapsed)
    return effects;
  Step(shard.state, shard_event::kHandOver);
  set.last_handover = now;
  StartBatchIfDue(set, now, effects);
  return effects;
}

effects Release(shard_set& set, time_point now) {
  effects effects;
  set.stopping = true;
  for (shard& shard : set.shards) Step(shard.state, shard_event::kHandOver);
  StartBatchIfDue(set, now, effects);
  return effects;
}

bool IsReleased(const shard_set& set) {
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
