// Properties of the quarantine with kSingleCopy, with several daemons that exchange updates
// with a delay, and replay of recorded events.
#include "quarantine/quarantine.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "zone_model.h"

namespace balsambay::quarantine {
namespace {

using nlohmann::json;

int MaxLosses(const zone_model& zone) {
  int result = 0;
  for (const auto& [key, count] : zone.losses) result = std::max(result, count);
  return result;
}

// Whether `check` is true for at least one of 20 seeds.
template <class Check>
bool HoldsForSomeSeed(const zone_settings& config, Check check) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    if (check(*RunZone(seed, config))) return true;
  }
  return false;
}

TEST_CASE("a crashing request that is resent through any daemon crashes at most two endpoints") {
  rc::prop("one client per crashing request", [](uint64_t seed) {
    const auto zone = RunZone(seed, {});
    RC_ASSERT(MaxLosses(*zone) <= 2);
    RC_ASSERT(zone->harmless_completed > 0);
  });
  zone_settings crash_after_token;
  crash_after_token.report_progress = true;
  rc::prop("crash after the first token",
           [&](uint64_t seed) { RC_ASSERT(MaxLosses(*RunZone(seed, crash_after_token)) <= 2); });
  zone_settings without_claims;
  without_claims.table.test_faults.no_claims = true;
  CHECK(
      HoldsForSomeSeed(without_claims, [](const zone_model& zone) { return MaxLosses(zone) > 2; }));
}

TEST_CASE("simultaneous copies crash at most two endpoints, or one per daemon without an update") {
  zone_settings config;
  config.copies = 6;
  rc::prop("copies on several daemons", [&](uint64_t seed) {
    const auto zone = RunZone(seed, config);
    for (const auto& [key, count] : zone->losses) {
      RC_ASSERT(count <= std::max<int>(2, zone->unaware_daemons[key].size()));
    }
  });
  config.daemons = 1;
  rc::prop("copies on one daemon",
           [&](uint64_t seed) { RC_ASSERT(MaxLosses(*RunZone(seed, config)) <= 2); });
  config.table.test_faults.no_claims = true;
  CHECK(HoldsForSomeSeed(config, [](const zone_model& zone) { return MaxLosses(zone) > 2; }));
}

// Guards against harmless requests that are quarantined because they shared endpoints with crashing
// ones.
TEST_CASE("harmless requests on the endpoints of a crashing request are not refused") {
  zone_settings config;
  config.daemons = 1;
  rc::prop("one daemon",
           [&](uint64_t seed) { RC_ASSERT(RunZone(seed, config)->harmless_refused == 0); });
  zone_settings without_isolation = config;
  without_isolation.table.test_faults.no_isolation = true;
  without_isolation.crashing_requests = 12;
  without_isolation.endpoints = 4;
  CHECK(HoldsForSomeSeed(without_isolation,
                         [](const zone_model& zone) { return zone.harmless_refused > 0; }));
}

TEST_CASE("a loss that several daemons report counts once") {
  settings config{.daemon = "d1"};
  const fingerprint key = MakeFingerprint("w", "x");
  const endpoint_instance instance{"e1", 1};
  const auto state_after_merge = [&](const settings& values) {
    table state(values);
    side_effects effects;
    for (const char* peer : {"d2", "d3"}) {
      Merge(state, {peer, key, {instance}, {}, false, claim_kind::kNone, {}}, time_point(1s),
            effects);
    }
    return StateOf(state, key);
  };
  CHECK(state_after_merge(config) == fingerprint_state::kSuspected);
  config.test_faults.no_deduplication = true;
  CHECK(state_after_merge(config) == fingerprint_state::kQuarantined);
}

// Number of table entries after `count` different requests, of which every third loses its
// endpoint.
size_t EntriesAfter(int count, const settings& config) {
  table state(config);
  side_effects effects;
  for (int i = 0; i < count; ++i) {
    const auto id = static_cast<run_id>(i + 1);
    const time_point now = time_point(1s) + i * 1ms;
    Start(state, id, MakeFingerprint("w", std::to_string(i)), now, effects);
    const bool broken = i % 3 == 0;
    const endpoint_instance instance{"e" + std::to_string(i), 1};
    End(state, id, broken ? run_end::kBroken : run_end::kCompleted, instance, now, effects);
    if (broken) ReportLost(state, instance, now, effects);
  }
  return state.entries.size();
}

// Guards against memory use that grows with the number of requests.
TEST_CASE("the table size is bounded and entries expire") {
  settings config{.daemon = "d1", .max_entries = 100};
  CHECK(EntriesAfter(5000, config) <= 100);
  config.test_faults.no_eviction = true;
  CHECK(EntriesAfter(5000, config) > 100);
  table state(settings{.daemon = "d1"});
  side_effects effects;
  const fingerprint key = MakeFingerprint("w", "x");
  const update received{"d2", key, {{"e1", 1}, {"e2", 1}}, {}, false, claim_kind::kNone, {}};
  Merge(state, received, time_point(0s), effects);
  CHECK(Start(state, 1, key, time_point(1s), effects).answer == verdict::kRefuse);
  Tick(state, time_point(11min), effects);
  CHECK(StateOf(state, key) == fingerprint_state::kClear);
  CHECK(state.entries.empty());
}

