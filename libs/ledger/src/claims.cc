// Claim, Abandon and Finish: decisions from the records in memory.
#include <algorithm>

#include "details/shard_set.h"

namespace balsambay::ledger {
namespace {

constexpr size_t kMaxIdBytes = 255;
constexpr size_t kMaxDigestBytes = 128;

bool IsId(std::string_view id) { return !id.empty() && id.size() <= kMaxIdBytes; }

bool IsValid(const claim& claim) {
  return IsId(claim.workspace) && IsId(claim.key) && IsId(claim.request_id) &&
         IsId(claim.claimant) && claim.body_digest.size() <= kMaxDigestBytes;
}

// Why `shard` takes no message now; kNone when it does. Records in memory are answered from only
// within the lease: afterwards another daemon may have changed them.
refusal WhyNotServing(const shard& shard, const lease::faults& broken, time_point now) {
  switch (shard.state) {
    case shard_state::kForeign:
    case shard_state::kAcquiring:
      return refusal::kNotOwner;
    case shard_state::kLoading:
      return refusal::kLoading;
    case shard_state::kDraining:
      return refusal::kMoving;
    case shard_state::kServing:
      break;
  }
  return now < shard.lease_until || broken.ignore_margin ? refusal::kNone : refusal::kLeaseLapsed;
}

// A message that passed the checks, with its place.
struct located {
  shard_id id = 0;
  std::string name;
};

// Refuses and returns nullopt when the message cannot be handled here and now.
std::optional<located> Locate(shard_set& set, const claim& claim, time_point now, effects& out) {
  refusal reason = refusal::kInvalid;
  std::string_view owner;
  if (IsValid(claim)) {
    const shard_id id = ShardOf(claim.workspace, claim.key, set.config.shard_count);
    const shard& shard = set.shards[id];
    reason = WhyNotServing(shard, set.broken.lease, now);
    if (reason == refusal::kNone) return located{id, RecordName(claim.workspace, claim.key)};
    const bool elsewhere = shard.seen.row.holder != set.config.self;
    if (reason == refusal::kNotOwner && elsewhere) owner = shard.seen.row.holder;
  }
  Refuse(set, claim.claimant, claim.request_id, reason, owner, out);
  return std::nullopt;
}

change MakeChange(const shard_set& set, change_kind kind, const located& place, const claim& claim,
                  time_point now) {
  change change;
  change.kind = kind;
  change.shard = place.id;
  change.name = place.name;
  change.claimant = claim.claimant;
  change.request_id = claim.request_id;
  change.deadline = now + set.config.reply_bound;
  return change;
}

refusal WhyNotStart(const shard_set& set, const shard& shard, bool is_new, time_point now) {
  if (TableIsSuspect(set, now)) return refusal::kTableUnavailable;
  if (set.queue.size() >= set.config.max_queued) return refusal::kOverloaded;
  const bool full = is_new && shard.records.size() >= set.config.max_records_per_shard;
  return full ? refusal::kFull : refusal::kNone;
}

void StartRecord(shard_set& set, const located& place, const claim& claim, time_point now,
                 effects& out) {
  shard& shard = set.shards[place.id];
  const refusal reason = WhyNotStart(set, shard, !shard.records.contains(place.name), now);
  if (reason != refusal::kNone) {
    return Refuse(set, claim.claimant, claim.request_id, reason, {}, out);
  }
  record& record = shard.records[place.name];
  CheckInvariant(Step(record.state, record_event::kClaim), "only a record not run can be claimed");
  record.busy = true;
  record.refused = false;
  record.result_stored = false;
  record.body = BodyHash(claim);
  record.grant = GrantHash(claim);
  record.started_ms = WallMs(set, now);
  record.claimant = claim.claimant;
  Enqueue(set, MakeChange(set, change_kind::kStart, place, claim, now));
}

bool MayStillRun(const shard_set& set, const record& record, time_point now) {
  const auto age = std::chrono::milliseconds(WallMs(set, now) - record.started_ms);
  return age < set.config.longest_run &&
         std::ranges::find(set.live, record.claimant) != set.live.end();
}

// The same submission again: the first reply was lost or is still to come.
void ClaimAgain(shard_set& set, const record& record, const claim& claim, effects& out) {
  if (record.state == record_state::kStarting && !record.refused) return;
  if (record.busy) {
    return Refuse(set, claim.claimant, claim.request_id, refusal::kBusy, {}, out);
  }
  Reply(set, claim.claimant, claim.request_id, reply_kind::kGrant, out);
}

void ClaimDuplicate(shard_set& set, const located& place, const record& record, const claim& claim,
                    time_point now, effects& out) {
  const bool open =
      record.state == record_state::kStarting || record.state == record_state::kStarted;
  if (open && record.grant == GrantHash(claim)) return ClaimAgain(set, record, claim, out);
  if (record.body != BodyHash(claim)) {
    return Reply(set, claim.claimant, claim.request_id, reply_kind::kKeyConflict, out);
  }
  if (record.state == record_state::kRan) {
    if (record.result_stored) return ReadResult(set, place.id, place.name, claim, now, out);
    return Reply(set, claim.claimant, claim.request_id, reply_kind::kRan, out);
  }
  const bool running = record.state == record_state::kStarting ||
                       (record.state == record_state::kStarted && MayStillRun(set, record, now));
  Reply(set, claim.claimant, claim.request_id,
        running ? reply_kind::kInProgress : reply_kind::kUnknown, out);
}

// A start that is still queued never reaches the table.
bool CancelQueuedStart(shard_set& set, const located& place) {
  const auto it = std::ranges::find_if(set.queue, [&](const change& change) {
    return change.kind == change_kind::kStart && change.shard == place.id &&
           change.name == place.name;
  });
  if (it == set.queue.end()) return false;
  set.queue.erase(it);
  return true;
}

void AbandonStarting(shard_set& set, const located& place, record& record) {
  if (CancelQueuedStart(set, place)) {
    Step(record.state, record_event::kStartRejected);
    record.busy = false;
  } else {
    record.refused = true;
  }
}

// The record that `claim` holds the grant of, or nullptr.
record* FindGranted(shard_set& set, const located& place, const claim& claim) {
  auto& records = set.shards[place.id].records;
  const auto it = records.find(place.name);
  if (it == records.end() || it->second.grant != GrantHash(claim)) return nullptr;
  return &it->second;
}

void QueueEnd(shard_set& set, const located& place, record& record, change change,
              std::string_view result) {
  const bool fits = result.size() <= set.config.max_result_bytes &&
                    set.queued_result_bytes + result.size() <= set.config.max_queued_result_bytes;
  if (change.kind == change_kind::kEndRan && fits) {
    change.result = result;
    change.result_stored = true;
  }
  record.busy = true;
  change.shard = place.id;
  Enqueue(set, std::move(change));
}

}  // namespace

effects Claim(shard_set& set, const claim& claim, time_point now) {
  effects out;
  const auto place = Locate(set, claim, now, out);
  if (!place) return out;
  const auto& records = set.shards[place->id].records;
  const auto found = records.find(place->name);
  if (found != records.end() && found->second.state != record_state::kNotRun) {
    ClaimDuplicate(set, *place, found->second, claim, now, out);
  } else if (found != records.end() && found->second.busy) {
    Refuse(set, claim.claimant, claim.request_id, refusal::kBusy, {}, out);
  } else {
    StartRecord(set, *place, claim, now, out);
  }
  StartBatchIfDue(set, now, out);
  return out;
}

effects Abandon(shard_set& set, const claim& claim, time_point now) {
  effects out;
  const auto place = Locate(set, claim, now, out);
  if (!place) return out;
  record* record = FindGranted(set, *place, claim);
  if (record == nullptr || record->state == record_state::kRan ||
      record->state == record_state::kUnknown) {
    Refuse(set, claim.claimant, claim.request_id, refusal::kNoRecord, {}, out);
    return out;
  }
  if (record->state == record_state::kStarting) AbandonStarting(set, *place, *record);
  if (record->state != record_state::kStarted) {
    Reply(set, claim.claimant, claim.request_id, reply_kind::kRecorded, out);
  } else if (record->busy) {
    Refuse(set, claim.claimant, claim.request_id, refusal::kBusy, {}, out);
  } else {
    record->busy = true;
    Enqueue(set, MakeChange(set, change_kind::kAbandon, *place, claim, now));
  }
  StartBatchIfDue(set, now, out);
  return out;
}

effects Finish(shard_set& set, const claim& claim, end_state end, std::string_view result,
               time_point now) {
  effects out;
  const auto place = Locate(set, claim, now, out);
  if (!place) return out;
  record* record = FindGranted(set, *place, claim);
  if (record == nullptr || record->state == record_state::kNotRun) {
    Refuse(set, claim.claimant, claim.request_id, refusal::kNoRecord, {}, out);
  } else if (record->state == record_state::kRan || record->state == record_state::kUnknown) {
    Reply(set, claim.claimant, claim.request_id, reply_kind::kRecorded, out);
  } else if (record->busy) {
    Refuse(set, claim.claimant, claim.request_id, refusal::kBusy, {}, out);
  } else {
    const auto kind = end == end_state::kRan ? change_kind::kEndRan : change_kind::kEndUnknown;
    QueueEnd(set, *place, *record, MakeChange(set, kind, *place, claim, now), result);
  }
  StartBatchIfDue(set, now, out);
  return out;
}

}  // namespace balsambay::ledger
