// Observes shards owned by other daemons, takes over free ones, loads their records, and requests
// and starts handovers.
#include <algorithm>

#include "details/shard_set.h"

namespace balsambay::ledger {
namespace {

constexpr duration kDecodeInterval = std::chrono::milliseconds(1);  // other events run in between

bool ShouldObserve(const shard_set& set, const shard& shard) {
  return shard.state == shard_state::kForeign && shard.rank < set.config.max_candidates &&
         !set.stopping;
}

bool IsFreeOrUnknown(const lease::observation& observed) {
  return !observed.known || observed.row.holder.empty();
}

// Whether another live daemon holds a shard of which this daemon is the preferred owner.
bool ShouldRequestHandover(const shard_set& set, const shard& shard) {
  return ShouldObserve(set, shard) && shard.rank == 0 && !IsFreeOrUnknown(shard.observed) &&
         std::ranges::find(set.live_daemons, shard.observed.row.holder) != set.live_daemons.end();
}

// Rows are read more often while a shard is free or unknown, or its handover is requested.
duration ObserveInterval(const shard_set& set) {
  const bool urgent = std::ranges::any_of(set.shards, [&](const shard& shard) {
    return ShouldRequestHandover(set, shard) ||
           (ShouldObserve(set, shard) && IsFreeOrUnknown(shard.observed));
  });
  return urgent ? set.config.lease.observe_interval : set.config.lease.renew_interval;
}

void ScheduleObserve(shard_set& set, time_point due) {
  set.observe_call = 0;
  set.observe_deadline = due;
}

void TickObserve(shard_set& set, time_point now, effects& effects) {
  if (now < set.observe_deadline) return;
  table::read_request read;
  set.observed_shards.clear();
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    if (!ShouldObserve(set, set.shards[id])) continue;
    set.observed_shards.push_back(id);
    read.keys.push_back(ShardKey(id));
  }
  ScheduleObserve(set, now + set.config.lease.renew_interval);
  if (read.keys.empty()) return;
  set.observe_call = set.next_call_id++;
  EmitCall(set, {set.observe_call, std::move(read)}, effects);
}

void OnObserved(shard_set& set, const lease::table_outcome& outcome, time_point now) {
  if (const auto* reply = std::get_if<table::read_reply>(&outcome)) {
    for (const shard_id id : set.observed_shards) {
      shard& shard = set.shards[id];
      const auto row = std::ranges::find(reply->rows, ShardKey(id), &table::row::key);
      if (shard.state != shard_state::kForeign) continue;
      lease::Observe(shard.observed, row == reply->rows.end() ? nullptr : &*row, now);
    }
  }
  ScheduleObserve(set, now + ObserveInterval(set));
}

time_point TakeoverTime(const shard_set& set, const shard& shard) {
  if (!ShouldObserve(set, shard)) return kNever;
  const time_point start = lease::TakeoverTime(shard.observed, set.config.lease);
  return start == kNever ? kNever : start + shard.rank * set.config.takeover_delay_per_rank;
}

void StartTakeover(shard_set& set, shard_id id, time_point now, effects& effects) {
  shard& shard = set.shards[id];
  Step(shard.state, shard_event::kTakeOver);
  shard.row = {set.config.self, shard.observed.row.epoch + 1, set.next_renewal++};
  shard.takeover.emplace();
  shard.takeover->guards = {{ShardKey(id), shard.observed.version, lease::Encode(shard.row)}};
  EmitCall(set,
           lease::SendTransaction(*shard.takeover, set.config.lease, set.test_faults.lease,
                                  set.next_call_id, now),
           effects);
}

void StartLoad(shard_set& set, shard_id id, time_point now, effects& effects) {
  shard& shard = set.shards[id];
  shard.load_call = set.next_call_id++;
  shard.load_deadline = now + set.config.load_timeout;
  EmitCall(set, {shard.load_call, table::read_request{{}, RecordPrefix(id)}}, effects);
}

void OnAcquired(shard_set& set, shard_id id, time_point now, effects& effects) {
  shard& shard = set.shards[id];
  Step(shard.state, shard_event::kAcquired);
  shard.version = shard.takeover->version;
  shard.lease_until =
      shard.takeover->first_sent + set.config.lease.lease_duration - set.config.lease.margin;
  shard.held_since = now;
  shard.takeover.reset();
  ++set.count.takeovers;
  if (set.test_faults.admit_before_load) {
    Step(shard.state, shard_event::kLoaded);
  } else {
    StartLoad(set, id, now, effects);
  }
}

void AdvanceTakeover(shard_set& set, shard_id id, lease::progress progress, time_point now,
                     effects& effects) {
  if (progress.call) EmitCall(set, std::move(*progress.call), effects);
  if (progress.outcome == lease::transaction_outcome::kCommitted) OnAcquired(set, id, now, effects);
  if (progress.outcome == lease::transaction_outcome::kRejected) {
    DropShard(set, id, shard_event::kLost, now, effects);
  }
}

void TickTakeover(shard_set& set, shard_id id, time_point now, effects& effects) {
  shard& shard = set.shards[id];
  if (shard.takeover) {
    AdvanceTakeover(set, id,
                    lease::OnTick(*shard.takeover, set.config.lease, set.test_faults.lease,
                                  set.next_call_id, now),
                    now, effects);
  } else if (TakeoverTime(set, shard) <= now) {
    StartTakeover(set, id, now, effects);
  }
}

void DecodeChunk(shard_set& set, shard_id id, time_point now) {
  shard& shard = set.shards[id];
  const size_t prefix = RecordPrefix(id).size();
  for (size_t i = 0; i < set.config.load_chunk_rows && !shard.undecoded_rows.empty(); ++i) {
    const table::row& row = shard.undecoded_rows.back();
    shard.records.insert_or_assign(row.key.substr(prefix),
                                   DecodeRecord(row.value, WallTimeMs(set, now)));
    shard.undecoded_rows.pop_back();
  }
  shard.load_deadline = now + kDecodeInterval;
  if (!shard.undecoded_rows.empty()) return;
  shard.undecoded_rows.shrink_to_fit();
  Step(shard.state, shard_event::kLoaded);
}

void OnLoaded(shard_set& set, shard_id id, lease::table_outcome& outcome, time_point now) {
  shard& shard = set.shards[id];
  shard.load_call = 0;
  shard.load_deadline = now + set.config.lease.retry_interval;
  auto* reply = std::get_if<table::read_reply>(&outcome);
  if (reply == nullptr || shard.state != shard_state::kLoading) return;
  shard.undecoded_rows = std::move(reply->rows);
  shard.records.reserve(shard.undecoded_rows.size());
  DecodeChunk(set, id, now);
}

void TickLoad(shard_set& set, shard_id id, time_point now, effects& effects) {
  const shard& shard = set.shards[id];
  if (shard.state != shard_state::kLoading || now < shard.load_deadline) return;
  if (shard.undecoded_rows.empty()) {
    StartLoad(set, id, now, effects);
  } else {
    DecodeChunk(set, id, now);
  }
}

time_point HandoverRequestTime(const shard_set& set, const shard& shard) {
  return ShouldRequestHandover(set, shard)
             ? shard.handover_requested_at + set.config.handover_interval
             : kNever;
}

void TickHandover(shard_set& set, shard_id id, time_point now, effects& effects) {
  shard& shard = set.shards[id];
  if (set.stopping) Step(shard.state, shard_event::kHandOver);
  if (HandoverRequestTime(set, shard) > now) return;
  shard.handover_requested_at = now;
  effects.emplace_back(handover_request{shard.observed.row.holder, id});
}

time_point ShardDeadline(const shard_set& set, const shard& shard) {
  if (shard.takeover) return shard.takeover->deadline;
  if (shard.state == shard_state::kLoading) return shard.load_deadline;
  return std::min(TakeoverTime(set, shard), HandoverRequestTime(set, shard));
}

bool OnTakeoverReply(shard_set& set, shard_id id, uint64_t call,
                     const lease::table_outcome& outcome, time_point now, effects& effects) {
  shard& shard = set.shards[id];
  if (!shard.takeover || !lease::OwnsCall(*shard.takeover, call)) return false;
  AdvanceTakeover(set, id,
                  lease::OnCallOutcome(*shard.takeover, call, outcome, set.config.lease,
                                       set.test_faults.lease, set.next_call_id, now),
                  now, effects);
  return true;
}

}  // namespace

