// Endpoints that stop responding and then recover or turn out to be lost (kConcurrent).
#include <catch2/catch.hpp>

#include "quarantine/quarantine.h"

namespace balsambay::quarantine {
namespace {

const fingerprint kKey{1, 2};
const time_point kStart = time_point() + 60min;
constexpr duration kMaxSilence = 2s;

struct fixture {
  table state{settings{
      .daemon = "a", .suspect_policy = suspect_policy::kConcurrent, .max_unproven_runs = 0}};
  side_effects effects;
  run_id next_id = 1;

  // Starts a run on `endpoint`, if the verdict allows it.
  verdict RunOn(const std::string& endpoint, time_point now) {
    const run_id id = next_id++;
    const verdict answer = Start(state, id, kKey, now, effects).answer;
    if (answer != verdict::kAllow && answer != verdict::kAllowIsolated) return answer;
    const endpoint_instance instance{endpoint, 1};
    SetRoute(state, id, {&instance, 1}, effects, now);
    return answer;
  }
  void ReportSilence(const std::string& endpoint, time_point now) {
    ReportSilent(state, {endpoint, 1}, now, now + kMaxSilence, effects);
  }
};

// Guards against a request that is refused because healthy endpoints did not respond for a while.
TEST_CASE("silence of several endpoints does not quarantine the request on them") {
  fixture f;
  for (const char* endpoint : {"e1", "e2", "e3"}) f.RunOn(endpoint, kStart);
  for (const char* endpoint : {"e1", "e2", "e3"}) f.ReportSilence(endpoint, kStart + 1s);
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kSuspected);
  for (const char* endpoint : {"e1", "e2", "e3"}) {
    ReportAlive(f.state, {endpoint, 1}, kStart + 2s, f.effects);
  }
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kClear);
  CHECK(f.effects.quarantined.empty());
}

// Guards against a request that is sent to further endpoints while endpoints that it may have
// crashed do not respond.
TEST_CASE("a request waits while several silent endpoints may have been lost because of it") {
  fixture f;
  f.RunOn("e1", kStart);
  f.ReportSilence("e1", kStart + 1s);
  CHECK(f.RunOn("e2", kStart + 1s) == verdict::kAllowIsolated);
  f.ReportSilence("e2", kStart + 1500ms);
  CHECK(PreviewStart(f.state, kKey, kStart + 1500ms) == verdict::kHold);
  CHECK(f.RunOn("e3", kStart + 1500ms) == verdict::kHold);
}

// Guards against a request that is retried under one run id while its losses are unconfirmed: each
// attempt may have crashed another endpoint.
TEST_CASE("broken attempts of one request are separate pending losses") {
  fixture f;
  for (const char* endpoint : {"e1", "e2"}) {
    const endpoint_instance instance{endpoint, 1};
    REQUIRE(Start(f.state, 1, kKey, kStart, f.effects).answer != verdict::kHold);
    SetRoute(f.state, 1, {&instance, 1}, f.effects, kStart);
    End(f.state, 1, run_end::kBroken, instance, kStart, f.effects);
  }
  CHECK(Start(f.state, 1, kKey, kStart, f.effects).answer == verdict::kHold);
}

// Guards against a silent endpoint that is no longer pending when its loss is reported.
TEST_CASE("silent endpoints that turn out to be lost quarantine the request") {
  fixture f;
  f.RunOn("e1", kStart);
  f.ReportSilence("e1", kStart + 1s);
  f.RunOn("e2", kStart + 1s);
  f.ReportSilence("e2", kStart + 1500ms);
  End(f.state, 1, run_end::kFailed, std::nullopt, kStart + 1600ms, f.effects);
  ReportLost(f.state, {"e1", 1}, kStart + 2s, f.effects);
  ReportLost(f.state, {"e2", 1}, kStart + 2s, f.effects);
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kQuarantined);
  CHECK(PreviewStart(f.state, kKey, kStart + 2s) == verdict::kRefuse);
}

// Guards against requests that are held forever by an endpoint without further reports.
TEST_CASE("the suspicion of a silent endpoint expires") {
  fixture f;
  f.RunOn("e1", kStart);
  f.ReportSilence("e1", kStart + 1s);
  Tick(f.state, kStart + 1s + kMaxSilence - 1ms, f.effects);
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kSuspected);
  Tick(f.state, kStart + 2s + kMaxSilence, f.effects);
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kClear);
}

}  // namespace
}  // namespace balsambay::quarantine
