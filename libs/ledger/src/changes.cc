// What happens to records when their changes commit, are refused or come late.
#include <algorithm>

#include "details/shard_set.h"

namespace balsambay::ledger {
namespace {

record& RecordOf(shard_set& set, const change& change) {
  const auto it = set.shards[change.shard].records.find(change.name);
  CheckInvariant(it != set.shards[change.shard].records.end(), "a change has a record");
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

// The claimant was told that nothing was granted, so the durable start is taken back.
void AbandonRefused(shard_set& set, const change& start) {
  change abandon;
  abandon.kind = change_kind::kAbandon;
  abandon.shard = start.shard;
  abandon.name = start.name;
  abandon.answered = true;
  Enqueue(set, std::move(abandon));
}

bool IsLate(const change& change, time_point now) {
  return !change.answered && change.deadline <= now;
}

void RefuseLate(shard_set& set, change& change, effects& out) {
  Refuse(set, change.claimant, change.request_id, refusal::kTableUnavailable, {}, out);
  change.answered = true;
  if (change.kind == change_kind::kStart) RecordOf(set, change).refused = true;
}

time_point FirstDeadline(const auto& changes) {
  const auto it = std::ranges::find(changes, false, &change::answered);
  return it == changes.end() ? kNever : it->deadline;
}

bool IsExpired(const shard_set& set, const record& record, int64_t wall_ms) {
  return std::chrono::milliseconds(wall_ms - record.started_ms) >= set.config.retention;
}

void SweepShard(shard_set& set, shard_id id, int64_t wall_ms) {
  size_t room = set.config.max_batch;
  for (auto& [name, record] : set.shards[id].records) {
    if (record.busy || !IsExpired(set, record, wall_ms)) continue;
    if (room-- == 0) return;
    record.busy = true;
    change change;
    change.kind = change_kind::kDelete;
    change.shard = id;
    change.name = name;
    change.result_stored = record.result_stored;
    change.answered = true;
    Enqueue(set, std::move(change));
  }
}

}  // namespace

void Enqueue(shard_set& set, change change) {
  set.queued_result_bytes += change.result.size();
  set.queue.push_back(std::move(change));
}

void ApplyCommitted(shard_set& set, change& change, effects& out) {
  set.queued_result_bytes -= change.result.size();
  if (change.kind == change_kind::kDelete) {
    set.shards[change.shard].records.erase(change.name);
    ++set.count.expired;
    return;
  }
  record& record = RecordOf(set, change);
  CheckInvariant(Step(record.state, CommitEvent(change.kind)), "a commit follows the record chart");
  if (change.kind == change_kind::kStart && record.refused) return AbandonRefused(set, change);
  record.busy = false;
  record.result_stored = change.kind == change_kind::kEndRan && change.result_stored;
  if (change.answered) return;
  const bool start = change.kind == change_kind::kStart;
  Reply(set, change.claimant, change.request_id, start ? reply_kind::kGrant : reply_kind::kRecorded,
        out);
}

void RefuseChange(shard_set& set, change& change, refusal reason, effects& out) {
  set.queued_result_bytes -= change.result.size();
  if (change.answered) return;
  Refuse(set, change.claimant, change.request_id, reason, {}, out);
}

// Starts that are still queued are withdrawn; all other changes stay, and only their reply is given
// up.
void RefuseLateChanges(shard_set& set, time_point now, effects& out) {
  if (NextChangeDeadline(set) > now) return;
  if (set.open_batch) {
    for (change& change : set.open_batch->changes) {
      if (IsLate(change, now)) RefuseLate(set, change, out);
    }
  }
  std::erase_if(set.queue, [&](change& change) {
    if (!IsLate(change, now)) return false;
    RefuseLate(set, change, out);
    if (change.kind != change_kind::kStart) return false;
    record& record = RecordOf(set, change);
    Step(record.state, record_event::kStartRejected);
    record.busy = false;
    return true;
  });
}

time_point NextChangeDeadline(const shard_set& set) {
  const time_point queued = FirstDeadline(set.queue);
  return set.open_batch ? std::min(queued, FirstDeadline(set.open_batch->changes)) : queued;
}

void SweepExpired(shard_set& set, time_point now) {
  if (now < set.next_sweep) return;
  set.next_sweep = now + set.config.sweep_interval;
  if (set.queue.size() > set.config.max_queued / 2) return;
  for (shard_id id = 0; id < set.shards.size(); ++id) {
    if (set.shards[id].state == shard_state::kServing) SweepShard(set, id, WallMs(set, now));
  }
}

}  // namespace balsambay::ledger
