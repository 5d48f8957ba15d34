// Tests of placement: memory limits, complete copies, and repair after the loss of engines.
#include "pipeline/placement.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "fleet.h"

namespace balsambay::pipeline {
namespace {

void Apply(std::vector<engine>& engines, const placement_plan& plan) {
  for (size_t i = 0; i < engines.size(); ++i) engines[i].held = plan.ranges[i];
}

// A model of random size with accelerators of random memory; some hold a whole number of layers.
model_spec RandomModel() {
  model_spec model = TestModel();
  model.layers = *rc::gen::inRange(1, 130);
  model.layer_mb = *rc::gen::inRange(1, 4000);
  model.kv_bytes_per_token = *rc::gen::inRange(1000, 2'000'000);
  for (accelerator_kind& kind : model.kinds) {
    const double whole_layers = *rc::gen::inRange(0, model.layers + 2);
    kind.memory_mb = whole_layers * model.layer_mb + *rc::gen::element(0, 1, 300, 20'000);
  }
  return model;
}

// Layers that fit leave memory for KV cache. Computed here independently of CheckOrder().
void AssertFits(const model_spec& model, const engine& target, layer_range range) {
  RC_ASSERT(target.usable);
  RC_ASSERT(range.begin >= 0);
  RC_ASSERT(range.end > range.begin);
  RC_ASSERT(range.end <= model.layers);
  RC_ASSERT(range.Size() * model.layer_mb < model.kinds[target.kind].memory_mb);
}

// Guards against orders that make an engine run out of memory and crash: after a start with too few
// engines for a copy the stage size is unknown (0), and a t4 was ordered to hold the 41 layers of
// an h100 that had crashed.
TEST_CASE("plans, repairs and successors do not exceed the memory of an engine") {
  rc::prop("random fleets", [] {
    const model_spec model = RandomModel();
    const auto engines = RandomEngines(model);
    const placement_plan plan = PlanPlacement(model, engines);
    for (size_t i = 0; i < engines.size(); ++i) {
      if (plan.ranges[i].Size() > 0) AssertFits(model, engines[i], plan.ranges[i]);
    }
    const std::vector<char> all(engines.size(), 1);
    const double tokens_per_stage =
        *rc::gen::element(0.0, 1.0, 60'000.0, plan.tokens_per_stage, StageTokens(model, engines));
    for (const placement_change& change : PlanRepair(model, engines, all, tokens_per_stage)) {
      AssertFits(model, engines[change.engine], change.range);
    }
    for (const engine& lost : engines) {
      if (lost.held.Size() == 0) continue;
      const auto successor = FindSuccessor(
          model, engines, all, {.range = lost.held, .zone = lost.zone, .kind = lost.kind},
          tokens_per_stage);
      if (successor) AssertFits(model, engines[*successor], lost.held);
    }
  });
}

// Guards against the order of the review case: two engines that cannot hold the model come up
// first, so there is no stage size, and a large engine that crashes leaves layers to a small one.
TEST_CASE("a small engine does not take over the layers of a large one without a stage size") {
  const model_spec model = TestModel();
  const std::vector<engine> engines = {MakeEngine("t4", 4, {})};
  const std::vector<char> idle = {1};
  const vacated_layers vacated{.range = {0, 41}, .zone = "a", .kind = 1};
  CHECK(FindSuccessor(model, engines, idle, vacated, 0) == std::nullopt);
}

// Guards against engines that are filled with layers and have no memory left to run requests.
TEST_CASE("without a stage size nothing is repaired") {
  const model_spec model = TestModel();
  const std::vector<engine> engines = {MakeEngine("h100", 1, {}), MakeEngine("t4", 4, {})};
  const std::vector<char> movable(engines.size(), 1);
  CHECK(PlanPlacement(model, engines).tokens_per_stage == 0);
  CHECK(PlanRepair(model, engines, movable, 0).empty());
}

TEST_CASE("a site with mixed accelerators gets complete copies, and each zone can serve alone") {
  const model_spec model = TestModel();
  auto engines = MixedSite();
  const placement_plan plan = PlanPlacement(model, engines);
  CHECK(plan.copies >= 3);
  Apply(engines, plan);
  CHECK(MinCoverageTokens(model, engines) > 0);
  for (const char* zone : {"a", "b", "c"}) {
    // All other zones are lost.
    auto remaining = engines;
    for (engine& candidate : remaining) candidate.usable = candidate.zone == zone;
    CHECK(ChoosePath(model, remaining, {.tokens = 800, .home_zone = zone, .head = {}}).verdict ==
          path_verdict::kFound);
  }
}

// During a rolling release an engine leaves and an empty one joins, which must take over the
// missing layers.
TEST_CASE("an empty engine is assigned the layers with the lowest coverage") {
  const model_spec model = TestModel();
  auto engines = MixedSite();
  const placement_plan plan = PlanPlacement(model, engines);
  Apply(engines, plan);
  const auto replaced = std::ranges::find_if(engines, [](const engine& candidate) {
    return candidate.kind == 3 && candidate.held.Size() > 0;
  });
  const layer_range range = replaced->held;
  replaced->held = {};
  const std::vector<char> movable(engines.size(), 0);
  const auto changes = PlanRepair(model, engines, movable, plan.tokens_per_stage);
  REQUIRE(!changes.empty());
  const bool restored = std::ranges::any_of(changes, [&](const placement_change& change) {
    return change.range.begin < range.end && change.range.end > range.begin;
  });
  CHECK(restored);
}

// Guards against repeated moves of engines while all layers are covered evenly.
TEST_CASE("repair does not change a balanced placement") {
  const model_spec model = TestModel();
  auto engines = MixedSite();
  const placement_plan plan = PlanPlacement(model, engines);
  Apply(engines, plan);
  const std::vector<char> movable(engines.size(), 1);
  for (int round = 0; round < 5; ++round) {
    for (const placement_change& change :
         PlanRepair(model, engines, movable, plan.tokens_per_stage)) {
      engines[change.engine].held = change.range;
    }
  }
  CHECK(PlanRepair(model, engines, movable, plan.tokens_per_stage).empty());
}

// Guards against a large idle engine that takes over the few layers of a crashed small engine and
// leaves most of its memory unused.
TEST_CASE("a large idle engine is not assigned the few layers of a small engine") {
  const model_spec model = TestModel();
  constexpr double kTokensPerStage = 120'000;
  std::vector<engine> engines = {MakeEngine("large", 1, {}), MakeEngine("small", 4, {10, 14})};
  const std::vector<char> idle = {1, 0};
  const vacated_layers vacated{.range = {14, 18}, .zone = "a", .kind = 4};
  CHECK(FindSuccessor(model, engines, idle, vacated, kTokensPerStage) == std::nullopt);
  const auto changes = PlanRepair(model, engines, idle, kTokensPerStage);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].range.Size() >= 20);
  engines[0].kind = 4;
  CHECK(FindSuccessor(model, engines, idle, vacated, kTokensPerStage) == 0U);
}

TEST_CASE("a model that exceeds the memory of all engines is not placed") {
  const model_spec model = TestModel();
  const std::vector<engine> engines = {MakeEngine("e1", 4, {}), MakeEngine("e2", 4, {})};
  const placement_plan plan = PlanPlacement(model, engines);
  CHECK(plan.copies == 0);
}

// Guards against a fleet that just holds the model and gets no layers at all: ten engines of eight
// layers have room for 5,000 tokens in each, half of the usual smallest stage.
TEST_CASE("a fleet that can just hold the model gets a copy with small stages") {
  const model_spec model = TestModel();
  std::vector<engine> engines;
  for (int i = 0; i < 10; ++i) engines.push_back(MakeEngine("e" + std::to_string(i), 4, {}));
  const placement_plan plan = PlanPlacement(model, engines);
  CHECK(plan.copies == 1);
  CHECK(plan.tokens_per_stage == 5000);
  Apply(engines, plan);
  CHECK(MinCoverageTokens(model, engines) > 5000);
}

}  // namespace
}  // namespace balsambay::pipeline
