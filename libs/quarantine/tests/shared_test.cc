// Quarantine with kConcurrent: suspects share engines with many other streams.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "fleet_model.h"
#include "quarantine/message.h"

namespace balsambay::quarantine {
namespace {

// Requirement of the platform: later than kContainmentTime after a request crashed the third
// endpoint, it is placed on endpoints at most kAllowedRetries times.
constexpr duration kContainmentTime = 3s;
constexpr std::ptrdiff_t kAllowedRetries = 3;
// Upper limit for the ratio of harmless streams that are refused.
constexpr double kMaxRefusedRatio = 0.01;

constexpr std::array kCrashScopes = {crash_scope::kFirst, crash_scope::kLast, crash_scope::kAll};

double RefusedRatio(const fleet_model& fleet) {
  return static_cast<double>(fleet.harmless_refused) /
         std::max(1, fleet.harmless_refused + fleet.harmless_completed);
}

// Mean of RefusedRatio() over 15 seeds.
double MeanRefusedRatio(const fleet_settings& config) {
  constexpr uint64_t kSeeds = 15;
  double sum = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) sum += RefusedRatio(*RunFleet(seed, config));
  return sum / kSeeds;
}

TEST_CASE("a request that crashes engines is refused by all gateways after few crashes") {
  for (const crash_scope scope : kCrashScopes) {
    rc::prop("all messages arrive", [&](uint64_t seed) {
      const auto fleet = RunFleet(seed, {.scope = scope});
      RC_ASSERT(!fleet->crash_times.empty());
      RC_ASSERT(MaxLatePlacements(*fleet, kContainmentTime) <= kAllowedRetries);
    });
    rc::prop("some messages are lost and engines crash for other reasons", [&](uint64_t seed) {
      const auto fleet =
          RunFleet(seed, {.scope = scope, .outage_interval = 1500ms, .message_loss_ratio = 0.2});
      RC_ASSERT(MaxLatePlacements(*fleet, kContainmentTime) <= kAllowedRetries);
    });
  }
}

// Guards against clients that send the request again without waiting for the response.
TEST_CASE("copies of a crashing request sent at the same time are all refused") {
  for (const crash_scope scope : kCrashScopes) {
    rc::prop("three copies", [&](uint64_t seed) {
      const auto fleet =
          RunFleet(seed, {.crashing_requests = 1, .scope = scope, .crashing_copies = 3});
      RC_ASSERT(MaxLatePlacements(*fleet, kContainmentTime) <= kAllowedRetries);
    });
  }
}

// Guards against a request that crashes several engines within one call, each after a few tokens.
TEST_CASE("a request that crashes engines after some tokens is refused") {
  rc::prop("crash after ten tokens", [&](uint64_t seed) {
    const auto fleet = RunFleet(seed, {.crashing_requests = 1, .tokens_before_crash = 10});
    RC_ASSERT(MaxLatePlacements(*fleet, kContainmentTime) <= kAllowedRetries);
  });
}

// Guards against copies of a request that crashes engines after progress that refute each other's
// losses by their progress.
TEST_CASE("copies of a request that crashes engines after some tokens are all refused",
          "[late_copies]") {
  rc::prop("three copies, crash after ten tokens", [&](uint64_t seed) {
    const auto fleet =
        RunFleet(seed, {.crashing_requests = 1, .tokens_before_crash = 10, .crashing_copies = 3});
    RC_ASSERT(MaxLatePlacements(*fleet, kContainmentTime) <= kAllowedRetries);
  });
}

// Guards against relying on an earlier completion, for instance on endpoints of another version.
TEST_CASE("a request that starts to crash engines after it has completed is refused") {
  rc::prop("harmless for six seconds", [&](uint64_t seed) {
    const auto fleet = RunFleet(seed, {.crashing_requests = 1, .harmless_for = 6s});
    RC_ASSERT(!fleet->crash_times.empty());
    RC_ASSERT(MaxLatePlacements(*fleet, kContainmentTime) <= kAllowedRetries);
  });
}

// Guards against harmless streams that are refused because they ran on the engines that a crashing
// request crashed.
TEST_CASE("harmless streams on the engines of a crashing request are served") {
  for (const crash_scope scope : kCrashScopes) {
    const fleet_settings config{.crashing_requests = 1, .scope = scope};
    CHECK(MeanRefusedRatio(config) <= kMaxRefusedRatio);
    fleet_settings ungraded = config;
    ungraded.test_faults.no_grading = true;
    CHECK(MeanRefusedRatio(ungraded) > MeanRefusedRatio(config));
  }
  fleet_settings crowded{.crashing_requests = 2};
  const double ratio_with_isolation = MeanRefusedRatio(crowded);
  crowded.test_faults.no_isolation = true;
  CHECK(MeanRefusedRatio(crowded) > ratio_with_isolation);
}

// Guards against attributing losses with other causes to the streams: engines crash one at a time,
// or a third of them at once.
TEST_CASE("harmless streams are not refused when engines crash for other reasons") {
  CHECK(MeanRefusedRatio({.crashing_requests = 0, .outage_interval = 300ms}) <= kMaxRefusedRatio);
  CHECK(MeanRefusedRatio({.crashing_requests = 0, .outage_interval = 3s, .outage_engines = 6}) <=
        kMaxRefusedRatio);
}

// Guards against content sent by many clients that is quarantined because the losses of all its
// copies add up.
TEST_CASE("a request with progressing copies on other engines is not refused") {
  const fleet_settings config{
      .crashing_requests = 0, .same_content = true, .outage_interval = 300ms};
  CHECK(MeanRefusedRatio(config) == 0);
}

// The table of one gateway, with runs of one fingerprint.
struct fixture {
  table state{settings{
      .daemon = "g1", .suspect_policy = suspect_policy::kConcurrent, .max_unproven_runs = 0}};
  side_effects effects;
  fingerprint key = MakeFingerprint("w", "x");
  time_point now{10s};

