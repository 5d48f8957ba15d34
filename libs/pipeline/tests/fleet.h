// Engines and a model for the tests of paths and placement.
#pragma once

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "pipeline/path.h"

namespace balsambay::pipeline {

inline model_spec TestModel() {
  model_spec model;
  model.layers = 80;
  model.layer_mb = 1750;
  model.kv_bytes_per_token = 590000;
  model.step_ms = 0.85;
  model.step_ms_per_sequence = 0.0038;
  model.step_ms_per_k_context = 0.005;
  model.read_tokens_per_ms = 196;
  model.load_s = 14;
  model.zone_delay_ms = 0.62;
  model.usual_prompt_tokens = 772;
  model.usual_answer_tokens = 167;
  model.slots = 192;
  model.kinds = {{"huge", 200'000, 1, 1},
                 {"h100", 72'000, 1.4, 1},
                 {"a100s", 36'000, 3.1, 3.2},
                 {"l4", 21'600, 16, 8.2},
                 {"t4", 14'400, 15, 15}};
  return model;
}

inline engine MakeEngine(std::string id, size_t kind, layer_range held, std::string zone = "a") {
  engine out;
  out.id = std::move(id);
  out.zone = std::move(zone);
  out.kind = kind;
  out.held = held;
  out.usable = true;
  return out;
}

// Engines of all kinds in up to three zones that hold random ranges, some of them unusable.
inline std::vector<engine> RandomEngines(const model_spec& model) {
  const int count = *rc::gen::inRange(1, 40);
  std::vector<engine> out;
  for (int i = 0; i < count; ++i) {
    const auto kind =
        static_cast<size_t>(*rc::gen::inRange(0, static_cast<int>(model.kinds.size())));
    const int begin = *rc::gen::inRange(0, model.layers);
    const int end = *rc::gen::inRange(begin, model.layers + 1);
    const std::string zone(1, *rc::gen::element('a', 'b', 'c'));
    engine item = MakeEngine("e" + std::to_string(i), kind, {begin, end}, zone);
    item.usable = *rc::gen::inRange(0, 10) > 0;
    item.sequences = *rc::gen::inRange(0, 50);
    out.push_back(std::move(item));
  }
  return out;
}

// The engines of a mixed site: zones of unequal size with four kinds of accelerators.
inline std::vector<engine> MixedSite() {
  std::vector<engine> out;
  const auto add = [&](size_t kind, const char* zone, int count) {
    for (int i = 0; i < count; ++i) {
      out.push_back(MakeEngine(std::string(zone) + std::to_string(out.size()), kind, {}, zone));
    }
  };
  add(1, "c", 1);
  add(2, "a", 1);
  add(2, "b", 2);
  add(2, "c", 1);
  add(3, "a", 8);
  add(3, "b", 4);
  add(3, "c", 5);
  add(4, "a", 3);
  add(4, "b", 7);
  add(4, "c", 7);
  return out;
}

}  // namespace balsambay::pipeline
