// Detection of outliers, and the limit on the number of ejected endpoints.
#include "details/ejection.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

#include "details/transitions.h"

namespace balsambay::health::details {
namespace {

struct ejection_counts {
  int in_use = 0;  // live or suspect
  int ejected = 0;
};

// One of two or more endpoints may always be ejected, so that a small group can avoid a dead one.
int EjectionLimit(const settings& config, int in_use) {
  if (config.test_faults.unbounded_ejection) return in_use;
  const int limit = static_cast<int>(std::floor(config.max_ejected_fraction * in_use));
  return in_use >= 2 ? std::max(1, limit) : 0;
}

bool IsInUse(const endpoint_record& record) {
  return record.state == endpoint_state::kLive || record.state == endpoint_state::kSuspect;
}

// Order of ejection; equal times are ordered by id.
bool HasEjectionPriority(const endpoint_record* a, const endpoint_record* b) {
  if (a->connection_failed != b->connection_failed) return a->connection_failed;
  if (a->suspect_since != b->suspect_since) return a->suspect_since < b->suspect_since;
  return a->spec.id < b->spec.id;
}

bool HasEnoughSamples(const settings& config, const endpoint_record& record) {
  return record.state == endpoint_state::kLive &&
         record.samples >= static_cast<uint32_t>(config.outlier_min_samples);
}

using group_latencies = std::unordered_map<std::string_view, std::vector<double>>;

group_latencies CollectLatencies(const registry& health) {
  group_latencies latencies_by_group;
  for (const auto& [id, record] : health.records) {
    const bool has_latency = HasEnoughSamples(health.config, record) && record.latency_us > 0;
    if (has_latency) latencies_by_group[record.spec.group].push_back(record.latency_us);
  }
  return latencies_by_group;
}

double Median(std::vector<double>& values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::ranges::nth_element(values, middle);
  return *middle;
}

bool IsOutlier(const settings& config, const endpoint_record& record, double median_latency) {
  if (!HasEnoughSamples(config, record)) return false;
  if (record.failure_rate >= config.outlier_failure_rate) return true;
  return median_latency > 0 && record.latency_us > config.outlier_latency_factor * median_latency;
}

}  // namespace

void RecomputeEjections(registry& health) {
  ejection_counts totals;
  std::unordered_map<std::string_view, ejection_counts> groups;
  std::vector<endpoint_record*> suspects;
  for (auto& [id, record] : health.records) {
    record.ejected = false;
    if (!IsInUse(record)) continue;
    ++totals.in_use;
    ++groups[record.spec.group].in_use;
    if (record.state == endpoint_state::kSuspect) suspects.push_back(&record);
  }
  std::ranges::sort(suspects, HasEjectionPriority);
  for (endpoint_record* record : suspects) {
    ejection_counts& group_counts = groups[record->spec.group];
    const bool group_allows =
        record->connection_failed ||
        group_counts.ejected < EjectionLimit(health.config, group_counts.in_use);
    record->ejected = group_allows && totals.ejected < EjectionLimit(health.config, totals.in_use);
    group_counts.ejected += record->ejected ? 1 : 0;
    totals.ejected += record->ejected ? 1 : 0;
  }
}

bool SweepOutliers(registry& health, time_point now) {
  const settings& config = health.config;
  std::unordered_map<std::string_view, double> medians;
  // With fewer than three measured latencies the median does not show which one is the outlier.
  for (auto& [group, latencies] : CollectLatencies(health)) {
    if (latencies.size() >= 3) medians[group] = Median(latencies);
  }
  bool found = false;
  for (auto& [id, record] : health.records) {
    const auto median = medians.find(record.spec.group);
    const double median_latency = median == medians.end() ? 0 : median->second;
    if (!IsOutlier(config, record, median_latency)) continue;
    if (!MarkSuspect(record, false, change_cause::kOutlier, now)) continue;
    record.consecutive_ejections = std::min(record.consecutive_ejections + 1, 6);
    record.earliest_recovery = now + record.consecutive_ejections * config.outlier_hold_time;
    found = true;
  }
  return found;
}

}  // namespace balsambay::health::details
