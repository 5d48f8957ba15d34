// Replays traces of failures and changes; the expected bounds and cuts were worked out by hand.
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "planner/planner.h"

namespace balsambay::planner {
namespace {

using nlohmann::json;

// Rates are tokens/s; links are in megabytes/s, and a hidden state is one megabyte.
topology Configure(const json& event) {
  inventory::configuration config;
  config.models["m"] = {.layers = event["layers"], .hidden_bytes_per_token = 1000000};
  for (const json& e : event["engines"]) {
    inventory::endpoint engine;
    engine.id = engine.vm = e[0];
    engine.zone = e[1];
    engine.model = "m";
    engine.layers = {e[2], e[3]};
    engine.tokens_per_second = engine.prefill_tokens_per_second = e[4];
    config.zones[engine.zone] = {};
    config.endpoints[engine.id] = engine;
  }
  for (const json& l : event["links"]) config.links.push_back({l[0], l[1], 500, l[2]});
  return BuildTopology(config, "m").value();
}

struct replay {
  topology topo;
  std::vector<uint8_t> usable;
  plan last;
};

void SetUsable(replay& r, const std::string& id, uint8_t value) {
  for (size_t i = 0; i < r.usable.size(); ++i) {
    if (r.topo.endpoints[i].id == id) r.usable[i] = value;
  }
}

uint32_t FindZone(const replay& r, const json& event) {
  if (!event.contains("only_zone")) return kNoZone;
  const auto found = std::ranges::find(r.topo.zones, event["only_zone"].get<std::string>());
  return static_cast<uint32_t>(found - r.topo.zones.begin());
}

void CheckPlan(replay& r, const json& event) {
  const plan p = MakePlan(r.topo, r.usable, {.only_zone = FindZone(r, event)}).value();
  CHECK((p.uncovered.empty() ? "" : DescribeLayers(p.uncovered)) == event.value("uncovered", ""));
  CHECK(p.bound == Approx(event.value("bound", 0.0)));
  CHECK(p.planned_tokens_per_second == Approx(event.value("planned", 0.0)).epsilon(0.003));
  CHECK(DescribeCut(r.topo, p.cut) == event.value("cut", ""));
  r.last = p;
}

void Apply(replay& r, const json& event) {
  const std::string kind = event["event"];
  if (kind == "configure") {
    r.topo = Configure(event);
    r.usable.assign(r.topo.endpoints.size(), 1);
  } else if (kind == "plan") {
    CheckPlan(r, event);
  } else if (kind == "interim") {
    const plan p = WithoutUnusable(r.topo, r.last, r.usable);
    CHECK(p.planned_tokens_per_second == Approx(event["planned"].get<double>()).epsilon(0.003));
  } else {
    SetUsable(r, event["endpoint"], kind == "up" ? 1 : 0);
  }
}

// Guards against plans that are wrong after a sequence of changes, not only from a fresh state.
TEST_CASE("a recorded sequence of failures gives the stated bounds, cuts and missing layers") {
  std::ifstream file(BALSAMBAY_TEST_DATA "/failures.jsonl");
  std::string line;
  REQUIRE(std::getline(file, line));
  REQUIRE(json::parse(line)["trace_format"] == 1);
  replay r;
  int events = 0;
  while (std::getline(file, line)) {
    INFO(line);
    Apply(r, json::parse(line));
    ++events;
  }
  CHECK(events == 17);
}

}  // namespace
}  // namespace balsambay::planner
