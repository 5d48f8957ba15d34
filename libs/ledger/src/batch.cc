// Group commit: one transaction for all held shards. It is conditional on their rows, renews their
// leases and carries the queued changes.
#include <algorithm>

#include "details/shard_set.h"

namespace balsambay::ledger {
namespace {

record_state TargetState(change_kind kind) {
  switch (kind) {
    case change_kind::kStart:
      return record_state::kStarted;
    case change_kind::kAbandon:
      return record_state::kNotRun;
    case change_kind::kEndRan:
      return record_state::kRan;
    case change_kind::kEndUnknown:
    case change_kind::kDelete:
      break;
  }
  return record_state::kUnknown;
}

void AppendDelete(const change& change, std::vector<table::write>& writes) {
  writes.push_back({RecordKey(change.shard, change.name), std::nullopt});
  if (change.result_stored) {
    writes.push_back({ResultKey(change.shard, change.name), std::nullopt});
  }
}

void AppendWrites(const shard_set& set, const change& change, std::vector<table::write>& writes) {
  if (change.kind == change_kind::kDelete) return AppendDelete(change, writes);
  record after = set.shards[change.shard].records.at(change.name);
  after.state = TargetState(change.kind);
  after.result_stored = change.result_stored;
  writes.push_back({RecordKey(change.shard, change.name), EncodeRecord(after)});
  if (change.result_stored) {
    writes.push_back({ResultKey(change.shard, change.name), change.result});
  }
}

void TakeChanges(shard_set& set, batch& batch) {
  const size_t taken = std::min(set.queue.size(), set.config.max_batch);
  const auto end = set.queue.begin() + static_cast<std::ptrdiff_t>(taken);
  batch.changes.assign(std::make_move_iterator(set.queue.begin()), std::make_move_iterator(end));
  set.queue.erase(set.queue.begin(), end);
  for (const change& change : batch.changes) AppendWrites(set, change, batch.attempt.writes);
}

// A draining shard is released once no change of it is left behind.
bool MayRelease(const shard_set& set, shard_id id) {
  return set.shards[id].state == shard_state::kDraining &&
         std::ranges::find(set.queue, id, &change::shard) == set.queue.end();
}

void AddShard(shard_set& set, shard_id id, batch& batch) {
  const shard& shard = set.shards[id];
  lease::lease_row row = shard.row;
  row.holder = MayRelease(set, id) ? "" : set.config.self;
  row.renewal = set.next_renewal++;
  batch.attempt.guards.push_back({ShardKey(id), shard.version, lease::Encode(row)});
  batch.shards.push_back(id);
  batch.rows.push_back(std::move(row));
}

bool HoldsShards(const shard_set& set) { return std::ranges::any_of(set.shards, IsHeld); }

time_point NextBatchTime(const shard_set& set) {
  const bool draining =
      std::ranges::find(set.shards, shard_state::kDraining, &shard::state) != set.shards.end();
  if (set.queue.empty() && !draining) return set.next_renewal_due;
  return std::min(set.next_batch, set.next_renewal_due);
}

void CommitBatch(shard_set& set, batch& batch, time_point now, effects& out) {
  for (change& change : batch.changes) ApplyCommitted(set, change, out);
  const duration usable = set.config.lease.lease_duration - set.config.lease.margin;
  for (size_t i = 0; i < batch.shards.size(); ++i) {
    shard& shard = set.shards[batch.shards[i]];
    shard.version = batch.attempt.version;
    shard.row = batch.rows[i];
    shard.lease_until = batch.attempt.first_sent + usable;
    if (!shard.row.holder.empty()) continue;
    ++set.count.handovers;
    DropShard(set, batch.shards[i], shard_event::kReleased, now, out);
  }
}

bool IsLost(const batch& batch, shard_id id) {
  return std::ranges::find(batch.attempt.lost_guards, ShardKey(id)) !=
         batch.attempt.lost_guards.end();
}

// Nothing of the batch was written. Changes of shards that are still held go back to the front of
// the queue, except starts that were refused in the meantime.
void ReturnChange(shard_set& set, const batch& batch, change& change, effects& out) {
  if (IsLost(batch, change.shard)) return RefuseChange(set, change, refusal::kNotOwner, out);
  record& record = set.shards[change.shard].records.at(change.name);
  if (change.kind == change_kind::kStart && record.refused) {
    Step(record.state, record_event::kStartRejected);
    record.busy = false;
  } else {
    set.queue.push_front(std::move(change));
  }
}

void ReturnChanges(shard_set& set, batch& batch, effects& out) {
  std::for_each(batch.changes.rbegin(), batch.changes.rend(),
                [&](change& change) { ReturnChange(set, batch, change, out); });
}

void RejectBatch(shard_set& set, batch& batch, time_point now, effects& out) {
  ReturnChanges(set, batch, out);
  for (const shard_id id : batch.shards) {
    if (!IsLost(batch, id)) continue;
    ++set.count.shards_lost;
    DropShard(set, id, shard_event::kLost, now, out);
  }
}

void Advance(shard_set& set, lease::progress progress, time_point now, effects& out) {
  if (progress.call) Emit(set, std::move(*progress.call), out);
  if (progress.outcome == lease::transaction_outcome::kPending) return;
  batch closed = std::move(*set.open_batch);
  set.open_batch.reset();
  if (closed.attempt.reply_lost) ++set.count.reply_lost;
  if (progress.outcome == lease::transaction_outcome::kCommitted) {
    CommitBatch(set, closed, now, out);
  } else {
    RejectBatch(set, closed, now, out);
  }
}

}  // namespace

void StartBatchIfDue(shard_set& set, time_point now, effects& out) {
  if (set.open_batch || !HoldsShards(set) || now < NextBatchTime(set)) return;
  batch& batch = set.open_batch.emplace();
  TakeChanges(set, batch);
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    if (IsHeld(set.shards[id])) AddShard(set, id, batch);
  }
  set.next_batch = now + set.config.batch_interval;
  set.next_renewal_due = now + set.config.lease.renew_interval;
  Emit(
      set,
      lease::SendTransaction(batch.attempt, set.config.lease, set.broken.lease, set.next_call, now),
      out);
}

void TickBatch(shard_set& set, time_point now, effects& out) {
  if (!set.open_batch) return;
  Advance(set,
          lease::OnTick(set.open_batch->attempt, set.config.lease, set.broken.lease, set.next_call,
                        now),
          now, out);
}

bool OnBatchReply(shard_set& set, uint64_t id, const lease::table_outcome& outcome, time_point now,
                  effects& out) {
  if (!set.open_batch || !lease::OwnsCall(set.open_batch->attempt, id)) return false;
  Advance(set,
          lease::OnCallOutcome(set.open_batch->attempt, id, outcome, set.config.lease,
                               set.broken.lease, set.next_call, now),
          now, out);
  return true;
}

bool TableIsSuspect(const shard_set& set, time_point now) {
  if (!set.open_batch) return false;
  const lease::commit_attempt& attempt = set.open_batch->attempt;
  return attempt.reply_lost || now >= attempt.first_sent + set.config.lease.call_timeout;
}

time_point NextBatchDeadline(const shard_set& set) {
  if (set.open_batch) return set.open_batch->attempt.deadline;
  return HoldsShards(set) ? NextBatchTime(set) : kNever;
}

}  // namespace balsambay::ledger
