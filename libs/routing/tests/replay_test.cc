// Replays a trace of route choices, endpoint state changes and cache events. The "choose" events of
// the trace name the endpoints that must and must not be used, and limits on their shares.
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "routing/routing.h"

namespace balsambay::routing {
namespace {

using nlohmann::json;

constexpr int kChoicesPerEvent = 400;

// Endpoints a1 and a2 hold one half of the model each, and b1 holds all of it. The plan sends a
// third of the flow to b1.
planner::topology MakeTopology() {
  inventory::configuration config;
  config.models["m"] = {.layers = 4};
  const auto add_endpoint = [&](const char* id, const char* zone, inventory::layer_range layers,
                                double rate) {
    config.zones[zone] = {};
    inventory::endpoint& e = config.endpoints[id];
    e.id = e.vm = id;
    e.zone = zone;
    e.model = "m";
    e.layers = layers;
    e.tokens_per_second = rate;
    e.prefill_tokens_per_second = rate * 10;
  };
  add_endpoint("a1", "a", {0, 2}, 100);
  add_endpoint("a2", "a", {2, 4}, 100);
  add_endpoint("b1", "b", {0, 4}, 50);
  return planner::BuildTopology(config, "m").value();
}

struct replay_state {
  planner::topology topo = MakeTopology();
  planner::plan plan = planner::MakePlan(topo, std::vector<uint8_t>{1, 1, 1}).value();
  router r = MakeRouter(topo, plan, 0);
  std::vector<endpoint_view> views = std::vector<endpoint_view>(3);
  prefix_table prefixes;
  std::vector<uint64_t> hashes = HashPrefixBlocks(std::string(8 * kPrefixBlockBytes, 'p'));
  random_generator rng{5};
};

time_point EventTime(const json& event) {
  return time_point(std::chrono::seconds(event.value("at", 0)));
}

endpoint_index FindEndpoint(const replay_state& state, const std::string& id) {
  const auto found = std::ranges::find(state.topo.endpoints, id, &planner::topology_endpoint::id);
  return static_cast<endpoint_index>(found - state.topo.endpoints.begin());
}

// Chooses routes and returns how many use each endpoint. Each choice must fail with the error text
// of the event, or succeed when the event has none.
std::map<std::string, int> Choose(replay_state& state, const json& event,
                                  routing_policy selection_policy) {
  std::vector<endpoint_index> excluded;
  for (const auto& id : event.value("excluded", json::array())) {
    excluded.push_back(FindEndpoint(state, id));
  }
  const auto hits = FindPrefixHolders(state.prefixes, state.hashes, EventTime(event));
  const route_request request{
      .prompt_tokens = 600, .output_tokens = 20, .prefix_hits = hits, .excluded = excluded};
  std::map<std::string, int> uses;
  for (int i = 0; i < kChoicesPerEvent; ++i) {
    const auto choice = ChooseRoute(state.r, request, state.views, selection_policy, state.rng);
    const std::string error = choice.has_value() ? "" : choice.error().detail;
    if (error != event.value("error", "")) FAIL("got error '" << error << "'");
    if (!choice.has_value()) continue;
    REQUIRE(planner::ValidateRoute(choice.value().stages, state.topo.model).has_value());
    for (const auto& stage : choice.value().stages) ++uses[state.topo.endpoints[stage.endpoint].id];
  }
  return uses;
}

void CheckChoices(replay_state& state, const json& event) {
  for (const routing_policy selection_policy :
       {routing_policy::kRoundRobin, routing_policy::kLeastInFlight, routing_policy::kPowerOfTwo}) {
    auto uses = Choose(state, event, selection_policy);
    for (const auto& id : event.value("avoids", json::array())) CHECK(uses[id] == 0);
  }
  auto uses = Choose(state, event, routing_policy::kWeighted);
  for (const auto& id : event.value("avoids", json::array())) CHECK(uses[id] == 0);
  for (const auto& id : event.value("uses", json::array())) CHECK(uses[id] > 0);
  const json min_shares = event.value("least", json::object());
  const json max_shares = event.value("most", json::object());
  for (const auto& [id, share] : min_shares.items()) {
    CHECK(uses[id] >= kChoicesPerEvent * share.get<double>());
  }
  for (const auto& [id, share] : max_shares.items()) {
    CHECK(uses[id] <= kChoicesPerEvent * share.get<double>());
  }
}

void ApplyEvent(replay_state& state, const json& event) {
  const std::string kind = event["event"];
  if (kind == "choose") return CheckChoices(state, event);
  const endpoint_index e = FindEndpoint(state, event["endpoint"]);
  if (kind == "cached")
    RecordCachedPrefix(state.prefixes, state.hashes.back(), e, EventTime(event));
  if (kind == "evicted") RecordEvictedPrefix(state.prefixes, state.hashes.back(), e);
  if (kind == "state") {
    state.views[e].usable = event.value("usable", state.views[e].usable);
    state.views[e].own_requests = event.value("own", state.views[e].own_requests);
  }
}

// Guards against state that leaks from one choice into the next: exclusions, cached prefixes or
// load.
TEST_CASE("route choices of a recorded trace use the expected endpoints") {
  std::ifstream file(BALSAMBAY_TEST_DATA "/requests.jsonl");
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
  CHECK(events == 18);
}

}  // namespace
}  // namespace balsambay::routing