  void Run(run_id id, std::vector<endpoint_instance> route) {
    REQUIRE(Start(state, id, key, now, effects).answer != verdict::kRefuse);
    SetRoute(state, id, route, effects, now);
  }
  // Two runs that each lose their endpoint before they progress.
  void LoseTwoEndpoints() {
    for (run_id id = 1; id <= 2; ++id) {
      const endpoint_instance instance{"e" + std::to_string(id), 1};
      Run(id, {instance});
      ReportLost(state, instance, now, effects);
      End(state, id, run_end::kFailed, std::nullopt, now, effects);
    }
  }
  bool IsRefused() const { return StateOf(state, key) == fingerprint_state::kQuarantined; }
};

TEST_CASE("losses of several engines of one route count as one loss") {
  fixture f;
  f.Run(1, {{"e1", 1}, {"e2", 1}, {"e3", 1}});
  for (const char* id : {"e1", "e2", "e3"}) ReportLost(f.state, {id, 1}, f.now + 1s, f.effects);
  CHECK_FALSE(f.IsRefused());
  SetRoute(f.state, 1, std::vector<endpoint_instance>{{"e4", 1}, {"e5", 1}}, f.effects, f.now + 1s);
  ReportLost(f.state, {"e5", 1}, f.now + 2s, f.effects);
  CHECK(f.IsRefused());
}

TEST_CASE(
    "a loss does not count for a run that was placed after the last sign of life of the engine") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  ReportLost(f.state, {"e1", 1}, f.now + 300ms, f.effects, f.now - 50ms);
  CHECK(StateOf(f.state, f.key) == fingerprint_state::kClear);
}

TEST_CASE("progress of a run clears the losses of full weight") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  ReportLost(f.state, {"e1", 1}, f.now, f.effects);
  CHECK(StateOf(f.state, f.key) == fingerprint_state::kSuspected);
  SetRoute(f.state, 1, std::vector<endpoint_instance>{{"e2", 1}}, f.effects, f.now);
  Progress(f.state, 1, f.now, f.effects);
  CHECK(StateOf(f.state, f.key) == fingerprint_state::kClear);
}

// Guards against a request that crashes engines after progress and is resent from the start each
// time.
TEST_CASE("losses after progress add up over runs") {
  fixture f;
  for (run_id id = 1; id <= 4; ++id) {
    CHECK_FALSE(f.IsRefused());
    const endpoint_instance instance{"e" + std::to_string(id), 1};
    f.Run(id, {instance});
    Progress(f.state, id, f.now, f.effects);
    ReportLost(f.state, instance, f.now, f.effects);
    End(f.state, id, run_end::kFailed, std::nullopt, f.now, f.effects);
  }
  CHECK(f.IsRefused());
}

