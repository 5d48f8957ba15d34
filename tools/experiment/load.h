// Requests that the experiment replays: generated from a seed, or read from a trace file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/result.h"

namespace balsambay::experiment {

struct load_request {
  double arrival = 0;  // seconds; scaled to the wanted rate before use
  int workspace = 0;
  uint32_t prefix = 0;  // prompts with the same prefix id share their first prefix_tokens
  int prefix_tokens = 0;
  int prompt_tokens = 0;  // includes the prefix
  int output_tokens = 0;
};

// Ten workspaces with Zipf shares, each switching between calm and burst; log-normal lengths; three
// shared prefixes for each workspace. About one request a second before scaling.
std::vector<load_request> GenerateLoad(size_t count, random_generator& rng);

// JSON lines, first line {"trace_format":1}.
result<std::vector<load_request>> ReadLoad(const std::string& path);
std::string WriteLoad(const std::vector<load_request>& load);

// Work of a request in decode tokens, when prefill is `prefill_speedup` times faster.
double EquivalentTokens(int output_tokens, int prefill_tokens, double prefill_speedup);

// Stretches arrivals so that the mean work, without cache hits, is `tokens_per_second`.
void ScaleToRate(std::vector<load_request>& load, double tokens_per_second, double prefill_speedup);

}  // namespace balsambay::experiment
