// Endpoints that fall silent and go on, or turn out to be lost (trial::kShared).
#include <catch2/catch.hpp>

#include "quarantine/quarantine.h"

namespace balsambay::quarantine {
namespace {

const fingerprint kKey{1, 2};
const time_point kStart = time_point() + 60min;
constexpr duration kLongestSilence = 2s;

struct fixture {
  table state{settings{.daemon = "a", .trial = trial::kShared, .max_unproven_runs = 0}};
  outputs out;
  run_id next = 1;

  // Starts a run on one endpoint.
  verdict RunOn(const std::string& endpoint, time_point now) {
    const run_id id = next++;
    const verdict answer = Start(state, id, kKey, now, out).answer;
    if (answer != verdict::kAllow && answer != verdict::kAllowAlone) return answer;
    const endpoint_life instance{endpoint, 1};
    Place(state, id, {&instance, 1}, out, now);
    return answer;
  }
  void FallSilent(const std::string& endpoint, time_point now) {
    Silent(state, {endpoint, 1}, now, now + kLongestSilence, out);
  }
};

// Guards against a request that is refused because sound endpoints were silent for a while.
TEST_CASE("silence of several endpoints does not condemn the request on them") {
  fixture f;
  for (const char* endpoint : {"e1", "e2", "e3"}) f.RunOn(endpoint, kStart);
  for (const char* endpoint : {"e1", "e2", "e3"}) f.FallSilent(endpoint, kStart + 1s);
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kSuspected);
  for (const char* endpoint : {"e1", "e2", "e3"}) {
    Alive(f.state, {endpoint, 1}, kStart + 2s, f.out);
  }
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kClear);
  CHECK(f.out.condemned.empty());
}

// Guards against a request that goes on to further endpoints while those that it may have crashed
// do not answer.
TEST_CASE("a request waits while several silent endpoints may be its losses") {
  fixture f;
  f.RunOn("e1", kStart);
  f.FallSilent("e1", kStart + 1s);
  CHECK(f.RunOn("e2", kStart + 1s) == verdict::kAllowAlone);
  f.FallSilent("e2", kStart + 1500ms);
  CHECK(Foresee(f.state, kKey, kStart + 1500ms) == verdict::kHold);
  CHECK(f.RunOn("e3", kStart + 1500ms) == verdict::kHold);
}

// Guards against a request that is sent on and on under one id while its losses are looked into:
// each of its attempts may have lost another endpoint.
TEST_CASE("attempts of one request that break off count each") {
  fixture f;
  for (const char* endpoint : {"e1", "e2"}) {
    const endpoint_life instance{endpoint, 1};
    REQUIRE(Start(f.state, 1, kKey, kStart, f.out).answer != verdict::kHold);
    Place(f.state, 1, {&instance, 1}, f.out, kStart);
    End(f.state, 1, run_end::kBroken, instance, kStart, f.out);
  }
  CHECK(Start(f.state, 1, kKey, kStart, f.out).answer == verdict::kHold);
}

// Guards against a silent endpoint that is forgotten before its loss is known.
TEST_CASE("silent endpoints that turn out to be lost condemn the request") {
  fixture f;
  f.RunOn("e1", kStart);
  f.FallSilent("e1", kStart + 1s);
  f.RunOn("e2", kStart + 1s);
  f.FallSilent("e2", kStart + 1500ms);
  End(f.state, 1, run_end::kFailed, std::nullopt, kStart + 1600ms, f.out);
  Lost(f.state, {"e1", 1}, kStart + 2s, f.out);
  Lost(f.state, {"e2", 1}, kStart + 2s, f.out);
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kQuarantined);
  CHECK(Foresee(f.state, kKey, kStart + 2s) == verdict::kRefuse);
}

// Guards against requests that are held back for ever by an endpoint of which nothing is heard.
TEST_CASE("silence expires") {
  fixture f;
  f.RunOn("e1", kStart);
  f.FallSilent("e1", kStart + 1s);
  Tick(f.state, kStart + 1s + kLongestSilence - 1ms, f.out);
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kSuspected);
  Tick(f.state, kStart + 2s + kLongestSilence, f.out);
  CHECK(StateOf(f.state, kKey) == fingerprint_state::kClear);
}

}  // namespace
}  // namespace balsambay::quarantine
