// Suspects among many other streams on the same engines (trial::kShared).
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "fleet_model.h"
#include "quarantine/message.h"

namespace balsambay::quarantine {
namespace {

// Stated by the platform: once gateways had `kContact` to learn that a request has crashed three
// endpoints, it reaches endpoints in at most this many retries.
constexpr duration kContact = 3s;
constexpr std::ptrdiff_t kAllowedRetries = 3;
// Of harmless streams.
constexpr double kMaxRefused = 0.01;

constexpr std::array kVictims = {victim::kHead, victim::kLast, victim::kAll};

double RefusedPart(const fleet_model& fleet) {
  return static_cast<double>(fleet.refused) / std::max(1, fleet.refused + fleet.done);
}

// Over some seeds, of all harmless streams.
double MeanRefused(const fleet_settings& config) {
  constexpr uint64_t kSeeds = 15;
  double sum = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) sum += RefusedPart(*RunFleet(seed, config));
  return sum / kSeeds;
}

TEST_CASE("a request that crashes engines is refused after few crashes, by all gateways") {
  for (const victim crashes : kVictims) {
    rc::prop("messages arrive", [&](uint64_t seed) {
      const auto fleet = RunFleet(seed, {.crashes = crashes});
      RC_ASSERT(!fleet->crashes.empty());
      RC_ASSERT(MostLatePlacements(*fleet, kContact) <= kAllowedRetries);
    });
    rc::prop("some messages are lost, engines crash for other reasons", [&](uint64_t seed) {
      const auto fleet =
          RunFleet(seed, {.crashes = crashes, .outage_pause = 1500ms, .lost_messages = 0.2});
      RC_ASSERT(MostLatePlacements(*fleet, kContact) <= kAllowedRetries);
    });
  }
}

// Guards against callers that do not wait for the answer before they send the request again.
TEST_CASE("copies that are sent at the same time are refused together") {
  for (const victim crashes : kVictims) {
    rc::prop("three copies", [&](uint64_t seed) {
      const auto fleet = RunFleet(seed, {.crashers = 1, .crashes = crashes, .crasher_copies = 3});
      RC_ASSERT(MostLatePlacements(*fleet, kContact) <= kAllowedRetries);
    });
  }
}

// Guards against a request that crashes one engine after the other within one call, each after some
// outputs.
TEST_CASE("a request that crashes engines after some outputs is refused") {
  rc::prop("crash after ten outputs", [&](uint64_t seed) {
    const auto fleet = RunFleet(seed, {.crashers = 1, .crash_after = 10});
    RC_ASSERT(MostLatePlacements(*fleet, kContact) <= kAllowedRetries);
  });
}

// Guards against copies of such a request that make each other look well.
TEST_CASE("copies that crash engines after some outputs are refused together", "[late_copies]") {
  rc::prop("three copies, crash after ten outputs", [&](uint64_t seed) {
    const auto fleet = RunFleet(seed, {.crashers = 1, .crash_after = 10, .crasher_copies = 3});
    RC_ASSERT(MostLatePlacements(*fleet, kContact) <= kAllowedRetries);
  });
}

// Guards against trust in what has completed before, for instance on endpoints of another version.
TEST_CASE("a request that begins to crash engines after it has completed is refused") {
  rc::prop("harmless for six seconds", [&](uint64_t seed) {
    const auto fleet = RunFleet(seed, {.crashers = 1, .crash_from = 6s});
    RC_ASSERT(!fleet->crashes.empty());
    RC_ASSERT(MostLatePlacements(*fleet, kContact) <= kAllowedRetries);
  });
}

// Guards against streams that are refused because they lost engines together with the request that
// crashes them.
TEST_CASE("harmless streams beside a crashing request are served") {
  for (const victim crashes : kVictims) {
    const fleet_settings config{.crashers = 1, .crashes = crashes};
    CHECK(MeanRefused(config) <= kMaxRefused);
    fleet_settings ungraded = config;
    ungraded.test_faults.no_grading = true;
    CHECK(MeanRefused(ungraded) > MeanRefused(config));
  }
  fleet_settings crowded{.crashers = 2};
  const double apart = MeanRefused(crowded);
  crowded.test_faults.no_isolation = true;
  CHECK(MeanRefused(crowded) > apart);
}

// Guards against blame for engines that go down for other reasons: one after the other, or a third
// of them at once.
TEST_CASE("harmless streams are not refused for engines that others take down") {
  CHECK(MeanRefused({.crashers = 0, .outage_pause = 300ms}) <= kMaxRefused);
  CHECK(MeanRefused({.crashers = 0, .outage_pause = 3s, .outage_engines = 6}) <= kMaxRefused);
}

// Guards against a content that many callers send and that is condemned by the losses of all its
// copies together.
TEST_CASE("what goes well elsewhere is not refused") {
  const fleet_settings config{.crashers = 0, .same_content = true, .outage_pause = 300ms};
  CHECK(MeanRefused(config) == 0);
}

// One gateway's table with one run on the engines of `route`.
struct fixture {
  table state{settings{.daemon = "g1", .trial = trial::kShared, .max_unproven_runs = 0}};
  outputs out;
  fingerprint key = MakeFingerprint("w", "x");
  time_point now{10s};

