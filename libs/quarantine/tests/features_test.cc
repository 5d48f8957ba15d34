// Features that requests have in common, such as parts of prompts, as causes of lost endpoints.
#include <array>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "quarantine/message.h"

namespace balsambay::quarantine {
namespace {

const fingerprint kCause = MakeFingerprint("part", "cause");
const fingerprint kCommon = MakeFingerprint("part", "common");
const fingerprint kCompanion = MakeFingerprint("part", "companion");

// A daemon. Each run has a content of its own and the features that are named.
struct daemon_fixture {
  explicit daemon_fixture(const std::string& id)
      : state(settings{
            .daemon = id, .suspect_policy = suspect_policy::kConcurrent, .max_unproven_runs = 0}) {}

  verdict Place(std::span<const fingerprint> features, const endpoint_instance& instance,
                uint32_t workspace = 1) {
    const run_id id = ++last_run;
    const fingerprint key = MakeFingerprint(state.config.daemon, std::to_string(id));
    const auto content = static_cast<uint32_t>(key.low);
    std::vector<shared_feature> shared;
    for (const fingerprint& feature : features) shared.push_back({feature, {workspace, content}});
    const verdict answer = Start(state, id, {key, shared}, now, effects).answer;
    if (answer != verdict::kRefuse) SetRoute(state, id, std::array{instance}, effects, now);
    return answer;
  }
  // Loses endpoints to requests of the workspace with the feature, one after the other.
  void LoseWith(const fingerprint& feature, size_t count, uint32_t workspace) {
    for (size_t i = 0; i < count; ++i) {
      Place(std::array{feature}, {"lost" + std::to_string(i), 1}, workspace);
      Lose({"lost" + std::to_string(i), 1});
    }
    Settle();
  }
  void Lose(const endpoint_instance& instance) {
    now += 100ms;
    ReportLost(state, instance, now, effects);
    now += 100ms;
  }
  // Passes the time until features with sufficient losses are refused.
  void Settle() {
    now += state.config.feature_settle_time;
    Tick(state, now, effects);
  }
  void EndAll(run_end how) {
    for (run_id id = 1; id <= last_run; ++id) End(state, id, how, std::nullopt, now, effects);
  }
  bool IsRefused(const fingerprint& key) const {
    return StateOf(state, key) == fingerprint_state::kQuarantined;
  }

