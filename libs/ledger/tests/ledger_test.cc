// Directed tests of limits, refusals, expiry, handovers and grants.
#include <catch2/catch.hpp>

#include "simulation.h"

namespace balsambay::ledger::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

claim TestClaim(const std::string& id, const std::string& key = "k") {
  return {"ws", key, "digest", id, "c#1"};
}

const reply* FindReply(const effects& effects) {
  for (const effect& effect : effects) {
    if (const auto* found_reply = std::get_if<reply>(&effect)) return found_reply;
  }
  return nullptr;
}

// Fixture: one daemon that owns all shards, with a table in memory that executes calls at once.
struct single_owner {
  table::memory_table table;
  time_point now{seconds(1000)};
  int64_t wall_ms = 1'000'000;
  bool table_up = true;
  shard_set_ptr set;
  std::vector<reply> replies;

  explicit single_owner(settings config = TestSettings(), const faults& test_faults = {}) {
    config.self = "d0#1";
    set = MakeShardSet(config, test_faults);
    AdvanceTime(seconds(1));
  }
  void Handle(effects effects) {
    for (effect& effect : effects) {
      if (const auto* found_reply = std::get_if<reply>(&effect)) replies.push_back(*found_reply);
      const auto* call = std::get_if<lease::table_call>(&effect);
      if (call == nullptr || !table_up) continue;
      const auto* tx = std::get_if<table::transaction>(&call->request);
      const auto outcome =
          tx != nullptr
              ? lease::table_outcome(Commit(table, *tx))
              : lease::table_outcome(Read(table, std::get<table::read_request>(call->request)));
      Handle(OnTableReply(*set, call->id, outcome, now));
    }
  }
  void AdvanceTime(duration time) {
    for (const time_point end = now + time; now < end;) {
      const time_point next = std::min(end, std::max(now, NextDeadline(*set)));
      wall_ms += (next - now) / milliseconds(1);
      now = next;
      Handle(OnTick(*set, now, wall_ms));
    }
  }
  reply SendClaim(const claim& claim) {
    replies.clear();
    Handle(Claim(*set, claim, now));
    AdvanceTime(milliseconds(10));
    return replies.empty() ? reply{} : replies.back();
  }
  reply SendFinish(const claim& claim, const std::string& result) {
    replies.clear();
    Handle(Finish(*set, claim, run_outcome::kRan, result, now));
    AdvanceTime(milliseconds(10));
    return replies.empty() ? reply{} : replies.back();
  }
};

// Settings that endanger a lease or a grant are invalid.
TEST_CASE("Validate() names the invalid setting") {
  settings config;
  CHECK(Validate(config).error().detail == "self is empty");
  config.self = "a#1";
  CHECK(Validate(config).has_value());
  config.retention = seconds(60);
  CHECK(Validate(config).error().detail.starts_with("retention"));
}

TEST_CASE(
    "claims are refused within reply_bound when the table does not reply, later ones at once") {
  single_owner owner;
  owner.table_up = false;
  owner.replies.clear();
  owner.Handle(Claim(*owner.set, TestClaim("r1"), owner.now));
  owner.AdvanceTime(settings().reply_bound);
  REQUIRE(owner.replies.size() == 1);
  CHECK(owner.replies[0].reason == refusal_reason::kTableUnavailable);
  CHECK(owner.replies[0].retry_after > duration::zero());
  const effects effects = Claim(*owner.set, TestClaim("r2", "k2"), owner.now);
  REQUIRE(FindReply(effects) != nullptr);
  CHECK(FindReply(effects)->reason == refusal_reason::kTableUnavailable);
}

// After the lease another daemon may have changed the records, so the owner could report stale
// duplicates. With the fault ignore_margin it does not check its clock and answers.
TEST_CASE(
    "an owner refuses claims after its lease has expired, instead of answering from stale "
    "records") {
  faults no_clock_check;
  no_clock_check.lease.ignore_margin = true;
  for (const bool checks_clock : {true, false}) {
    single_owner owner(TestSettings(), checks_clock ? faults{} : no_clock_check);
    CHECK(owner.SendClaim(TestClaim("r1")).kind == reply_kind::kGrant);
    const effects effects = Claim(*owner.set, TestClaim("r2"), owner.now + seconds(3));
    REQUIRE(FindReply(effects) != nullptr);
    CHECK((FindReply(effects)->reason == refusal_reason::kLeaseLapsed) == checks_clock);
  }
}

