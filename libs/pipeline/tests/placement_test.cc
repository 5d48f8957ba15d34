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

// Guards against plans that make an engine run out of memory and crash.
TEST_CASE("plans and repairs do not exceed the memory of an engine") {
  rc::prop("random engines", [] {
    const model_spec model = TestModel();
    auto engines = RandomEngines(model);
    const placement_plan plan = PlanPlacement(model, engines);
    for (size_t i = 0; i < engines.size(); ++i) {
      const layer_range range = plan.ranges[i];
      if (range.Size() == 0) continue;
      RC_ASSERT(engines[i].usable);
      RC_ASSERT(range.begin >= 0);
      RC_ASSERT(range.end <= model.layers);
      RC_ASSERT(KvCapacityTokenLayers(model, model.kinds[engines[i].kind], range.Size()) > 0);
    }
    const std::vector<char> movable(engines.size(), 1);
    for (const placement_change& change : PlanRepair(model, engines, movable, 60'000)) {
      RC_ASSERT(engines[change.engine].usable);
      RC_ASSERT(KvCapacityTokenLayers(model, model.kinds[engines[change.engine].kind],
                                      change.range.Size()) > 0);
    }
  });
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

}  // namespace
}  // namespace balsambay::pipeline
