// Cost model of a model that is split over engines: what holding a range of layers costs in memory
// and what running it costs in time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace balsambay::pipeline {

struct layer_range {
  int begin = 0;
  int end = 0;  // exclusive
  int Size() const { return end - begin; }
  bool operator==(const layer_range&) const = default;
};

struct accelerator_kind {
  std::string name;
  double memory_mb = 0;
  double step_factor = 1;  // time of decoding steps, relative to the model's figures
  double read_factor = 1;  // time of reading prompts, likewise
};

// Times are for all layers on an accelerator of factor 1.
struct model_spec {
  int layers = 0;
  double layer_mb = 0;
  double kv_bytes_per_token = 0;  // over all layers
  double activation_bytes = 0;    // that pass from engine to engine for each token
  double step_ms = 0;
  double step_ms_per_sequence = 0;
  double step_ms_per_k_context = 0;  // for each 1,000 tokens of context in the batch
  double read_tokens_per_ms = 1;
  double load_s = 0;  // for all layers
  double link_mbps = 0;
  double zone_pipe_mbps = 0;
  double zone_delay_ms = 0;  // largest one-way delay between two zones
  double usual_prompt_tokens = 0;
  double usual_answer_tokens = 0;
  int slots = 1;  // requests that an engine takes as the head of paths
  std::vector<accelerator_kind> kinds;
};

// A token that arrives at an engine waits for the pass under way: half a pass on the mean.
inline constexpr double kPassWaitFactor = 1.5;

// KV memory of one token in one layer, MB.
double KvMbPerTokenLayer(const model_spec& model);

// Memory for requests in units of tokens x layers when `layers` layers are held. Negative: the
// layers do not fit.
double KvTokenLayers(const model_spec& model, const accelerator_kind& kind, int layers);

// The largest number of layers that leaves room for `tokens` tokens in each of them.
int LayersFor(const model_spec& model, const accelerator_kind& kind, double tokens);

// One decoding step of `sequences` requests with `context_tokens` in all, over `layers` layers.
double StepMs(const model_spec& model, const accelerator_kind& kind, int layers, double sequences,
              double context_tokens);

// Reading a prompt of `tokens` over `layers` layers.
double ReadMs(const model_spec& model, const accelerator_kind& kind, int layers, double tokens);

// For how long the activations of `tokens` tokens keep the pipe between two zones, which all
// requests that cross there share, one transfer after another. 0: the model names no such limit.
double PipeMs(const model_spec& model, double tokens);

// Sequences that a chain of engines runs at once when its KV memory and slots are full, the time
// between two tokens then, and the requests that it completes in a second.
struct chain_capacity {
  double sequences = 0;
  double token_ms = 0;
  double requests_per_s = 0;
};

struct chain_stage {
  const accelerator_kind* kind = nullptr;
  int layers = 0;
};

chain_capacity EstimateChain(const model_spec& model, const std::vector<chain_stage>& stages);

}  // namespace balsambay::pipeline
