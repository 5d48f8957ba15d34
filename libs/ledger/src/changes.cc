// Queue of record changes: applies committed changes to the records in memory, and refuses changes.
#include <algorithm>

#include "details/shard_set.h"

namespace balsambay::ledger {
namespace {

record& RecordOf(shard_set& set, const record_change& change) {
  const auto it = set.shards[change.shard].records.find(change.name);
  CheckInvariant(it != set.shards[change.shard].records.end(),
                 "the record of a change is in memory");
  return it->second;
}

record_event CommitEvent(change_kind kind) {
  switch (kind) {
    case change_kind::kStart:
      return record_event::kStartCommitted;
    case change_kind::kAbandon:
      return record_event::kAbandoned;
    case change_kind::kEndRan:
      return record_event::kRan;
    case change_kind::kEndUnknown:
    case change_kind::kDelete:
      break;
  }
  return record_event::kUnknown;
}

// The claimant received a refusal, so it must not dispatch; the start that is now durable is
// abandoned.
void AbandonRefused(shard_set& set, const record_change& start) {
  record_change abandon;
  abandon.kind = change_kind::kAbandon;
  abandon.shard = start.shard;
  abandon.name = start.name;
  abandon.replied = true;
  Enqueue(set, std::move(abandon));
}

bool IsOverdue(const record_change& change, time_point now) {
  return !change.replied && change.deadline <= now;
}

void RefuseOverdueChange(shard_set& set, record_change& change, effects& effects) {
  Refuse(set, change.claimant, change.request_id, refusal_reason::kTableUnavailable, {}, effects);
  change.replied = true;
  if (change.kind == change_kind::kStart) RecordOf(set, change).refused = true;
}

// `changes` is in order of arrival, so the first change without a reply has the earliest deadline.
time_point EarliestDeadline(const auto& changes) {
  const auto it = std::ranges::find(changes, false, &record_change::replied);
  return it == changes.end() ? kNever : it->deadline;
}

bool IsExpired(const shard_set& set, const record& record, int64_t wall_ms) {
  return std::chrono::milliseconds(wall_ms - record.started_ms) >= set.config.retention;
}

void SweepShard(shard_set& set, shard_id id, int64_t wall_ms) {
  size_t remaining = set.config.max_batch_changes;
  for (auto& [name, record] : set.shards[id].records) {
    if (record.busy || !IsExpired(set, record, wall_ms)) continue;
    if (remaining-- == 0) return;
    record.busy = true;
    record_change change;
    change.kind = change_kind::kDelete;
    change.shard = id;
    change.name = name;
    change.result_stored = record.result_stored;
    change.replied = true;
    Enqueue(set, std::move(change));
  }
}

}  // namespace

void Enqueue(shard_set& set, record_change change) {
  set.queued_result_bytes += change.result.size();
  set.queue.push_back(std::move(change));
}

void ApplyCommitted(shard_set& set, record_change& change, effects& effects) {
  set.queued_result_bytes -= change.result.size();
  if (change.kind == change_kind::kDelete) {
    set.shards[change.shard].records.erase(change.name);
    ++set.count.expired;
    return;
  }
  record& record = RecordOf(set, change);
  CheckInvariant(Step(record.state, CommitEvent(change.kind)),
                 "a committed change is a transition of the record chart");
  if (change.kind == change_kind::kStart && record.refused) return AbandonRefused(set, change);
  record.busy = false;
  record.result_stored = change.kind == change_kind::kEndRan && change.result_stored;
  if (change.replied) return;
  const bool is_start = change.kind == change_kind::kStart;
  Reply(set, change.claimant, change.request_id,
        is_start ? reply_kind::kGrant : reply_kind::kRecorded, effects);
}

void RefuseChange(shard_set& set, record_change& change, refusal_reason reason, effects& effects) {
  set.queued_result_bytes -= change.result.size();
  if (change.replied) return;
  Refuse(set, change.claimant, change.request_id, reason, {}, effects);
}

void RefuseOverdueChanges(shard_set& set, time_point now, effects& effects) {
  if (NextChangeDeadline(set) > now) return;
  if (set.open_batch) {
    for (record_change& change : set.open_batch->changes) {
      if (IsOverdue(change, now)) RefuseOverdueChange(set, change, effects);
    }
  }
  std::erase_if(set.queue, [&](record_change& change) {
    if (!IsOverdue(change, now)) return false;
    RefuseOverdueChange(set, change, effects);
    if (change.kind != change_kind::kStart) return false;
    record& record = RecordOf(set, change);
    Step(record.state, record_event::kStartRejected);
    record.busy = false;
    return true;
  });
}

time_point NextChangeDeadline(const shard_set& set) {
  const time_point queued = EarliestDeadline(set.queue);
  return set.open_batch ? std::min(queued, EarliestDeadline(set.open_batch->changes)) : queued;
}

void SweepExpired(shard_set& set, time_point now) {
  if (now < set.next_sweep) return;
  set.next_sweep = now + set.config.sweep_interval;
  if (set.queue.size() > set.config.max_queued_changes / 2) return;
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    if (set.shards[id].state == shard_state::kServing) SweepShard(set, id, WallTimeMs(set, now));
  }
}

}  // namespace balsambay::ledger
