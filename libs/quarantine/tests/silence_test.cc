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

// Ends the run, which was placed at `placed`, without an answer of its endpoints.
void EndUnanswered(fixture& f, std::initializer_list<const char*> endpoints, time_point placed) {
  const run_id id = f.next_id++;
  REQUIRE(Start(f.state, id, kKey, placed, f.effects).answer != verdict::kRefuse);
  std::vector<endpoint_instance> route;
  for (const char* endpoint : endpoints) route.push_back({endpoint, 1});
  SetRoute(f.state, id, route, f.effects, placed);
  const time_point now = placed + 1s;
  for (const endpoint_instance& hop : route) {
    ReportUnanswered(f.state, id, hop, now, now + 15s);
  }
  End(f.state, id, run_end::kFailed, std::nullopt, now, f.effects);
}

bool IsRefused(const fixture& f) {
  return StateOf(f.state, kKey) == fingerprint_state::kQuarantined;
}

// Guards against a request that is never refused because its endpoints, silent since it reached
// them, are found lost only after it has ended.
TEST_CASE("requests that ended unanswered are the cause of losses that are found later") {
  fixture f;
  EndUnanswered(f, {"e1", "e2"}, kStart);
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kClear);
  ReportLost(f.state, {"e1", 1}, kStart + 3s, f.effects);
  // The second one of the same run does not count in addition.
  ReportLost(f.state, {"e2", 1}, kStart + 3s, f.effects);
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kSuspected);
  EndUnanswered(f, {"e3"}, kStart + 4s);
  ReportLost(f.state, {"e3", 1}, kStart + 7s, f.effects);
  CHECK(IsRefused(f));
}

// Guards against a request that is refused because it was slow on healthy endpoints, or because it
// reached endpoints that had been lost before.
TEST_CASE("slow requests and those on silent endpoints are not the cause of later losses") {
  fixture f;
  SECTION("the endpoints were not lost") {
    for (const char* endpoint : {"e1", "e2", "e3"}) EndUnanswered(f, {endpoint}, kStart);
  }
  SECTION("the endpoints answered as the same incarnation before they were lost") {
    for (const char* endpoint : {"e1", "e2"}) {
      EndUnanswered(f, {endpoint}, kStart);
      ReportAnswer(f.state, {endpoint, 1}, kStart + 4s);
      ReportLost(f.state, {endpoint, 1}, kStart + 5s, f.effects);
    }
  }
  SECTION("the request completed on another endpoint") {
    for (const char* endpoint : {"e1", "e2"}) EndUnanswered(f, {endpoint}, kStart);
    REQUIRE(f.RunOn("e3", kStart + 2s) == verdict::kAllow);
    End(f.state, f.next_id - 1, run_end::kCompleted, std::nullopt, kStart + 2s, f.effects);
    for (const char* endpoint : {"e1", "e2"}) {
      ReportLost(f.state, {endpoint, 1}, kStart + 10s, f.effects);
    }
  }
  SECTION("another request was not answered before it was placed") {
    const fingerprint other{3, 4};
    for (const char* endpoint : {"e1", "e2"}) {
      const endpoint_instance instance{endpoint, 1};
      const run_id id = f.next_id++;
      Start(f.state, id, {other}, kStart, f.effects);
      SetRoute(f.state, id, {&instance, 1}, f.effects, kStart);
      ReportUnanswered(f.state, id, instance, kStart + 1s, kStart + 15s);
      End(f.state, id, run_end::kFailed, std::nullopt, kStart + 1s, f.effects);
      EndUnanswered(f, {endpoint}, kStart + 1500ms);
      f.RunOn(endpoint, kStart + 2s);
      ReportLost(f.state, instance, kStart + 4s, f.effects);
    }
    CHECK(StateOf(f.state, other) == fingerprint_state::kQuarantined);
  }
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kClear);
}

}  // namespace
}  // namespace balsambay::quarantine