  void Run(run_id id, std::vector<endpoint_life> route) {
    REQUIRE(Start(state, id, key, now, out).answer != verdict::kRefuse);
    Place(state, id, route, out, now);
  }
  // Runs of which each loses its endpoint before it progresses.
  void LoseTwo() {
    for (run_id id = 1; id <= 2; ++id) {
      const endpoint_life instance{"e" + std::to_string(id), 1};
      Run(id, {instance});
      Lost(state, instance, now, out);
      End(state, id, run_end::kFailed, std::nullopt, now, out);
    }
  }
  bool IsRefused() const { return StateOf(state, key) == fingerprint_state::kQuarantined; }
};

TEST_CASE("engines of one route that are lost together count as one loss") {
  fixture f;
  f.Run(1, {{"e1", 1}, {"e2", 1}, {"e3", 1}});
  for (const char* id : {"e1", "e2", "e3"}) Lost(f.state, {id, 1}, f.now + 1s, f.out);
  CHECK_FALSE(f.IsRefused());
  Place(f.state, 1, std::vector<endpoint_life>{{"e4", 1}, {"e5", 1}}, f.out, f.now + 1s);
  Lost(f.state, {"e5", 1}, f.now + 2s, f.out);
  CHECK(f.IsRefused());
}

TEST_CASE("a run that may have met an engine dead is not blamed") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  Lost(f.state, {"e1", 1}, f.now + 300ms, f.out, f.now - 50ms);
  CHECK(StateOf(f.state, f.key) == fingerprint_state::kClear);
}

TEST_CASE("a run that progresses clears its losses") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  Lost(f.state, {"e1", 1}, f.now, f.out);
  CHECK(StateOf(f.state, f.key) == fingerprint_state::kSuspected);
  Place(f.state, 1, std::vector<endpoint_life>{{"e2", 1}}, f.out, f.now);
  Progress(f.state, 1, f.now, f.out);
  CHECK(StateOf(f.state, f.key) == fingerprint_state::kClear);
}

// Guards against a request that crashes engines late and is sent from the start each time.
TEST_CASE("losses after progress add up over runs") {
  fixture f;
  for (run_id id = 1; id <= 4; ++id) {
    CHECK_FALSE(f.IsRefused());
    const endpoint_life instance{"e" + std::to_string(id), 1};
    f.Run(id, {instance});
    Progress(f.state, id, f.now, f.out);
    Lost(f.state, instance, f.now, f.out);
    End(f.state, id, run_end::kFailed, std::nullopt, f.now, f.out);
  }
  CHECK(f.IsRefused());
}

