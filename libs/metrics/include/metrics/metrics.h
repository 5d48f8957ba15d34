// Counters, gauges and histograms. A series (a name with labels) is registered once, which costs a
// lookup; updates then cost an array access. Series are never removed, so labels must have few
// values (reasons, workspaces), never request ids.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace balsambay::metrics {

struct label {
  std::string name;
  std::string value;
  // clang-tidy takes the generated comparison with 0 for a null pointer.
  auto operator<=>(const label&) const = default;  // NOLINT(modernize-use-nullptr)
};

using label_set = std::vector<label>;

// Indexes into the registry that returned them.
struct counter_id {
  size_t index = 0;
};
struct gauge_id {
  size_t index = 0;
};
struct histogram_id {
  size_t index = 0;
};

enum class metric_type { kCounter, kGauge, kHistogram };

// Bucket bounds: `buckets` steps of equal ratio between `min` and `max`; 0 < min < max.
struct histogram_bounds {
  double min = 0;
  double max = 0;
  unsigned buckets = 0;
  bool operator==(const histogram_bounds&) const = default;
};

// 100 us to 100 s, each bound 1.33 times the last. Unit: seconds.
inline constexpr histogram_bounds kLatencySeconds{.min = 1e-4, .max = 100, .buckets = 48};

struct histogram;  // counts of one series, defined in src/
struct histogram_deleter {
  void operator()(histogram* value) const;
};
using histogram_pointer = std::unique_ptr<histogram, histogram_deleter>;

// All series of one name. Invariant: each label set occurs once in `series`, with the index of its
// value in the registry's vector for `type`.
struct family {
  std::string help;
  metric_type type = metric_type::kCounter;
  histogram_bounds bounds;  // histograms only
  std::map<label_set, size_t> series;
};

struct registry {
  std::map<std::string, family, std::less<>> families;
  std::vector<uint64_t> counters;
  std::vector<double> gauges;
  std::vector<histogram_pointer> histograms;
};

// Each registers a series, or returns the id of the one that exists. Preconditions (checked,
// abort): names match the Prometheus grammar, label names are distinct, and one name always has the
// same type and bounds.
counter_id AddCounter(registry& metrics, std::string_view name, std::string_view help,
                      label_set labels = {});
gauge_id AddGauge(registry& metrics, std::string_view name, std::string_view help,
                  label_set labels = {});
histogram_id AddHistogram(registry& metrics, std::string_view name, std::string_view help,
                          const histogram_bounds& bounds, label_set labels = {});

inline void Increment(registry& metrics, counter_id id, uint64_t by = 1) {
  metrics.counters[id.index] += by;
}
inline void Set(registry& metrics, gauge_id id, double value) { metrics.gauges[id.index] = value; }
inline uint64_t Value(const registry& metrics, counter_id id) { return metrics.counters[id.index]; }
inline double Value(const registry& metrics, gauge_id id) { return metrics.gauges[id.index]; }

// Counts one value. Negative values count as 0, values that are not finite are ignored.
void Observe(registry& metrics, histogram_id id, double value);

// Number of values counted.
uint64_t Count(const registry& metrics, histogram_id id);

}  // namespace balsambay::metrics
