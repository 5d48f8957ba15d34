// Overload by more streams than the engines can serve in time. Callers hang up when they receive no
// events, and the prefill of their prompts is wasted. Simulates one chain of engines in virtual
// time with the real path choice and the real limit on the time per token.
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "details/pace.h"
#include "pipeline/path.h"

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

constexpr int kEventsPerStream = 57;
constexpr double kAnswerTokens = 171;
constexpr double kPromptTokens = 800;
constexpr duration kGapGoal = 250ms;
// Time without an event after which a caller hangs up.
constexpr double kCallerTimeoutMs = 2000;

pipeline::model_spec Model() {
  pipeline::model_spec model;
  model.layers = 80;
  model.layer_mb = 1;
  model.kv_bytes_per_token = 1;
  model.step_ms = 0.85;
  model.step_ms_per_sequence = 0.04;
  model.prefill_tokens_per_ms = 400;
  model.typical_prompt_tokens = kPromptTokens;
  model.typical_output_tokens = kAnswerTokens;
  model.slots = 100'000;
  model.kinds = {{"k", 1000, 16, 16}};
  return model;
}

struct stream {
  double prefilled_tokens = 0;
  double generated_tokens = 0;
  double gap_ms = 0;  // since the last event
  double longest_gap_ms = 0;
};

struct outcome {
  int requests = 0;
  int in_time = 0;             // complete streams without a gap beyond the goal
  int caller_disconnects = 0;  // callers that gave up after kCallerTimeoutMs without an event
  int refused = 0;
};

// Simulates 40 s with `requests_per_s`. Engines prefill one prompt after the other, between the
// tokens of the streams that generate. `limited`: refuse streams whose path is too slow.
outcome Simulate(double requests_per_s, bool limited) {
  const pipeline::model_spec model = Model();
  pace learned;
  for (int i = 0; i < 100; ++i) AddStreamLength(learned, kEventsPerStream);
  outcome result;
  std::vector<stream> running;
  double next_arrival = 0;
  for (double now_ms = 0; now_ms < 40'000;) {
    for (; next_arrival <= now_ms; next_arrival += 1000 / requests_per_s) {
      ++result.requests;
      pipeline::engine engine;
      engine.held = {0, model.layers};
      engine.usable = true;
      engine.sequences = static_cast<double>(running.size());
      const auto choice =
          pipeline::ChoosePath(model, {&engine, 1}, {.tokens = 1, .home_zone = "", .head = {}});
      const auto max_token_ms = MaxTokenMs(learned, kGapGoal, kAnswerTokens);
      if (limited && choice.token_ms > max_token_ms) {
        ++result.refused;
      } else {
        running.push_back({});
      }
    }
    // One pass of the engines: a token for each generating stream, and a chunk of one prompt.
    const auto generating = static_cast<double>(std::ranges::count_if(
        running, [](const stream& stream) { return stream.prefilled_tokens >= kPromptTokens; }));
    double pass_ms = pipeline::DecodeStepMs(model, model.kinds[0], model.layers, generating,
                                            generating * kPromptTokens);
    const auto prefilling = std::ranges::find_if(
        running, [](const stream& stream) { return stream.prefilled_tokens < kPromptTokens; });
    if (prefilling != running.end()) {
      const double chunk = std::min(256.0, kPromptTokens - prefilling->prefilled_tokens);
      prefilling->prefilled_tokens += chunk;
      pass_ms += pipeline::PrefillMs(model, model.kinds[0], model.layers, chunk);
    }
    now_ms += pass_ms;
    for (stream& stream : running) {
      stream.gap_ms += pass_ms;
      if (stream.prefilled_tokens < kPromptTokens) continue;
      stream.generated_tokens += 1;
      if (static_cast<int>(stream.generated_tokens) % 3 != 0) continue;
      if (stream.generated_tokens > 3) {
        stream.longest_gap_ms = std::max(stream.longest_gap_ms, stream.gap_ms);
      }
      stream.gap_ms = 0;
    }
    result.caller_disconnects += static_cast<int>(std::erase_if(
        running, [](const stream& stream) { return stream.gap_ms > kCallerTimeoutMs; }));
    std::erase_if(running, [&](const stream& stream) {
      if (stream.generated_tokens < kAnswerTokens) return false;
      if (stream.longest_gap_ms <= Milliseconds(kGapGoal)) ++result.in_time;
      return true;
    });
  }
  return result;
}

// Guards against admitting every stream under overload, which makes all of them miss their goals.
TEST_CASE("refusing streams under overload lets the admitted ones meet their goals") {
  const outcome low_load = Simulate(2, true);
  CHECK(low_load.refused == 0);
  const outcome unlimited = Simulate(12, false);
  const outcome limited = Simulate(12, true);
  CAPTURE(unlimited.requests, unlimited.in_time, unlimited.caller_disconnects, limited.in_time,
          limited.caller_disconnects, limited.refused);
  CHECK(limited.in_time > 2 * unlimited.in_time);
  CHECK(limited.caller_disconnects < unlimited.caller_disconnects / 2);
}

// Guards against refusing streams that the engines can serve in time. The estimated time per token
// is longer than the time that streams actually see, so a limit that is too low refuses these.
TEST_CASE("streams that the engines can serve in time are admitted") {
  const double requests_per_s = GENERATE(2.0, 4.0, 4.5, 5.0);
  const outcome unlimited = Simulate(requests_per_s, false);
  const outcome limited = Simulate(requests_per_s, true);
  CAPTURE(requests_per_s, unlimited.requests, unlimited.in_time, limited.in_time, limited.refused);
  CHECK(unlimited.caller_disconnects == 0);
  CHECK(limited.refused == 0);
  CHECK(limited.in_time == unlimited.in_time);
}

}  // namespace
}  // namespace balsambay::gateway
