// Replays a trace of failures and configuration changes; the trace states the expected bounds and
// cuts, which were computed by hand.
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "planner/planner.h"

namespace balsambay::planner {
namespace {

using nlohmann::json;

// Builds the topology of a "configure" event. Rates of engines are in tokens/s and those of links
// in megabytes/s; the hidden state of a token is one megabyte.
topology BuildConfiguredTopology(const json& event) {
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

struct replay_state {
  topology topo;
  std::vector<uint8_t> usable;
  plan last_plan;
};

void SetUsable(replay_state& state, const std::string& id, uint8_t value) {
  for (size_t i = 0; i < state.usable.size(); ++i) {
    if (state.topo.endpoints[i].id == id) state.usable[i] = value;
  }
}

uint32_t FindZone(const replay_state& state, const json& event) {
  if (!event.contains("only_zone")) return kNoZone;
  const auto found = std::ranges::find(state.topo.zones, event["only_zone"].get<std::string>());
  return static_cast<uint32_t>(found - state.topo.zones.begin());
}

void CheckPlan(replay_state& state, const json& event) {
  const plan p = MakePlan(state.topo, state.usable, {.only_zone = FindZone(state, event)}).value();
  CHECK((p.uncovered_layers.empty() ? "" : FormatLayerRanges(p.uncovered_layers)) ==
        event.value("uncovered", ""));
  CHECK(p.bound == Approx(event.value("bound", 0.0)));
  CHECK(p.planned_tokens_per_second == Approx(event.value("planned", 0.0)).epsilon(0.003));
  CHECK(FormatCut(state.topo, p.cut) == event.value("cut", ""));
  state.last_plan = p;
}

void ApplyEvent(replay_state& state, const json& event) {
  const std::string event_type = event["event"];
  if (event_type == "configure") {
    state.topo = BuildConfiguredTopology(event);
    state.usable.assign(state.topo.endpoints.size(), 1);
  } else if (event_type == "plan") {
    CheckPlan(state, event);
  } else if (event_type == "interim") {
    const plan p = RemoveUnusableRoutes(state.topo, state.last_plan, state.usable);
    CHECK(p.planned_tokens_per_second == Approx(event["planned"].get<double>()).epsilon(0.003));
  } else {
    SetUsable(state, event["endpoint"], event_type == "up" ? 1 : 0);
  }
}

// Guards against plans that are right for a new topology but wrong after a sequence of changes.
TEST_CASE("a recorded sequence of failures gives the expected bounds, cuts and uncovered layers") {
  std::ifstream file(BALSAMBAY_TEST_DATA "/failures.jsonl");
  std::string line;
  REQUIRE(std::getline(file, line));
  REQUIRE(json::parse(line)["trace_format"] == 1);
  replay_state state;
  int events = 0;
  while (std::getline(file, line)) {
    INFO(line);
    ApplyEvent(state, json::parse(line));
    ++events;
  }
  CHECK(events == 17);
}

}  // namespace
}  // namespace balsambay::planner
