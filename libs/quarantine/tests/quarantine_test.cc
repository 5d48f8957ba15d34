// Properties of the quarantine with several daemons that exchange losses late, and replay.
#include "quarantine/quarantine.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "zone_model.h"

namespace balsambay::quarantine {
namespace {

using nlohmann::json;

int MostLosses(const zone_model& zone) {
  int most = 0;
  for (const auto& [key, count] : zone.losses) most = std::max(most, count);
  return most;
}

template <class Check>
bool AnySeed(const zone_settings& config, Check check) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    if (check(*RunZone(seed, config))) return true;
  }
  return false;
}

TEST_CASE("a crashing request that is sent again through any daemon loses at most two endpoints") {
  rc::prop("one caller each", [](uint64_t seed) {
    const auto zone = RunZone(seed, {});
    RC_ASSERT(MostLosses(*zone) <= 2);
    RC_ASSERT(zone->innocents_done > 0);
  });
  zone_settings late;
  late.tokens = true;
  rc::prop("crash after the first token",
           [&](uint64_t seed) { RC_ASSERT(MostLosses(*RunZone(seed, late)) <= 2); });
  zone_settings broken;
  broken.table.test_faults.no_claims = true;
  CHECK(AnySeed(broken, [](const zone_model& zone) { return MostLosses(zone) > 2; }));
}

TEST_CASE("simultaneous copies lose two endpoints, or one for each daemon that knew nothing yet") {
  zone_settings config;
  config.copies = 6;
  rc::prop("copies", [&](uint64_t seed) {
    const auto zone = RunZone(seed, config);
    for (const auto& [key, count] : zone->losses) {
      RC_ASSERT(count <= std::max<int>(2, zone->unaware[key].size()));
    }
  });
  config.daemons = 1;
  rc::prop("copies on one daemon",
           [&](uint64_t seed) { RC_ASSERT(MostLosses(*RunZone(seed, config)) <= 2); });
  config.table.test_faults.no_claims = true;
  CHECK(AnySeed(config, [](const zone_model& zone) { return MostLosses(zone) > 2; }));
}

TEST_CASE("innocent neighbours are not refused; guards against blame for sharing an endpoint") {
  zone_settings config;
  config.daemons = 1;
  rc::prop("one daemon",
           [&](uint64_t seed) { RC_ASSERT(RunZone(seed, config)->innocents_refused == 0); });
  zone_settings shared = config;
  shared.table.test_faults.no_isolation = true;
  shared.crashers = 12;
  shared.endpoints = 4;
  CHECK(AnySeed(shared, [](const zone_model& zone) { return zone.innocents_refused > 0; }));
}

TEST_CASE("one loss that several daemons report counts once") {
  settings config{.daemon = "d1"};
  const fingerprint key = MakeFingerprint("w", "x");
  const endpoint_life instance{"e1", 1};
  const auto merged = [&](const settings& values) {
    table state(values);
    outputs out;
    for (const char* peer : {"d2", "d3"}) {
      Merge(state, {peer, key, {instance}, {}, false, claim_kind::kNone, {}}, time_point(1s), out);
    }
    return StateOf(state, key);
  };
  CHECK(merged(config) == fingerprint_state::kSuspected);
  config.test_faults.no_deduplication = true;
  CHECK(merged(config) == fingerprint_state::kQuarantined);
}

// Entries after `count` different requests, some of which break their connection.
size_t EntriesAfter(int count, const settings& config) {
  table state(config);
  outputs out;
  for (int i = 0; i < count; ++i) {
    const auto id = static_cast<run_id>(i + 1);
    const time_point now = time_point(1s) + i * 1ms;
    Start(state, id, MakeFingerprint("w", std::to_string(i)), now, out);
    const bool broken = i % 3 == 0;
    const endpoint_life instance{"e" + std::to_string(i), 1};
    End(state, id, broken ? run_end::kBroken : run_end::kCompleted, instance, now, out);
    if (broken) Lost(state, instance, now, out);
  }
  return state.entries.size();
}

TEST_CASE("the table is bounded and forgets; guards against memory that grows with requests") {
  settings config{.daemon = "d1", .max_entries = 100};
  CHECK(EntriesAfter(5000, config) <= 100);
  config.test_faults.no_eviction = true;
  CHECK(EntriesAfter(5000, config) > 100);
  table state(settings{.daemon = "d1"});
  outputs out;
  const fingerprint key = MakeFingerprint("w", "x");
  const update report{"d2", key, {{"e1", 1}, {"e2", 1}}, {}, false, claim_kind::kNone, {}};
  Merge(state, report, time_point(0s), out);
  CHECK(Start(state, 1, key, time_point(1s), out).answer == verdict::kRefuse);
  Tick(state, time_point(11min), out);
  CHECK(StateOf(state, key) == fingerprint_state::kClear);
  CHECK(state.entries.empty());
}

