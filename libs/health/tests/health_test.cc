// Properties of endpoint state, and replay of a recorded rolling restart.
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

const std::map<std::string, evidence_kind> kKinds = {
    {"success", evidence_kind::kSuccess},        {"failure", evidence_kind::kFailure},
    {"refused", evidence_kind::kConnectRefused}, {"lost", evidence_kind::kLost},
    {"probe_ok", evidence_kind::kProbeOk},       {"probe_failed", evidence_kind::kProbeFailed},
    {"leaving", evidence_kind::kReportedLeaving}};

std::string Id(size_t index) { return "e" + std::to_string(index); }

// `count` endpoints, each on its own VM, in groups of five.
registry Filled(size_t count, const settings& config = {}) {
  registry health(config);
  std::vector<endpoint_spec> specs;
  for (size_t i = 0; i < count; ++i) {
    specs.push_back({Id(i), "v" + std::to_string(i), "g" + std::to_string(i / 5)});
  }
  SetEndpoints(health, specs, time_point(0s));
  return health;
}

size_t CountUsable(const registry& health, size_t count) {
  size_t usable = 0;
  for (size_t i = 0; i < count; ++i) usable += View(health, Id(i), time_point(0s)).usable ? 1 : 0;
  return usable;
}

// One random input; returns the endpoint and incarnation when it is a statement of leaving.
struct random_input {
  size_t endpoint = 0;
  uint64_t incarnation = 1;
  bool leaving = false;
};

random_input ApplyRandom(registry& health, size_t count, time_point now, random_generator& rng) {
  random_input in{UniformBelow(rng, count), 1 + UniformBelow(rng, 3), false};
  const uint64_t choice = UniformBelow(rng, 9);
  if (choice < 7) {
    const auto kind = static_cast<evidence_kind>(choice);
    in.leaving = kind == evidence_kind::kReportedLeaving;
    OnEvidence(health, {Id(in.endpoint), kind, in.incarnation, {}}, now, rng);
  } else if (choice == 7) {
    in.leaving = UniformBelow(rng, 2) == 0;
    const auto state = in.leaving ? endpoint_state::kLeaving : endpoint_state::kLive;
    OnPeerEvidence(health, {Id(in.endpoint), in.incarnation, state}, now, rng);
  } else {
    in.leaving = UniformBelow(rng, 2) == 0;
    const vm_entry entry{"v" + std::to_string(in.endpoint), in.incarnation, in.leaving};
    OnVmList(health, std::vector{entry}, now);
  }
  return in;
}

// Whether an endpoint was usable in an incarnation in which it had been seen to leave.
bool RevivesAfterLeaving(uint64_t seed, const settings& config) {
  random_generator rng(seed);
  registry health = Filled(6, config);
  std::map<size_t, uint64_t> left;
  for (int step = 0; step < 200; ++step) {
    const time_point now(step * 50ms);
    const random_input in = ApplyRandom(health, 6, now, rng);
    if (in.leaving) left[in.endpoint] = std::max(left[in.endpoint], in.incarnation);
    for (const auto& [endpoint, incarnation] : left) {
      const view seen = View(health, Id(endpoint), now);
      if (seen.usable && seen.incarnation <= incarnation) return true;
    }
  }
  return false;
}

TEST_CASE("a stale live entry never revives an endpoint that left in the same incarnation") {
  rc::prop("random evidence", [](uint64_t seed) { RC_ASSERT(!RevivesAfterLeaving(seed, {})); });
  settings broken;
  broken.test_faults.stale_live_revives = true;
  CHECK(RevivesAfterLeaving(1, broken));
}

// The longest time an endpoint stays usable after it begins to leave, when only probes tell and
// each probe is lost with probability 1/5, but never twice in a row.
duration LongestUseAfterLeaving(uint64_t seed, const settings& config) {
  random_generator rng(seed);
  registry health = Filled(10, config);
  const time_point leaves_at(5s + duration(UniformBelow(rng, 2000000)));
  std::multimap<time_point, std::pair<std::string, bool>> replies;
  std::map<std::string, bool> lost_last;
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
      const bool lost = !lost_last[id] && UniformBelow(rng, 5) == 0;
      lost_last[id] = lost;
      replies.emplace(now + (lost ? config.probe_timeout : duration(2ms)), std::pair(id, lost));
    }
    if (now >= leaves_at && View(health, "e3", now).usable) longest = now - leaves_at;
  }
  return longest;
}