// Guards against losses that are forgotten while the caller waits longer than a proof lasts.
TEST_CASE("losses after progress add up over runs with pauses") {
  fixture f;
  f.state.config.proof_lifetime = 2s;
  for (run_id id = 1; id <= 4; ++id) {
    const endpoint_life instance{"e" + std::to_string(id), 1};
    f.Run(id, {instance});
    Progress(f.state, id, f.now, f.out);
    Lost(f.state, instance, f.now, f.out);
    End(f.state, id, run_end::kFailed, std::nullopt, f.now, f.out);
    f.now += 5s;
    Tick(f.state, f.now, f.out);
  }
  CHECK(f.IsRefused());
  f.now += f.state.config.loss_lifetime;
  Tick(f.state, f.now, f.out);
  Tick(f.state, f.now + 1s, f.out);
  CHECK(f.state.entries.empty());
}

// Guards against a request that goes on crashing engines because copies of it that have shown
// nothing yet count as going well.
TEST_CASE("a loss after progress counts beside a copy that has not progressed") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  Progress(f.state, 1, f.now, f.out);
  SECTION("a new copy") {
    f.Run(2, {{"e2", 1}});
    Lost(f.state, {"e1", 1}, f.now, f.out);
    CHECK(f.state.entries.at(f.key).half_losses.size() == 1);
  }
  SECTION("a copy that has progressed") {
    f.Run(2, {{"e2", 1}});
    Progress(f.state, 2, f.now, f.out);
    Lost(f.state, {"e1", 1}, f.now, f.out);
    CHECK(f.state.entries.at(f.key).half_losses.empty());
  }
}

// Two copies on one engine each; the one with the id 1 progressed first.
struct copies_fixture : fixture {
  static constexpr duration kNotice = 500ms;

  copies_fixture() {
    state.config.confirm_within = kNotice;
    for (const run_id id : {1, 2}) {
      Run(id, {LifeOf(id)});
      Progress(state, id, now, out);
      now += 10ms;
    }
  }
  static endpoint_life LifeOf(run_id id) { return {"e" + std::to_string(id), 1}; }
  void LoseEngineOf(run_id id) {
    Lost(state, LifeOf(id), now, out);
    End(state, id, run_end::kFailed, std::nullopt, now, out);
  }
  void Pass(duration time) {
    now += time;
    Tick(state, now, out);
  }
  size_t CountHalf() const { return state.entries.at(key).half_losses.size(); }
};

// Guards against copies of a request that crashes engines late, each of which goes on until it
// crashes its own.
TEST_CASE("a loss after progress counts beside a copy that has not gone further") {
  copies_fixture f;
  SECTION("the copy that progressed first is lost first") {
    f.LoseEngineOf(1);
    CHECK(f.CountHalf() == 1);
    f.LoseEngineOf(2);
    CHECK(f.CountHalf() == 2);
  }
  SECTION("it is lost soon after the other one") {
    f.LoseEngineOf(2);
    CHECK(f.CountHalf() == 0);
    f.Pass(100ms);
    f.LoseEngineOf(1);
    CHECK(f.CountHalf() == 1);
    f.Pass(copies_fixture::kNotice);
    CHECK(f.CountHalf() == 2);
  }
  SECTION("it goes on, but from another engine") {
    f.LoseEngineOf(2);
    Place(f.state, 1, std::vector<endpoint_life>{{"e3", 1}}, f.out, f.now);
    Progress(f.state, 1, f.now, f.out);
    f.Pass(copies_fixture::kNotice);
    CHECK(f.CountHalf() == 1);
  }
}