// Guards against losses that are dropped when the client waits longer than the proof lifetime.
TEST_CASE("losses after progress add up over runs with pauses longer than the proof lifetime") {
  fixture f;
  f.state.config.proof_lifetime = 2s;
  for (run_id id = 1; id <= 4; ++id) {
    const endpoint_instance instance{"e" + std::to_string(id), 1};
    f.Run(id, {instance});
    Progress(f.state, id, f.now, f.effects);
    ReportLost(f.state, instance, f.now, f.effects);
    End(f.state, id, run_end::kFailed, std::nullopt, f.now, f.effects);
    f.now += 5s;
    Tick(f.state, f.now, f.effects);
  }
  CHECK(f.IsRefused());
  f.now += f.state.config.loss_lifetime;
  Tick(f.state, f.now, f.effects);
  Tick(f.state, f.now + 1s, f.effects);
  CHECK(f.state.entries.empty());
}

// Guards against a request that keeps crashing engines because its copies without progress count as
// progressing.
TEST_CASE("a loss after progress counts unless another copy has progressed") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  Progress(f.state, 1, f.now, f.effects);
  SECTION("a copy without progress") {
    f.Run(2, {{"e2", 1}});
    ReportLost(f.state, {"e1", 1}, f.now, f.effects);
    CHECK(f.state.entries.at(f.key).half_losses.size() == 1);
  }
  SECTION("a copy that has progressed") {
    f.Run(2, {{"e2", 1}});
    Progress(f.state, 2, f.now, f.effects);
    ReportLost(f.state, {"e1", 1}, f.now, f.effects);
    CHECK(f.state.entries.at(f.key).half_losses.empty());
  }
}

// Two copies on one engine each; run 1 progressed 10 ms before run 2.
struct copies_fixture : fixture {
  static constexpr duration kConfirmationTimeout = 500ms;

  copies_fixture() {
    state.config.confirmation_timeout = kConfirmationTimeout;
    for (const run_id id : {1, 2}) {
      Run(id, {InstanceOf(id)});
      Progress(state, id, now, effects);
      now += 10ms;
    }
  }
  static endpoint_instance InstanceOf(run_id id) { return {"e" + std::to_string(id), 1}; }
  void LoseEngineOf(run_id id) {
    ReportLost(state, InstanceOf(id), now, effects);
    End(state, id, run_end::kFailed, std::nullopt, now, effects);
  }
  void Advance(duration time) {
    now += time;
    Tick(state, now, effects);
  }
  size_t CountHalfLosses() const { return state.entries.at(key).half_losses.size(); }
};

// Guards against copies of a request that crashes engines after progress, each of which continues
// until it crashes its own engine.
TEST_CASE("a loss after progress counts if no copy has been progressing for longer") {
  copies_fixture f;
  SECTION("the copy that progressed first loses its engine first") {
    f.LoseEngineOf(1);
    CHECK(f.CountHalfLosses() == 1);
    f.LoseEngineOf(2);
    CHECK(f.CountHalfLosses() == 2);
  }
  SECTION("the copy that progressed first loses its engine soon after the other copy") {
    f.LoseEngineOf(2);
    CHECK(f.CountHalfLosses() == 0);
    f.Advance(100ms);
    f.LoseEngineOf(1);
    CHECK(f.CountHalfLosses() == 1);
    f.Advance(copies_fixture::kConfirmationTimeout);
    CHECK(f.CountHalfLosses() == 2);
  }
  SECTION("the copy that progressed first continues on another engine") {
    f.LoseEngineOf(2);
    SetRoute(f.state, 1, std::vector<endpoint_instance>{{"e3", 1}}, f.effects, f.now);
    Progress(f.state, 1, f.now, f.effects);
    f.Advance(copies_fixture::kConfirmationTimeout);
    CHECK(f.CountHalfLosses() == 1);
  }
}

