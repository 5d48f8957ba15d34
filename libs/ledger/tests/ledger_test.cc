// Directed tests of the ledger's bounds and refusals.
#include <catch2/catch.hpp>

#include "world.h"

namespace balsambay::ledger::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

claim TestClaim(const std::string& id, const std::string& key = "k") {
  return {"ws", key, "digest", id, "c#1"};
}

const reply* FindReply(const effects& out) {
  for (const effect& effect : out) {
    if (const auto* found = std::get_if<reply>(&effect)) return found;
  }
  return nullptr;
}

// One daemon that owns all shards; the test plays its table.
struct single {
  table::memory_table table;
  time_point now{seconds(1000)};
  int64_t wall_ms = 1'000'000;
  bool table_up = true;
  shard_set_ptr set;
  std::vector<reply> replies;

  explicit single(settings config = TestSettings(), const faults& broken = {}) {
    config.self = "d0#1";
    set = MakeShardSet(config, broken);
    Pass(seconds(1));
  }
  void Handle(effects out) {
    for (effect& effect : out) {
      if (const auto* found = std::get_if<reply>(&effect)) replies.push_back(*found);
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
  void Pass(duration time) {
    for (const time_point end = now + time; now < end;) {
      const time_point next = std::min(end, std::max(now, NextDeadline(*set)));
      wall_ms += (next - now) / milliseconds(1);
      now = next;
      Handle(OnTick(*set, now, wall_ms));
    }
  }
  reply Ask(const claim& claim) {
    replies.clear();
    Handle(Claim(*set, claim, now));
    Pass(milliseconds(10));
    return replies.empty() ? reply{} : replies.back();
  }
  reply End(const claim& claim, const std::string& result) {
    replies.clear();
    Handle(Finish(*set, claim, end_state::kRan, result, now));
    Pass(milliseconds(10));
    return replies.empty() ? reply{} : replies.back();
  }
};

TEST_CASE("settings that endanger a lease or a grant are refused with the setting's name") {
  settings config;
  CHECK(Validate(config).error().detail == "self is empty");
  config.self = "a#1";
  CHECK(Validate(config).has_value());
  config.retention = seconds(60);
  CHECK(Validate(config).error().detail.starts_with("retention"));
}

TEST_CASE("a table that does not answer refuses claims within the bound, then at once") {
  single s;
  s.table_up = false;
  s.replies.clear();
  s.Handle(Claim(*s.set, TestClaim("r1"), s.now));
  s.Pass(settings().reply_bound);
  REQUIRE(s.replies.size() == 1);
  CHECK(s.replies[0].reason == refusal::kTableUnavailable);
  CHECK(s.replies[0].retry_after > duration::zero());
  const effects out = Claim(*s.set, TestClaim("r2", "k2"), s.now);
  REQUIRE(FindReply(out) != nullptr);
  CHECK(FindReply(out)->reason == refusal::kTableUnavailable);
}

TEST_CASE("an owner past its lease answers nothing from memory; guards against stale duplicates") {
  faults blind;
  blind.lease.ignore_margin = true;
  for (const bool checks_clock : {true, false}) {
    single s(TestSettings(), checks_clock ? faults{} : blind);
    CHECK(s.Ask(TestClaim("r1")).kind == reply_kind::kGrant);
    const effects out = Claim(*s.set, TestClaim("r2"), s.now + seconds(3));
    REQUIRE(FindReply(out) != nullptr);
    CHECK((FindReply(out)->reason == refusal::kLeaseLapsed) == checks_clock);
  }
}

TEST_CASE("results are stored up to the bound, and a larger one is still known as ran") {
  single s;
  const claim small = TestClaim("r1", "small");
  const claim large = TestClaim("r2", "large");
  s.Ask(small);
  s.Ask(large);
  CHECK(s.End(small, "answer").kind == reply_kind::kRecorded);
  CHECK(s.End(large, std::string(20'000, 'x')).kind == reply_kind::kRecorded);
  CHECK(s.Ask(TestClaim("r3", "small")).result == "answer");
  const reply ran = s.Ask(TestClaim("r4", "large"));
  CHECK(ran.kind == reply_kind::kRan);
  CHECK_FALSE(ran.result_stored);
}

TEST_CASE(
    "records and results leave memory and table after retention, and their number is bounded") {
  settings config = TestSettings();
  config.shard_count = 1;
  config.max_records_per_shard = 2;
  single s(config);
  s.Ask(TestClaim("r1", "k1"));
  s.Ask(TestClaim("r2", "k2"));
  s.End(TestClaim("r1", "k1"), "answer");
  CHECK(s.Ask(TestClaim("r3", "k3")).reason == refusal::kFull);
  s.Pass(config.retention + config.sweep_interval * 2);
  CHECK(RecordCount(*s.set) == 0);
  CHECK(s.table.rows.size() == 1);  // the shard row
  CHECK(s.Ask(TestClaim("r4", "k3")).kind == reply_kind::kGrant);
}

TEST_CASE("names of different workspaces never meet; guards against a slash in a workspace") {
  single s;
  claim one = TestClaim("r1", "c");
  one.workspace = "a/b";
  claim other = TestClaim("r2", "b/c");
  other.workspace = "a";
  CHECK(s.Ask(one).kind == reply_kind::kGrant);
  CHECK(s.Ask(other).kind == reply_kind::kGrant);
  other.key.clear();
  CHECK(s.Ask(other).reason == refusal::kInvalid);
}

TEST_CASE("a claim in one batch costs one transaction with the others; guards group commit") {
  settings config = TestSettings();
  config.batch_interval = milliseconds(50);
  single s(config);
  s.Ask(TestClaim("first", "first"));
  const uint64_t before = Counters(*s.set).transactions;
  for (int i = 0; i < 100; ++i) {
    s.Handle(Claim(*s.set, TestClaim("r" + std::to_string(i), std::to_string(i)), s.now));
  }
  s.replies.clear();
  s.Pass(milliseconds(60));
  CHECK(s.replies.size() == 100);
  CHECK(Counters(*s.set).transactions == before + 1);
}

TEST_CASE("shards move one at a time to a daemon that joins, and every shard stays served") {
  settings config = TestSettings();
  config.shard_count = 16;
  const auto w = MakeWorld(3, 9, config);
  Apply(*w, {{"op", "crash"}, {"daemon", 2}});
  Run(*w, seconds(8));
  const auto served = [&] {
    size_t sum = 0;
    for (const daemon& d : w->daemons) sum += d.crashed ? 0 : ServedShards(*d.set).size();
    return sum;
  };
  REQUIRE(served() == 16);
  Apply(*w, {{"op", "start"}, {"daemon", 2}});
  size_t least = 16;
  for (int i = 0; i < 600; ++i) {
    Run(*w, milliseconds(50));
    least = std::min(least, served());
  }
  CHECK(least >= 14);  // two owners, each giving away one shard at a time
  CHECK(ServedShards(*w->daemons[2].set).size() >= 2);
  CHECK(served() == 16);
}

TEST_CASE(
    "the shards of a dead daemon are served again within 5 s, also while lists still name it") {
  for (const duration list_delay : {milliseconds(1500), milliseconds(60'000)}) {
    for (int seed = 0; seed < 20; ++seed) {
      const auto w = MakeWorld(4, seed);
      w->list_delay = list_delay;
      Run(*w, seconds(4) + milliseconds(37 * seed));
      const int owner = Owner(*w, "k");
      REQUIRE(owner >= 0);
      Apply(*w, {{"op", "crash"}, {"daemon", owner}});
      Run(*w, seconds(5));
      CHECK(Owner(*w, "k") >= 0);
    }
  }
}

TEST_CASE("a table slower than the call timeout still serves claims; guards against a livelock") {
  const auto w = MakeWorld(2, 3);
  Run(*w, seconds(5));
  Apply(*w, {{"op", "table"}, {"mode", "slow"}});
  Run(*w, seconds(5));
  Apply(*w, {{"op", "claim"}, {"daemon", 0}, {"request", "r1"}, {"key", "k"}});
  Run(*w, seconds(3));
  CHECK(w->requests["r1"].told == "ran");
}

TEST_CASE("a graceful stop hands all shards over at once; guards against waiting for the lease") {
  const auto w = MakeWorld(2, 3);
  Run(*w, seconds(5));
  Apply(*w, {{"op", "stop"}, {"daemon", 0}});
  Run(*w, milliseconds(1700));
  CHECK(Released(*w->daemons[0].set));
  CHECK(ServedShards(*w->daemons[1].set).size() == 2);
}

TEST_CASE("a grant is used once, before it expires, and never after the caller was told not run") {
  const time_point start{seconds(5)};
  reply grant;
  grant.kind = reply_kind::kGrant;
  grant.grant_time = seconds(2);
  submission used = Submit(TestClaim("r1"), start);
  CHECK_FALSE(TryDispatch(used, start));
  CHECK_FALSE(OnReply(used, grant));
  CHECK(TryDispatch(used, start + seconds(1)));
  CHECK_FALSE(TryDispatch(used, start + seconds(1)));
  CHECK_FALSE(GiveUp(used));
  OnNotStarted(used);
  CHECK(TryDispatch(used, start + seconds(1)));
  CHECK(End(used));
  submission late = Submit(TestClaim("r2"), start);
  OnReply(late, grant);
  CHECK_FALSE(TryDispatch(late, start + seconds(2)));
  CHECK(GiveUp(late));
  CHECK(OnReply(late, grant));
  CHECK_FALSE(TryDispatch(late, start));
}

}  // namespace
}  // namespace balsambay::ledger::testing
