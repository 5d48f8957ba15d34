// Reads of stored results; memory holds only whether there is one.
#include <algorithm>

#include "details/shard_set.h"

namespace balsambay::ledger {

void ReadResult(shard_set& set, shard_id shard, const std::string& name, const claim& claim,
                time_point now, effects& out) {
  if (set.result_reads.size() >= set.config.max_result_reads) {
    return Refuse(set, claim.claimant, claim.request_id, refusal::kOverloaded, {}, out);
  }
  const uint64_t call = set.next_call++;
  set.result_reads[call] = {claim.claimant, claim.request_id, now + set.config.reply_bound};
  Emit(set, {call, table::read_request{{ResultKey(shard, name)}, {}}}, out);
}

bool OnResultReply(shard_set& set, uint64_t id, const lease::table_outcome& outcome, effects& out) {
  auto found = set.result_reads.extract(id);
  if (found.empty()) return false;
  const result_read& read = found.mapped();
  const auto* rows = std::get_if<table::read_reply>(&outcome);
  if (rows == nullptr) {
    Refuse(set, read.claimant, read.request_id, refusal::kTableUnavailable, {}, out);
    return true;
  }
  Reply(set, read.claimant, read.request_id, reply_kind::kRan, out);
  auto& ran = std::get<reply>(out.back());
  ran.result_stored = !rows->rows.empty();  // empty: it expired in the meantime
  if (ran.result_stored) ran.result = rows->rows.front().value;
  return true;
}

void RefuseLateReads(shard_set& set, time_point now, effects& out) {
  std::erase_if(set.result_reads, [&](const auto& entry) {
    const result_read& read = entry.second;
    if (read.deadline > now) return false;
    Refuse(set, read.claimant, read.request_id, refusal::kTableUnavailable, {}, out);
    return true;
  });
}

// Call ids rise with time, so the first entry has the earliest deadline.
time_point NextReadDeadline(const shard_set& set) {
  return set.result_reads.empty() ? kNever : set.result_reads.begin()->second.deadline;
}

}  // namespace balsambay::ledger
