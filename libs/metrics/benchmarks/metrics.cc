// Cost of one update on the hot path; prints one JSON line for each kind of metric.
#include "metrics/metrics.h"

#include <cstdio>

#include "base/time.h"

namespace {

constexpr int kUpdates = 20000000;

template <class Update>
void Measure(const char* name, Update update) {
  const balsambay::time_point start = balsambay::MonotonicNow();
  for (int i = 0; i < kUpdates; ++i) {
    update(i);
    asm volatile("" ::: "memory");  // keeps the compiler from merging the updates
  }
  const auto took = balsambay::MonotonicNow() - start;
  std::printf("{\"benchmark\":\"metrics_%s\",\"ns_per_update\":%.2f}\n", name,
              static_cast<double>(took.count()) * 1000 / kUpdates);
}

}  // namespace

int main() {
  using namespace balsambay::metrics;  // NOLINT(google-build-using-namespace)
  registry metrics;
  const counter_id counter = AddCounter(metrics, "requests_total", "Requests");
  const histogram_id latency = AddHistogram(metrics, "latency_seconds", "Latency", kLatencySeconds);
  Measure("counter", [&](int) { Increment(metrics, counter); });
  Measure("histogram", [&](int i) { Observe(metrics, latency, 1e-4 * (1 + i % 5000)); });
  return Value(metrics, counter) == Count(metrics, latency) ? 0 : 1;
}
