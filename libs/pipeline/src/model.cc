// Memory and time of layer ranges.
#include "pipeline/model.h"

#include <algorithm>
#include <numeric>

namespace balsambay::pipeline {
namespace {

// Part of the KV memory that is planned for; the rest absorbs answers longer than usual.
constexpr double kPlannedKvPart = 0.85;

}  // namespace

double KvMbPerTokenLayer(const model_spec& model) {
  return model.kv_bytes_per_token / model.layers / 1e6;
}

double KvTokenLayers(const model_spec& model, const accelerator_kind& kind, int layers) {
  return (kind.memory_mb - layers * model.layer_mb) / KvMbPerTokenLayer(model);
}

int LayersFor(const model_spec& model, const accelerator_kind& kind, double tokens) {
  const double per_layer = model.layer_mb + tokens * KvMbPerTokenLayer(model);
  return std::min(model.layers, static_cast<int>(kind.memory_mb / per_layer));
}

double StepMs(const model_spec& model, const accelerator_kind& kind, int layers, double sequences,
              double context_tokens) {
  const double share = static_cast<double>(layers) / model.layers;
  return share * kind.step_factor *
         (model.step_ms + model.step_ms_per_sequence * sequences +
          model.step_ms_per_k_context * context_tokens / 1000);
}

double ReadMs(const model_spec& model, const accelerator_kind& kind, int layers, double tokens) {
  const double share = static_cast<double>(layers) / model.layers;
  return share * kind.read_factor * tokens / model.read_tokens_per_ms;
}

double PipeMs(const model_spec& model, double tokens) {
  if (model.zone_pipe_mbps <= 0) return 0;
  // A megabit a second is a kilobit a millisecond.
  return tokens * model.activation_bytes * 8 / 1000 / model.zone_pipe_mbps;
}

chain_capacity EstimateChain(const model_spec& model, const std::vector<chain_stage>& stages) {
  const double context = model.usual_prompt_tokens + model.usual_answer_tokens / 2;
  chain_capacity out;
  out.sequences = model.slots;
  double read_ms = 0;
  double slowest_read_ms = 0;
  for (const chain_stage& stage : stages) {
    const double tokens = KvTokenLayers(model, *stage.kind, stage.layers) / stage.layers;
    out.sequences = std::min(out.sequences, kPlannedKvPart * tokens / context);
    const double stage_read = ReadMs(model, *stage.kind, stage.layers, model.usual_prompt_tokens);
    read_ms += stage_read;
    slowest_read_ms = std::max(slowest_read_ms, stage_read);
  }
  if (out.sequences < 1) return {};
  double slowest_step_ms = 0;
  for (const chain_stage& stage : stages) {
    const double step =
        StepMs(model, *stage.kind, stage.layers, out.sequences, out.sequences * context);
    slowest_step_ms = std::max(slowest_step_ms, step);
    out.token_ms += kPassWaitFactor * step;
  }
  const double request_ms = kPassWaitFactor * read_ms + model.usual_answer_tokens * out.token_ms;
  out.requests_per_s = out.sequences / request_ms * 1000;
  // A stage that only reads prompts cannot take more than this.
  out.requests_per_s = std::min(out.requests_per_s, 1000 / std::max(slowest_read_ms, 1e-9));
  return out;
}

}  // namespace balsambay::pipeline
