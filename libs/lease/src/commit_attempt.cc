// Sends a conditional transaction, reads its guards back after a lost reply, and sends it again.
#include "lease/commit_attempt.h"

#include <algorithm>
#include <utility>

namespace balsambay::lease {
namespace {

table::transaction MakeTransaction(const commit_attempt& attempt, const faults& faults) {
  table::transaction tx;
  for (const guard& guard : attempt.guards) {
    if (!faults.skip_epoch_condition) tx.conditions.push_back({guard.key, guard.version});
    tx.writes.push_back({guard.key, guard.value});
  }
  tx.writes.insert(tx.writes.end(), attempt.writes.begin(), attempt.writes.end());
  return tx;
}

constexpr size_t kMaxLateCalls = 8;

// Marks the open call as late. Its reply is still evaluated, unless kMaxLateCalls newer calls time
// out.
void CloseCall(commit_attempt& attempt) {
  if (attempt.call == 0) return;
  if (attempt.late_calls.size() == kMaxLateCalls)
    attempt.late_calls.erase(attempt.late_calls.begin());
  attempt.late_calls.push_back(std::exchange(attempt.call, 0));
}

table_call OpenCall(commit_attempt& attempt, const timing& timing, uint64_t& next_id,
                    time_point now) {
  CloseCall(attempt);
  attempt.call = next_id++;
  attempt.deadline = now + timing.call_timeout;
  return {attempt.call, {}};
}

table_call ReadBack(commit_attempt& attempt, const timing& timing, uint64_t& next_id,
                    time_point now) {
  table_call call = OpenCall(attempt, timing, next_id, now);
  attempt.reading_back = true;
  table::read_request read;
  for (const guard& guard : attempt.guards) read.keys.push_back(guard.key);
  call.request = std::move(read);
  return call;
}

const table::row* FindRow(const table::read_reply& reply, std::string_view key) {
  const auto it = std::ranges::find(reply.rows, key, &table::row::key);
  return it == reply.rows.end() ? nullptr : &*it;
}

// A guard with the new value proves the commit. A guard that was changed otherwise proves that the
// transaction did not and cannot commit, because its conditions can no longer hold.
transaction_outcome EvaluateReadBack(commit_attempt& attempt, const table::read_reply& reply) {
  for (const guard& guard : attempt.guards) {
    const table::row* row = FindRow(reply, guard.key);
    const uint64_t version = row == nullptr ? 0 : row->version;
    if (version == guard.version) continue;
    if (row != nullptr && row->value == guard.value) {
      attempt.version = version;
      attempt.lost_guards.clear();
      return transaction_outcome::kCommitted;
    }
    attempt.lost_guards.push_back(guard.key);
  }
  return attempt.lost_guards.empty() ? transaction_outcome::kPending
                                     : transaction_outcome::kRejected;
}

// What the outcome of one call proves about the transaction; kPending: nothing.
transaction_outcome EvaluateOutcome(commit_attempt& attempt, const table_outcome& call_outcome) {
  if (const auto* read_reply = std::get_if<table::read_reply>(&call_outcome)) {
    return EvaluateReadBack(attempt, *read_reply);
  }
  const auto* commit_reply = std::get_if<table::commit_reply>(&call_outcome);
  if (commit_reply == nullptr || !commit_reply->committed) return transaction_outcome::kPending;
  attempt.version = commit_reply->version;
  return transaction_outcome::kCommitted;
}

// Closes the open call and waits until `deadline` before the next one.
progress WaitUntil(commit_attempt& attempt, time_point deadline) {
  CloseCall(attempt);
  attempt.deadline = deadline;
  return {};
}

// Sends the transaction again, at most once per retry_interval: a table that answers reads but
// fails writes at once must not be flooded.
progress Resend(commit_attempt& attempt, const timing& timing, const faults& faults,
                uint64_t& next_id, time_point now) {
  const time_point earliest = attempt.last_sent + timing.retry_interval;
  if (now < earliest) return WaitUntil(attempt, earliest);
  return {transaction_outcome::kPending, SendTransaction(attempt, timing, faults, next_id, now)};
}

progress OnUnknownOutcome(commit_attempt& attempt, const timing& timing, const faults& faults,
                          uint64_t& next_id, time_point now) {
  attempt.reply_lost = true;
  if (faults.skip_read_back) return {transaction_outcome::kCommitted, std::nullopt};
  if (!attempt.reading_back)
    return {transaction_outcome::kPending, ReadBack(attempt, timing, next_id, now)};
  return WaitUntil(attempt, now + timing.retry_interval);
}

}  // namespace

table_call SendTransaction(commit_attempt& attempt, const timing& timing, const faults& faults,
                           uint64_t& next_id, time_point now) {
  if (attempt.sends == 0) attempt.first_sent = now;
  attempt.last_sent = now;
  ++attempt.sends;
  attempt.reading_back = false;
  table_call call = OpenCall(attempt, timing, next_id, now);
  call.request = MakeTransaction(attempt, faults);
  return call;
}

bool OwnsCall(const commit_attempt& attempt, uint64_t call) {
  if (call == 0) return false;
  return call == attempt.call ||
         std::ranges::find(attempt.late_calls, call) != attempt.late_calls.end();
}

progress OnCallOutcome(commit_attempt& attempt, uint64_t call, const table_outcome& call_outcome,
                       const timing& timing, const faults& faults, uint64_t& next_id,
                       time_point now) {
  const transaction_outcome outcome = EvaluateOutcome(attempt, call_outcome);
  if (outcome != transaction_outcome::kPending) return {outcome, std::nullopt};
  if (call != attempt.call) return {};
  if (std::holds_alternative<unknown_outcome>(call_outcome)) {
    return OnUnknownOutcome(attempt, timing, faults, next_id, now);
  }
  if (attempt.reading_back) return Resend(attempt, timing, faults, next_id, now);
  return {transaction_outcome::kPending, ReadBack(attempt, timing, next_id, now)};
}

progress OnTick(commit_attempt& attempt, const timing& timing, const faults& faults,
                uint64_t& next_id, time_point now) {
  if (now < attempt.deadline) return {};
  if (attempt.call == 0)
    return {transaction_outcome::kPending, ReadBack(attempt, timing, next_id, now)};
  return OnUnknownOutcome(attempt, timing, faults, next_id, now);
}

}  // namespace balsambay::lease
