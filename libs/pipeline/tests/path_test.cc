// Tests of path selection: coverage of the layers, memory limits, zone crossings and load balance.
#include "pipeline/path.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "fleet.h"

namespace balsambay::pipeline {
namespace {

// Guards against paths that skip, repeat or reorder layers when engines hold arbitrary ranges.
TEST_CASE("a path runs each layer exactly once and in order") {
  rc::prop("random engines", [] {
    const model_spec model = TestModel();
    auto engines = RandomEngines(model);
    const path_choice choice =
        ChoosePath(model, engines, {.tokens = 800, .home_zone = "a", .head = {}});
    if (choice.verdict != path_verdict::kFound) return;
    RC_ASSERT(IsCompletePath(choice.stages, model.layers));
    for (const path_stage& stage : choice.stages) {
      const engine& holder = engines[stage.engine];
      RC_ASSERT(holder.usable);
      RC_ASSERT(stage.range.begin >= holder.held.begin);
      RC_ASSERT(stage.range.end <= holder.held.end);
    }
  });
}

// Guards against a search that misses cheaper paths: an additional engine must not increase the
// estimated time between tokens.
TEST_CASE("an additional engine does not make the selected path slower") {
  rc::prop("random engines, one of them excluded", [] {
    const model_spec model = TestModel();
    const auto engines = RandomEngines(model);
    const auto excluded = *rc::gen::inRange<size_t>(0, engines.size());
    const path_query all{.tokens = 1, .home_zone = "a", .head = {}, .allow_overcommit = true};
    path_query without_excluded = all;
    without_excluded.excluded = {&excluded, 1};
    const path_choice with = ChoosePath(model, engines, all);
    const path_choice without = ChoosePath(model, engines, without_excluded);
    if (without.verdict != path_verdict::kFound) return;
    RC_ASSERT(with.verdict == path_verdict::kFound);
    // A request of one token fills almost no memory, so the cost is nearly equal to the estimate.
    RC_ASSERT(with.token_ms <= without.token_ms + 1e-3);
  });
}

// Guards against admission of requests beyond the memory of an engine, which would preempt running
// requests.
TEST_CASE("no path is found if a layer has no free KV cache or no usable engine") {
  const model_spec model = TestModel();
  std::vector<engine> engines = {MakeEngine("e1", 0, {0, 40}), MakeEngine("e2", 0, {40, 80})};
  const path_query query{.tokens = 800, .home_zone = "a", .head = {}};
  CHECK(ChoosePath(model, engines, query).verdict == path_verdict::kFound);
  engines[1].committed = KvCapacityTokenLayers(model, model.kinds[0], 40) - 800 * 40 + 1;
  CHECK(ChoosePath(model, engines, query).verdict == path_verdict::kNoRoom);
  engines[1].usable = false;
  CHECK(ChoosePath(model, engines, query).verdict == path_verdict::kUncovered);
}

// A model with a bandwidth limit for the link between two zones, which all requests that cross
// zones share.
model_spec ModelWithZoneLink() {
  model_spec model = TestModel();
  model.activation_bytes = 19'700;
  model.zone_link_mbps = 4'720;
  return model;
}

// Guards against paths that occupy the link between zones to save a few ms, and against paths that
// never leave a zone.
TEST_CASE("a path crosses zones if it saves more time than the transfer occupies the zone link") {
  const model_spec model = ModelWithZoneLink();
  const double transfer_ms =
      ZoneTransferMs(model, model.typical_prompt_tokens + model.typical_output_tokens);
  CHECK(transfer_ms == Approx(31.4).margin(0.1));
  const std::vector<engine> engines = {MakeEngine("a1", 0, {0, 40}), MakeEngine("a2", 0, {40, 80}),
                                       MakeEngine("b2", 0, {40, 80}, "b")};
  const path_query query{.tokens = 1, .home_zone = "a", .head = {}};
  // Last engine of the path if a2 takes `added_ms` longer for each token.
  const auto last_engine_with = [&](double added_ms) {
    std::vector<engine> slowed = engines;
    const double normal_ms = kStepWaitFactor * DecodeStepMs(model, model.kinds[0], 40, 1, 0);
    slowed[1].slowdown = 1 + added_ms / normal_ms;
    const path_choice choice = ChoosePath(model, slowed, query);
    REQUIRE(choice.verdict == path_verdict::kFound);
    return engines[choice.stages.back().engine].id;
  };
  CHECK(last_engine_with(0) == "a2");
  CHECK(last_engine_with(transfer_ms) == "a2");
  CHECK(last_engine_with(transfer_ms + 20) == "b2");
}

// If all stages are in another zone, only the caller's data crosses zones, not the activations.
TEST_CASE("a path that lies entirely in another zone does not use the zone link") {
  const model_spec model = ModelWithZoneLink();
  const std::vector<engine> engines = {MakeEngine("a1", 0, {0, 40}),
                                       MakeEngine("b1", 0, {0, 40}, "b"),
                                       MakeEngine("b2", 0, {40, 80}, "b")};
  const path_choice choice =
      ChoosePath(model, engines, {.tokens = 1, .home_zone = "a", .head = {}});
  REQUIRE(choice.stages.size() == 2);
  CHECK(engines[choice.stages.front().engine].id == "b1");
}

// Guards against a burst of requests that fills engines one after another although others hold the
// same layers.
TEST_CASE("a burst is balanced over engines with the same layers") {
  const model_spec model = TestModel();
  std::vector<engine> engines = {MakeEngine("e1", 0, {0, 40}), MakeEngine("e2", 0, {0, 40}),
                                 MakeEngine("e3", 0, {40, 80}), MakeEngine("e4", 0, {40, 80})};
  for (int i = 0; i < 40; ++i) {
    const auto choice = ChoosePath(model, engines, {.tokens = 800, .home_zone = "a", .head = {}});
    REQUIRE(choice.verdict == path_verdict::kFound);
    for (const path_stage& stage : choice.stages) {
      engines[stage.engine].committed += 800.0 * stage.range.Size();
      engines[stage.engine].sequences += 1;
    }
  }
  for (const engine& loaded : engines) CHECK(loaded.sequences == Approx(20).margin(1));
}

// After the loss of an engine, an engine of another copy runs its layers, and the head of the path
// stays.
TEST_CASE("the stage of a lost engine is replaced and the head is kept") {
  const model_spec model = TestModel();
  std::vector<engine> engines = {MakeEngine("h1", 0, {0, 30}), MakeEngine("lost", 0, {30, 80}),
                                 MakeEngine("h2", 0, {0, 25}), MakeEngine("other", 0, {25, 80})};
  engines[1].usable = false;
  const auto choice =
      ChoosePath(model, engines, {.tokens = 800, .home_zone = "a", .head = path_stage{0, {0, 30}}});
  REQUIRE(choice.verdict == path_verdict::kFound);
  CHECK(choice.stages == path{{0, {0, 30}}, {3, {30, 80}}});
}

TEST_CASE("a slow engine is avoided if an engine with the same layers is faster") {
  const model_spec model = TestModel();
  std::vector<engine> engines = {MakeEngine("e1", 0, {0, 80}), MakeEngine("e2", 0, {0, 80})};
  engines[0].slowdown = 4;
  const auto choice = ChoosePath(model, engines, {.tokens = 10, .home_zone = "a", .head = {}});
  REQUIRE(choice.verdict == path_verdict::kFound);
  CHECK(choice.stages.front().engine == 1);
}

// A zone continues to serve with its own engines during a network partition.
TEST_CASE("engines in the caller's zone are preferred at equal load") {
  const model_spec model = TestModel();
  std::vector<engine> engines = {MakeEngine("e1", 0, {0, 80}, "b"),
                                 MakeEngine("e2", 0, {0, 80}, "a")};
  const auto choice = ChoosePath(model, engines, {.tokens = 10, .home_zone = "a", .head = {}});
  CHECK(choice.stages.front().engine == 1);
}

TEST_CASE("an engine without a free slot is not selected as head") {
  model_spec model = TestModel();
  model.slots = 2;
  std::vector<engine> engines = {MakeEngine("e1", 0, {0, 80})};
  engines[0].head_requests = 2;
  const auto choice = ChoosePath(model, engines, {.tokens = 10, .home_zone = "a", .head = {}});
  CHECK(choice.verdict == path_verdict::kNoRoom);
}

}  // namespace
}  // namespace balsambay::pipeline
