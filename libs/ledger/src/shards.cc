// Observing, taking over, loading and giving away shards.
#include <algorithm>

#include "details/shard_set.h"

namespace balsambay::ledger {
namespace {

constexpr duration kLoadPause = std::chrono::milliseconds(1);

bool IsObserved(const shard_set& set, const shard& shard) {
  return shard.state == shard_state::kForeign && shard.rank < set.config.candidates &&
         !set.stopping;
}

bool IsFreeOrUnknown(const lease::observation& seen) {
  return !seen.known || seen.row.holder.empty();
}

// Another live daemon holds a shard that this one should own, so it asks for a handover.
bool AsksFor(const shard_set& set, const shard& shard) {
  return IsObserved(set, shard) && shard.rank == 0 && !IsFreeOrUnknown(shard.seen) &&
         std::ranges::find(set.live, shard.seen.row.holder) != set.live.end();
}

duration ObserveInterval(const shard_set& set) {
  const bool urgent = std::ranges::any_of(set.shards, [&](const shard& shard) {
    return AsksFor(set, shard) || (IsObserved(set, shard) && IsFreeOrUnknown(shard.seen));
  });
  return urgent ? set.config.lease.observe_interval : set.config.lease.renew_interval;
}

void ScheduleObserve(shard_set& set, time_point due) {
  set.observe_call = 0;
  set.observe_deadline = due;
}

void TickObserve(shard_set& set, time_point now, effects& out) {
  if (now < set.observe_deadline) return;
  table::read_request read;
  set.observed.clear();
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    if (!IsObserved(set, set.shards[id])) continue;
    set.observed.push_back(id);
    read.keys.push_back(ShardKey(id));
  }
  ScheduleObserve(set, now + set.config.lease.renew_interval);
  if (read.keys.empty()) return;
  set.observe_call = set.next_call++;
  Emit(set, {set.observe_call, std::move(read)}, out);
}

void OnObserved(shard_set& set, const lease::table_outcome& outcome, time_point now) {
  if (const auto* reply = std::get_if<table::read_reply>(&outcome)) {
    for (const shard_id id : set.observed) {
      shard& shard = set.shards[id];
      const auto row = std::ranges::find(reply->rows, ShardKey(id), &table::row::key);
      if (shard.state != shard_state::kForeign) continue;
      lease::Observe(shard.seen, row == reply->rows.end() ? nullptr : &*row, now);
    }
  }
  ScheduleObserve(set, now + ObserveInterval(set));
}

time_point TakeoverTime(const shard_set& set, const shard& shard) {
  if (!IsObserved(set, shard)) return kNever;
  const time_point start = lease::TakeoverTime(shard.seen, set.config.lease);
  return start == kNever ? kNever : start + shard.rank * set.config.rank_delay;
}

void StartTakeover(shard_set& set, shard_id id, time_point now, effects& out) {
  shard& shard = set.shards[id];
  Step(shard.state, shard_event::kTakeOver);
  shard.row = {set.config.self, shard.seen.row.epoch + 1, set.next_renewal++};
  shard.takeover.emplace();
  shard.takeover->guards = {{ShardKey(id), shard.seen.version, lease::Encode(shard.row)}};
  Emit(set,
       lease::SendTransaction(*shard.takeover, set.config.lease, set.broken.lease, set.next_call,
                              now),
       out);
}

void StartLoad(shard_set& set, shard_id id, time_point now, effects& out) {
  shard& shard = set.shards[id];
  shard.load_call = set.next_call++;
  shard.load_deadline = now + set.config.load_timeout;
  Emit(set, {shard.load_call, table::read_request{{}, RecordPrefix(id)}}, out);
}

void OnAcquired(shard_set& set, shard_id id, time_point now, effects& out) {
  shard& shard = set.shards[id];
  Step(shard.state, shard_event::kAcquired);
  shard.version = shard.takeover->version;
  shard.lease_until =
      shard.takeover->first_sent + set.config.lease.lease_duration - set.config.lease.margin;
  shard.held_since = now;
  shard.takeover.reset();
  ++set.count.takeovers;
  if (set.broken.admit_before_load) {
    Step(shard.state, shard_event::kLoaded);
  } else {
    StartLoad(set, id, now, out);
  }
}

void AdvanceTakeover(shard_set& set, shard_id id, lease::progress progress, time_point now,
                     effects& out) {
  if (progress.call) Emit(set, std::move(*progress.call), out);
  if (progress.outcome == lease::transaction_outcome::kCommitted) OnAcquired(set, id, now, out);
  if (progress.outcome == lease::transaction_outcome::kRejected) {
    DropShard(set, id, shard_event::kLost, now, out);
  }
}

void TickTakeover(shard_set& set, shard_id id, time_point now, effects& out) {
  shard& shard = set.shards[id];
  if (shard.takeover) {
    AdvanceTakeover(
        set, id,
        lease::OnTick(*shard.takeover, set.config.lease, set.broken.lease, set.next_call, now), now,
        out);
  } else if (TakeoverTime(set, shard) <= now) {
    StartTakeover(set, id, now, out);
  }
}

void DecodeChunk(shard_set& set, shard_id id, time_point now) {
  shard& shard = set.shards[id];
  const size_t prefix = RecordPrefix(id).size();
  for (size_t i = 0; i < set.config.load_chunk && !shard.unread.empty(); ++i) {
    const table::row& row = shard.unread.back();
    shard.records.insert_or_assign(row.key.substr(prefix),
                                   DecodeRecord(row.value, WallMs(set, now)));
    shard.unread.pop_back();
  }
  shard.load_deadline = now + kLoadPause;
  if (!shard.unread.empty()) return;
  shard.unread.shrink_to_fit();
  Step(shard.state, shard_event::kLoaded);
}

void OnLoaded(shard_set& set, shard_id id, lease::table_outcome& outcome, time_point now) {
  shard& shard = set.shards[id];
  shard.load_call = 0;
  shard.load_deadline = now + set.config.lease.retry_interval;
  auto* reply = std::get_if<table::read_reply>(&outcome);
  if (reply == nullptr || shard.state != shard_state::kLoading) return;
  shard.unread = std::move(reply->rows);
  shard.records.reserve(shard.unread.size());
  DecodeChunk(set, id, now);
}

void TickLoad(shard_set& set, shard_id id, time_point now, effects& out) {
  const shard& shard = set.shards[id];
  if (shard.state != shard_state::kLoading || now < shard.load_deadline) return;
  if (shard.unread.empty()) {
    StartLoad(set, id, now, out);
  } else {
    DecodeChunk(set, id, now);
  }
}

time_point AskTime(const shard_set& set, const shard& shard) {
  return AsksFor(set, shard) ? shard.asked + set.config.handover_interval : kNever;
}

void TickHandover(shard_set& set, shard_id id, time_point now, effects& out) {
  shard& shard = set.shards[id];
  if (set.stopping) Step(shard.state, shard_event::kHandOver);
  if (AskTime(set, shard) > now) return;
  shard.asked = now;
  out.emplace_back(handover_request{shard.seen.row.holder, id});
}

time_point ShardDeadline(const shard_set& set, const shard& shard) {
  if (shard.takeover) return shard.takeover->deadline;
  if (shard.state == shard_state::kLoading) return shard.load_deadline;
  return std::min(TakeoverTime(set, shard), AskTime(set, shard));
}

bool OnTakeoverReply(shard_set& set, shard_id id, uint64_t call,
                     const lease::table_outcome& outcome, time_point now, effects& out) {
  shard& shard = set.shards[id];
  if (!shard.takeover || !lease::OwnsCall(*shard.takeover, call)) return false;
  AdvanceTakeover(set, id,
                  lease::OnCallOutcome(*shard.takeover, call, outcome, set.config.lease,
                                       set.broken.lease, set.next_call, now),
                  now, out);
  return true;
}

}  // namespace

void DropShard(shard_set& set, shard_id id, shard_event event, time_point now, effects& out) {
  shard& shard = set.shards[id];
  Step(shard.state, event);
  shard.takeover.reset();
  shard.records = {};
  shard.unread = {};
  shard.seen = {};
  shard.load_call = 0;
  if (set.observe_call == 0) set.observe_deadline = now;
  std::erase_if(set.queue, [&](change& change) {
    if (change.shard != id) return false;
    RefuseChange(set, change, refusal::kNotOwner, out);
    return true;
  });
}

void TickShards(shard_set& set, time_point now, effects& out) {
  TickObserve(set, now, out);
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    TickTakeover(set, id, now, out);
    TickLoad(set, id, now, out);
    TickHandover(set, id, now, out);
  }
}

bool OnShardReply(shard_set& set, uint64_t call, lease::table_outcome& outcome, time_point now,
                  effects& out) {
  if (call == set.observe_call) {
    OnObserved(set, outcome, now);
    return true;
  }
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    if (OnTakeoverReply(set, id, call, outcome, now, out)) return true;
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
