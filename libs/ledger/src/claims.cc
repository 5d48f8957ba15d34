// Claim(), Abandon() and Finish(): decide from the records in memory and queue record changes.
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

// Returns why `shard` cannot handle messages at `now`, or kNone if it can. The records in memory
// are used only while the lease is valid: afterwards another daemon may have changed them.
refusal_reason CheckServing(const shard& shard, const lease::faults& test_faults, time_point now) {
  switch (shard.state) {
    case shard_state::kForeign:
    case shard_state::kAcquiring:
      return refusal_reason::kNotOwner;
    case shard_state::kLoading:
      return refusal_reason::kLoading;
    case shard_state::kDraining:
      return refusal_reason::kMoving;
    case shard_state::kServing:
      break;
  }
  return now < shard.lease_until || test_faults.ignore_margin ? refusal_reason::kNone
                                                              : refusal_reason::kLeaseLapsed;
}

// Where the record of a valid message is stored.
struct record_location {
  shard_id id = 0;
  std::string name;  // of the record
};

// Finds the record of the message. If the message is invalid, or this daemon cannot handle it now,
// refuses it and returns nullopt.
std::optional<record_location> Locate(shard_set& set, const claim& claim, time_point now,
                                      effects& effects) {
  refusal_reason reason = refusal_reason::kInvalid;
  std::string_view owner;
  if (IsValid(claim)) {
    const shard_id id = ShardForKey(claim.workspace, claim.key, set.config.shard_count);
    const shard& shard = set.shards[id];
    reason = CheckServing(shard, set.test_faults.lease, now);
    if (reason == refusal_reason::kNone)
      return record_location{id, RecordName(claim.workspace, claim.key)};
    const bool held_by_other = shard.observed.row.holder != set.config.self;
    if (reason == refusal_reason::kNotOwner && held_by_other) owner = shard.observed.row.holder;
  }
  Refuse(set, claim.claimant, claim.request_id, reason, owner, effects);
  return std::nullopt;
}

record_change MakeChange(const shard_set& set, change_kind kind, const record_location& location,
                         const claim& claim, time_point now) {
  record_change change;
  change.kind = kind;
  change.shard = location.id;
  change.name = location.name;
  change.claimant = claim.claimant;
  change.request_id = claim.request_id;
  change.deadline = now + set.config.reply_bound;
  return change;
}

refusal_reason CheckStart(const shard_set& set, const shard& shard, bool is_new, time_point now) {
  if (TableIsUnresponsive(set, now)) return refusal_reason::kTableUnavailable;
  if (set.queue.size() >= set.config.max_queued_changes) return refusal_reason::kOverloaded;
  const bool full = is_new && shard.records.size() >= set.config.max_records_per_shard;
  return full ? refusal_reason::kFull : refusal_reason::kNone;
}

void StartRecord(shard_set& set, const record_location& location, const claim& claim,
                 time_point now, effects& effects) {
  shard& shard = set.shards[location.id];
  const refusal_reason reason = CheckStart(set, shard, !shard.records.contains(location.name), now);
  if (reason != refusal_reason::kNone) {
    return Refuse(set, claim.claimant, claim.request_id, reason, {}, effects);
  }
  record& record = shard.records[location.name];
  CheckInvariant(Step(record.state, record_event::kClaim),
                 "only a record in state not_run can be claimed");
  record.busy = true;
  record.refused = false;
  record.result_stored = false;
  record.body = BodyHash(claim);
  record.grant = GrantHash(claim);
  record.started_ms = WallTimeMs(set, now);
  record.claimant = claim.claimant;
  Enqueue(set, MakeChange(set, change_kind::kStart, location, claim, now));
}

bool MayStillRun(const shard_set& set, const record& record, time_point now) {
  const auto age = std::chrono::milliseconds(WallTimeMs(set, now) - record.started_ms);
  return age < set.config.longest_run &&
         std::ranges::find(set.live_daemons, record.claimant) != set.live_daemons.end();
}

// Handles a claim of the submission that holds the record: the first reply was lost, or has not
// been sent yet and answers this claim too.
void HandleRepeatedClaim(shard_set& set, const record& record, const claim& claim,
                         effects& effects) {
  if (record.state == record_state::kStarting && !record.refused) return;
  if (record.busy) {
    return Refuse(set, claim.claimant, claim.request_id, refusal_reason::kBusy, {}, effects);
  }
  Reply(set, claim.claimant, claim.request_id, reply_kind::kGrant, effects);
}