TEST_CASE(
    "a result larger than max_result_bytes is not stored, but the request is recorded as ran") {
  single_owner owner;
  const claim small = TestClaim("r1", "small");
  const claim large = TestClaim("r2", "large");
  owner.SendClaim(small);
  owner.SendClaim(large);
  CHECK(owner.SendFinish(small, "answer").kind == reply_kind::kRecorded);
  CHECK(owner.SendFinish(large, std::string(20'000, 'x')).kind == reply_kind::kRecorded);
  CHECK(owner.SendClaim(TestClaim("r3", "small")).result == "answer");
  const reply ran_reply = owner.SendClaim(TestClaim("r4", "large"));
  CHECK(ran_reply.kind == reply_kind::kRan);
  CHECK_FALSE(ran_reply.result_stored);
}

TEST_CASE("records and results are deleted after the retention time, and their number is limited") {
  settings config = TestSettings();
  config.shard_count = 1;
  config.max_records_per_shard = 2;
  single_owner owner(config);
  owner.SendClaim(TestClaim("r1", "k1"));
  owner.SendClaim(TestClaim("r2", "k2"));
  owner.SendFinish(TestClaim("r1", "k1"), "answer");
  CHECK(owner.SendClaim(TestClaim("r3", "k3")).reason == refusal_reason::kFull);
  owner.AdvanceTime(config.retention + config.sweep_interval * 2);
  CHECK(RecordCount(*owner.set) == 0);
  CHECK(owner.table.rows.size() == 1);  // the shard row
  CHECK(owner.SendClaim(TestClaim("r4", "k3")).kind == reply_kind::kGrant);
}

TEST_CASE("a slash in a workspace name does not lead to the record of another workspace") {
  single_owner owner;
  claim slash_in_workspace = TestClaim("r1", "c");
  slash_in_workspace.workspace = "a/b";
  claim slash_in_key = TestClaim("r2", "b/c");
  slash_in_key.workspace = "a";
  CHECK(owner.SendClaim(slash_in_workspace).kind == reply_kind::kGrant);
  CHECK(owner.SendClaim(slash_in_key).kind == reply_kind::kGrant);
  slash_in_key.key.clear();
  CHECK(owner.SendClaim(slash_in_key).reason == refusal_reason::kInvalid);
}

TEST_CASE("all claims of one batch interval are committed in one transaction") {
  settings config = TestSettings();
  config.batch_interval = milliseconds(50);
  single_owner owner(config);
  owner.SendClaim(TestClaim("first", "first"));
  const uint64_t before = Counters(*owner.set).transactions;
  for (int i = 0; i < 100; ++i) {
    owner.Handle(
        Claim(*owner.set, TestClaim("r" + std::to_string(i), std::to_string(i)), owner.now));
  }
  owner.replies.clear();
  owner.AdvanceTime(milliseconds(60));
  CHECK(owner.replies.size() == 100);
  CHECK(Counters(*owner.set).transactions == before + 1);
}

TEST_CASE(
    "shards are handed over one at a time to a daemon that joins, while the others are served") {
  settings config = TestSettings();
  config.shard_count = 16;
  const auto sim = MakeSimulation(3, 9, config);
  Apply(*sim, {{"op", "crash"}, {"daemon", 2}});
  Run(*sim, seconds(8));
  const auto count_served = [&] {
    size_t total = 0;
    for (const daemon& d : sim->daemons) total += d.crashed ? 0 : ServedShards(*d.set).size();
    return total;
  };
  REQUIRE(count_served() == 16);
  Apply(*sim, {{"op", "start"}, {"daemon", 2}});
  size_t min_served = 16;
  for (int i = 0; i < 600; ++i) {
    Run(*sim, milliseconds(50));
    min_served = std::min(min_served, count_served());
  }
  CHECK(min_served >= 14);  // two owners, each handing over one shard at a time
  CHECK(ServedShards(*sim->daemons[2].set).size() >= 2);
  CHECK(count_served() == 16);
}

TEST_CASE(
    "the shards of a crashed daemon are served again within 5 s, even if live lists still contain "
    "it") {
  for (const duration list_delay : {milliseconds(1500), milliseconds(60'000)}) {
    for (int seed = 0; seed < 20; ++seed) {
      const auto sim = MakeSimulation(4, seed);
      sim->list_delay = list_delay;
      Run(*sim, seconds(4) + milliseconds(37 * seed));
      const int owner = ServingDaemon(*sim, "k");
      REQUIRE(owner >= 0);
      Apply(*sim, {{"op", "crash"}, {"daemon", owner}});
      Run(*sim, seconds(5));
      CHECK(ServingDaemon(*sim, "k") >= 0);
    }
  }
}

// Guards against a livelock in which each call is repeated after its timeout and no reply is used.
TEST_CASE("claims are granted when each table call takes longer than the call timeout") {
  const auto sim = MakeSimulation(2, 3);
  Run(*sim, seconds(5));
  Apply(*sim, {{"op", "table"}, {"mode", "slow"}});
  Run(*sim, seconds(5));
  Apply(*sim, {{"op", "claim"}, {"daemon", 0}, {"request", "r1"}, {"key", "k"}});
  Run(*sim, seconds(3));
  CHECK(sim->requests["r1"].reported_outcome == "ran");
}

TEST_CASE("a graceful stop releases all shards at once, without waiting for the leases to expire") {
  const auto sim = MakeSimulation(2, 3);
  Run(*sim, seconds(5));
  Apply(*sim, {{"op", "stop"}, {"daemon", 0}});
  Run(*sim, milliseconds(1700));
  CHECK(IsReleased(*sim->daemons[0].set));
  CHECK(ServedShards(*sim->daemons[1].set).size() == 2);
}

TEST_CASE(
    "a grant allows one dispatch, before it expires and not after the submission was given up") {
  const time_point start{seconds(5)};
  reply grant;
  grant.kind = reply_kind::kGrant;
  grant.grant_time = seconds(2);
  submission used = MakeSubmission(TestClaim("r1"), start);
  CHECK_FALSE(TryDispatch(used, start));
  CHECK_FALSE(OnReply(used, grant));
  CHECK(TryDispatch(used, start + seconds(1)));
  CHECK_FALSE(TryDispatch(used, start + seconds(1)));
  CHECK_FALSE(GiveUp(used));
  OnNotStarted(used);
  CHECK(TryDispatch(used, start + seconds(1)));
  CHECK(EndSubmission(used));
  submission expired = MakeSubmission(TestClaim("r2"), start);
  OnReply(expired, grant);
  CHECK_FALSE(TryDispatch(expired, start + seconds(2)));
  CHECK(GiveUp(expired));
  CHECK(OnReply(expired, grant));
  CHECK_FALSE(TryDispatch(expired, start));
}

}  // namespace
}  // namespace balsambay::ledger::testing