// Guards against blame for engines that are lost for other reasons.
TEST_CASE("a loss after progress does not count beside a copy that goes further") {
  copies_fixture f;
  f.LoseEngineOf(2);
  SECTION("the copy goes on") {
    f.Pass(copies_fixture::kNotice);
    CHECK(f.CountHalf() == 0);
  }
  SECTION("the copy is lost as well, but the other one's engine was not") {
    Alive(f.state, copies_fixture::LifeOf(2), f.now + 1ms, f.out);
    f.LoseEngineOf(1);
    f.Pass(copies_fixture::kNotice);
    CHECK(f.CountHalf() == 1);
  }
}

// Guards against gateways that refute each other's losses with copies that have not gone as far.
TEST_CASE("a loss after progress that a peer tells counts unless a copy has gone further") {
  copies_fixture f;
  update told{.daemon = "g2",
              .key = f.key,
              .losses = {},
              .cleared = {},
              .endpoints = {},
              .half = {{"e8", 1}, {"e9", 1}},
              .lost_after = 1s};
  f.now += told.lost_after;
  SECTION("the copies may be lost, too, which would not be known yet") {
    Merge(f.state, told, f.now, f.out);
    CHECK(f.CountHalf() == 2);
  }
  SECTION("they have gone further") {
    f.now += copies_fixture::kNotice;
    Merge(f.state, told, f.now, f.out);
    CHECK(f.CountHalf() == 0);
  }
  SECTION("as a message") {
    const auto read = ReadUpdate(told.daemon, Describe(told));
    REQUIRE(read.has_value());
    CHECK(*read == told);
  }
  SECTION("a peer that says no sensible time") {
    nlohmann::json message = Describe(told);
    message["lost_after_ms"] = std::numeric_limits<uint64_t>::max();
    const auto read = ReadUpdate(told.daemon, message);
    REQUIRE(read.has_value());
    Merge(f.state, *read, f.now, f.out);
    CHECK(f.CountHalf() == 2);
  }
}

// Guards against a copy that comes to an engine when another one crashes it: that the engine's loss
// is not held against the new one must not clear the other.
TEST_CASE("of copies on one engine, the one that had progressed counts") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  f.Run(2, {{"e1", 1}});
  Progress(f.state, 1, f.now, f.out);
  Lost(f.state, {"e1", 1}, f.now, f.out);
  Place(f.state, 2, std::vector<endpoint_life>{{"e2", 1}}, f.out, f.now);
  Progress(f.state, 2, f.now, f.out);
  CHECK(f.state.entries.at(f.key).half_losses.size() == 1);
}

// Guards against a verdict that only the gateway that came to it knows while the store is away.
TEST_CASE("a verdict by losses after progress is told, and repeated for lost messages") {
  fixture f;
  for (run_id id = 1; id <= 4; ++id) {
    const endpoint_life instance{"e" + std::to_string(id), 1};
    f.Run(id, {instance});
    Progress(f.state, id, f.now, f.out);
    f.out = {};
    Lost(f.state, instance, f.now, f.out);
    End(f.state, id, run_end::kFailed, std::nullopt, f.now, f.out);
  }
  REQUIRE(f.IsRefused());
  REQUIRE(f.out.publish.size() == 1);
  size_t cursor = 0;
  const auto repeated = NextOfSnapshot(f.state, cursor);
  REQUIRE(repeated.has_value());
  for (const update& told : {f.out.publish[0], *repeated}) {
    table peer(settings{.daemon = "g2", .trial = trial::kShared});
    outputs out;
    Merge(peer, told, f.now, out);
    CHECK(StateOf(peer, f.key) == fingerprint_state::kQuarantined);
  }
}

// Guards against a gateway that does not add up what the others tell it about a request that it has
// not met itself.
TEST_CASE("losses after progress that peers tell add up for a request that is not known yet") {
  table state(settings{.daemon = "g1", .trial = trial::kShared});
  outputs out;
  const fingerprint key = MakeFingerprint("w", "x");
  for (const char* peer : {"g2", "g3"}) {
    CHECK(StateOf(state, key) == fingerprint_state::kClear);
    const std::string name = peer;
    const update told{.daemon = name,
                      .key = key,
                      .losses = {},
                      .cleared = {},
                      .endpoints = {},
                      .half = {{name + " e1", 1}, {name + " e2", 1}}};
    Merge(state, told, time_point(10s), out);
  }
  CHECK(StateOf(state, key) == fingerprint_state::kQuarantined);
}