// Guards against counting losses that have other causes.
TEST_CASE("a loss after progress does not count if another copy has been progressing for longer") {
  copies_fixture f;
  f.LoseEngineOf(2);
  SECTION("the copy that progressed first continues") {
    f.Advance(copies_fixture::kConfirmationTimeout);
    CHECK(f.CountHalfLosses() == 0);
  }
  SECTION("the first loss is withdrawn and the copy that progressed first loses its engine") {
    ReportAlive(f.state, copies_fixture::InstanceOf(2), f.now + 1ms, f.effects);
    f.LoseEngineOf(1);
    f.Advance(copies_fixture::kConfirmationTimeout);
    CHECK(f.CountHalfLosses() == 1);
  }
}

// Guards against gateways that refute each other's losses by copies that have progressed for less
// time.
TEST_CASE(
    "a loss after progress reported by a peer counts unless a copy has progressed for longer") {
  copies_fixture f;
  update received{.daemon = "g2",
                  .key = f.key,
                  .losses = {},
                  .cleared = {},
                  .endpoints = {},
                  .half_losses = {{"e8", 1}, {"e9", 1}},
                  .lost_after = 1s};
  f.now += received.lost_after;
  SECTION("losses of the copies may not be known yet") {
    Merge(f.state, received, f.now, f.effects);
    CHECK(f.CountHalfLosses() == 2);
  }
  SECTION("the copies have progressed for longer") {
    f.now += copies_fixture::kConfirmationTimeout;
    Merge(f.state, received, f.now, f.effects);
    CHECK(f.CountHalfLosses() == 0);
  }
  SECTION("the update is unchanged after encoding and decoding") {
    const auto read = ParseUpdate(received.daemon, ToJson(received));
    REQUIRE(read.has_value());
    CHECK(*read == received);
  }
  SECTION("an excessive time in a message is limited") {
    nlohmann::json message = ToJson(received);
    message["lost_after_ms"] = std::numeric_limits<uint64_t>::max();
    const auto read = ParseUpdate(received.daemon, message);
    REQUIRE(read.has_value());
    Merge(f.state, *read, f.now, f.effects);
    CHECK(f.CountHalfLosses() == 2);
  }
}

// Guards against clearing the loss by the progress of a copy that was placed on the engine shortly
// before another copy, which had progressed, crashed it.
TEST_CASE("of several copies on one engine, the loss counts for the copy that had progressed") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  f.Run(2, {{"e1", 1}});
  Progress(f.state, 1, f.now, f.effects);
  ReportLost(f.state, {"e1", 1}, f.now, f.effects);
  SetRoute(f.state, 2, std::vector<endpoint_instance>{{"e2", 1}}, f.effects, f.now);
  Progress(f.state, 2, f.now, f.effects);
  CHECK(f.state.entries.at(f.key).half_losses.size() == 1);
}

// Guards against a quarantine that only one gateway knows while the shared table is unavailable.
TEST_CASE("quarantine because of losses after progress is published and repeated") {
  fixture f;
  for (run_id id = 1; id <= 4; ++id) {
    const endpoint_instance instance{"e" + std::to_string(id), 1};
    f.Run(id, {instance});
    Progress(f.state, id, f.now, f.effects);
    f.effects = {};
    ReportLost(f.state, instance, f.now, f.effects);
    End(f.state, id, run_end::kFailed, std::nullopt, f.now, f.effects);
  }
  REQUIRE(f.IsRefused());
  REQUIRE(f.effects.publish.size() == 1);
  size_t cursor = 0;
  const auto repeated = NextSnapshotUpdate(f.state, cursor);
  REQUIRE(repeated.has_value());
  for (const update& received : {f.effects.publish[0], *repeated}) {
    table peer(settings{.daemon = "g2", .suspect_policy = suspect_policy::kConcurrent});
    side_effects effects;
    Merge(peer, received, f.now, effects);
    CHECK(StateOf(peer, f.key) == fingerprint_state::kQuarantined);
  }
}

