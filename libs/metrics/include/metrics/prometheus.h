// Prometheus text exposition format, version 0.0.4.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "metrics/metrics.h"

namespace balsambay::metrics {

inline constexpr std::string_view kContentType = "text/plain; version=0.0.4; charset=utf-8";

// All families by name. A value equal to a bucket's bound counts in the next bucket.
std::string PrometheusText(const registry& metrics);

struct sample {
  std::string name;
  label_set labels;
  double value = 0;
  bool operator==(const sample&) const = default;
};

// Samples of a text in its order; comments and timestamps are skipped. Errors: kInvalidArgument
// with the number of the malformed line.
result<std::vector<sample>> ParsePrometheusText(std::string_view text);

}  // namespace balsambay::metrics
