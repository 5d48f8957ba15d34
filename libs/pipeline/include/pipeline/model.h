// Cost model of a language model whose layers are distributed over several engines (pipeline
// parallelism): the memory that a range of layers takes and the time that it takes to run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace balsambay::pipeline {

// Layers are numbered from 0.
struct layer_range {
  int begin = 0;
  int end = 0;  // exclusive
  int Size() const { return end - begin; }
  bool operator==(const layer_range&) const = default;
};

struct accelerator_kind {
  std::string name;
  double memory_mb = 0;       // for layers and KV cache; 1 MB is 10^6 bytes
  double decode_factor = 1;   // decode time relative to the times in model_spec
  double prefill_factor = 1;  // prefill time relative to the times in model_spec
};

// Times apply to all layers of the model on an accelerator whose factors are 1.
struct model_spec {
  int layers = 0;
  double layer_mb = 0;            // memory of one layer without KV cache
  double kv_bytes_per_token = 0;  // KV cache of all layers
  double activation_bytes = 0;    // sent from one engine to the next for each token
  double step_ms = 0;             // fixed time of a decode step
  double step_ms_per_sequence = 0;
  double step_ms_per_k_context = 0;  // for each 1,000 tokens of context in the batch
  double prefill_tokens_per_ms = 1;  // prefill rate
  double load_s = 0;                 // time to load all layers
  double link_mbps = 0;              // not used by this library
  double zone_link_mbps = 0;         // bandwidth of the link between two zones, Mbit/s; 0: no limit
  double zone_delay_ms = 0;          // largest one-way delay between two zones
  double typical_prompt_tokens = 0;
  double typical_output_tokens = 0;
  // Requests that an engine serves at once as the head (first engine) of their paths.
  int slots = 1;
  std::vector<accelerator_kind> kinds;
};

// Ratio of the time that a token spends at an engine to the duration of a decode step: a token that
// arrives waits for the step in progress, on average for half of its duration.
inline constexpr double kStepWaitFactor = 1.5;

// KV cache of one token in one layer, MB.
double KvMbPerTokenLayer(const model_spec& model);

// KV cache capacity in tokens x layers of an engine that holds `layers` layers. Negative if the
// layers do not fit into its memory.
double KvCapacityTokenLayers(const model_spec& model, const accelerator_kind& kind, int layers);

// Maximum number of layers of the model that leaves KV cache for `tokens` tokens in each of them.
int MaxLayers(const model_spec& model, const accelerator_kind& kind, double tokens);

// Duration of one decode step of `sequences` requests with `context_tokens` tokens of context in
// total over `layers` layers.
double DecodeStepMs(const model_spec& model, const accelerator_kind& kind, int layers,
                    double sequences, double context_tokens);

// Prefill time of a prompt of `tokens` tokens over `layers` layers.
double PrefillMs(const model_spec& model, const accelerator_kind& kind, int layers, double tokens);

// Time for which the activations of `tokens` tokens occupy the link between two zones. All requests
// that cross zones share this link, and it carries one transfer after another. 0 if the model
// specifies no bandwidth limit.
double ZoneTransferMs(const model_spec& model, double tokens);

// Capacity of a chain of engines whose KV cache or slots are full.
struct chain_capacity {
  double sequences = 0;       // that run concurrently
  double token_ms = 0;        // time between two output tokens of a sequence
  double requests_per_s = 0;  // completed requests
};

// `kind` must not be null; the caller keeps it alive during the call. `layers` must be positive.
struct chain_stage {
  const accelerator_kind* kind = nullptr;
  int layers = 0;
};

// All fields are 0 if the chain has no room for a request of the usual length.
chain_capacity EstimateChain(const model_spec& model, const std::vector<chain_stage>& stages);

}  // namespace balsambay::pipeline