// Guards against a gateway that does not add up the losses reported by peers for a request that it
// has not run itself.
TEST_CASE("losses after progress reported by peers add up for a fingerprint not in the table") {
  table state(settings{.daemon = "g1", .suspect_policy = suspect_policy::kConcurrent});
  side_effects effects;
  const fingerprint key = MakeFingerprint("w", "x");
  for (const char* peer : {"g2", "g3"}) {
    CHECK(StateOf(state, key) == fingerprint_state::kClear);
    const std::string name = peer;
    const update received{.daemon = name,
                          .key = key,
                          .losses = {},
                          .cleared = {},
                          .endpoints = {},
                          .half_losses = {{name + " e1", 1}, {name + " e2", 1}}};
    Merge(state, received, time_point(10s), effects);
  }
  CHECK(StateOf(state, key) == fingerprint_state::kQuarantined);
}

// Guards against a quarantine that is restored by a peer's message sent before the withdrawal.
TEST_CASE("a withdrawn quarantine is not restored by an older message") {
  fixture f;
  f.LoseTwoEndpoints();
  REQUIRE(f.IsRefused());
  update older_update = f.effects.publish.back();
  REQUIRE(older_update.quarantined);
  older_update.daemon = "g2";
  SECTION("an endpoint answered") { ReportAlive(f.state, {"e1", 1}, f.now + 1s, f.effects); }
  SECTION("the quarantine was lifted") { Lift(f.state, f.key, f.effects); }
  REQUIRE_FALSE(f.IsRefused());
  Merge(f.state, older_update, f.now + 2s, f.effects);
  CHECK_FALSE(f.IsRefused());
}

// Guards against quarantine because of engines that were only unreachable for a while.
TEST_CASE("a loss is withdrawn when the endpoint answers in the same incarnation") {
  fixture f;
  f.LoseTwoEndpoints();
  CHECK(f.IsRefused());
  SECTION("an answer to a probe sent before the loss has no effect") {
    ReportAlive(f.state, {"e1", 1}, f.now - 1ms, f.effects);
    CHECK(f.IsRefused());
  }
  SECTION("an answer of another incarnation has no effect") {
    ReportAlive(f.state, {"e1", 2}, f.now + 1s, f.effects);
    CHECK(f.IsRefused());
  }
  SECTION("an answer to a probe sent after the loss withdraws it") {
    f.effects = {};
    ReportAlive(f.state, {"e1", 1}, f.now + 1s, f.effects);
    CHECK(StateOf(f.state, f.key) == fingerprint_state::kSuspected);
    CHECK(f.effects.released == std::vector{f.key});
  }
}

// Guards against an endpoint that counts twice while its loss is unconfirmed: the requests on it
// would be held as if two endpoints were affected.
TEST_CASE("an endpoint that stops responding and then breaks its connection is one pending loss") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  ReportSilent(f.state, {"e1", 1}, f.now, f.now + 2s, f.effects);
  End(f.state, 1, run_end::kBroken, endpoint_instance{"e1", 1}, f.now + 300ms, f.effects);
  CHECK(Start(f.state, 2, f.key, f.now + 300ms, f.effects).answer != verdict::kHold);
}

// Guards against a pending loss of a silent endpoint that expires early because a connection to it
// broke: broken connections have a shorter confirmation timeout.
TEST_CASE("a broken connection does not shorten the wait for a silent endpoint") {
  fixture f;
  f.state.config.confirmation_timeout = 500ms;
  f.Run(1, {{"e1", 1}});
  ReportSilent(f.state, {"e1", 1}, f.now, f.now + 2s, f.effects);
  End(f.state, 1, run_end::kBroken, endpoint_instance{"e1", 1}, f.now + 300ms, f.effects);
  Tick(f.state, f.now + 1s, f.effects);
  ReportLost(f.state, {"e1", 1}, f.now + 1900ms, f.effects, f.now);
  CHECK(StateOf(f.state, f.key) == fingerprint_state::kSuspected);
}

// Guards against content sent by many clients that waits for silent endpoints although their loss
// would not count.
TEST_CASE("a request with a progressing copy does not wait for silent endpoints") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  Progress(f.state, 1, f.now, f.effects);
  f.Run(2, {{"e2", 1}});
  f.Run(3, {{"e3", 1}});
  for (const char* id : {"e2", "e3"}) ReportSilent(f.state, {id, 1}, f.now, f.now + 2s, f.effects);
  CHECK(Start(f.state, 4, f.key, f.now, f.effects).answer != verdict::kHold);
}