// Guards against a quarantine that comes back with a peer's message from before it was withdrawn.
TEST_CASE("a verdict that was withdrawn does not return with an older message") {
  fixture f;
  f.LoseTwo();
  REQUIRE(f.IsRefused());
  update older = f.out.publish.back();
  REQUIRE(older.condemned);
  older.daemon = "g2";
  SECTION("an endpoint answered") { Alive(f.state, {"e1", 1}, f.now + 1s, f.out); }
  SECTION("lifted") { Lift(f.state, f.key, f.out); }
  REQUIRE_FALSE(f.IsRefused());
  Merge(f.state, older, f.now + 2s, f.out);
  CHECK_FALSE(f.IsRefused());
}

// Guards against quarantine for engines that were out of reach for a while.
TEST_CASE("a loss is withdrawn when the endpoint answers in the same incarnation") {
  fixture f;
  f.LoseTwo();
  CHECK(f.IsRefused());
  SECTION("a question from before the loss says nothing") {
    Alive(f.state, {"e1", 1}, f.now - 1ms, f.out);
    CHECK(f.IsRefused());
  }
  SECTION("another incarnation says nothing") {
    Alive(f.state, {"e1", 2}, f.now + 1s, f.out);
    CHECK(f.IsRefused());
  }
  SECTION("an answer to a later question") {
    f.out = {};
    Alive(f.state, {"e1", 1}, f.now + 1s, f.out);
    CHECK(StateOf(f.state, f.key) == fingerprint_state::kSuspected);
    CHECK(f.out.released == std::vector{f.key});
  }
}

// Guards against an endpoint that counts twice while it is not known whether it was lost: the
// requests on it would be held back as if they had lost two.
TEST_CASE("an endpoint that falls silent and then breaks off is one pending loss") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  Silent(f.state, {"e1", 1}, f.now, f.now + 2s, f.out);
  End(f.state, 1, run_end::kBroken, endpoint_life{"e1", 1}, f.now + 300ms, f.out);
  CHECK(Start(f.state, 2, f.key, f.now + 300ms, f.out).answer != verdict::kHold);
}

// Guards against a silent endpoint that is no longer suspected because a connection to it broke,
// which is looked into for a shorter time.
TEST_CASE("a broken connection does not end the wait for a silent endpoint") {
  fixture f;
  f.state.config.confirm_within = 500ms;
  f.Run(1, {{"e1", 1}});
  Silent(f.state, {"e1", 1}, f.now, f.now + 2s, f.out);
  End(f.state, 1, run_end::kBroken, endpoint_life{"e1", 1}, f.now + 300ms, f.out);
  Tick(f.state, f.now + 1s, f.out);
  Lost(f.state, {"e1", 1}, f.now + 1900ms, f.out, f.now);
  CHECK(StateOf(f.state, f.key) == fingerprint_state::kSuspected);
}

// Guards against a content that many callers send and that waits for silent endpoints, although
// their loss would not count against it.
TEST_CASE("what goes well elsewhere does not wait for silent endpoints") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  Progress(f.state, 1, f.now, f.out);
  f.Run(2, {{"e2", 1}});
  f.Run(3, {{"e3", 1}});
  for (const char* id : {"e2", "e3"}) Silent(f.state, {id, 1}, f.now, f.now + 2s, f.out);
  CHECK(Start(f.state, 4, f.key, f.now, f.out).answer != verdict::kHold);
}