TEST_CASE("a leaving endpoint gets nothing new after 2 s while the platform is away") {
  rc::prop("probes with loss",
           [](uint64_t seed) { RC_ASSERT(LongestUseAfterLeaving(seed, {}) < 2s); });
  settings broken;
  broken.test_faults.ignore_reports = true;
  CHECK(LongestUseAfterLeaving(1, broken) > 2s);
}

// Makes a random part of the endpoints fail; returns the largest fraction that was out of use.
double LargestEjection(uint64_t seed, size_t count, const settings& config) {
  random_generator rng(seed);
  registry health = Filled(count, config);
  const double part = UniformUnit(rng);
  double largest = 0;
  for (int step = 0; step < 400; ++step) {
    const time_point now(step * 20ms);
    const size_t target = UniformBelow(rng, count);
    const bool faulty = static_cast<double>(target) < part * static_cast<double>(count) + 1;
    const auto kind = faulty ? evidence_kind::kConnectRefused : evidence_kind::kSuccess;
    OnEvidence(health, {Id(target), kind, {}, {}}, now, rng);
    Tick(health, now, rng);
    const double unused = static_cast<double>(count - CountUsable(health, count));
    largest = std::max(largest, unused / static_cast<double>(count));
  }
  return largest;
}

TEST_CASE("ejection stays within its fraction; guards against a zone-wide fault that ejects all") {
  rc::prop("random faults", [](uint64_t seed) {
    const size_t count = 2 + seed % 40;
    RC_ASSERT(LargestEjection(seed, count, {}) <= 0.5);
  });
  settings broken;
  broken.test_faults.unbounded_ejection = true;
  CHECK(LargestEjection(3, 20, broken) > 0.5);
}

TEST_CASE(
    "an outlier stays in use when its group has lost its fraction; a dead endpoint does not") {
  random_generator rng(1);
  registry health = Filled(20);
  const auto fail = [&](size_t id, evidence_kind kind) {
    for (int i = 0; i < 3; ++i) OnEvidence(health, {Id(id), kind, {}, {}}, time_point(0s), rng);
  };
  for (size_t id = 0; id < 5; ++id) fail(id, evidence_kind::kFailure);
  CHECK(CountUsable(health, 20) == 18);
  for (size_t id = 0; id < 5; ++id) fail(id, evidence_kind::kConnectRefused);
  CHECK(CountUsable(health, 20) == 15);
}

TEST_CASE("an ejected endpoint is probed, returns and starts slowly") {
  random_generator rng(1);
  registry health = Filled(5);
  const auto out =
      OnEvidence(health, {"e1", evidence_kind::kConnectRefused, {}, {}}, time_point(0s), rng);
  REQUIRE(out.size() == 1);
  CHECK((out[0].to == endpoint_state::kSuspect && !out[0].usable));
  time_point now(0s);
  for (; !View(health, "e1", now).usable && now < time_point(10s); now += 10ms) {
    for (const std::string& id : Tick(health, now, rng).probes) {
      OnEvidence(health, {id, evidence_kind::kProbeOk, 1, {}}, now, rng);
    }
  }
  CHECK(now < time_point(500ms));
  CHECK(View(health, "e1", now).slow_start == Approx(0.1));
  CHECK(View(health, "e1", now + 5s).slow_start == Approx(0.5).margin(0.01));
  CHECK(View(health, "e2", now).slow_start == 1.0);
}