  table state;
  side_effects effects;
  time_point now{10s};
  run_id last_run = 0;
};

endpoint_instance Endpoint(size_t number) { return {"e" + std::to_string(number), 1}; }

// Guards against requests that are alike only in a part of their prompts and crash one endpoint
// each.
TEST_CASE("a feature of different requests that lose endpoints in a row is refused") {
  daemon_fixture d("a");
  for (size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(d.IsRefused(kCause));
    CHECK(d.Place(std::array{kCause}, Endpoint(i)) != verdict::kRefuse);
    d.Lose(Endpoint(i));
    d.Settle();
  }
  CHECK(d.IsRefused(kCause));
  CHECK(d.Place(std::array{kCause}, Endpoint(9)) == verdict::kRefuse);
}

// Guards against features that many requests have in common and that are refused because endpoints
// are lost together, as when a zone loses power.
TEST_CASE("endpoints that are lost together count once") {
  daemon_fixture d("a");
  for (size_t i = 0; i < 10; ++i) d.Place(std::array{kCommon}, Endpoint(i));
  for (size_t i = 0; i < 10; ++i) d.Lose(Endpoint(i));
  d.Settle();
  CHECK_FALSE(d.IsRefused(kCommon));
}

// Guards against one request that is sent again and again and gets its sound parts refused.
TEST_CASE("losses of one source are not blamed on its features") {
  daemon_fixture d("a");
  constexpr feature_source kSource{1, 7};
  for (size_t i = 0; i < 5; ++i) {
    const fingerprint content = MakeFingerprint("w", std::to_string(i));
    Start(d.state, 1, {content, {{kCommon, kSource}}}, d.now, d.effects);
    SetRoute(d.state, 1, std::array{Endpoint(i)}, d.effects, d.now);
    d.Lose(Endpoint(i));
    End(d.state, 1, run_end::kFailed, std::nullopt, d.now, d.effects);
  }
  d.Settle();
  CHECK_FALSE(d.IsRefused(kCommon));
}

// Guards against sound features that are blamed while their requests are answered.
TEST_CASE("an answer clears the features of its request, also those of an earlier suspicion") {
  daemon_fixture d("a");
  for (size_t i = 0; i < 8; ++i) {
    d.Place(std::array{kCommon}, Endpoint(i));
    d.Lose(Endpoint(i));
    if (i % 2 == 1) continue;
    d.Place(std::array{kCommon}, Endpoint(100 + i));
    Progress(d.state, d.last_run, d.now, d.effects);
    d.Settle();
  }
  d.Settle();
  CHECK_FALSE(d.IsRefused(kCommon));
}

// Guards against a cause that is protected by the answers that it let through before, or by those
// that go on.
TEST_CASE("a feature that begins to lose endpoints after answers is refused") {
  daemon_fixture d("a");
  d.Place(std::array{kCause}, Endpoint(50));
  Progress(d.state, d.last_run, d.now, d.effects);
  for (size_t i = 0; i < 3; ++i) {
    d.Place(std::array{kCause}, Endpoint(i));
    d.Lose(Endpoint(i));
  }
  d.Settle();
  CHECK(d.IsRefused(kCause));
}

// Guards against the first part of the prompt being refused in place of the cause, when all
// requests with the cause have it and none of its sound requests is answered in between.
TEST_CASE("of the features that are present at all losses the rarest is refused") {
  daemon_fixture d("a");
  for (size_t i = 0; i < 5; ++i) {
    d.Place(std::array{kCommon}, Endpoint(i));
    d.Place(std::array{kCommon, kCause}, Endpoint(i));
    d.Lose(Endpoint(i));
  }
  d.Settle();
  CHECK(d.IsRefused(kCause));
  CHECK_FALSE(d.IsRefused(kCommon));
  CHECK(d.Place(std::array{kCommon}, Endpoint(9)) != verdict::kRefuse);
}

// Guards against a rare sound part that is refused in place of the cause, and hides it, because its
// requests wait for an answer while they are moved from one lost endpoint to the next.
TEST_CASE("a feature that was executed is a likelier cause than one whose requests wait") {
  daemon_fixture d("a");
  constexpr size_t kLosses = 4;
  for (size_t i = 0; i < kLosses; ++i) {
    d.Place(std::array{kCommon}, Endpoint(i));
    for (int copy = 0; copy < 3; ++copy) {
      d.Place(std::array{kCause}, Endpoint(i));
      ReportExecuting(d.state, d.last_run);
    }
    d.Lose(Endpoint(i));
  }
  d.Settle();
  CHECK(d.IsRefused(kCause));
  CHECK_FALSE(d.IsRefused(kCommon));
}

// Guards against sound requests that stay refused for the losses of the cause.
TEST_CASE("contents are not refused for losses that a feature explains") {
  daemon_fixture d("a");
  const fingerprint bystander = MakeFingerprint("w", "bystander");
  for (size_t i = 0; i < 3; ++i) {
    d.Place(std::array{kCause}, Endpoint(i));
    if (Start(d.state, 99, bystander, d.now, d.effects).answer != verdict::kRefuse)
      SetRoute(d.state, 99, std::array{Endpoint(i)}, d.effects, d.now);
    d.Lose(Endpoint(i));
    End(d.state, 99, run_end::kFailed, std::nullopt, d.now, d.effects);
    if (i == 1) CHECK(d.IsRefused(bystander));
  }
  d.Settle();
  CHECK(d.IsRefused(kCause));
  CHECK_FALSE(d.IsRefused(bystander));
}

// Guards against a feature that goes on losing endpoints in requests of a workspace that has lost
// none yet.
TEST_CASE("a feature that loses endpoints of one workspace is refused to all") {
  daemon_fixture d("a");
  d.LoseWith(kCause, 3, 1);
  CHECK(d.Place(std::array{kCause}, Endpoint(9), 1) == verdict::kRefuse);
  CHECK(d.Place(std::array{kCause}, Endpoint(9), 2) == verdict::kRefuse);
}

// Guards against trials that together lose more endpoints than a contained feature may.
TEST_CASE("a trial that loses its endpoint is the last one") {
  daemon_fixture d("a");
  SetMayRunTrials(d.state, true);
  d.LoseWith(kCause, 3, 1);
  CHECK(d.Place(std::array{kCause}, Endpoint(9), 1) == verdict::kRefuse);
  CHECK(d.Place(std::array{kCause}, Endpoint(9), 2) != verdict::kRefuse);
  CHECK(d.Place(std::array{kCause}, Endpoint(10), 2) == verdict::kRefuse);
  CHECK(d.Place(std::array{kCause}, Endpoint(10), 3) == verdict::kRefuse);
  d.Lose(Endpoint(9));
  d.EndAll(run_end::kFailed);
  for (uint32_t workspace = 1; workspace < 5; ++workspace)
    CHECK(d.Place(std::array{kCause}, Endpoint(10), workspace) == verdict::kRefuse);
}

// Guards against trials without an answer that go on for as long as the quarantine, and against a
// second one before the loss of an endpoint by the first one is known, as by the next attempt of
// the same request.
TEST_CASE("a quarantine has a bounded number of trials, with a pause between them") {
  daemon_fixture d("a");
  SetMayRunTrials(d.state, true);
  d.LoseWith(kCause, 3, 1);
  int trials = 0;
  const auto try_often = [&] {
    for (size_t i = 0; i < 9; ++i) {
      if (d.Place(std::array{kCause}, Endpoint(9), 2) != verdict::kRefuse) ++trials;
      d.EndAll(run_end::kFailed);
    }
  };
  try_often();
  CHECK(trials == 1);
  for (int i = 0; i < 3; ++i) {
    d.now += 6s;
    Tick(d.state, d.now, d.effects);
    try_often();
  }
  CHECK(trials == 2);
}

// Guards against trials of several daemons, which together lose more endpoints than a contained
// feature may: a daemon that takes over knows the quarantine, but not the trials of the others.
TEST_CASE("a daemon that takes over runs no trials of earlier quarantines") {
  daemon_fixture holder("a");
  daemon_fixture next("b");
  SetMayRunTrials(holder.state, true);
  holder.LoseWith(kCause, 3, 1);
  for (update message : holder.effects.publish) {
    message.daemon = "a";
    Merge(next.state, message, next.now, next.effects);
  }
  REQUIRE(next.IsRefused(kCause));
  REQUIRE(holder.Place(std::array{kCause}, Endpoint(9), 2) != verdict::kRefuse);
  SetMayRunTrials(holder.state, false);
  SetMayRunTrials(next.state, true);
  CHECK(next.Place(std::array{kCause}, Endpoint(10), 2) == verdict::kRefuse);
  // Nor does the former holder when it has the task again.
  holder.EndAll(run_end::kFailed);
  holder.now += 6s;
  Tick(holder.state, holder.now, holder.effects);
  SetMayRunTrials(holder.state, true);
  CHECK(holder.Place(std::array{kCause}, Endpoint(9), 2) == verdict::kRefuse);
}

// Guards against a caller that gets the requests of another workspace refused by naming its parts.
TEST_CASE("an answered trial confines the quarantine to the workspace of the losses") {
  daemon_fixture d("a");
  daemon_fixture peer("b");
  SetMayRunTrials(d.state, true);
  d.LoseWith(kCause, 3, 1);
  REQUIRE(d.Place(std::array{kCause}, Endpoint(9), 2) != verdict::kRefuse);
  Progress(d.state, d.last_run, d.now, d.effects);
  for (const update& message : d.effects.publish) {
    auto parsed = ParseUpdate("a", ToJson(message));
    REQUIRE(parsed);
    parsed->is_feature = message.is_feature;
    Merge(peer.state, *parsed, d.now, peer.effects);
  }
  for (daemon_fixture* each : {&d, &peer}) {
    CHECK(each->effects.confined.size() == 1);
    CHECK(each->Place(std::array{kCause}, Endpoint(10), 1) == verdict::kRefuse);
    CHECK(each->Place(std::array{kCause}, Endpoint(10), 2) != verdict::kRefuse);
    CHECK(each->Place(std::array{kCause}, Endpoint(10), 3) != verdict::kRefuse);
  }
  // A second workspace that loses an endpoint ends the confinement.
  d.Lose(Endpoint(10));
  CHECK(d.Place(std::array{kCause}, Endpoint(11), 4) == verdict::kRefuse);
}

// Guards against a feature that is refused late because its requests end, as when their paths
// change or they are refused, before the losses of their endpoints are found. Such losses would
// count as those of another cause.
TEST_CASE("losses that are found soon after the runs with a feature have ended count") {
  daemon_fixture d("a");
  const duration delay = GENERATE(300ms, 1500ms);
  for (size_t i = 0; i < 3; ++i) {
    d.Place(std::array{kCause}, Endpoint(i));
    d.EndAll(run_end::kFailed);
    d.now += delay;
    d.Lose(Endpoint(i));
  }
  d.Settle();
  CHECK(d.IsRefused(kCause) == (delay == 300ms));
}

// Guards against the cause being hidden by a feature that mostly comes with it and is refused in
// its place, so that the cause needs as many further losses as at first.
TEST_CASE("a cause beside a feature that was refused for it is refused after one more loss") {
  daemon_fixture d("a");
  // One more run makes the cause the more frequent one of the two.
  d.Place(std::array{kCause}, Endpoint(0));
  for (size_t i = 0; i < 3; ++i) {
    d.Place(std::array{kCause, kCompanion}, Endpoint(i));
    d.Place(std::array{kCause, kCompanion}, Endpoint(i));
    d.Lose(Endpoint(i));
  }
  d.Settle();
  REQUIRE(d.IsRefused(kCompanion));
  REQUIRE_FALSE(d.IsRefused(kCause));
  d.Place(std::array{kCause}, Endpoint(60));
  d.Lose(Endpoint(60));
  d.Settle();
  CHECK(d.IsRefused(kCause));
  // Its losses are explained by the cause.
  CHECK_FALSE(d.IsRefused(kCompanion));
}

// Guards against a cause that crashes endpoints before the head of their reply arrives, and is held
// back by a sound feature of which a request happened to be executed.
TEST_CASE("a feature that was executed at few of its losses does not hold back another") {
  daemon_fixture d("a");
  for (size_t i = 0; i < 4; ++i) {
    d.Place(std::array{kCause}, Endpoint(i));
    for (int copy = 0; copy < 3; ++copy) d.Place(std::array{kCommon}, Endpoint(i));
    if (i == 0) ReportExecuting(d.state, d.last_run);
    d.Lose(Endpoint(i));
  }
  d.Settle();
  CHECK(d.IsRefused(kCause));
  CHECK_FALSE(d.IsRefused(kCommon));
}

// Guards against a common feature that is refused because the update of an answer is late.
TEST_CASE("an answer before the losses have settled clears the feature") {
  daemon_fixture d("a");
  for (size_t i = 0; i < 3; ++i) {
    d.Place(std::array{kCommon}, Endpoint(i));
    d.Lose(Endpoint(i));
  }
  d.Place(std::array{kCommon}, Endpoint(9));
  Progress(d.state, d.last_run, d.now, d.effects);
  d.Settle();
  CHECK_FALSE(d.IsRefused(kCommon));
}

// Guards against a cause whose requests come at a different daemon each time.
TEST_CASE("losses on several daemons add up, and all refuse the feature") {
  std::vector<std::unique_ptr<daemon_fixture>> daemons;
  for (const char* id : {"a", "b", "c", "d"}) {
    daemons.push_back(std::make_unique<daemon_fixture>(id));
  }
  const auto exchange = [&] {
    for (const auto& sender : daemons) {
      const auto sent = std::exchange(sender->effects.publish, {});
      for (const auto& receiver : daemons) {
        for (const update& message : sent) {
          auto parsed = ParseUpdate(sender->state.config.daemon, ToJson(message));
          REQUIRE(parsed);
          parsed->is_feature = message.is_feature;
          if (receiver != sender) Merge(receiver->state, *parsed, receiver->now, receiver->effects);
        }
      }
    }
  };
  for (size_t i = 0; i < 3; ++i) {
    daemon_fixture& d = *daemons[i];
    for (const auto& other : daemons) other->now = std::max(other->now, d.now);
    d.now += 10ms;
    d.Place(std::array{kCause}, Endpoint(i));
    d.Lose(Endpoint(i));
    exchange();
    if (i == 2) d.Settle();
    exchange();
    for (const auto& other : daemons) other->now = d.now;
  }
  for (const auto& d : daemons) {
    CHECK(d->Place(std::array{kCause}, Endpoint(9)) == verdict::kRefuse);
  }
}

// Guards against an operator's removal of the record, or its expiry, that leaves the feature
// refused.
TEST_CASE("a restored feature is refused until it is lifted") {
  daemon_fixture d("a");
  const std::array sources{feature_source{1, 1}, feature_source{1, 2}};
  const bool confined = GENERATE(false, true);
  Restore(d.state, kCause, d.now + 10min, d.effects, sources, confined);
  CHECK(d.Place(std::array{kCause}, Endpoint(1), 1) == verdict::kRefuse);
  CHECK((d.Place(std::array{kCause}, Endpoint(1), 2) == verdict::kRefuse) == !confined);
  Lift(d.state, kCause, d.effects);
  CHECK(d.Place(std::array{kCause}, Endpoint(1), 1) != verdict::kRefuse);
}

// Guards against state that grows with the features that callers name.
TEST_CASE("features without losses take no memory") {
  daemon_fixture d("a");
  for (size_t i = 0; i < 1000; ++i) {
    d.Place(std::array{MakeFingerprint("part", std::to_string(i))}, Endpoint(1));
    Progress(d.state, d.last_run, d.now, d.effects);
  }
  d.EndAll(run_end::kCompleted);
  CHECK(d.state.entries.size() <= 1000);
}

}  // namespace
}  // namespace balsambay::quarantine
