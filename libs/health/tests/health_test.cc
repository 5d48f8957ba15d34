// Properties of endpoint health under random input, and replay of a recorded rolling restart.
#include "health/health.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace balsambay::health {
namespace {

using nlohmann::json;

const std::map<std::string, evidence_kind> kEvidenceKinds = {
    {"success", evidence_kind::kSuccess},           {"failure", evidence_kind::kFailure},
    {"refused", evidence_kind::kConnectionRefused}, {"lost", evidence_kind::kConnectionLost},
    {"probe_ok", evidence_kind::kProbeOk},          {"probe_failed", evidence_kind::kProbeFailed},
    {"leaving", evidence_kind::kReportedLeaving}};

std::string EndpointId(size_t index) { return "e" + std::to_string(index); }

// A registry of `count` endpoints, each on its own VM, in groups of five.
registry MakeRegistry(size_t count, const settings& config = {}) {
  registry health(config);
  std::vector<endpoint_spec> specs;
  for (size_t i = 0; i < count; ++i) {
    specs.push_back({EndpointId(i), "v" + std::to_string(i), "g" + std::to_string(i / 5)});
  }
  SetEndpoints(health, specs, time_point(0s));
  return health;
}

size_t CountUsable(const registry& health, size_t count) {
  size_t usable = 0;
  for (size_t i = 0; i < count; ++i) {
    usable += GetEndpointHealth(health, EndpointId(i), time_point(0s)).usable ? 1 : 0;
  }
  return usable;
}

// A random input that was applied; `leaving` when it says that the endpoint leaves in
// `incarnation`.
struct random_input {
  size_t endpoint = 0;
  uint64_t incarnation = 1;
  bool leaving = false;
};

// Applies random evidence, peer evidence or a random VM list with one entry.
random_input ApplyRandom(registry& health, size_t count, time_point now, random_generator& rng) {
  random_input input{UniformBelow(rng, count), 1 + UniformBelow(rng, 3), false};
  const uint64_t choice = UniformBelow(rng, 9);
  if (choice < 7) {
    const auto kind = static_cast<evidence_kind>(choice);
    input.leaving = kind == evidence_kind::kReportedLeaving;
    OnEvidence(health, {EndpointId(input.endpoint), kind, input.incarnation, {}}, now, rng);
  } else if (choice == 7) {
    input.leaving = UniformBelow(rng, 2) == 0;
    const auto state = input.leaving ? endpoint_state::kLeaving : endpoint_state::kLive;
    OnPeerEvidence(health, {EndpointId(input.endpoint), input.incarnation, state}, now, rng);
  } else {
    input.leaving = UniformBelow(rng, 2) == 0;
    const vm_entry entry{"v" + std::to_string(input.endpoint), input.incarnation, input.leaving};
    OnVmList(health, std::vector{entry}, now);
  }
  return input;
}

// Whether random input makes an endpoint usable in an incarnation in which it was seen leaving.
bool IsUsableAfterLeaving(uint64_t seed, const settings& config) {
  random_generator rng(seed);
  registry health = MakeRegistry(6, config);
  std::map<size_t, uint64_t> left_incarnations;
  for (int step = 0; step < 200; ++step) {
    const time_point now(step * 50ms);
    const random_input input = ApplyRandom(health, 6, now, rng);
    if (input.leaving) {
      left_incarnations[input.endpoint] =
          std::max(left_incarnations[input.endpoint], input.incarnation);
    }
    for (const auto& [endpoint, incarnation] : left_incarnations) {
      const endpoint_health current = GetEndpointHealth(health, EndpointId(endpoint), now);
      if (current.usable && current.incarnation <= incarnation) return true;
    }
  }
  return false;
}

// Guards against delayed live evidence, such as an old VM list or probe reply, that makes an
// endpoint usable again after it has left.
TEST_CASE("stale live evidence never makes an endpoint usable that left in the same incarnation") {
  rc::prop("random evidence", [](uint64_t seed) { RC_ASSERT(!IsUsableAfterLeaving(seed, {})); });
  settings faulty_settings;
  faulty_settings.test_faults.stale_live_revives = true;
  CHECK(IsUsableAfterLeaving(1, faulty_settings));
}

// Returns how long an endpoint stays usable after it begins to leave, when probes are the only
// evidence. Each probe is lost with probability 1/5, but never two in succession.
duration LongestUseAfterLeaving(uint64_t seed, const settings& config) {
  random_generator rng(seed);
  registry health = MakeRegistry(10, config);
  const time_point leaves_at(5s + duration(UniformBelow(rng, 2000000)));
  std::multimap<time_point, std::pair<std::string, bool>> replies;
  std::map<std::string, bool> previous_probe_lost;
  duration longest{0};
  for (time_point now(0s); now < leaves_at + 4s; now += 5ms) {
    while (!replies.empty() && replies.begin()->first <= now) {
      const auto [id, lost] = replies.begin()->second;
      const bool leaving = id == "e3" && replies.begin()->first >= leaves_at;
      const auto kind = lost      ? evidence_kind::kProbeFailed
                        : leaving ? evidence_kind::kReportedLeaving
                                  : evidence_kind::kProbeOk;
      OnEvidence(health, {id, kind, lost ? std::nullopt : std::optional<uint64_t>(1), {}}, now,
                 rng);
      replies.erase(replies.begin());
    }
    for (const std::string& id : Tick(health, now, rng).probes) {
      const bool lost = !previous_probe_lost[id] && UniformBelow(rng, 5) == 0;
      previous_probe_lost[id] = lost;
      replies.emplace(now + (lost ? config.probe_timeout : duration(2ms)), std::pair(id, lost));
    }
    if (now >= leaves_at && GetEndpointHealth(health, "e3", now).usable) longest = now - leaves_at;
  }
  return longest;
}

// Guards against dependence on the VM list for detecting a leaving endpoint: the platform is
// unavailable, so that no list arrives.
TEST_CASE("a leaving endpoint is unusable within 2 s when only probes are available") {
  rc::prop("probes with loss",
           [](uint64_t seed) { RC_ASSERT(LongestUseAfterLeaving(seed, {}) < 2s); });
  settings faulty_settings;
  faulty_settings.test_faults.ignore_leaving_reports = true;
  CHECK(LongestUseAfterLeaving(1, faulty_settings) > 2s);
}

// Refuses the connections to a random fraction of the endpoints and returns the largest fraction
// that was ejected at one time.
double LargestEjectedFraction(uint64_t seed, size_t count, const settings& config) {
  random_generator rng(seed);
  registry health = MakeRegistry(count, config);
  const double faulty_fraction = UniformUnit(rng);
  double largest = 0;
  for (int step = 0; step < 400; ++step) {
    const time_point now(step * 20ms);
    const size_t target = UniformBelow(rng, count);
    const bool faulty =
        static_cast<double>(target) < faulty_fraction * static_cast<double>(count) + 1;
    const auto kind = faulty ? evidence_kind::kConnectionRefused : evidence_kind::kSuccess;
    OnEvidence(health, {EndpointId(target), kind, {}, {}}, now, rng);
    Tick(health, now, rng);
    const double unusable = static_cast<double>(count - CountUsable(health, count));
    largest = std::max(largest, unusable / static_cast<double>(count));
  }
  return largest;
}

// Guards against the ejection of all endpoints by a fault of a whole zone.
TEST_CASE("no more than the maximum fraction of endpoints is ejected") {
  rc::prop("random faults", [](uint64_t seed) {
    const size_t count = 2 + seed % 40;
    RC_ASSERT(LargestEjectedFraction(seed, count, {}) <= 0.5);
  });
  settings faulty_settings;
  faulty_settings.test_faults.unbounded_ejection = true;
  CHECK(LargestEjectedFraction(3, 20, faulty_settings) > 0.5);
}

TEST_CASE("the ejection limit of a group applies to failures, not to refused connections") {
  random_generator rng(1);
  registry health = MakeRegistry(20);
  const auto fail = [&](size_t id, evidence_kind kind) {
    for (int i = 0; i < 3; ++i) {
      OnEvidence(health, {EndpointId(id), kind, {}, {}}, time_point(0s), rng);
    }
  };
  for (size_t id = 0; id < 5; ++id) fail(id, evidence_kind::kFailure);
  CHECK(CountUsable(health, 20) == 18);
  for (size_t id = 0; id < 5; ++id) fail(id, evidence_kind::kConnectionRefused);
  CHECK(CountUsable(health, 20) == 15);
}

TEST_CASE("an ejected endpoint recovers after successful probes and goes through slow start") {
  random_generator rng(1);
  registry health = MakeRegistry(5);
  const auto changes =
      OnEvidence(health, {"e1", evidence_kind::kConnectionRefused, {}, {}}, time_point(0s), rng);
  REQUIRE(changes.size() == 1);
  CHECK((changes[0].new_state == endpoint_state::kSuspect && !changes[0].usable));
  time_point now(0s);
  for (; !GetEndpointHealth(health, "e1", now).usable && now < time_point(10s); now += 10ms) {
    for (const std::string& id : Tick(health, now, rng).probes) {
      OnEvidence(health, {id, evidence_kind::kProbeOk, 1, {}}, now, rng);
    }
  }
  CHECK(now < time_point(500ms));
  CHECK(GetEndpointHealth(health, "e1", now).slow_start == Approx(0.1));
  CHECK(GetEndpointHealth(health, "e1", now + 5s).slow_start == Approx(0.5).margin(0.01));
  CHECK(GetEndpointHealth(health, "e2", now).slow_start == 1.0);
}

// Guards against continued use of an engine that works, but far slower than the others of its
// group.
TEST_CASE("a slow endpoint is ejected for at least the hold time") {
  random_generator rng(1);
  registry health = MakeRegistry(5);
  for (int i = 0; i < 20; ++i) {
    for (size_t id = 0; id < 5; ++id) {
      const duration latency = id == 2 ? 500ms : 50ms;
      OnEvidence(health, {EndpointId(id), evidence_kind::kSuccess, {}, latency}, time_point(0s),
                 rng);
    }
  }
  Tick(health, time_point(1s), rng);
  CHECK_FALSE(GetEndpointHealth(health, "e2", time_point(1s)).usable);
  for (int i = 0; i < 9; ++i) {
    OnEvidence(health, {"e2", evidence_kind::kProbeOk, {}, {}}, time_point(1s) + i * 500ms, rng);
  }
  CHECK_FALSE(GetEndpointHealth(health, "e2", time_point(5900ms)).usable);
  OnEvidence(health, {"e2", evidence_kind::kProbeOk, {}, {}}, time_point(6s), rng);
  CHECK(GetEndpointHealth(health, "e2", time_point(6s)).usable);
}

TEST_CASE("an endpoint whose VM is missing from the list is gone only while it is silent") {
  random_generator rng(1);
  registry health = MakeRegistry(3);
  OnVmList(health, std::vector<vm_entry>{{"v0", 1, false}, {"v1", 1, false}}, time_point(0s));
  OnVmList(health, std::vector<vm_entry>{{"v0", 1, false}}, time_point(1s));
  CHECK(GetEndpointHealth(health, "e1", time_point(1s)).state == endpoint_state::kSuspect);
  CHECK(GetEndpointHealth(health, "e2", time_point(1s)).state == endpoint_state::kLive);
  Tick(health, time_point(32s), rng);
  CHECK(GetEndpointHealth(health, "e1", time_point(32s)).state == endpoint_state::kGone);
  OnEvidence(health, {"e1", evidence_kind::kProbeOk, 1, {}}, time_point(33s), rng);
  CHECK(GetEndpointHealth(health, "e1", time_point(33s)).usable);
}

// Guards against live endpoints that no daemon probes.
TEST_CASE("every live endpoint has two probers in a zone") {
  std::map<std::string, int> probers;
  for (uint32_t rank = 0; rank < 7; ++rank) {
    random_generator rng(rank);
    registry health = MakeRegistry(40);
    SetProberRank(health, rank, 7, time_point(0s));
    for (const std::string& id : Tick(health, time_point(1s), rng).probes) ++probers[id];
  }
  CHECK(probers.size() == 40);
  CHECK(std::ranges::all_of(probers, [](const auto& entry) { return entry.second == 2; }));
}

void ReplayEvent(registry& health, const json& line, random_generator& rng) {
  const time_point now(std::chrono::milliseconds(line["ms"].get<int64_t>()));
  if (line.contains("list")) {
    std::vector<vm_entry> list;
    for (const json& vm : line["list"]) list.push_back({vm[0], vm[1], vm[2]});
    OnVmList(health, list, now);
  }
  if (line.contains("evidence")) {
    const json& fields = line["evidence"];
    const std::string id = fields[0];
    OnEvidence(health, {id, kEvidenceKinds.at(fields[1]), fields[2].get<uint64_t>(), {}}, now, rng);
  }
  if (line.contains("peer")) {
    OnPeerEvidence(health, {line["peer"][0], line["peer"][1], endpoint_state::kLeaving}, now, rng);
  }
}

TEST_CASE("replay of a recorded rolling restart gives the expected usable endpoints") {
  std::ifstream file(BALSAMBAY_TEST_DATA "/rolling_restart.jsonl");
  std::string line_text;
  REQUIRE(std::getline(file, line_text));
  const json header = json::parse(line_text);
  REQUIRE(header["trace_format"] == 1);
  random_generator rng(1);
  registry health;
  std::vector<endpoint_spec> specs;
  for (const json& spec : header["endpoints"]) specs.push_back({spec[0], spec[1], spec[2]});
  SetEndpoints(health, specs, time_point(0s));
  while (std::getline(file, line_text)) {
    INFO(line_text);
    const json line = json::parse(line_text);
    ReplayEvent(health, line, rng);
    json usable = json::array();
    for (const auto& [id, record] : health.records) {
      if (GetEndpointHealth(health, id, time_point(0s)).usable) usable.push_back(id);
    }
    CHECK(usable == line["usable"]);
    if (!line.contains("state")) continue;
    CHECK(
        ToString(GetEndpointHealth(health, std::string(line["state"][0]), time_point(0s)).state) ==
        line["state"][1].get<std::string>());
  }
}

}  // namespace
}  // namespace balsambay::health