// Guards against two silent endpoints of one route that count as two losses, and against dropping
// the loss of one because the other one answers.
TEST_CASE("silent endpoints of one route are one pending loss") {
  fixture f;
  f.Run(1, {{"e1", 1}, {"e2", 1}});
  for (const char* id : {"e1", "e2"}) ReportSilent(f.state, {id, 1}, f.now, f.now + 2s, f.effects);
  CHECK(Start(f.state, 2, f.key, f.now, f.effects).answer != verdict::kHold);
  SECTION("one endpoint answers and the other one is lost") {
    ReportAlive(f.state, {"e1", 1}, f.now + 1s, f.effects);
    End(f.state, 1, run_end::kFailed, std::nullopt, f.now + 1s, f.effects);
    ReportLost(f.state, {"e2", 1}, f.now + 2s, f.effects, f.now);
    CHECK(StateOf(f.state, f.key) == fingerprint_state::kSuspected);
  }
}

// Guards against a further copy that starts before it is known whether the previous one crashed its
// endpoint.
TEST_CASE("a further copy waits while a pending loss could lead to quarantine") {
  fixture f;
  f.Run(1, {{"e1", 1}});
  End(f.state, 1, run_end::kBroken, endpoint_instance{"e1", 1}, f.now, f.effects);
  f.Run(2, {{"e2", 1}});
  End(f.state, 2, run_end::kBroken, endpoint_instance{"e2", 1}, f.now, f.effects);
  CHECK(Start(f.state, 3, f.key, f.now, f.effects).answer == verdict::kHold);
  SECTION("one endpoint answers") {
    ReportAlive(f.state, {"e1", 1}, f.now, f.effects);
    CHECK(f.effects.wake == std::vector{f.key});
    CHECK(Start(f.state, 3, f.key, f.now, f.effects).answer == verdict::kAllowIsolated);
  }
  SECTION("both endpoints are lost") {
    ReportLost(f.state, {"e1", 1}, f.now, f.effects);
    ReportLost(f.state, {"e2", 1}, f.now, f.effects);
    CHECK(Start(f.state, 3, f.key, f.now, f.effects).answer == verdict::kRefuse);
  }
  SECTION("the wait for confirmation expires") {
    Tick(f.state, f.now + 11s, f.effects);
    CHECK(Start(f.state, 3, f.key, f.now + 11s, f.effects).answer != verdict::kHold);
  }
}

TEST_CASE("a gateway on which the request completed refutes losses reported by peers") {
  fixture f;
  for (run_id id = 1; id <= 2; ++id) {
    f.Run(id, {{"e9", 1}});
    End(f.state, id, run_end::kCompleted, std::nullopt, f.now, f.effects);
  }
  f.effects = {};
  const update received{.daemon = "g2",
                        .key = f.key,
                        .losses = {{"e2", 1}, {"e3", 1}},
                        .cleared = {},
                        .quarantined = true,
                        .claim = claim_kind::kNone,
                        .endpoints = {}};
  Merge(f.state, received, f.now, f.effects);
  CHECK_FALSE(f.IsRefused());
  REQUIRE(f.effects.publish.size() == 1);
  CHECK(f.effects.publish[0].cleared == received.losses);
  // The sender withdraws its quarantine.
  table sender(settings{.daemon = "g2", .suspect_policy = suspect_policy::kConcurrent});
  side_effects effects;
  Merge(sender, received, f.now, effects);
  CHECK(StateOf(sender, f.key) == fingerprint_state::kQuarantined);
  Merge(sender, f.effects.publish[0], f.now, effects);
  CHECK(StateOf(sender, f.key) == fingerprint_state::kClear);
}

TEST_CASE("a restored quarantine holds until it expires or is lifted") {
  fixture f;
  Restore(f.state, f.key, f.now + 1min, f.effects);
  CHECK(f.IsRefused());
  CHECK(f.effects.publish.empty());
  SECTION("it expires") { Tick(f.state, f.now + 61s, f.effects); }
  SECTION("it is lifted") { Lift(f.state, f.key, f.effects); }
  CHECK_FALSE(f.IsRefused());
  CHECK(f.effects.released == std::vector{f.key});
}

}  // namespace
}  // namespace balsambay::quarantine