TEST_CASE("a slow endpoint is ejected for the hold time; guards against use of a degraded engine") {
  random_generator rng(1);
  registry health = Filled(5);
  for (int i = 0; i < 20; ++i) {
    for (size_t id = 0; id < 5; ++id) {
      const duration latency = id == 2 ? 500ms : 50ms;
      OnEvidence(health, {Id(id), evidence_kind::kSuccess, {}, latency}, time_point(0s), rng);
    }
  }
  Tick(health, time_point(1s), rng);
  CHECK_FALSE(View(health, "e2", time_point(1s)).usable);
  for (int i = 0; i < 9; ++i) {
    OnEvidence(health, {"e2", evidence_kind::kProbeOk, {}, {}}, time_point(1s) + i * 500ms, rng);
  }
  CHECK_FALSE(View(health, "e2", time_point(5900ms)).usable);
  OnEvidence(health, {"e2", evidence_kind::kProbeOk, {}, {}}, time_point(6s), rng);
  CHECK(View(health, "e2", time_point(6s)).usable);
}

TEST_CASE("a VM missing from a lagging list is not gone while its endpoint answers") {
  random_generator rng(1);
  registry health = Filled(3);
  OnVmList(health, std::vector<vm_entry>{{"v0", 1, false}, {"v1", 1, false}}, time_point(0s));
  OnVmList(health, std::vector<vm_entry>{{"v0", 1, false}}, time_point(1s));
  CHECK(View(health, "e1", time_point(1s)).state == endpoint_state::kSuspect);
  CHECK(View(health, "e2", time_point(1s)).state == endpoint_state::kLive);
  Tick(health, time_point(32s), rng);
  CHECK(View(health, "e1", time_point(32s)).state == endpoint_state::kGone);
  OnEvidence(health, {"e1", evidence_kind::kProbeOk, 1, {}}, time_point(33s), rng);
  CHECK(View(health, "e1", time_point(33s)).usable);
}

TEST_CASE("every live endpoint has two probers in a zone; guards against unprobed endpoints") {
  std::map<std::string, int> probers;
  for (uint32_t rank = 0; rank < 7; ++rank) {
    random_generator rng(rank);
    registry health = Filled(40);
    SetProbeDuty(health, rank, 7, time_point(0s));
    for (const std::string& id : Tick(health, time_point(1s), rng).probes) ++probers[id];
  }
  CHECK(probers.size() == 40);
  CHECK(std::ranges::all_of(probers, [](const auto& entry) { return entry.second == 2; }));
}

void ReplayLine(registry& health, const json& line, random_generator& rng) {
  const time_point now(std::chrono::milliseconds(line["ms"].get<int64_t>()));
  if (line.contains("list")) {
    std::vector<vm_entry> list;
    for (const json& vm : line["list"]) list.push_back({vm[0], vm[1], vm[2]});
    OnVmList(health, list, now);
  }
  if (line.contains("evidence")) {
    const json& item = line["evidence"];
    const std::string id = item[0];
    OnEvidence(health, {id, kKinds.at(item[1]), item[2].get<uint64_t>(), {}}, now, rng);
  }
  if (line.contains("peer")) {
    OnPeerEvidence(health, {line["peer"][0], line["peer"][1], endpoint_state::kLeaving}, now, rng);
  }
}

TEST_CASE("replay of a rolling restart gives the stated usable sets") {
  std::ifstream file(BALSAMBAY_TEST_DATA "/rolling_restart.jsonl");
  std::string text;
  REQUIRE(std::getline(file, text));
  const json header = json::parse(text);
  REQUIRE(header["trace_format"] == 1);
  random_generator rng(1);
  registry health;
  std::vector<endpoint_spec> specs;
  for (const json& spec : header["endpoints"]) specs.push_back({spec[0], spec[1], spec[2]});
  SetEndpoints(health, specs, time_point(0s));
  while (std::getline(file, text)) {
    INFO(text);
    const json line = json::parse(text);
    ReplayLine(health, line, rng);
    json usable = json::array();
    for (const auto& [id, item] : health.records) {
      if (View(health, id, time_point(0s)).usable) usable.push_back(id);
    }
    CHECK(usable == line["usable"]);
    if (!line.contains("state")) continue;
    CHECK(ToString(View(health, std::string(line["state"][0]), time_point(0s)).state) ==
          line["state"][1].get<std::string>());
  }
}

}  // namespace
}  // namespace balsambay::health
