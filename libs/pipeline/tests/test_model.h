// Model specification and engines for tests and benchmarks.
#pragma once

#include <string>
#include <utility>

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
  model.prefill_tokens_per_ms = 196;
  model.load_s = 14;
  model.zone_delay_ms = 0.62;
  model.typical_prompt_tokens = 772;
  model.typical_output_tokens = 167;
  model.slots = 192;
  model.kinds = {{"huge", 200'000, 1, 1},
                 {"h100", 72'000, 1.4, 1},
                 {"a100s", 36'000, 3.1, 3.2},
                 {"l4", 21'600, 16, 8.2},
                 {"t4", 14'400, 15, 15}};
  return model;
}

// A usable engine that holds the layers `held`; `kind` is an index into TestModel().kinds.
inline engine MakeEngine(std::string id, size_t kind, layer_range held, std::string zone = "a") {
  engine result;
  result.id = std::move(id);
  result.zone = std::move(zone);
  result.kind = kind;
  result.held = held;
  result.usable = true;
  return result;
}

}  // namespace balsambay::pipeline
