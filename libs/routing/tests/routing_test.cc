// Properties of route choices over random plans and endpoint states.
#include "routing/routing.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace balsambay::routing {
namespace {

constexpr routing_policy kPolicies[] = {routing_policy::kRoundRobin, routing_policy::kLeastInFlight,
                                        routing_policy::kPowerOfTwo, routing_policy::kWeighted};

void AddEndpoint(inventory::configuration& config, const std::string& zone,
                 inventory::layer_range layers, double rate) {
  const std::string id = "e" + std::to_string(100 + config.endpoints.size());
  inventory::endpoint& e = config.endpoints[id];
  e.id = e.vm = id;
  e.zone = zone;
  e.model = "m";
  e.layers = layers;
  e.tokens_per_second = rate;
  e.prefill_tokens_per_second = rate * 10;
}

inventory::configuration EmptyModel(int layers, int zones) {
  inventory::configuration config;
  config.models["m"] = {.layers = layers, .hidden_bytes_per_token = 1000000};
  for (int i = 0; i < zones; ++i) config.zones[std::string(1, static_cast<char>('a' + i))] = {};
  return config;
}

planner::topology RandomTopology() {
  const int layers = *rc::gen::inRange(1, 9);
  inventory::configuration config = EmptyModel(layers, 3);
  for (int n = *rc::gen::inRange(1, 14); n > 0; --n) {
    const int first = *rc::gen::inRange(0, layers);
    const std::string zone(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
    AddEndpoint(config, zone, {first, *rc::gen::inRange(first + 1, layers + 1)},
                *rc::gen::inRange(1, 1000));
  }
  config.links.push_back({"a", "b", 500, static_cast<double>(*rc::gen::inRange(1, 1000))});
  return planner::BuildTopology(config, "m").value();
}

endpoint_view RandomEndpointView() {
  endpoint_view v;
  v.usable = *rc::gen::inRange(0, 5) > 0;
  v.slow_start = *rc::gen::inRange(1, 11) / 10.0;
  v.own_requests = *rc::gen::inRange(0, 40);
  v.reported_requests = *rc::gen::inRange(0, 40);
  if (*rc::gen::arbitrary<bool>()) v.report_age = duration(*rc::gen::inRange(0, 5000000));
  return v;
}

struct scenario {
  planner::topology topo;
  planner::plan plan;
  std::vector<endpoint_view> views;
  std::vector<endpoint_index> excluded;
  std::vector<prefix_hit> hits;
};

// The plan is computed for all endpoints, and some of them are unusable afterwards, so that the
// router must find routes beyond the plan.
scenario RandomScenario() {
  scenario s{.topo = RandomTopology(), .plan = {}, .views = {}, .excluded = {}, .hits = {}};
  s.plan = planner::MakePlan(s.topo, std::vector<uint8_t>(s.topo.endpoints.size(), 1)).value();
  const auto count = static_cast<endpoint_index>(s.topo.endpoints.size());
  for (endpoint_index i = 0; i < count; ++i) s.views.push_back(RandomEndpointView());
  if (*rc::gen::arbitrary<bool>()) s.excluded.push_back(*rc::gen::inRange(0U, count));
  s.hits.push_back({.endpoint = *rc::gen::inRange(0U, count), .tokens = 64});
  return s;
}

bool IsUsable(const scenario& s, endpoint_index e) {
  return s.views[e].usable && std::ranges::find(s.excluded, e) == s.excluded.end();
}

bool IsCovered(const scenario& s) {
  for (int layer = 0; layer < s.topo.model.layers; ++layer) {
    bool held = false;
    for (endpoint_index e = 0; e < s.views.size(); ++e) {
      const auto& range = s.topo.endpoints[e].layers;
      held = held || (IsUsable(s, e) && range.first <= layer && layer < range.end);
    }
    if (!held) return false;
  }
  return true;
}

route_request MakeRequest(const scenario& s) {
  return {
      .prompt_tokens = 500, .output_tokens = 100, .prefix_hits = s.hits, .excluded = s.excluded};
}

// Guards against gaps, overlaps, use of excluded or unusable endpoints, and refusal of a request
// for which a route exists.
TEST_CASE(
    "a route covers each layer once on usable endpoints; no route only if layers are missing") {
  REQUIRE(rc::check([] {
    const scenario s = RandomScenario();
    router r = MakeRouter(s.topo, s.plan, 0);
    random_generator rng(*rc::gen::arbitrary<uint64_t>());
    for (const routing_policy selection_policy : kPolicies) {
      const auto choice = ChooseRoute(r, MakeRequest(s), s.views, selection_policy, rng);
      RC_ASSERT(choice.has_value() == IsCovered(s));
      if (!choice.has_value()) continue;
      RC_ASSERT(planner::ValidateRoute(choice.value().stages, s.topo.model).has_value());
      for (const planner::stage& stage : choice.value().stages) {
        const auto& held = s.topo.endpoints[stage.endpoint].layers;
        RC_ASSERT(IsUsable(s, stage.endpoint));
        RC_ASSERT(held.first <= stage.layers.first && stage.layers.end <= held.end);
      }
      RC_ASSERT(choice.value().estimate.time_to_first_token.count() >= 0);
    }
  }));
}

TEST_CASE("equal seeds and endpoint states give equal routes") {
  REQUIRE(rc::check([] {
    const scenario s = RandomScenario();
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    for (const routing_policy selection_policy : kPolicies) {
      std::vector<planner::route> runs[2];
      for (auto& routes : runs) {
        router r = MakeRouter(s.topo, s.plan, 0);
        random_generator rng(seed);
        for (int i = 0; i < 5; ++i) {
          const auto choice = ChooseRoute(r, MakeRequest(s), s.views, selection_policy, rng);
          routes.push_back(choice.has_value() ? choice.value().stages : planner::route{});
        }
      }
      RC_ASSERT(runs[0] == runs[1]);
    }
  }));
}

// Model of 8 layers in two stages, each on four endpoints with rates 1:2:3:4.
struct two_stages {
  planner::topology topo;
  planner::plan plan;
  std::vector<endpoint_view> views;
};

two_stages MakeTwoStages() {
  inventory::configuration config = EmptyModel(8, 2);
  for (int i = 0; i < 8; ++i) {
    const inventory::layer_range layers =
        i < 4 ? inventory::layer_range{0, 4} : inventory::layer_range{4, 8};
    AddEndpoint(config, i % 2 == 0 ? "a" : "b", layers, 100.0 * (1 + i % 4));
  }
  two_stages setup{.topo = planner::BuildTopology(config, "m").value(), .plan = {}, .views = {}};
  setup.plan = planner::MakePlan(setup.topo, std::vector<uint8_t>(8, 1)).value();
  setup.views.resize(8);
  return setup;
}

std::map<endpoint_index, int> CountUses(router& r, const route_request& request,
                                        std::span<const endpoint_view> views,
                                        routing_policy selection_policy) {
  random_generator rng(11);
  std::map<endpoint_index, int> uses;
  for (int i = 0; i < 4000; ++i) {
    const auto choice = ChooseRoute(r, request, views, selection_policy, rng).value();
    for (const planner::stage& s : choice.stages) ++uses[s.endpoint];
  }
  return uses;
}

// Guards against a router that only uses the routes into which the planner decomposed the flow, or
// that never selects slow endpoints.
TEST_CASE("all endpoints with planned flow are used, also in routes that the plan does not list") {
  const two_stages setup = MakeTwoStages();
  router r = MakeRouter(setup.topo, setup.plan, planner::kNoZone);
  for (const routing_policy selection_policy : kPolicies) {
    const auto uses = CountUses(r, {.output_tokens = 10}, setup.views, selection_policy);
    CHECK(uses.size() == 8);
  }
  random_generator rng(3);
  std::vector<planner::route> routes;
  for (int i = 0; i < 2000; ++i) {
    routes.push_back(
        ChooseRoute(r, {}, setup.views, routing_policy::kWeighted, rng).value().stages);
  }
  std::ranges::sort(routes, {}, [](const planner::route& x) {
    return std::pair(x.front().endpoint, x.back().endpoint);
  });
  routes.erase(std::ranges::unique(routes).begin(), routes.end());
  CHECK(routes.size() > setup.plan.routes.size());
}

TEST_CASE("slow start and high load reduce the requests to an endpoint") {
  two_stages setup = MakeTwoStages();
  router r = MakeRouter(setup.topo, setup.plan, planner::kNoZone);
  const int uses_before = CountUses(r, {}, setup.views, routing_policy::kWeighted)[3];
  setup.views[3].slow_start = 0.1;
  CHECK(CountUses(r, {}, setup.views, routing_policy::kWeighted)[3] < uses_before / 2);
  setup.views[3].slow_start = 1;
  setup.views[3].own_requests = 60;
  CHECK(CountUses(r, {.output_tokens = 10}, setup.views, routing_policy::kWeighted)[3] <
        uses_before / 4);
}

TEST_CASE("a cached prefix attracts requests until its holder is overloaded") {
  two_stages setup = MakeTwoStages();
  router r = MakeRouter(setup.topo, setup.plan, planner::kNoZone);
  const std::vector<prefix_hit> hits = {{0, 2000}, {4, 2000}};
  const route_request request{.prompt_tokens = 2000, .output_tokens = 10, .prefix_hits = hits};
  CHECK(CountUses(r, request, setup.views, routing_policy::kWeighted)[0] > 3000);
  random_generator rng(1);
  CHECK(
      ChooseRoute(r, request, setup.views, routing_policy::kWeighted, rng).value().cached_tokens ==
      2000);
  setup.views[0].own_requests = 200;
  CHECK(CountUses(r, request, setup.views, routing_policy::kWeighted)[0] < 400);
}

TEST_CASE("estimates grow with load and shrink with a cached prefix") {
  two_stages setup = MakeTwoStages();
  const router r = MakeRouter(setup.topo, setup.plan, 0);
  const planner::route stages = {{0, {0, 4}}, {4, {4, 8}}};
  const route_request request{.prompt_tokens = 1000, .output_tokens = 100};
  const route_estimate idle = EstimateRouteLatency(r.graph, stages, request, 0, setup.views);
  CHECK(idle.time_to_first_token == std::chrono::seconds(2));
  CHECK(idle.time_per_token == duration(20'000));
  CHECK(EstimateRouteLatency(r.graph, stages, request, 500, setup.views).time_to_first_token <
        idle.time_to_first_token);
  setup.views[0].own_requests = 20;
  const route_estimate busy = EstimateRouteLatency(r.graph, stages, request, 0, setup.views);
  CHECK(busy.time_per_token > idle.time_per_token);
  CHECK(busy.time_to_first_token > idle.time_to_first_token);
}

TEST_CASE("in-flight estimate gives old reports less weight and counts own requests once") {
  endpoint_view view;
  view.own_requests = 3;
  CHECK(EstimateInFlight(view) == 3);
  view.reported_requests = 10;
  view.report_age = duration(0);
  CHECK(EstimateInFlight(view) == Approx(10));
  view.peer_requests = 1;
  view.peer_summary_age = std::chrono::seconds(0);
  CHECK(EstimateInFlight(view) == 7);
  view.report_age = std::chrono::hours(1);
  CHECK(EstimateInFlight(view) == Approx(4).epsilon(0.01));
}

TEST_CASE("missing layers and a wrong number of endpoint views are reported as errors") {
  two_stages setup = MakeTwoStages();
  router r = MakeRouter(setup.topo, setup.plan, 0);
  random_generator rng(1);
  for (int i = 4; i < 8; ++i) setup.views[i].usable = false;
  const auto missing_layers = ChooseRoute(r, {}, setup.views, routing_policy::kWeighted, rng);
  CHECK(missing_layers.error().code == errc::kUnavailable);
  CHECK(missing_layers.error().detail == "no usable endpoint for layers 4-7");
  const auto wrong_size = ChooseRoute(r, {}, {}, routing_policy::kWeighted, rng);
  CHECK(wrong_size.error().code == errc::kInvalidArgument);
}

// Guards against unbounded growth, and against hits from expired or evicted entries.
TEST_CASE("the prefix table is bounded, expires, and tolerates missing events") {
  prefix_table table{.options = {.max_entries = 100, .lifetime = std::chrono::seconds(10)}};
  const std::vector<uint64_t> hashes =
      HashPrefixBlocks(std::string(kPrefixBlockBytes * 4 + 7, 'x'));
  REQUIRE(hashes.size() == 4);
  const time_point now{};
  RecordCachedPrefix(table, hashes[0], 1, now);
  RecordCachedPrefix(table, hashes[3], 2, now);  // the events for blocks 0 to 2 were lost
  const auto hits = FindPrefixHolders(table, hashes, now);
  REQUIRE(hits.size() == 2);
  CHECK(hits[0].endpoint == 2);
  CHECK(hits[0].tokens == 4 * hits[1].tokens);
  RecordEvictedPrefix(table, hashes[3], 2);
  CHECK(FindPrefixHolders(table, hashes, now).size() == 1);
  CHECK(FindPrefixHolders(table, hashes, now + std::chrono::seconds(10)).empty());
  for (uint64_t i = 0; i < 10'000; ++i) {
    RecordCachedPrefix(table, i % 500, static_cast<endpoint_index>(i % 7), now + duration(i));
  }
  CHECK(table.insertion_order.size() <= 100);
  CHECK(table.holders_by_hash.size() <= 100);
  RemoveEndpoint(table, 3);
  for (const auto& [hash, holders] : table.holders_by_hash) {
    CHECK(std::ranges::count(holders, 3U, &prefix_table::prefix_holder::endpoint) == 0);
  }
}

}  // namespace
}  // namespace balsambay::routing