void ReplyToDuplicate(shard_set& set, const record_location& location, const record& record,
                      const claim& claim, time_point now, effects& effects) {
  const bool unfinished =
      record.state == record_state::kStarting || record.state == record_state::kStarted;
  if (unfinished && record.grant == GrantHash(claim))
    return HandleRepeatedClaim(set, record, claim, effects);
  if (record.body != BodyHash(claim)) {
    return Reply(set, claim.claimant, claim.request_id, reply_kind::kKeyConflict, effects);
  }
  if (record.state == record_state::kRan) {
    if (record.result_stored)
      return ReadResult(set, location.id, location.name, claim, now, effects);
    return Reply(set, claim.claimant, claim.request_id, reply_kind::kRan, effects);
  }
  const bool running = record.state == record_state::kStarting ||
                       (record.state == record_state::kStarted && MayStillRun(set, record, now));
  Reply(set, claim.claimant, claim.request_id,
        running ? reply_kind::kInProgress : reply_kind::kUnknown, effects);
}

// Removes a start that is not yet in a transaction, so that it is never written to the table.
bool CancelQueuedStart(shard_set& set, const record_location& location) {
  const auto it = std::ranges::find_if(set.queue, [&](const record_change& change) {
    return change.kind == change_kind::kStart && change.shard == location.id &&
           change.name == location.name;
  });
  if (it == set.queue.end()) return false;
  set.queue.erase(it);
  return true;
}

void AbandonStarting(shard_set& set, const record_location& location, record& record) {
  if (CancelQueuedStart(set, location)) {
    Step(record.state, record_event::kStartRejected);
    record.busy = false;
  } else {
    record.refused = true;
  }
}

// Returns the record whose grant belongs to the submission of `claim`, or nullptr.
record* FindGrantedRecord(shard_set& set, const record_location& location, const claim& claim) {
  auto& records = set.shards[location.id].records;
  const auto it = records.find(location.name);
  if (it == records.end() || it->second.grant != GrantHash(claim)) return nullptr;
  return &it->second;
}

void EnqueueEnd(shard_set& set, const record_location& location, record& record,
                record_change change, std::string_view result) {
  const bool fits = result.size() <= set.config.max_result_bytes &&
                    set.queued_result_bytes + result.size() <= set.config.max_queued_result_bytes;
  if (change.kind == change_kind::kEndRan && fits) {
    change.result = result;
    change.result_stored = true;
  }
  record.busy = true;
  change.shard = location.id;
  Enqueue(set, std::move(change));
}

}  // namespace

effects Claim(shard_set& set, const claim& claim, time_point now) {
  effects effects;
  const auto location = Locate(set, claim, now, effects);
  if (!location) return effects;
  const auto& records = set.shards[location->id].records;
  const auto found = records.find(location->name);
  if (found != records.end() && found->second.state != record_state::kNotRun) {
    ReplyToDuplicate(set, *location, found->second, claim, now, effects);
  } else if (found != records.end() && found->second.busy) {
    Refuse(set, claim.claimant, claim.request_id, refusal_reason::kBusy, {}, effects);
  } else {
    StartRecord(set, *location, claim, now, effects);
  }
  StartBatchIfDue(set, now, effects);
  return effects;
}

effects Abandon(shard_set& set, const claim& claim, time_point now) {
  effects effects;
  const auto location = Locate(set, claim, now, effects);
  if (!location) return effects;
  record* record = FindGrantedRecord(set, *location, claim);
  if (record == nullptr || record->state == record_state::kRan ||
      record->state == record_state::kUnknown) {
    Refuse(set, claim.claimant, claim.request_id, refusal_reason::kNoRecord, {}, effects);
    return effects;
  }
  if (record->state == record_state::kStarting) AbandonStarting(set, *location, *record);
  if (record->state != record_state::kStarted) {
    Reply(set, claim.claimant, claim.request_id, reply_kind::kRecorded, effects);
  } else if (record->busy) {
    Refuse(set, claim.claimant, claim.request_id, refusal_reason::kBusy, {}, effects);
  } else {
    record->busy = true;
    Enqueue(set, MakeChange(set, change_kind::kAbandon, *location, claim, now));
  }
  StartBatchIfDue(set, now, effects);
  return effects;
}

effects Finish(shard_set& set, const claim& claim, run_outcome end, std::string_view result,
               time_point now) {
  effects effects;
  const auto location = Locate(set, claim, now, effects);
  if (!location) return effects;
  record* record = FindGrantedRecord(set, *location, claim);
  if (record == nullptr || record->state == record_state::kNotRun) {
    Refuse(set, claim.claimant, claim.request_id, refusal_reason::kNoRecord, {}, effects);
  } else if (record->state == record_state::kRan || record->state == record_state::kUnknown) {
    Reply(set, claim.claimant, claim.request_id, reply_kind::kRecorded, effects);
  } else if (record->busy) {
    Refuse(set, claim.claimant, claim.request_id, refusal_reason::kBusy, {}, effects);
  } else {
    const auto kind = end == run_outcome::kRan ? change_kind::kEndRan : change_kind::kEndUnknown;
    EnqueueEnd(set, *location, *record, MakeChange(set, kind, *location, claim, now), result);
  }
  StartBatchIfDue(set, now, effects);
  return effects;
}

}  // namespace balsambay::ledger