void DropShard(shard_set& set, shard_id id, shard_event event, time_point now, effects& effects) {
  shard& shard = set.shards[id];
  Step(shard.state, event);
  shard.takeover.reset();
  shard.records = {};
  shard.undecoded_rows = {};
  shard.observed = {};
  shard.load_call = 0;
  if (set.observe_call == 0) set.observe_deadline = now;
  std::erase_if(set.queue, [&](record_change& change) {
    if (change.shard != id) return false;
    RefuseChange(set, change, refusal_reason::kNotOwner, effects);
    return true;
  });
}

void TickShards(shard_set& set, time_point now, effects& effects) {
  TickObserve(set, now, effects);
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    TickTakeover(set, id, now, effects);
    TickLoad(set, id, now, effects);
    TickHandover(set, id, now, effects);
  }
}

bool OnShardReply(shard_set& set, uint64_t call, lease::table_outcome& outcome, time_point now,
                  effects& effects) {
  if (call == set.observe_call) {
    OnObserved(set, outcome, now);
    return true;
  }
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    if (OnTakeoverReply(set, id, call, outcome, now, effects)) return true;
    if (set.shards[id].load_call != call) continue;
    OnLoaded(set, id, outcome, now);
    return true;
  }
  return false;
}

time_point NextShardDeadline(const shard_set& set) {
  time_point next = set.observe_deadline;
  for (const shard& shard : set.shards) next = std::min(next, ShardDeadline(set, shard));
  return next;
}

}  // namespace balsambay::ledger
