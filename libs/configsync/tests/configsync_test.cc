// Properties of configuration versions in virtual time.
#include "configsync/configsync.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <fstream>

#include "simulation.h"

namespace balsambay::configsync {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Edit;
using testing::simulation;
using outcome = commit_outcome::kind;

// Uniform in [low, high) from the first case on; by default rapidcheck starts with small values.
int Between(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
}

void CommitFirst(simulation& sim) {
  commit_request first;
  first.document = {{"edits", json::object()}};
  first.nonce = "first";
  sim.Commit(first);
  REQUIRE(sim.RunUntil([&] { return sim.AllAt(1); }, seconds(5)));
}

// A random schedule of commits, outages, losses and restarts; returns the violated invariants.
std::vector<std::string> RunSchedule(simulation& sim) {
  CommitFirst(sim);
  const int steps = Between(3, 25);
  for (int step = 0; step < steps; ++step) {
    const auto any = static_cast<size_t>(Between(0, static_cast<int>(sim.nodes.size())));
    switch (Between(0, 8)) {
      case 0:
        sim.table_down = !sim.table_down;
        break;
      case 1:
        sim.lost_requests = 0.3;
        sim.lost_replies = 0.3;
        break;
      case 2:
        sim.loss = 0.3;
        break;
      case 3:
        sim.Crash(any);
        break;
      case 4:
        sim.Start(any);
        break;
      case 5:
        sim.cut_zones = {sim.nodes[any].zone};
        break;
      default:
        sim.Commit(Edit(sim.nodes[any].core, std::to_string(sim.operators.size())));
    }
    sim.RunFor(milliseconds(Between(1, 4000)));
  }
  sim.table_down = false;
  sim.lost_requests = sim.lost_replies = sim.loss = 0;
  sim.cut_zones.clear();
  const bool converged = sim.RunUntil(
      [&] { return sim.HeadVersion() > 0 && sim.AllAt(sim.HeadVersion()); }, seconds(20));
  if (!converged) sim.violations.push_back("no convergence");
  return sim.violations;
}

simulation RandomSimulation() {
  const int zones = Between(1, 4);
  return simulation(static_cast<size_t>(Between(zones, 10)), static_cast<size_t>(zones),
                    *rc::gen::arbitrary<uint64_t>());
}

TEST_CASE("versions never fall, documents match the accepted ones, and all nodes converge") {
  REQUIRE(rc::check([] {
    simulation sim = RandomSimulation();
    const std::vector<std::string> violations = RunSchedule(sim);
    RC_ASSERT(violations == std::vector<std::string>());
  }));
}

TEST_CASE("the property is red when lower versions are applied; guards against a blind check") {
  bool red = false;
  rc::check([&red] {
    simulation sim = RandomSimulation();
    for (auto& node : sim.nodes) node.core.fault_apply_lower = true;
    sim.fault_apply_lower = true;
    const std::vector<std::string> violations = RunSchedule(sim);
    red = red || std::ranges::count(violations, "version fell") > 0;
  });
  CHECK(red);
}

TEST_CASE("racing operators get one winner and a clear conflict, also when replies are lost") {
  REQUIRE(rc::check([] {
    simulation sim(4, 1, *rc::gen::arbitrary<uint64_t>());
    CommitFirst(sim);
    sim.lost_requests = Between(0, 50) / 100.0;
    sim.lost_replies = Between(0, 50) / 100.0;
    const commit_request second = Edit(sim.nodes[1].core, "b");
    const committer& a = sim.Commit(Edit(sim.nodes[0].core, "a"), 200);
    sim.RunFor(milliseconds(Between(0, 30)));
    const committer& b = sim.Commit(second, 200);
    RC_ASSERT(sim.RunUntil(
        [&] { return a.phase == commit_phase::kDone && b.phase == commit_phase::kDone; },
        seconds(200)));
    const bool a_won = a.outcome.result == outcome::kCommitted;
    RC_ASSERT((a_won ? b : a).outcome.result == outcome::kConflict);
    RC_ASSERT((a_won ? a : b).outcome.result == outcome::kCommitted);
    RC_ASSERT(sim.HeadVersion() == 2u);
    const head winner = HeadFromText(sim.table.rows.find(kHeadKey)->second.value).value();
    RC_ASSERT(winner.nonce == (a_won ? "a" : "b"));
  }));
}

TEST_CASE("a commit whose reply is lost is found by read-back, also after a later commit") {
  const bool overtaken = GENERATE(false, true);
  committer work = StartCommit({{{"x", 1}}, 0, {}, "mine"}, [](const json&) {
                     return std::vector<std::string>();
                   }).value();
  table::memory_table table;
  OnReply(work, table::Read(table, std::get<table::read_request>(*NextCall(work))));
  REQUIRE(table::Commit(table, std::get<table::transaction>(*NextCall(work))).committed);
  OnReply(work, std::monostate());
  if (overtaken) {
    const commit_request next{{{"x", 2}}, 1, {{"x", 1}}, "theirs"};
    REQUIRE(table::Commit(table, BuildCommit(next, 1)).committed);
  }
  OnReply(work, table::Read(table, std::get<table::read_request>(*NextCall(work))));
  CHECK(work.outcome.result == outcome::kCommitted);
  CHECK(work.outcome.version == 1);
}

TEST_CASE("a change is in force everywhere within 2 s at 7 nodes in 3 zones, 7 s at 150 in one") {
  const bool small = GENERATE(true, false);
  for (uint64_t seed = 1; seed <= (small ? 30 : 3); ++seed) {
    simulation sim(small ? 7 : 150, small ? 3 : 1, seed);
    CommitFirst(sim);
    for (int change = 0; change < 5; ++change) {
      sim.RunFor(milliseconds(UniformBelow(sim.rng, 3000)));
      const committer& work = sim.Commit(Edit(sim.nodes[0].core, std::to_string(change)));
      REQUIRE(sim.RunUntil([&] { return sim.AllAt(2 + static_cast<uint64_t>(change)); },
                           small ? seconds(2) : seconds(7)));
      REQUIRE(sim.RunUntil([&] { return work.phase == commit_phase::kDone; }, seconds(1)));
    }
  }
}

TEST_CASE("a node that starts during an outage takes the highest version of its peers") {
  REQUIRE(rc::check([] {
    simulation sim(static_cast<size_t>(Between(2, 8)), 1, *rc::gen::arbitrary<uint64_t>());
    CommitFirst(sim);
    const auto newcomer = static_cast<size_t>(Between(0, static_cast<int>(sim.nodes.size())));
    sim.Crash(newcomer);
    const size_t other = newcomer == 0 ? 1 : 0;
    const uint64_t changes = static_cast<uint64_t>(Between(0, 4));
    for (uint64_t change = 0; change < changes; ++change) {
      sim.Commit(Edit(sim.nodes[other].core, std::to_string(change)));
      RC_ASSERT(sim.RunUntil([&] { return sim.AllAt(change + 2); }, seconds(4)));
    }
    sim.table_down = true;
    sim.RunFor(seconds(5));
    sim.Start(newcomer);
    RC_ASSERT(!IsReady(sim.nodes[newcomer].core));
    RC_ASSERT(sim.RunUntil([&] { return IsReady(sim.nodes[newcomer].core); }, seconds(4)));
    RC_ASSERT(sim.nodes[newcomer].core.version == changes + 1);
    // The age is that of the last read before the outage, not of the start.
    RC_ASSERT(Age(sim.nodes[newcomer].core, sim.now) >= seconds(4));
  }));
}

TEST_CASE("a node is not ready with the version of a lagging peer while a higher one is known") {
  settings config;
  config.id = "new";
  const simulation none(0, 1, 0);
  state core = MakeState(config, none.validate, 1, none.now);
  const time_point later = none.now + seconds(5);
  OnTick(core, later);
  OnPeerVersion(core, "ahead", 2, duration(0), later);
  message part{message_kind::kPart,    1,   0, 0, 0, 2, transfer_kind::kSnapshot,
               Digest(json::object()), "{}"};
  OnMessage(core, "ahead", part, later);
  CHECK(core.version == 1);
  CHECK_FALSE(IsReady(core));
}

TEST_CASE("a node alone without table and peers is never ready") {
  simulation sim(1, 1, 1);
  sim.table_down = true;
  sim.RunFor(seconds(60));
  CHECK_FALSE(IsReady(sim.nodes[0].core));
}

TEST_CASE("when both readers lose the table, others read it; the zone stays current") {
  simulation sim(5, 1, 3);
  CommitFirst(sim);
  // The readers keep their zone but not the table: every reply to them is dropped.
  sim.nodes[0].core.config.poll_interval = seconds(100000);
  sim.nodes[1].core.config.poll_interval = seconds(100000);
  sim.RunFor(seconds(5));
  sim.Commit(Edit(sim.nodes[2].core, "x"));
  CHECK(sim.RunUntil([&] { return sim.AllAt(2); }, seconds(10)));
  CHECK(Age(sim.nodes[0].core, sim.now) < seconds(10));
}

TEST_CASE("a bad document is refused whole, the old one stays, and the next good one applies") {
  simulation sim(3, 1, 4);
  CommitFirst(sim);
  commit_request bad = Edit(sim.nodes[0].core, "bad");
  bad.document["bad"] = true;
  CHECK(StartCommit(bad, sim.validate).error().detail == "/bad: not allowed");
  // Another release accepts it: it reaches the table without this validation.
  const json before = sim.nodes[0].core.document;
  const table::row row = sim.table.rows.find(kHeadKey)->second;
  REQUIRE(table::Commit(sim.table, BuildCommit(bad, row.version)).committed);
  sim.RunFor(seconds(5));
  for (const auto& node : sim.nodes) {
    CHECK(node.core.version == 1);
    CHECK(node.core.document == before);
    CHECK(node.core.refused_version == 2);
    CHECK(node.core.counters.refused_versions == 1);
  }
  commit_request good{before, 2, bad.document, "good"};
  good.document["fixed"] = true;
  sim.Commit(good);
  CHECK(sim.RunUntil([&] { return sim.AllAt(3); }, seconds(3)));
  CHECK(sim.violations.empty());
}

TEST_CASE("300 versions: deltas are pruned, and a node far behind takes a snapshot") {
  simulation sim(2, 1, 5);
  CommitFirst(sim);
  for (uint64_t version = 2; version <= 300; ++version) {
    if (version == 100) sim.Crash(1);
    sim.Commit(Edit(sim.nodes[0].core, std::to_string(version)));
    REQUIRE(sim.RunUntil([&] { return sim.AllAt(version); }, seconds(3)));
  }
  const auto count = [&](std::string prefix) {
    return table::Read(sim.table, {{}, prefix}).rows.size();
  };
  CHECK(count("config/delta/") == kKeptVersions);
  CHECK(count("config/snapshot/") == 2);
  sim.Start(1);
  CHECK(sim.RunUntil([&] { return sim.AllAt(300); }, seconds(3)));
  CHECK(sim.nodes[1].core.counters.snapshots_fetched == 1);
}

TEST_CASE("a snapshot moves between peers in parts of bounded size while versions change") {
  simulation sim(4, 1, 6);
  CommitFirst(sim);
  commit_request large = Edit(sim.nodes[0].core, "large");
  large.document["text"] = std::string(500000, 'x');
  sim.Commit(large);
  REQUIRE(sim.RunUntil([&] { return sim.AllAt(2); }, seconds(5)));
  sim.Crash(3);
  sim.RunFor(seconds(1));
  sim.measure = true;
  sim.loss = 0.1;
  sim.cut_zones = {0};
  sim.Start(3);
  sim.RunFor(milliseconds(20));
  sim.cut_zones.clear();
  sim.Commit(Edit(sim.nodes[0].core, "small"));
  CHECK(sim.RunUntil([&] { return sim.AllAt(3); }, seconds(20)));
  CHECK(sim.violations.empty());
  CHECK(sim.nodes[3].core.current_pull == std::nullopt);
}

TEST_CASE("a patch that fails or leads to another digest leaves the document as it was") {
  const json before = {{"a", {1, 2, 3}}, {"b", {{"c", "d"}}}};
  const auto patch = GENERATE(
      as<std::string>{}, R"([{"op":"add","path":"/a/-","value":4}])",
      R"([{"op":"add","path":"/a/1","value":9},{"op":"remove","path":"/a/0"}])",
      R"([{"op":"add","path":"/b/c","value":1},{"op":"remove","path":"/b"}])",
      R"([{"op":"replace","path":"/b/c","value":1},{"op":"remove","path":"/x"}])",
      R"([{"op":"move","from":"/a","path":"/e"}])", R"([{"op":"replace","path":"","value":1}])",
      "[1]", "{", R"([{"op":"add","path":"x","value":1}])");
  json document = before;
  CHECK(ApplyDeltas(document, std::vector<delta>{{2, "wrong", patch}}).has_error());
  CHECK(document == before);
}

json OutcomeOf(const state& core) {
  return {{"outcome", {{"version", core.version}, {"ready", core.ready}, {"digest", core.digest}}}};
}

TEST_CASE("a recorded trace leads to the stated versions: start, outage, catch-up from a peer") {
  std::ifstream file(BALSAMBAY_TEST_DATA "/outage_catch_up.jsonl");
  std::string line;
  REQUIRE(std::getline(file, line));
  const json header = json::parse(line);
  REQUIRE(header.at("trace_format") == 1);
  const auto at = [](const json& step) {
    return time_point(duration(step.at("at_us").get<int64_t>()));
  };
  settings config;
  config.id = header.at("id");
  state core = MakeState(config, simulation(0, 1, 0).validate, header.at("seed"), at(header));
  std::vector<uint64_t> applied;
  json stated;
  while (std::getline(file, line)) {
    const json step = json::parse(line);
    if (step.contains("outcome")) stated = step;
    if (step.contains("outcome")) continue;
    if (testing::Feed(core, step, at(step)).applied) applied.push_back(core.version);
  }
  CHECK(applied == std::vector<uint64_t>{1, 2, 3, 5});
  CHECK(stated == OutcomeOf(core));
  CHECK(core.version == 5);
}

// Writes the trace of node 0; hidden, run by name when the protocol changes. The stated outcome is
// then reviewed by hand.
TEST_CASE("record trace", "[.record]") {
  simulation sim(4, 2, 21);
  std::ofstream file(BALSAMBAY_TEST_DATA "/outage_catch_up.jsonl");
  const uint64_t seed = 99;
  settings config;
  config.id = simulation::Id(0);
  sim.nodes[0].core = MakeState(config, sim.validate, seed, sim.now);
  file << json{{"trace_format", 1},
               {"id", config.id},
               {"seed", seed},
               {"at_us", sim.now.time_since_epoch().count()}}
       << "\n";
  sim.cut_zones = {2};
  sim.observe = [&](json input, const effects&) {
    input["at_us"] = sim.now.time_since_epoch().count();
    file << input << "\n";
  };
  sim.UpdateLive(0);
  CommitFirst(sim);
  for (uint64_t version = 2; version <= 5; ++version) {
    // Node 0 loses the table after version 3 and gets versions 4 and 5 from its peer together.
    sim.nodes[0].zone = version > 3 ? 2 : 0;
    sim.Commit(Edit(sim.nodes[2].core, std::to_string(version)));
    REQUIRE(sim.RunUntil([&] { return sim.nodes[2].core.version == version; }, seconds(3)));
    sim.RunFor(milliseconds(100));
  }
  sim.nodes[0].zone = 0;
  sim.table_down = true;
  sim.RunFor(seconds(3));
  file << OutcomeOf(sim.nodes[0].core) << "\n";
}

TEST_CASE("messages survive the wire form and malformed ones are errors") {
  message part{message_kind::kPart, 7, 1, 5, 2, 9, transfer_kind::kSnapshot, "ab", "text"};
  const message back = MessageFromJson(ToJson(part)).value();
  CHECK(ToJson(back) == ToJson(part));
  for (const char* text : {"1", R"({"t":"c","k":9})", R"({"t":"c","v":-1})", R"({"t":"c","b":1})",
                           R"({"t":"c","v":18446744073709551615})"}) {
    CHECK(MessageFromJson(json::parse(text)).has_error());
  }
  CHECK(HeadFromText("{}").has_error());
  CHECK(HeadFromText(R"({"version":0,"digest":"","nonce":"","snapshot":0})").has_error());
  CHECK(DeltaFromText("[]").has_error());
}

}  // namespace
}  // namespace balsambay::configsync
