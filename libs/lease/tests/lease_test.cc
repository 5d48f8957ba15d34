// Tests of lease rows, of the takeover rule and of transactions whose replies are lost.
#include <catch2/catch.hpp>

#include "lease/holder.h"

namespace balsambay::lease {
namespace {

using std::chrono::milliseconds;
constexpr time_point kStart{std::chrono::seconds(100)};

TEST_CASE("a takeover waits for the lease time after the last observed change of the row") {
  const timing timing;
  observation observed;
  CHECK(TakeoverTime(observed, timing) == kNever);
  const table::row row{"lease/g", 7, Encode({"a#1", 3, 9})};
  Observe(observed, &row, kStart);
  Observe(observed, &row, kStart + milliseconds(900));
  CHECK(TakeoverTime(observed, timing) == kStart + timing.lease_duration);
  const table::row renewed{"lease/g", 8, Encode({"a#1", 3, 10})};
  Observe(observed, &renewed, kStart + milliseconds(1000));
  CHECK(TakeoverTime(observed, timing) == kStart + milliseconds(1000) + timing.lease_duration);
  const table::row released{"lease/g", 9, Encode({"", 3, 11})};
  Observe(observed, &released, kStart + milliseconds(1100));
  CHECK(TakeoverTime(observed, timing) == kStart + milliseconds(1100));
}

// Guards against a lease that is held through a store that the process no longer uses, while
// another process takes it over in the new one.
TEST_CASE("after the table has moved, the lease is not held until it is acquired there") {
  table::memory_table former;
  table::memory_table moved;
  holder holder;
  holder.key = "lease/g";
  holder.self = "a#1";
  const auto run = [&](table::memory_table& table, std::vector<table_call> calls, time_point now) {
    while (!calls.empty()) {
      const table_call call = calls.front();
      calls.erase(calls.begin());
      const auto* tx = std::get_if<table::transaction>(&call.request);
      const table_outcome outcome =
          tx != nullptr ? table_outcome{Commit(table, *tx)}
                        : table_outcome{Read(table, std::get<table::read_request>(call.request))};
      for (const table_call& next : OnTableReply(holder, call.id, outcome, now))
        calls.push_back(next);
    }
  };
  run(former, OnTick(holder, kStart), kStart);
  run(former, OnTick(holder, kStart), kStart);
  REQUIRE(MayAct(holder, kStart));
  // The row was copied to the new table.
  Commit(moved, {{}, {{"lease/g", Read(former, {{"lease/g"}, {}}).rows.front().value}}});
  const time_point renewal = kStart + holder.config.renew_interval;
  const auto late_calls = OnTick(holder, renewal);
  REQUIRE(late_calls.size() == 1);
  OnTableMoved(holder, renewal);
  CHECK_FALSE(MayAct(holder, renewal));
  run(former, late_calls, renewal);
  CHECK_FALSE(MayAct(holder, renewal));
  const time_point expiry = renewal + holder.config.lease_duration;
  for (time_point now = renewal; now < expiry; now += milliseconds(100)) {
    run(moved, OnTick(holder, now), now);
    CHECK_FALSE(MayAct(holder, now));
  }
  run(moved, OnTick(holder, expiry), expiry);
  CHECK(MayAct(holder, expiry));
  CHECK(holder.row.epoch == 2);
}

TEST_CASE("an invalid lease row is never taken over, so that its epoch cannot decrease") {
  observation observed;
  const table::row row{"lease/g", 7, "{}"};
  Observe(observed, &row, kStart);
  CHECK(TakeoverTime(observed, {}) == kNever);
  CHECK(Decode("[]").has_error());
  CHECK(Decode(Encode({"a", 1, 2})).value() == lease_row{"a", 1, 2});
}

struct attempt_fixture {
  table::memory_table table;
  commit_attempt attempt;
  uint64_t next_id = 1;
  table_call SendTransaction(time_point now) {
    return lease::SendTransaction(attempt, {}, {}, next_id, now);
  }
  progress Deliver(const table_outcome& outcome, time_point now) {
    return OnCallOutcome(attempt, attempt.call, outcome, {}, {}, next_id, now);
  }
  table_outcome Execute(const table_call& call) {
    if (const auto* tx = std::get_if<table::transaction>(&call.request)) return Commit(table, *tx);
    return Read(table, std::get<table::read_request>(call.request));
  }
};

TEST_CASE("a lost reply is read back, so that a commit is not taken for a failure") {
  attempt_fixture fixture;
  fixture.attempt.guards = {{"lease/g", 0, Encode({"a#1", 1, 0})}};
  fixture.Execute(fixture.SendTransaction(kStart));
  const progress read_back = fixture.Deliver(unknown_outcome{}, kStart);
  REQUIRE(read_back.call);
  CHECK(fixture.Deliver(fixture.Execute(*read_back.call), kStart).outcome ==
        transaction_outcome::kCommitted);
  CHECK(fixture.attempt.version == 1);
}

TEST_CASE("a transaction that may still arrive is sent again, and only one send takes effect") {
  attempt_fixture fixture;
  fixture.attempt.guards = {{"lease/g", 0, Encode({"a#1", 1, 0})}};
  const table_call delayed = fixture.SendTransaction(kStart);
  const time_point later = kStart + std::chrono::seconds(1);
  const progress read_back = fixture.Deliver(unknown_outcome{}, later);
  const progress resend = fixture.Deliver(fixture.Execute(*read_back.call), later);
  REQUIRE(resend.call);
  const table_outcome delayed_outcome = fixture.Execute(delayed);
  CHECK(std::get<table::commit_reply>(delayed_outcome).committed);
  const progress conflict = fixture.Deliver(fixture.Execute(*resend.call), later);
  REQUIRE(conflict.call);
  CHECK(fixture.Deliver(fixture.Execute(*conflict.call), later).outcome ==
        transaction_outcome::kCommitted);
}

TEST_CASE("a changed guard rejects the transaction and is reported as lost") {
  attempt_fixture fixture;
  fixture.attempt.guards = {{"lease/g", 0, Encode({"a#1", 1, 0})},
                            {"lease/h", 0, Encode({"a#1", 1, 1})}};
  const table_call call = fixture.SendTransaction(kStart);
  Commit(fixture.table, {{}, {{"lease/h", Encode({"b#1", 1, 0})}}});
  const progress read_back = fixture.Deliver(fixture.Execute(call), kStart);
  REQUIRE(read_back.call);
  CHECK(fixture.Deliver(fixture.Execute(*read_back.call), kStart).outcome ==
        transaction_outcome::kRejected);
  CHECK(fixture.attempt.lost_guards == std::vector<std::string>{"lease/h"});
}

TEST_CASE("a reply after the call timeout still decides, so that a slow table makes progress") {
  attempt_fixture fixture;
  fixture.attempt.guards = {{"lease/g", 0, Encode({"a#1", 1, 0})}};
  const table_call call = fixture.SendTransaction(kStart);
  REQUIRE(OnTick(fixture.attempt, {}, {}, fixture.next_id, kStart + milliseconds(300)).call);
  REQUIRE(OwnsCall(fixture.attempt, call.id));
  const time_point reply_time = kStart + milliseconds(350);
  const progress decided = OnCallOutcome(fixture.attempt, call.id, fixture.Execute(call), {}, {},
                                         fixture.next_id, reply_time);
  CHECK(decided.outcome == transaction_outcome::kCommitted);
}

TEST_CASE("a table that answers reads but not writes gets one send per retry interval") {
  // Guards against a loop of sends and read-backs that floods the table.
  attempt_fixture fixture;
  fixture.attempt.guards = {{"lease/g", 0, Encode({"a#1", 1, 0})}};
  fixture.SendTransaction(kStart);
  const progress read_back = fixture.Deliver(unknown_outcome{}, kStart);
  CHECK_FALSE(fixture.Deliver(fixture.Execute(*read_back.call), kStart).call);
  CHECK(fixture.attempt.deadline == kStart + timing().retry_interval);
}

}  // namespace
}  // namespace balsambay::lease
