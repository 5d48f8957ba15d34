// Memory and time that layer ranges take, and the capacity of engine chains.
#include "pipeline/model.h"

#include <algorithm>
#include <numeric>

namespace balsambay::pipeline {
namespace {

// Fraction of the KV cache that is planned for; the rest absorbs outputs longer than usual.
constexpr double kPlannedKvFraction = 0.85;

}  // namespace

double KvMbPerTokenLayer(const model_spec& model) {
  return model.kv_bytes_per_token / model.layers / 1e6;
}

double KvCapacityTokenLayers(const model_spec& model, const accelerator_kind& kind, int layers) {
  return (kind.memory_mb - layers * model.layer_mb) / KvMbPerTokenLayer(model);
}

int MaxLayers(const model_spec& model, const accelerator_kind& kind, double tokens) {
  const double mb_per_layer = model.layer_mb + tokens * KvMbPerTokenLayer(model);
  return std::min(model.layers, static_cast<int>(kind.memory_mb / mb_per_layer));
}

double DecodeStepMs(const model_spec& model, const accelerator_kind& kind, int layers,
                    double sequences, double context_tokens) {
  const double layer_fraction = static_cast<double>(layers) / model.layers;
  return layer_fraction * kind.decode_factor *
         (model.step_ms + model.step_ms_per_sequence * sequences +
          model.step_ms_per_k_context * context_tokens / 1000);
}

double PrefillMs(const model_spec& model, const accelerator_kind& kind, int layers, double tokens) {
  const double layer_fraction = static_cast<double>(layers) / model.layers;
  return layer_fraction * kind.prefill_factor * tokens / model.prefill_tokens_per_ms;
}

double ZoneTransferMs(const model_spec& model, double tokens) {
  if (model.zone_link_mbps <= 0) return 0;
  // 1 Mbit/s is 1 kbit/ms.
  return tokens * model.activation_bytes * 8 / 1000 / model.zone_link_mbps;
}

chain_capacity EstimateChain(const model_spec& model, const std::vector<chain_stage>& stages) {
  // Mean context length of a request while it decodes.
  const double request_context = model.typical_prompt_tokens + model.typical_output_tokens / 2;
  chain_capacity capacity;
  capacity.sequences = model.slots;
  double prefill_ms = 0;
  double slowest_prefill_ms = 0;
  for (const chain_stage& stage : stages) {
    const double kv_tokens = KvCapacityTokenLayers(model, *stage.kind, stage.layers) / stage.layers;
    capacity.sequences =
        std::min(capacity.sequences, kPlannedKvFraction * kv_tokens / request_context);
    const double stage_prefill_ms =
        PrefillMs(model, *stage.kind, stage.layers, model.typical_prompt_tokens);
    prefill_ms += stage_prefill_ms;
    slowest_prefill_ms = std::max(slowest_prefill_ms, stage_prefill_ms);
  }
  if (capacity.sequences < 1) return {};
  double slowest_step_ms = 0;
  for (const chain_stage& stage : stages) {
    const double stage_step_ms = DecodeStepMs(model, *stage.kind, stage.layers, capacity.sequences,
                                              capacity.sequences * request_context);
    slowest_step_ms = std::max(slowest_step_ms, stage_step_ms);
    capacity.token_ms += kStepWaitFactor * stage_step_ms;
  }
  const double request_ms =
      kStepWaitFactor * prefill_ms + model.typical_output_tokens * capacity.token_ms;
  capacity.requests_per_s = capacity.sequences / request_ms * 1000;
  // Upper bound: requests per second of the slowest stage if it only ran prefill.
  capacity.requests_per_s =
      std::min(capacity.requests_per_s, 1000 / std::max(slowest_prefill_ms, 1e-9));
  return capacity;
}

}  // namespace balsambay::pipeline