// Guards against two endpoints of one route that count as two while they are silent, and against
// the loss of one that is forgotten because the other one answers.
TEST_CASE("silent endpoints of one route are one pending loss") {
  fixture f;
  f.Run(1, {{"e1", 1}, {"e2", 1}});
  for (const char* id : {"e1", "e2"}) Silent(f.state, {id, 1}, f.now, f.now + 2s, f.out);
  CHECK(Start(f.state, 2, f.key, f.now, f.out).answer != verdict::kHold);
  SECTION("of which one answers") {
    Alive(f.state, {"e1", 1}, f.now + 1s, f.out);
    End(f.state, 1, run_end::kFailed, std::nullopt, f.now + 1s, f.out);
    Lost(f.state, {"e2", 1}, f.now + 2s, f.out, f.now);
    CHECK(StateOf(f.state, f.key) == fingerprint_state::kSuspected);
  }
}

// Guards against a repeat that goes out before it is known whether the last one crashed its
// endpoint.
TEST_CASE("a repeat waits while a broken connection could be the last loss") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  End(f.state, 1, run_end::kBroken, endpoint_life{"e1", 1}, f.now, f.out);
  f.Run(2, {{"e2", 1}});
  End(f.state, 2, run_end::kBroken, endpoint_life{"e2", 1}, f.now, f.out);
  CHECK(Start(f.state, 3, f.key, f.now, f.out).answer == verdict::kHold);
  SECTION("the endpoints live") {
    Alive(f.state, {"e1", 1}, f.now, f.out);
    CHECK(f.out.wake == std::vector{f.key});
    CHECK(Start(f.state, 3, f.key, f.now, f.out).answer == verdict::kAllowAlone);
  }
  SECTION("they are lost") {
    Lost(f.state, {"e1", 1}, f.now, f.out);
    Lost(f.state, {"e2", 1}, f.now, f.out);
    CHECK(Start(f.state, 3, f.key, f.now, f.out).answer == verdict::kRefuse);
  }
  SECTION("nobody knows") {
    Tick(f.state, f.now + 11s, f.out);
    CHECK(Start(f.state, 3, f.key, f.now + 11s, f.out).answer != verdict::kHold);
  }
}

TEST_CASE("a gateway that saw the content complete refutes the others' losses") {
  fixture f;
  for (run_id id = 1; id <= 2; ++id) {
    f.Run(id, {{"e9", 1}});
    End(f.state, id, run_end::kCompleted, std::nullopt, f.now, f.out);
  }
  f.out = {};
  const update told{.daemon = "g2",
                    .key = f.key,
                    .losses = {{"e2", 1}, {"e3", 1}},
                    .cleared = {},
                    .condemned = true,
                    .claim = claim_kind::kNone,
                    .endpoints = {}};
  Merge(f.state, told, f.now, f.out);
  CHECK_FALSE(f.IsRefused());
  REQUIRE(f.out.publish.size() == 1);
  CHECK(f.out.publish[0].cleared == told.losses);
  // The sender takes it back.
  table sender(settings{.daemon = "g2", .trial = trial::kShared});
  outputs out;
  Merge(sender, told, f.now, out);
  CHECK(StateOf(sender, f.key) == fingerprint_state::kQuarantined);
  Merge(sender, f.out.publish[0], f.now, out);
  CHECK(StateOf(sender, f.key) == fingerprint_state::kClear);
}

TEST_CASE("a recorded quarantine holds until its end or until it is lifted") {
  fixture f;
  Restore(f.state, f.key, f.now + 1min, f.out);
  CHECK(f.IsRefused());
  CHECK(f.out.publish.empty());
  SECTION("end") { Tick(f.state, f.now + 61s, f.out); }
  SECTION("lifted") { Lift(f.state, f.key, f.out); }
  CHECK_FALSE(f.IsRefused());
  CHECK(f.out.released == std::vector{f.key});
}

}  // namespace
}  // namespace balsambay::quarantine
