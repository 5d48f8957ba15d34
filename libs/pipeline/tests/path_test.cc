// Choice of paths: every layer once and in order, memory never exceeded, load spread.
#include "pipeline/path.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "fleet.h"

namespace balsambay::pipeline {
namespace {

// Guards against paths that skip, repeat or reorder layers, whatever the ranges held.
TEST_CASE("any path covers each layer once") {
  rc::prop("random ranges", [] {
    const model_spec model = TestModel();
    auto engines = RandomEngines(model);
    const path_choice choice =
        ChoosePath(model, engines, {.tokens = 800, .home_zone = "a", .head = {}});
    if (choice.verdict != path_verdict::kFound) return;
    RC_ASSERT(CoversOnce(choice.stages, model.layers));
    for (const path_stage& stage : choice.stages) {
      const engine& item = engines[stage.engine];
      RC_ASSERT(item.usable);
      RC_ASSERT(stage.range.begin >= item.held.begin);
      RC_ASSERT(stage.range.end <= item.held.end);
    }
  });
}

// Guards against a search that misses cheaper paths: more engines never make the estimate worse.
TEST_CASE("further engines never make the best path slower") {
  rc::prop("any engine left out", [] {
    const model_spec model = TestModel();
    const auto engines = RandomEngines(model);
    const auto left_out = *rc::gen::inRange<size_t>(0, engines.size());
    const path_query all{.tokens = 1, .home_zone = "a", .head = {}, .ignore_room = true};
    path_query fewer = all;
    fewer.excluded = {&left_out, 1};
    const path_choice with = ChoosePath(model, engines, all);
    const path_choice without = ChoosePath(model, engines, fewer);
    if (without.verdict != path_verdict::kFound) return;
    RC_ASSERT(with.verdict == path_verdict::kFound);
    // Memory takes nearly nothing here, so the estimate is what is minimised.
    RC_ASSERT(with.token_ms <= without.token_ms + 1e-3);
  });
}

// Guards against admission beyond the memory of an engine, which preempts running requests.
TEST_CASE("no path is found when a layer has no room") {
  const model_spec model = TestModel();
  std::vector<engine> engines = {MakeEngine("e1", 0, {0, 40}), MakeEngine("e2", 0, {40, 80})};
  const path_query query{.tokens = 800, .home_zone = "a", .head = {}};
  CHECK(ChoosePath(model, engines, query).verdict == path_verdict::kFound);
  engines[1].committed = KvTokenLayers(model, model.kinds[0], 40) - 800 * 40 + 1;
  CHECK(ChoosePath(model, engines, query).verdict == path_verdict::kNoRoom);
  engines[1].usable = false;
  CHECK(ChoosePath(model, engines, query).verdict == path_verdict::kUncovered);
}

// The pipe between two zones is shared by all requests that cross there.
model_spec ModelWithPipe() {
  model_spec model = TestModel();
  model.activation_bytes = 19'700;
  model.zone_pipe_mbps = 4'720;
  return model;
}

// Guards against paths that fill the pipe to win a few ms, and against paths that stay inside a
// zone at any price.
TEST_CASE("a path crosses zones where that saves more than it keeps the pipe") {
  const model_spec model = ModelWithPipe();
  const double pipe_ms = PipeMs(model, model.usual_prompt_tokens + model.usual_answer_tokens);
  CHECK(pipe_ms == Approx(31.4).margin(0.1));
  const std::vector<engine> engines = {MakeEngine("a1", 0, {0, 40}), MakeEngine("a2", 0, {40, 80}),
                                       MakeEngine("b2", 0, {40, 80}, "b")};
  const path_query query{.tokens = 1, .home_zone = "a", .head = {}};
  const auto last_with = [&](double added_ms) {
    std::vector<engine> slowed = engines;
    const double usual = kPassWaitFactor * StepMs(model, model.kinds[0], 40, 1, 0);
    slowed[1].slowdown = 1 + added_ms / usual;
    const path_choice choice = ChoosePath(model, slowed, query);
    REQUIRE(choice.verdict == path_verdict::kFound);
    return engines[choice.stages.back().engine].id;
  };
  CHECK(last_with(0) == "a2");
  CHECK(last_with(pipe_ms) == "a2");
  CHECK(last_with(pipe_ms + 20) == "b2");
}

// Where all is done in another zone, only the caller's data goes there.
TEST_CASE("a path that lies in another zone does not keep the pipe") {
  const model_spec model = ModelWithPipe();
  const std::vector<engine> engines = {MakeEngine("a1", 0, {0, 40}),
                                       MakeEngine("b1", 0, {0, 40}, "b"),
                                       MakeEngine("b2", 0, {40, 80}, "b")};
  const path_choice choice =
      ChoosePath(model, engines, {.tokens = 1, .home_zone = "a", .head = {}});
  REQUIRE(choice.stages.size() == 2);
  CHECK(engines[choice.stages.front().engine].id == "b1");
}

// A burst: engines that hold the same layers share it instead of filling one after the other.
TEST_CASE("a burst spreads over engines with the same layers") {
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
  for (const engine& item : engines) CHECK(item.sequences == Approx(20).margin(1));
}

// A lost engine: the part of another copy takes its place, the rest of the path stays.
TEST_CASE("a path is completed around a lost engine behind the same head") {
  const model_spec model = TestModel();
  std::vector<engine> engines = {MakeEngine("h1", 0, {0, 30}), MakeEngine("lost", 0, {30, 80}),
                                 MakeEngine("h2", 0, {0, 25}), MakeEngine("other", 0, {25, 80})};
  engines[1].usable = false;
  const auto choice =
      ChoosePath(model, engines, {.tokens = 800, .home_zone = "a", .head = path_stage{0, {0, 30}}});
  REQUIRE(choice.verdict == path_verdict::kFound);
  CHECK(choice.stages == path{{0, {0, 30}}, {3, {30, 80}}});
}

// A slow engine: new work goes to an equal one.
TEST_CASE("a slow engine is left for an equal one") {
  const model_spec model = TestModel();
  std::vector<engine> engines = {MakeEngine("e1", 0, {0, 80}), MakeEngine("e2", 0, {0, 80})};
  engines[0].slowdown = 4;
  const auto choice = ChoosePath(model, engines, {.tokens = 10, .home_zone = "a", .head = {}});
  REQUIRE(choice.verdict == path_verdict::kFound);
  CHECK(choice.stages.front().engine == 1);
}

// A zone that is cut off goes on with its own engines, so they are preferred at equal load.
TEST_CASE("the caller's zone is preferred") {
  const model_spec model = TestModel();
  std::vector<engine> engines = {MakeEngine("e1", 0, {0, 80}, "b"),
                                 MakeEngine("e2", 0, {0, 80}, "a")};
  const auto choice = ChoosePath(model, engines, {.tokens = 10, .home_zone = "a", .head = {}});
  CHECK(choice.stages.front().engine == 1);
}

// An engine that takes as many requests as it has slots for gets no further ones as a head.
TEST_CASE("heads keep to their slots") {
  model_spec model = TestModel();
  model.slots = 2;
  std::vector<engine> engines = {MakeEngine("e1", 0, {0, 80})};
  engines[0].head_requests = 2;
  const auto choice = ChoosePath(model, engines, {.tokens = 10, .home_zone = "a", .head = {}});
  CHECK(choice.verdict == path_verdict::kNoRoom);
}

}  // namespace
}  // namespace balsambay::pipeline