TEST_CASE("a broken link is no loss: the fingerprint is clear once the endpoint answers") {
  table state(settings{.daemon = "d1"});
  outputs out;
  const fingerprint key = MakeFingerprint("w", "x");
  Start(state, 1, key, time_point(0s), out);
  End(state, 1, run_end::kBroken, endpoint_life{"e1", 1}, time_point(1s), out);
  CHECK(StateOf(state, key) == fingerprint_state::kSuspected);
  Alive(state, {"e1", 1}, time_point(1100ms), out);
  CHECK(StateOf(state, key) == fingerprint_state::kClear);
}

TEST_CASE(
    "copies that were interrupted together start one after the other within the first token") {
  table state(settings{.daemon = "d1"});
  outputs out;
  const fingerprint key = MakeFingerprint("w", "popular");
  const endpoint_life instance{"e1", 1};
  for (run_id id = 1; id <= 10; ++id) {
    CHECK(Start(state, id, key, time_point(0s), out).answer == verdict::kAllow);
    Place(state, id, std::vector{id <= 5 ? instance : endpoint_life{"e2", 1}}, out);
    Progress(state, id, time_point(0s), out);
  }
  Lost(state, instance, time_point(1s), out);
  for (run_id id = 1; id <= 5; ++id) {
    End(state, id, run_end::kBroken, instance, time_point(1s), out);
  }
  for (run_id id = 11; id <= 15; ++id) {
    CHECK(Start(state, id, key, time_point(1s), out).answer == verdict::kAllowAlone);
    CHECK(Start(state, 99, key, time_point(1s), out).answer == verdict::kHold);
    Progress(state, id, time_point(1s), out);
  }
  End(state, 6, run_end::kCompleted, std::nullopt, time_point(1s), out);
  CHECK(StateOf(state, key) == fingerprint_state::kClear);
}

const std::map<verdict, std::string> kVerdicts = {{verdict::kAllow, "allow"},
                                                  {verdict::kAllowAlone, "alone"},
                                                  {verdict::kHold, "hold"},
                                                  {verdict::kRefuse, "refuse"}};

fingerprint KeyOf(const std::string& name) { return MakeFingerprint("w", name); }

void Apply(table& state, const json& line, time_point now, outputs& out) {
  if (line.contains("start")) {
    const decision decided = Start(state, line["start"][0], KeyOf(line["start"][1]), now, out);
    CHECK(kVerdicts.at(decided.answer) == line["out"]);
  } else if (line.contains("place")) {
    const endpoint_life instance{line["place"][1], line["place"][2]};
    Place(state, line["place"][0], std::vector{instance}, out);
  } else if (line.contains("end")) {
    const json& end = line["end"];
    const bool broken = end[1] == "broken";
    const auto instance = broken ? std::optional<endpoint_life>({end[2], end[3]}) : std::nullopt;
    End(state, end[0], broken ? run_end::kBroken : run_end::kCompleted, instance, now, out);
  } else if (line.contains("lost")) {
    Lost(state, {line["lost"][0], line["lost"][1]}, now, out);
  } else if (line.contains("peer")) {
    const json& from = line["peer"];
    const std::vector<endpoint_life> losses = {{from[2], from[3]}};
    Merge(state, {from[0], KeyOf(from[1]), losses, {}, false, claim_kind::kNone, {}}, now, out);
  }
}

TEST_CASE("replay of a crashing request gives the stated decisions") {
  std::ifstream file(BALSAMBAY_TEST_DATA "/crashing_request.jsonl");
  std::string text;
  REQUIRE(std::getline(file, text));
  const json header = json::parse(text);
  REQUIRE(header["trace_format"] == 1);
  table state(settings{.daemon = header["daemon"]});
  SetHasPeers(state, header["peers"]);
  outputs out;
  while (std::getline(file, text)) {
    INFO(text);
    const json line = json::parse(text);
    Apply(state, line, time_point(std::chrono::milliseconds(line["ms"].get<int>())), out);
    if (line.contains("state")) {
      CHECK(ToString(StateOf(state, KeyOf(line["state"][0]))) ==
            line["state"][1].get<std::string>());
    }
    if (line.contains("suspect")) {
      CHECK(HasSuspect(state, line["suspect"][0].get<std::string>()) == line["suspect"][1]);
    }
  }
}

}  // namespace
}  // namespace balsambay::quarantine
