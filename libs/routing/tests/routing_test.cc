// Properties of route choices over random plans and endpoint states.
#include "routing/routing.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace balsambay::routing {
namespace {

constexpr policy kPolicies[] = {policy::kRoundRobin, policy::kLeastInFlight, policy::kPowerOfTwo,
                                policy::kWeighted};

void AddEngine(inventory::configuration& config, const std::string& zone,
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
  for (int z = 0; z < zones; ++z) config.zones[std::string(1, static_cast<char>('a' + z))] = {};
  return config;
}

planner::topology RandomTopology() {
  const int layers = *rc::gen::inRange(1, 9);
  inventory::configuration config = EmptyModel(layers, 3);
  for (int n = *rc::gen::inRange(1, 14); n > 0; --n) {
    const int first = *rc::gen::inRange(0, layers);
    const std::string zone(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
    AddEngine(config, zone, {first, *rc::gen::inRange(first + 1, layers + 1)},
              *rc::gen::inRange(1, 1000));
  }
  config.links.push_back({"a", "b", 500, static_cast<double>(*rc::gen::inRange(1, 1000))});
  return planner::BuildTopology(config, "m").value();
}

endpoint_view RandomView() {
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

// The plan is made before endpoints became unusable, so that the router must deal with the
// difference.
scenario RandomScenario() {
  scenario s{.topo = RandomTopology(), .plan = {}, .views = {}, .excluded = {}, .hits = {}};
  s.plan = planner::MakePlan(s.topo, std::vector<uint8_t>(s.topo.endpoints.size(), 1)).value();
  const auto count = static_cast<endpoint_index>(s.topo.endpoints.size());
  for (endpoint_index i = 0; i < count; ++i) s.views.push_back(RandomView());
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

route_request Request(const scenario& s) {
  return {
      .prompt_tokens = 500, .output_tokens = 100, .prefix_hits = s.hits, .excluded = s.excluded};
}

// Guards against gaps, overlaps, use of excluded or unusable endpoints, and refusal of a request
// that some route could serve.
TEST_CASE(
    "each choice covers the layers once on usable endpoints, and fails only when none exists") {
  REQUIRE(rc::check([] {
    const scenario s = RandomScenario();
    router r = MakeRouter(s.topo, s.plan, 0);
    random_generator rng(*rc::gen::arbitrary<uint64_t>());
    for (const policy how : kPolicies) {
      const auto choice = ChooseRoute(r, Request(s), s.views, how, rng);
      RC_ASSERT(choice.has_value() == IsCovered(s));
      if (!choice.has_value()) continue;
      RC_ASSERT(planner::ValidateRoute(choice.value().stages, s.topo.model).has_value());
      for (const planner::stage& st : choice.value().stages) {
        const auto& held = s.topo.endpoints[st.endpoint].layers;
        RC_ASSERT(IsUsable(s, st.endpoint));
        RC_ASSERT(held.first <= st.layers.first && st.layers.end <= held.end);
      }
      RC_ASSERT(choice.value().estimate.time_to_first_token.count() >= 0);
    }
  }));
}

TEST_CASE("equal seeds give equal choices") {
  REQUIRE(rc::check([] {
    const scenario s = RandomScenario();
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    for (const policy how : kPolicies) {
      std::vector<planner::route> runs[2];
      for (auto& run : runs) {
        router r = MakeRouter(s.topo, s.plan, 0);
        random_generator rng(seed);
        for (int i = 0; i < 5; ++i) {
          const auto choice = ChooseRoute(r, Request(s), s.views, how, rng);
          run.push_back(choice.has_value() ? choice.value().stages : planner::route{});
        }
      }
      RC_ASSERT(runs[0] == runs[1]);
    }
  }));
}

// Two stages, four engines for each, with rates 1:2:3:4.
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
    AddEngine(config, i % 2 == 0 ? "a" : "b", layers, 100.0 * (1 + i % 4));
  }
  two_stages t{.topo = planner::BuildTopology(config, "m").value(), .plan = {}, .views = {}};
  t.plan = planner::MakePlan(t.topo, std::vector<uint8_t>(8, 1)).value();
  t.views.resize(8);
  return t;
}

std::map<endpoint_index, int> CountUses(router& r, const route_request& request,
                                        std::span<const endpoint_view> views, policy how) {
  random_generator rng(11);
  std::map<endpoint_index, int> uses;
  for (int i = 0; i < 4000; ++i) {
    const auto choice = ChooseRoute(r, request, views, how, rng).value();
    for (const planner::stage& s : choice.stages) ++uses[s.endpoint];
  }
  return uses;
}

// Guards against a router that only replays decomposed routes or starves slow engines.
TEST_CASE(
    "every usable endpoint with flow is used, and combinations beyond the decomposition occur") {
  const two_stages t = MakeTwoStages();
  router r = MakeRouter(t.topo, t.plan, planner::kNoZone);
  for (const policy how : kPolicies) {
    const auto uses = CountUses(r, {.output_tokens = 10}, t.views, how);
    CHECK(uses.size() == 8);
  }
  random_generator rng(3);
  std::vector<planner::route> seen;
  for (int i = 0; i < 2000; ++i) {
    seen.push_back(ChooseRoute(r, {}, t.views, policy::kWeighted, rng).value().stages);
  }
  std::ranges::sort(seen, {}, [](const planner::route& x) {
    return std::pair(x.front().endpoint, x.back().endpoint);
  });
  seen.erase(std::ranges::unique(seen).begin(), seen.end());
  CHECK(seen.size() > t.plan.routes.size());
}

TEST_CASE("slow start and load move requests to other endpoints") {
  two_stages t = MakeTwoStages();
  router r = MakeRouter(t.topo, t.plan, planner::kNoZone);
  const int before = CountUses(r, {}, t.views, policy::kWeighted)[3];
  t.views[3].slow_start = 0.1;
  CHECK(CountUses(r, {}, t.views, policy::kWeighted)[3] < before / 2);
  t.views[3].slow_start = 1;
  t.views[3].own_requests = 60;
  CHECK(CountUses(r, {.output_tokens = 10}, t.views, policy::kWeighted)[3] < before / 4);
}

TEST_CASE("a cached prefix attracts requests until its holder is overloaded") {
  two_stages t = MakeTwoStages();
  router r = MakeRouter(t.topo, t.plan, planner::kNoZone);
  const std::vector<prefix_hit> hits = {{0, 2000}, {4, 2000}};
  const route_request request{.prompt_tokens = 2000, .output_tokens = 10, .prefix_hits = hits};
  CHECK(CountUses(r, request, t.views, policy::kWeighted)[0] > 3000);
  random_generator rng(1);
  CHECK(ChooseRoute(r, request, t.views, policy::kWeighted, rng).value().cached_tokens == 2000);
  t.views[0].own_requests = 200;
  CHECK(CountUses(r, request, t.views, policy::kWeighted)[0] < 400);
}

TEST_CASE("estimates grow with load and shrink with a cached prefix") {
  two_stages t = MakeTwoStages();
  const router r = MakeRouter(t.topo, t.plan, 0);
  const planner::route stages = {{0, {0, 4}}, {4, {4, 8}}};
  const route_request request{.prompt_tokens = 1000, .output_tokens = 100};
  const route_estimate idle = EstimateRoute(r.graph, stages, request, 0, t.views);
  CHECK(idle.time_to_first_token == std::chrono::seconds(2));
  CHECK(idle.time_per_token == duration(20'000));
  CHECK(EstimateRoute(r.graph, stages, request, 500, t.views).time_to_first_token <
        idle.time_to_first_token);
  t.views[0].own_requests = 20;
  const route_estimate busy = EstimateRoute(r.graph, stages, request, 0, t.views);
  CHECK(busy.time_per_token > idle.time_per_token);
  CHECK(busy.time_to_first_token > idle.time_to_first_token);
}

TEST_CASE("old reports count less and own requests are not counted twice") {
  endpoint_view view;
  view.own_requests = 3;
  CHECK(EstimateInFlight(view) == 3);
  view.reported_requests = 10;
  view.report_age = duration(0);
  CHECK(EstimateInFlight(view) == Approx(10));
  view.peer_requests = 1;
  view.peer_age = std::chrono::seconds(0);
  CHECK(EstimateInFlight(view) == 7);
  view.report_age = std::chrono::hours(1);
  CHECK(EstimateInFlight(view) == Approx(4).epsilon(0.01));
}

TEST_CASE("missing layers and wrong sizes are errors with the cause") {
  two_stages t = MakeTwoStages();
  router r = MakeRouter(t.topo, t.plan, 0);
  random_generator rng(1);
  for (int i = 4; i < 8; ++i) t.views[i].usable = false;
  const auto lost = ChooseRoute(r, {}, t.views, policy::kWeighted, rng);
  CHECK(lost.error().code == errc::kUnavailable);
  CHECK(lost.error().detail == "no usable endpoint for layers 4-7");
  const auto wrong = ChooseRoute(r, {}, {}, policy::kWeighted, rng);
  CHECK(wrong.error().code == errc::kInvalidArgument);
}

// Guards against unbounded growth and against hits from expired or withdrawn entries.
TEST_CASE("the prefix table is bounded, expires, and tolerates missing events") {
  prefix_table table{.options = {.max_entries = 100, .lifetime = std::chrono::seconds(10)}};
  const std::vector<uint64_t> hashes =
      HashPrefixBlocks(std::string(kPrefixBlockBytes * 4 + 7, 'x'));
  REQUIRE(hashes.size() == 4);
  const time_point start{};
  RecordCached(table, hashes[0], 1, start);
  RecordCached(table, hashes[3], 2, start);  // the events for blocks 0 to 2 were lost
  const auto hits = FindHolders(table, hashes, start);
  REQUIRE(hits.size() == 2);
  CHECK(hits[0].endpoint == 2);
  CHECK(hits[0].tokens == 4 * hits[1].tokens);
  RecordEvicted(table, hashes[3], 2);
  CHECK(FindHolders(table, hashes, start).size() == 1);
  CHECK(FindHolders(table, hashes, start + std::chrono::seconds(10)).empty());
  for (uint64_t i = 0; i < 10'000; ++i) {
    RecordCached(table, i % 500, static_cast<endpoint_index>(i % 7), start + duration(i));
  }
  CHECK(table.order.size() <= 100);
  CHECK(table.holders.size() <= 100);
  ForgetEndpoint(table, 3);
  for (const auto& [hash, holders] : table.holders) {
    CHECK(std::ranges::count(holders, 3U, &prefix_table::holder::endpoint) == 0);
  }
}

}  // namespace
}  // namespace balsambay::routing
