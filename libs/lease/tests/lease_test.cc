// Tests of lease rows, of the takeover rule and of transactions whose replies are lost.
#include <catch2/catch.hpp>

#include "lease/holder.h"

namespace balsambay::lease {
namespace {

using std::chrono::milliseconds;
constexpr time_point kStart{std::chrono::seconds(100)};

TEST_CASE("a takeover waits for the whole lease time since the last change that was seen") {
  const timing timing;
  observation seen;
  CHECK(TakeoverTime(seen, timing) == kNever);
  const table::row row{"lease/g", 7, Encode({"a#1", 3, 9})};
  Observe(seen, &row, kStart);
  Observe(seen, &row, kStart + milliseconds(900));
  CHECK(TakeoverTime(seen, timing) == kStart + timing.lease_time);
  const table::row renewed{"lease/g", 8, Encode({"a#1", 3, 10})};
  Observe(seen, &renewed, kStart + milliseconds(1000));
  CHECK(TakeoverTime(seen, timing) == kStart + milliseconds(1000) + timing.lease_time);
  const table::row released{"lease/g", 9, Encode({"", 3, 11})};
  Observe(seen, &released, kStart + milliseconds(1100));
  CHECK(TakeoverTime(seen, timing) == kStart + milliseconds(1100));
}

TEST_CASE("an unreadable lease row is never taken over; guards against an epoch that goes down") {
  observation seen;
  const table::row row{"lease/g", 7, "{}"};
  Observe(seen, &row, kStart);
  CHECK(TakeoverTime(seen, {}) == kNever);
  CHECK(Decode("[]").has_error());
  CHECK(Decode(Encode({"a", 1, 2})).value() == lease_row{"a", 1, 2});
}

struct attempt_fixture {
  table::memory_table table;
  commit_attempt attempt;
  uint64_t next_id = 1;
  table_call Send(time_point now) { return lease::Send(attempt, {}, {}, next_id, now); }
  progress Hear(const table_outcome& outcome, time_point now) {
    return OnOutcome(attempt, attempt.call, outcome, {}, {}, next_id, now);
  }
  table_outcome Execute(const table_call& call) {
    if (const auto* tx = std::get_if<table::transaction>(&call.request)) return Commit(table, *tx);
    return Read(table, std::get<table::read_request>(call.request));
  }
};

TEST_CASE("a lost reply is read back; guards against taking a commit for a failure") {
  attempt_fixture f;
  f.attempt.guards = {{"lease/g", 0, Encode({"a#1", 1, 0})}};
  f.Execute(f.Send(kStart));
  const progress read = f.Hear(unknown_outcome{}, kStart);
  REQUIRE(read.call);
  CHECK(f.Hear(f.Execute(*read.call), kStart).outcome == verdict::kCommitted);
  CHECK(f.attempt.version == 1);
}

TEST_CASE("a transaction that may still arrive is sent again, and only one of both takes effect") {
  attempt_fixture f;
  f.attempt.guards = {{"lease/g", 0, Encode({"a#1", 1, 0})}};
  const table_call delayed = f.Send(kStart);
  const time_point later = kStart + std::chrono::seconds(1);
  const progress read = f.Hear(unknown_outcome{}, later);
  const progress again = f.Hear(f.Execute(*read.call), later);
  REQUIRE(again.call);
  const table_outcome first = f.Execute(delayed);
  CHECK(std::get<table::commit_reply>(first).committed);
  const progress conflict = f.Hear(f.Execute(*again.call), later);
  REQUIRE(conflict.call);
  CHECK(f.Hear(f.Execute(*conflict.call), later).outcome == verdict::kCommitted);
}

TEST_CASE("a changed guard rejects the transaction and names the lost lease") {
  attempt_fixture f;
  f.attempt.guards = {{"lease/g", 0, Encode({"a#1", 1, 0})}, {"lease/h", 0, Encode({"a#1", 1, 1})}};
  const table_call call = f.Send(kStart);
  Commit(f.table, {{}, {{"lease/h", Encode({"b#1", 1, 0})}}});
  const progress read = f.Hear(f.Execute(call), kStart);
  REQUIRE(read.call);
  CHECK(f.Hear(f.Execute(*read.call), kStart).outcome == verdict::kRejected);
  CHECK(f.attempt.lost == std::vector<std::string>{"lease/h"});
}

TEST_CASE("a late reply still decides; guards against a table slower than the call timeout") {
  attempt_fixture f;
  f.attempt.guards = {{"lease/g", 0, Encode({"a#1", 1, 0})}};
  const table_call call = f.Send(kStart);
  REQUIRE(OnTick(f.attempt, {}, {}, f.next_id, kStart + milliseconds(300)).call);
  REQUIRE(Owns(f.attempt, call.id));
  const time_point late = kStart + milliseconds(350);
  const progress done = OnOutcome(f.attempt, call.id, f.Execute(call), {}, {}, f.next_id, late);
  CHECK(done.outcome == verdict::kCommitted);
}

TEST_CASE("a table that reads but does not write is not flooded; guards against a send loop") {
  attempt_fixture f;
  f.attempt.guards = {{"lease/g", 0, Encode({"a#1", 1, 0})}};
  f.Send(kStart);
  const progress read = f.Hear(unknown_outcome{}, kStart);
  CHECK_FALSE(f.Hear(f.Execute(*read.call), kStart).call);
  CHECK(f.attempt.deadline == kStart + timing().retry_interval);
}

}  // namespace
}  // namespace balsambay::lease
