// Properties of the membership protocol in virtual time.
#include "membership/membership.h"

#include <rapidcheck.h>

#include <array>
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "simulation.h"

namespace balsambay::membership {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::simulation;

int CountEvents(const simulation& sim, size_t observer, event_kind kind) {
  return static_cast<int>(std::ranges::count(sim.nodes[observer].events, kind, &event::kind));
}

// Uniform in [low, high) from the first case on; by default rapidcheck starts with small values.
int Between(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
}

// Asserts that `property` holds; rapidcheck prints the counterexample otherwise.
template <class Fn>
void CheckProperty(Fn property) {
  REQUIRE(rc::check(property));
}

TEST_CASE("members find each other from seeds, and a crash is seen by all within 8 s") {
  const size_t count = GENERATE(2, 7, 40);
  simulation sim(count, count);
  REQUIRE(sim.RunUntil([&] { return sim.IsConverged(); }, seconds(4)));
  sim.RunFor(seconds(5));
  CHECK(CountEvents(sim, 0, event_kind::kFailed) == 0);
  sim.Crash(count - 1);
  CHECK(sim.RunUntil([&] { return sim.IsConverged(); }, seconds(8)));
  CHECK(CountEvents(sim, 0, event_kind::kFailed) == 1);
}

TEST_CASE("no live member stays failed after any mix of crashes, pauses, cuts and loss") {
  CheckProperty([] {
    simulation sim(static_cast<size_t>(Between(3, 12)), *rc::gen::arbitrary<uint64_t>());
    const auto any_node = [&] { return static_cast<size_t>(Between(0, int(sim.nodes.size()))); };
    sim.RunFor(seconds(2));
    const int steps = Between(1, 8);
    for (int step = 0; step < steps; ++step) {
      const size_t a = any_node();
      const size_t b = any_node();
      switch (Between(0, 6)) {
        case 0:
          sim.Crash(a);
          break;
        case 1:
          sim.Pause(a, milliseconds(Between(100, 20000)));
          break;
        case 2:  // two cuts at once, one of them in one direction only
          sim.is_cut = [a, b](size_t from, size_t to) {
            return from == a || (from < b) != (to < b);
          };
          break;
        case 3:  // half-open link
          sim.is_cut = [a, b](size_t from, size_t to) { return from == a && to == b; };
          break;
        case 4:
          sim.loss = 0.3;
          break;
        default:
          if (!sim.nodes[a].running) sim.Start(a);
      }
      sim.RunFor(milliseconds(Between(10, 12000)));
    }
    sim.is_cut = [](size_t, size_t) { return false; };
    sim.loss = 0;
    for (auto& node : sim.nodes) node.paused_until = std::min(node.paused_until, sim.now);
    RC_ASSERT(sim.RunUntil([&] { return sim.IsConverged(); }, seconds(30)));
  });
}

TEST_CASE("30% loss leads to no failure that persists; guards against lost refutations") {
  simulation sim(20, 5);
  sim.RunFor(seconds(5));
  sim.loss = 0.3;
  sim.RunFor(seconds(120));
  // A failure under loss must be corrected within a few probe rounds, also while the loss goes on.
  CHECK(sim.RunUntil([&] { return sim.IsConverged(); }, seconds(20)));
  sim.loss = 0;
  CHECK(sim.RunUntil([&] { return sim.IsConverged(); }, seconds(10)));
}

TEST_CASE("a half-open link alone makes no failure: indirect probes reach the member") {
  simulation sim(6, 9);
  sim.RunFor(seconds(5));
  sim.is_cut = [](size_t from, size_t to) { return from == 1 && to == 2; };
  sim.RunFor(seconds(60));
  for (size_t i = 0; i < sim.nodes.size(); ++i)
    CHECK(CountEvents(sim, i, event_kind::kFailed) == 0);
  CHECK(sim.nodes[1].core.counters.indirect_rounds > 0);
}

TEST_CASE("a member that was paused past its failure comes back and blames nobody for its pause") {
  simulation sim(7, 3);
  sim.RunFor(seconds(5));
  sim.Pause(4, seconds(30));
  REQUIRE(sim.RunUntil([&] { return sim.StatusAt(0, 4) == member_status::kFailed; }, seconds(10)));
  sim.RunFor(seconds(25));
  CHECK(sim.RunUntil([&] { return sim.IsConverged(); }, seconds(3)));
  CHECK(CountEvents(sim, 4, event_kind::kFailed) == 0);
  CHECK(sim.nodes[4].core.counters.detected_pauses == 1);
  CHECK(sim.nodes[0].core.counters.rejoins == 1);
}

TEST_CASE("two halves of a cut zone go on alone and merge when the cut heals") {
  simulation sim(10, 4);
  sim.RunFor(seconds(5));
  sim.is_cut = [](size_t from, size_t to) { return (from < 4) != (to < 4); };
  sim.RunFor(seconds(30));
  CHECK(LiveCount(sim.nodes[0].core) == 4);
  CHECK(LiveCount(sim.nodes[9].core) == 6);
  sim.is_cut = [](size_t, size_t) { return false; };
  CHECK(sim.RunUntil([&] { return sim.IsConverged(); }, seconds(5)));
}

TEST_CASE("a replaced VM at the same address wins, with the same or another id") {
  simulation sim(5, 8);
  sim.RunFor(seconds(5));
  const bool same_id = GENERATE(true, false);
  sim.Crash(4);
  sim.RunFor(milliseconds(1200));
  sim.Start(4);
  if (!same_id) {
    settings other = sim.SettingsOf(4);
    other.id = "replacement";
    sim.nodes[4].core = MakeState(other, 1, sim.now);
  }
  REQUIRE(sim.RunUntil([&] { return sim.IsConverged(); }, seconds(2)));
  // The old process counts as failed once, the new one joins.
  CHECK(CountEvents(sim, 0, event_kind::kFailed) == 1);
  CHECK(CountEvents(sim, 0, event_kind::kJoined) == 5);
}

TEST_CASE("a graceful leave is seen without suspicion") {
  simulation sim(7, 2);
  sim.RunFor(seconds(5));
  sim.Carry(3, Leave(sim.nodes[3].core, sim.now));
  sim.RunFor(milliseconds(300));
  sim.Crash(3);
  CHECK(sim.IsConverged());
  CHECK(CountEvents(sim, 0, event_kind::kLeft) == 1);
  CHECK(CountEvents(sim, 0, event_kind::kSuspect) == 0);
}

TEST_CASE("facts reach all members, urgent ones within 1 s past a full byte budget") {
  simulation sim(40, 6);
  sim.RunFor(seconds(5));
  for (size_t i = 0; i < 40; ++i) {
    for (int key = 0; key < 20; ++key) {
      auto& core = sim.nodes[i].core;
      sim.Carry(i, PublishFact(core, "load/" + std::to_string(key), "17", false, sim.now).value());
    }
  }
  sim.Carry(7, PublishFact(sim.nodes[7].core, "leaving/e1", "1", true, sim.now).value());
  const auto known_everywhere = [&](const std::string& name, const std::string& value) {
    return std::ranges::all_of(sim.nodes, [&](const auto& node) {
      const auto found = node.facts.find(name);
      return node.core.config.id == "vm-1007" ||
             (found != node.facts.end() && found->second == value);
    });
  };
  CHECK(sim.RunUntil([&] { return known_everywhere("vm-1007/leaving/e1", "1"); }, seconds(1)));
  sim.Start(20);
  CHECK(
      sim.RunUntil([&] { return sim.nodes[20].facts.contains("vm-1007/leaving/e1"); }, seconds(2)));
  auto& core = sim.nodes[0].core;
  CHECK(PublishFact(core, "big", std::string(257, 'x'), false, sim.now).has_error());
  for (int key = 20; key < 64; ++key) {
    REQUIRE(PublishFact(core, std::to_string(key), "", false, sim.now));
  }
  CHECK(PublishFact(core, "one more", "", false, sim.now).error().code == errc::kExhausted);
}

TEST_CASE("messages survive the wire form; foreign zones and malformed messages are refused") {
  simulation sim(3, 1);
  sim.measure = true;  // passes every message through the wire form
  REQUIRE(sim.RunUntil([&] { return sim.IsConverged(); }, seconds(4)));
  message foreign;
  foreign.sender_id = "x";
  foreign.zone = "z2";
  OnMessage(sim.nodes[0].core, foreign, sim.now);
  CHECK(sim.nodes[0].core.counters.foreign_zone_messages == 1);
  CHECK(sim.nodes[0].core.members.size() == 2);
  for (const char* text :
       {"[]", R"({"t":"m"})", R"({"t":"m","i":"a","k":99})", R"({"t":"m","i":7})",
        R"({"t":"m","i":"a","u":[["x"]]})", R"({"t":"m","i":"a","n":-1})",
        R"({"t":"m","i":"a","f":[["a","b","c",1,2]]})"}) {
    CHECK(MessageFromJson(json::parse(text)).has_error());
  }
}

constexpr std::array<std::string_view, 5> kEventNames = {"joined", "suspect", "recovered", "failed",
                                                         "left"};

settings TraceSettings(const json& header) {
  settings out;
  out.id = header.at("id");
  out.address = header.at("address");
  out.zone = "z1";
  out.seeds = header.at("seeds").get<std::vector<std::string>>();
  out.incarnation = header.at("incarnation");
  return out;
}

json EventToJson(const event& item) {
  return {{"event", kEventNames.at(static_cast<size_t>(item.kind))}, {"id", item.id}};
}

TEST_CASE("a recorded trace leads to the stated events: pause, crash, leave") {
  std::ifstream file(BALSAMBAY_TEST_DATA "/pause_crash_leave.jsonl");
  std::string line;
  REQUIRE(std::getline(file, line));
  const json header = json::parse(line);
  REQUIRE(header.at("trace_format") == 1);
  const time_point start(duration(header.at("start_us").get<int64_t>()));
  state core = MakeState(TraceSettings(header), header.at("seed"), start);
  std::vector<json> seen;
  std::vector<json> stated;
  while (std::getline(file, line)) {
    const json step = json::parse(line);
    if (step.contains("event")) {
      stated.push_back(step);
      continue;
    }
    const time_point now(duration(step.at("at_us").get<int64_t>()));
    const effects out = step.contains("message")
                            ? OnMessage(core, MessageFromJson(step.at("message")).value(), now)
                            : OnTick(core, now);
    for (const event& item : out.events) seen.push_back(EventToJson(item));
  }
  CHECK(stated.size() == 9);
  CHECK(seen == stated);
}

// Writes the trace of node 0; hidden, run by name when the protocol changes. The stated events are
// then reviewed by hand.
TEST_CASE("record trace", "[.record]") {
  simulation sim(4, 12);
  std::ofstream file(BALSAMBAY_TEST_DATA "/pause_crash_leave.jsonl");
  const settings own = sim.SettingsOf(0);
  const uint64_t seed = 77;
  sim.nodes[0].core = MakeState(own, seed, sim.now);
  file << json{{"trace_format", 1},
               {"id", own.id},
               {"address", own.address},
               {"seeds", own.seeds},
               {"incarnation", own.incarnation},
               {"seed", seed},
               {"start_us", sim.now.time_since_epoch().count()}}
       << "\n";
  sim.observe = [&](const message* content, const effects& out) {
    json step = {{"at_us", sim.now.time_since_epoch().count()}};
    if (content != nullptr) step["message"] = ToJson(*content);
    file << step << "\n";
    for (const event& item : out.events) file << EventToJson(item) << "\n";
  };
  sim.RunFor(seconds(2));
  sim.Pause(1, milliseconds(5000));
  sim.RunFor(seconds(7));
  sim.Crash(2);
  sim.RunFor(seconds(5));
  sim.Carry(3, Leave(sim.nodes[3].core, sim.now));
  sim.RunFor(seconds(1));
}

}  // namespace
}  // namespace balsambay::membership
