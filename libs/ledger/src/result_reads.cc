// Reads stored results from the table. The record in memory holds only whether a result is stored.
#include <algorithm>

#include "details/shard_set.h"

namespace balsambay::ledger {

void ReadResult(shard_set& set, shard_id shard, const std::string& name, const claim& claim,
                time_point now, effects& effects) {
  if (set.result_reads.size() >= set.config.max_result_reads) {
    return Refuse(set, claim.claimant, claim.request_id, refusal_reason::kOverloaded, {}, effects);
  }
  const uint64_t call = set.next_call_id++;
  set.result_reads[call] = {claim.claimant, claim.request_id, now + set.config.reply_bound};
  EmitCall(set, {call, table::read_request{{ResultKey(shard, name)}, {}}}, effects);
}

bool OnResultReply(shard_set& set, uint64_t id, const lease::table_outcome& outcome,
                   effects& effects) {
  auto node = set.result_reads.extract(id);
  if (node.empty()) return false;
  const result_read& read = node.mapped();
  const auto* read_reply = std::get_if<table::read_reply>(&outcome);
  if (read_reply == nullptr) {
    Refuse(set, read.claimant, read.request_id, refusal_reason::kTableUnavailable, {}, effects);
    return true;
  }
  Reply(set, read.claimant, read.request_id, reply_kind::kRan, effects);
  auto& ran_reply = std::get<reply>(effects.back());
  ran_reply.result_stored =
      !read_reply->rows.empty();  // no row: the record expired in the meantime
  if (ran_reply.result_stored) ran_reply.result = read_reply->rows.front().value;
  return true;
}

void RefuseOverdueReads(shard_set& set, time_point now, effects& effects) {
  std::erase_if(set.result_reads, [&](const auto& entry) {
    const result_read& read = entry.second;
    if (read.deadline > now) return false;
    Refuse(set, read.claimant, read.request_id, refusal_reason::kTableUnavailable, {}, effects);
    return true;
  });
}

// Call ids increase with time, so the first entry has the earliest deadline.
time_point NextReadDeadline(const shard_set& set) {
  return set.result_reads.empty() ? kNever : set.result_reads.begin()->second.deadline;
}

}  // namespace balsambay::ledger