TEST_CASE("a broken connection is not a loss if the endpoint answers afterwards") {
  table state(settings{.daemon = "d1"});
  side_effects effects;
  const fingerprint key = MakeFingerprint("w", "x");
  Start(state, 1, key, time_point(0s), effects);
  End(state, 1, run_end::kBroken, endpoint_instance{"e1", 1}, time_point(1s), effects);
  CHECK(StateOf(state, key) == fingerprint_state::kSuspected);
  ReportAlive(state, {"e1", 1}, time_point(1100ms), effects);
  CHECK(StateOf(state, key) == fingerprint_state::kClear);
}

TEST_CASE(
    "copies interrupted by one loss restart one at a time, after the first token of the previous") {
  table state(settings{.daemon = "d1"});
  side_effects effects;
  const fingerprint key = MakeFingerprint("w", "popular");
  const endpoint_instance instance{"e1", 1};
  for (run_id id = 1; id <= 10; ++id) {
    CHECK(Start(state, id, key, time_point(0s), effects).answer == verdict::kAllow);
    SetRoute(state, id, std::vector{id <= 5 ? instance : endpoint_instance{"e2", 1}}, effects);
    Progress(state, id, time_point(0s), effects);
  }
  ReportLost(state, instance, time_point(1s), effects);
  for (run_id id = 1; id <= 5; ++id) {
    End(state, id, run_end::kBroken, instance, time_point(1s), effects);
  }
  for (run_id id = 11; id <= 15; ++id) {
    CHECK(Start(state, id, key, time_point(1s), effects).answer == verdict::kAllowIsolated);
    CHECK(Start(state, 99, key, time_point(1s), effects).answer == verdict::kHold);
    Progress(state, id, time_point(1s), effects);
  }
  End(state, 6, run_end::kCompleted, std::nullopt, time_point(1s), effects);
  CHECK(StateOf(state, key) == fingerprint_state::kClear);
}

const std::map<verdict, std::string> kVerdicts = {{verdict::kAllow, "allow"},
                                                  {verdict::kAllowIsolated, "alone"},
                                                  {verdict::kHold, "hold"},
                                                  {verdict::kRefuse, "refuse"}};

fingerprint FingerprintOf(const std::string& name) { return MakeFingerprint("w", name); }

void Apply(table& state, const json& line, time_point now, side_effects& effects) {
  if (line.contains("start")) {
    const decision decided =
        Start(state, line["start"][0], FingerprintOf(line["start"][1]), now, effects);
    CHECK(kVerdicts.at(decided.answer) == line["out"]);
  } else if (line.contains("place")) {
    const endpoint_instance instance{line["place"][1], line["place"][2]};
    SetRoute(state, line["place"][0], std::vector{instance}, effects);
  } else if (line.contains("end")) {
    const json& end = line["end"];
    const bool broken = end[1] == "broken";
    const auto instance =
        broken ? std::optional<endpoint_instance>({end[2], end[3]}) : std::nullopt;
    End(state, end[0], broken ? run_end::kBroken : run_end::kCompleted, instance, now, effects);
  } else if (line.contains("lost")) {
    ReportLost(state, {line["lost"][0], line["lost"][1]}, now, effects);
  } else if (line.contains("peer")) {
    const json& peer_update = line["peer"];
    const std::vector<endpoint_instance> losses = {{peer_update[2], peer_update[3]}};
    Merge(state,
          {peer_update[0], FingerprintOf(peer_update[1]), losses, {}, false, claim_kind::kNone, {}},
          now, effects);
  }
}

TEST_CASE("replay of a recorded crashing request gives the recorded decisions") {
  std::ifstream file(BALSAMBAY_TEST_DATA "/crashing_request.jsonl");
  std::string text;
  REQUIRE(std::getline(file, text));
  const json header = json::parse(text);
  REQUIRE(header["trace_format"] == 1);
  table state(settings{.daemon = header["daemon"]});
  SetHasPeers(state, header["peers"]);
  side_effects effects;
  while (std::getline(file, text)) {
    INFO(text);
    const json line = json::parse(text);
    Apply(state, line, time_point(std::chrono::milliseconds(line["ms"].get<int>())), effects);
    if (line.contains("state")) {
      CHECK(ToString(StateOf(state, FingerprintOf(line["state"][0]))) ==
            line["state"][1].get<std::string>());
    }
    if (line.contains("suspect")) {
      CHECK(HasSuspect(state, line["suspect"][0].get<std::string>()) == line["suspect"][1]);
    }
  }
}

}  // namespace
}  // namespace balsambay::quarantine
