// Selection of the engines that a request passes through. An engine may run any contiguous part of
// the layers that it holds, so a path is a sequence of layer ranges that covers the model exactly
// once and in order. The engine of the first stage is the head: it receives the request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "pipeline/model.h"

namespace balsambay::pipeline {

// State of an engine as path selection and placement see it.
struct engine {
  std::string id;
  std::string address;  // IP:PORT
  std::string zone;
  size_t kind = 0;           // index into model_spec::kinds
  layer_range held;          // empty: holds no layers
  bool usable = false;       // may receive new requests
  double slowdown = 1;       // ratio of measured to expected step time
  double committed = 0;      // KV cache of the requests of all daemons, tokens x layers
  double sequences = 0;      // requests of all daemons that pass through this engine
  double head_requests = 0;  // requests among them whose path begins at this engine
  // Estimated load that is not reported yet. It raises the cost of the engine, but is not counted
  // against its memory.
  double assumed_committed = 0;
  double assumed_sequences = 0;
};

struct path_stage {
  size_t engine = 0;  // index into the engines passed to the call
  layer_range range;
  bool operator==(const path_stage&) const = default;
};

using path = std::vector<path_stage>;

// The caller keeps the strings and spans alive during the call.
struct path_query {
  double tokens = 0;           // maximum expected context length of the request
  std::string_view home_zone;  // zone of the caller
  // First stage of a running request, which is kept; only the stages after it are selected. Its
  // range begins at layer 0. The returned path contains it, but `path_choice::token_ms` does not.
  std::optional<path_stage> head;
  // Overcommits the KV cache of engines and the slots of heads instead of returning kNoRoom.
  bool allow_overcommit = false;
  // Indexes of engines that must not be used.
  std::span<const size_t> excluded = {};
  // Indexes of the engines at which the path may begin; empty: any.
  std::span<const size_t> heads = {};
  // The given loads are some seconds old, and many daemons decide by the same ones: costs are
  // randomized with `seed`, and the fill level of engines weighs more, so that engines fill evenly
  // instead of the fastest ones first.
  bool stale_load = false;
  uint64_t seed = 0;
};

enum class path_verdict : uint8_t {
  kFound,
  // The layers are covered, but not with KV cache for this request or with a free slot at a head.
  // Not returned with `path_query::allow_overcommit`.
  kNoRoom,
  // Some layer is held by no usable engine that `path_query` permits, or with
  // `path_query::allow_overcommit` no acceptable path was found.
  kUncovered,
};

struct path_choice {
  path_verdict verdict = path_verdict::kUncovered;
  path stages;          // empty unless the verdict is kFound
  double token_ms = 0;  // estimated time between two output tokens
};

// Returns the path with the shortest estimated time between output tokens, with penalties for
// engines that fill up and for use of the link between zones. Complexity of one search:
// O(boundaries x engines that cover one x boundaries in the range of one engine), where a boundary
// is an end of the range of some engine; see benchmarks/path_choice.cc.
path_choice ChoosePath(const model_spec& model, std::span<const engine> engines,
                       const path_query& query);

// Whether `stages` runs layers 0 to `layers` exactly once, in order and on distinct engines.
bool IsCompletePath(std::span<const path_stage> stages, int layers);

// Minimum over all layers of the KV cache capacity for a layer, in tokens, summed over the usable
// engines that hold the layer. Limits how many requests run concurrently.
double MinCoverageTokens(const model_spec& model, std::span<const engine> engines);

}  // namespace balsambay::pipeline
