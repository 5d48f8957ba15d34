// Group commits. Each is one transaction for all held shards: it is conditional on their lease
// rows, renews their leases and writes the queued changes.
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

void AppendDelete(const record_change& change, std::vector<table::write>& writes) {
  writes.push_back({RecordKey(change.shard, change.name), std::nullopt});
  if (change.result_stored) {
    writes.push_back({ResultKey(change.shard, change.name), std::nullopt});
  }
}

void AppendWrites(const shard_set& set, const record_change& change,
                  std::vector<table::write>& writes) {
  if (change.kind == change_kind::kDelete) return AppendDelete(change, writes);
  record new_record = set.shards[change.shard].records.at(change.name);
  new_record.state = TargetState(change.kind);
  new_record.result_stored = change.result_stored;
  writes.push_back({RecordKey(change.shard, change.name), EncodeRecord(new_record)});
  if (change.result_stored) {
    writes.push_back({ResultKey(change.shard, change.name), change.result});
  }
}

void TakeQueuedChanges(shard_set& set, batch& batch) {
  const size_t change_count = std::min(set.queue.size(), set.config.max_batch_changes);
  const auto end = set.queue.begin() + static_cast<std::ptrdiff_t>(change_count);
  batch.changes.assign(std::make_move_iterator(set.queue.begin()), std::make_move_iterator(end));
  set.queue.erase(set.queue.begin(), end);
  for (const record_change& change : batch.changes) AppendWrites(set, change, batch.attempt.writes);
}

// A draining shard is released by the transaction after which none of its changes is queued.
bool MayRelease(const shard_set& set, shard_id id) {
  return set.shards[id].state == shard_state::kDraining &&
         std::ranges::find(set.queue, id, &record_change::shard) == set.queue.end();
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

void CommitBatch(shard_set& set, batch& batch, time_point now, effects& effects) {
  for (record_change& change : batch.changes) ApplyCommitted(set, change, effects);
  const duration usable = set.config.lease.lease_duration - set.config.lease.margin;
  for (size_t i = 0; i < batch.shards.size(); ++i) {
    shard& shard = set.shards[batch.shards[i]];
    shard.version = batch.attempt.version;
    shard.row = batch.rows[i];
    shard.lease_until = batch.attempt.first_sent + usable;
    if (!shard.row.holder.empty()) continue;
    ++set.count.handovers;
    DropShard(set, batch.shards[i], shard_event::kReleased, now, effects);
  }
}

bool IsShardLost(const batch& batch, shard_id id) {
  return std::ranges::find(batch.attempt.lost_guards, ShardKey(id)) !=
         batch.attempt.lost_guards.end();
}

// The transaction was rejected, so nothing was written. A change of a shard that is still held goes
// back to the front of the queue, except a start that was refused in the meantime.
void ReturnChange(shard_set& set, const batch& batch, record_change& change, effects& effects) {
  if (IsShardLost(batch, change.shard))
    return RefuseChange(set, change, refusal_reason::kNotOwner, effects);
  record& record = set.shards[change.shard].records.at(change.name);
  if (change.kind == change_kind::kStart && record.refused) {
    Step(record.state, record_event::kStartRejected);
    record.busy = false;
  } else {
    set.queue.push_front(std::move(change));
  }
}

void ReturnChanges(shard_set& set, batch& batch, effects& effects) {
  std::for_each(batch.changes.rbegin(), batch.changes.rend(),
                [&](record_change& change) { ReturnChange(set, batch, change, effects); });
}

void RejectBatch(shard_set& set, batch& batch, time_point now, effects& effects) {
  ReturnChanges(set, batch, effects);
  for (const shard_id id : batch.shards) {
    if (!IsShardLost(batch, id)) continue;
    ++set.count.shards_lost;
    DropShard(set, id, shard_event::kLost, now, effects);
  }
}

void AdvanceBatch(shard_set& set, lease::progress progress, time_point now, effects& effects) {
  if (progress.call) EmitCall(set, std::move(*progress.call), effects);
  if (progress.outcome == lease::transaction_outcome::kPending) return;
  batch completed = std::move(*set.open_batch);
  set.open_batch.reset();
  if (completed.attempt.reply_lost) ++set.count.lost_replies;
  if (progress.outcome == lease::transaction_outcome::kCommitted) {
    CommitBatch(set, completed, now, effects);
  } else {
    RejectBatch(set, completed, now, effects);
  }
}

}  // namespace

void StartBatchIfDue(shard_set& set, time_point now, effects& effects) {
  if (set.open_batch || !HoldsShards(set) || now < NextBatchTime(set)) return;
  batch& batch = set.open_batch.emplace();
  TakeQueuedChanges(set, batch);
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    if (IsHeld(set.shards[id])) AddShard(set, id, batch);
  }
  set.next_batch = now + set.config.batch_interval;
  set.next_renewal_due = now + set.config.lease.renew_interval;
  EmitCall(set,
           lease::SendTransaction(batch.attempt, set.config.lease, set.test_faults.lease,
                                  set.next_call_id, now),
           effects);
}

void TickBatch(shard_set& set, time_point now, effects& effects) {
  if (!set.open_batch) return;
  AdvanceBatch(set,
               lease::OnTick(set.open_batch->attempt, set.config.lease, set.test_faults.lease,
                             set.next_call_id, now),
               now, effects);
}

bool OnBatchReply(shard_set& set, uint64_t id, const lease::table_outcome& outcome, time_point now,
                  effects& effects) {
  if (!set.open_batch || !lease::OwnsCall(set.open_batch->attempt, id)) return false;
  AdvanceBatch(set,
               lease::OnCallOutcome(set.open_batch->attempt, id, outcome, set.config.lease,
                                    set.test_faults.lease, set.next_call_id, now),
               now, effects);
  return true;
}

bool TableIsUnresponsive(const shard_set& set, time_point now) {
  if (!set.open_batch) return false;
  const lease::commit_attempt& attempt = set.open_batch->attempt;
  return attempt.reply_lost || now >= attempt.first_sent + set.config.lease.call_timeout;
}

time_point NextBatchDeadline(const shard_set& set) {
  if (set.open_batch) return set.open_batch->attempt.deadline;
  return HoldsShards(set) ? NextBatchTime(set) : kNever;
}

}  // namespace balsambay::ledger
