// Replays a trace of requests, failures and cache events; the trace states which endpoints must,
// may and must not be used.
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "routing/routing.h"

namespace balsambay::routing {
namespace {

using nlohmann::json;

constexpr int kChoices = 400;

// a1 and a2 hold half of the model each, b1 holds all of it; a third of the flow is planned on b1.
planner::topology MakeTopology() {
  inventory::configuration config;
  config.models["m"] = {.layers = 4};
  const auto add = [&](const char* id, const char* zone, inventory::layer_range layers,
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
  add("a1", "a", {0, 2}, 100);
  add("a2", "a", {2, 4}, 100);
  add("b1", "b", {0, 4}, 50);
  return planner::BuildTopology(config, "m").value();
}

struct replay {
  planner::topology topo = MakeTopology();
  planner::plan plan = planner::MakePlan(topo, std::vector<uint8_t>{1, 1, 1}).value();
  router r = MakeRouter(topo, plan, 0);
  std::vector<endpoint_view> views = std::vector<endpoint_view>(3);
  prefix_table prefixes;
  std::vector<uint64_t> hashes = HashPrefixBlocks(std::string(8 * kPrefixBlockBytes, 'p'));
  random_generator rng{5};
};

time_point At(const json& event) { return time_point(std::chrono::seconds(event.value("at", 0))); }

endpoint_index Find(const replay& s, const std::string& id) {
  const auto found = std::ranges::find(s.topo.endpoints, id, &planner::planned_endpoint::id);
  return static_cast<endpoint_index>(found - s.topo.endpoints.begin());
}

// Counts choices by endpoint; an error must be the stated one, each time.
std::map<std::string, int> Choose(replay& s, const json& event, policy how) {
  std::vector<endpoint_index> excluded;
  for (const auto& id : event.value("excluded", json::array())) excluded.push_back(Find(s, id));
  const auto hits = FindHolders(s.prefixes, s.hashes, At(event));
  const route_request request{
      .prompt_tokens = 600, .output_tokens = 20, .prefix_hits = hits, .excluded = excluded};
  std::map<std::string, int> uses;
  for (int i = 0; i < kChoices; ++i) {
    const auto choice = ChooseRoute(s.r, request, s.views, how, s.rng);
    const std::string error = choice.has_value() ? "" : choice.error().detail;
    if (error != event.value("error", "")) FAIL("got error '" << error << "'");
    if (!choice.has_value()) continue;
    REQUIRE(planner::ValidateRoute(choice.value().stages, s.topo.model).has_value());
    for (const auto& st : choice.value().stages) ++uses[s.topo.endpoints[st.endpoint].id];
  }
  return uses;
}

void CheckChoices(replay& s, const json& event) {
  for (const policy how : {policy::kRoundRobin, policy::kLeastInFlight, policy::kPowerOfTwo}) {
    auto uses = Choose(s, event, how);
    for (const auto& id : event.value("avoids", json::array())) CHECK(uses[id] == 0);
  }
  auto uses = Choose(s, event, policy::kWeighted);
  for (const auto& id : event.value("avoids", json::array())) CHECK(uses[id] == 0);
  for (const auto& id : event.value("uses", json::array())) CHECK(uses[id] > 0);
  const json least = event.value("least", json::object());
  const json most = event.value("most", json::object());
  for (const auto& [id, share] : least.items()) {
    CHECK(uses[id] >= kChoices * share.get<double>());
  }
  for (const auto& [id, share] : most.items()) {
    CHECK(uses[id] <= kChoices * share.get<double>());
  }
}

void Apply(replay& s, const json& event) {
  const std::string kind = event["event"];
  if (kind == "choose") return CheckChoices(s, event);
  const endpoint_index e = Find(s, event["endpoint"]);
  if (kind == "cached") RecordCached(s.prefixes, s.hashes.back(), e, At(event));
  if (kind == "evicted") RecordEvicted(s.prefixes, s.hashes.back(), e);
  if (kind == "state") {
    s.views[e].usable = event.value("usable", s.views[e].usable);
    s.views[e].own_requests = event.value("own", s.views[e].own_requests);
  }
}

// Guards against state that leaks from one choice into the next (exclusions, cached prefixes,
// load).
TEST_CASE("a recorded sequence of requests uses the stated endpoints") {
  std::ifstream file(BALSAMBAY_TEST_DATA "/requests.jsonl");
  std::string line;
  REQUIRE(std::getline(file, line));
  REQUIRE(json::parse(line)["trace_format"] == 1);
  replay s;
  int events = 0;
  while (std::getline(file, line)) {
    INFO(line);
    Apply(s, json::parse(line));
    ++events;
  }
  CHECK(events == 18);
}

}  // namespace
}  // namespace balsambay::routing
