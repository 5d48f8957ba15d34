// Inputs of the admission by priority: how full engines are, and whether priorities compete. Guards
// against shedding in configurations with one priority, and against wrong estimates of the load.
#include <catch2/catch.hpp>
#include <vector>

#include "details/overload.h"

namespace balsambay::gateway {
namespace {

pipeline::model_spec Model() {
  pipeline::model_spec model;
  model.layers = 10;
  model.layer_mb = 100;
  model.kv_bytes_per_token = 10'000;
  model.step_ms = 10;
  model.step_ms_per_sequence = 1;
  model.typical_prompt_tokens = 500;
  model.typical_output_tokens = 200;
  model.slots = 20;
  model.kinds = {{"k", 10'000, 1, 1}};
  return model;
}

pipeline::engine Engine(pipeline::layer_range held, double fill, double requests) {
  pipeline::engine engine;
  engine.held = held;
  engine.usable = true;
  engine.committed = fill * pipeline::KvCapacityTokenLayers(Model(), Model().kinds[0], held.Size());
  engine.sequences = requests;
  engine.head_requests = held.begin == 0 ? requests : 0;
  return engine;
}

catalog::document Document(std::optional<std::vector<catalog::workspace>> workspaces,
                           std::vector<int> route_priorities) {
  catalog::document content;
  content.workspaces = std::move(workspaces);
  for (const int priority : route_priorities) {
    content.routes.emplace_back().priority = priority;
  }
  return content;
}

}  // namespace

TEST_CASE("the scarcest of memory, slots and time decides how full engines are") {
  const std::vector<pipeline::engine> by_memory = {Engine({0, 5}, 0.2, 2), Engine({5, 10}, 0.9, 2),
                                                   Engine({5, 10}, 0.5, 2)};
  CHECK(EngineFullness(Model(), by_memory, std::nullopt).value() == Approx(0.7));
  const std::vector<pipeline::engine> by_slots = {Engine({0, 10}, 0.2, 16)};
  CHECK(EngineFullness(Model(), by_slots, std::nullopt).value() == Approx(0.8));
  // 1.5 x 11 ms idle, 1.5 x 27 ms with 16 others: 24 of 30 ms above idle.
  CHECK(EngineFullness(Model(), by_slots, 36.5).value() == Approx(1.2));
  // Idle engines already miss this goal.
  CHECK(EngineFullness(Model(), by_slots, 16.0).value() == Approx(0.8));
}

TEST_CASE("engines that are not usable do not count, and a layer without engine is no estimate") {
  std::vector<pipeline::engine> engines = {Engine({0, 10}, 0.2, 4), Engine({0, 10}, 0.8, 16)};
  engines[1].usable = false;
  CHECK(EngineFullness(Model(), engines, std::nullopt).value() == Approx(0.2));
  engines[0].held = {0, 9};
  CHECK_FALSE(EngineFullness(Model(), engines, std::nullopt));
}

TEST_CASE("priorities compete only if requests of more than one can arrive") {
  CHECK_FALSE(HasSeveralPriorities(Document(std::nullopt, {1, 1})));
  CHECK(HasSeveralPriorities(Document(std::nullopt, {0, 1})));
  // Nobody holds a key, so that requests of these routes are refused.
  CHECK_FALSE(HasSeveralPriorities(Document(std::vector<catalog::workspace>(), {0, 1})));
  const catalog::workspace first{"a", 0, {}};
  const catalog::workspace second{"b", 2, {}};
  const catalog::workspace unset{"c", std::nullopt, {}};
  CHECK(HasSeveralPriorities(Document(std::vector{first, second}, {1})));
  CHECK(HasSeveralPriorities(Document(std::vector{first, unset}, {1})));
  CHECK_FALSE(HasSeveralPriorities(Document(std::vector{first, unset}, {0})));
  CHECK_FALSE(HasSeveralPriorities(Document(std::vector{first}, {1, 2})));
}

}  // namespace balsambay::gateway
