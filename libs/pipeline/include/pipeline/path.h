// Choice of the engines that a request passes through. Each engine may run any part of the layers
// that it holds, so a path is a sequence of sub-ranges that covers the model once and in order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "pipeline/model.h"

namespace balsambay::pipeline {

// One engine as the choice sees it.
struct engine {
  std::string id;
  std::string address;  // IP:PORT
  std::string zone;
  size_t kind = 0;           // index into model_spec::kinds
  layer_range held;          // empty: holds nothing
  bool usable = false;       // may take new work
  double slowdown = 1;       // measured step time over the expected one
  double committed = 0;      // tokens x layers of the requests of all daemons
  double sequences = 0;      // requests that pass through, of all daemons
  double head_requests = 0;  // those among them that enter here
  // Load that is likely there but not known: raises the cost, but takes no room.
  double assumed_committed = 0;
  double assumed_sequences = 0;
};

struct path_stage {
  size_t engine = 0;  // index into the engines given
  layer_range range;
  bool operator==(const path_stage&) const = default;
};

using path = std::vector<path_stage>;

struct path_query {
  double tokens = 0;  // that the request may come to hold
  std::string_view home_zone;
  // Keeps the first stage of a running request; the rest is chosen anew.
  std::optional<path_stage> head;
  // Fills engines beyond their expected memory rather than to report that there is no room.
  bool ignore_room = false;
  // Indexes of engines that must not be used.
  std::span<const size_t> excluded = {};
  // When not empty, the path begins at one of these.
  std::span<const size_t> heads = {};
  // The loads given are some seconds old, and many daemons decide by them: costs are spread a
  // little, differently for each `seed`, and engines are filled evenly rather than the fastest ones
  // first.
  bool old_figures = false;
  uint64_t seed = 0;
};

enum class path_verdict : uint8_t {
  kFound,
  kNoRoom,     // the layers are covered, but not with memory for this request
  kUncovered,  // some layer is held by no usable engine
};

struct path_choice {
  path_verdict verdict = path_verdict::kUncovered;
  path stages;
  double token_ms = 0;  // estimated time between two tokens
};

// The path with the least estimated time between tokens, with penalties for engines that fill up
// and for the use of the pipe between zones. Cost: O(boundaries x engines that cover one); see
// benchmarks/path_choice.cc.
path_choice ChoosePath(const model_spec& model, std::span<const engine> engines,
                       const path_query& query);

// Whether `stages` runs layers 0 to `layers` once, in order and on distinct engines.
bool CoversOnce(std::span<const path_stage> stages, int layers);

// Tokens x layers that the engines' memory holds for requests, as the least sum over the layers.
// The figure that limits how many requests run at once.
double LeastCoverageTokens(const model_spec& model, std::span<const engine> engines);

}  // namespace balsambay::pipeline
