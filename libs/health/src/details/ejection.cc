// Outlier detection and the limit on ejected endpoints.
#include "details/ejection.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

#include "details/transitions.h"

namespace balsambay::health::details {
namespace {

struct tally {
  int in_use = 0;  // live or suspect
  int ejected = 0;
};

// One endpoint of two or more may always be ejected, so that a small group can avoid a dead member.
int EjectionLimit(const settings& config, int in_use) {
  if (config.test_faults.unbounded_ejection) return in_use;
  const int limit = static_cast<int>(std::floor(config.max_ejected_fraction * in_use));
  return in_use >= 2 ? std::max(1, limit) : 0;
}

bool IsInUse(const record& item) {
  return item.state == endpoint_state::kLive || item.state == endpoint_state::kSuspect;
}

bool EjectsBefore(const record* a, const record* b) {
  if (a->refused != b->refused) return a->refused;
  if (a->suspect_since != b->suspect_since) return a->suspect_since < b->suspect_since;
  return a->spec.id < b->spec.id;
}

bool IsMeasured(const settings& config, const record& item) {
  return item.state == endpoint_state::kLive &&
         item.samples >= static_cast<uint32_t>(config.outlier_min_samples);
}

using group_latencies = std::unordered_map<std::string_view, std::vector<double>>;

group_latencies CollectLatencies(const registry& health) {
  group_latencies out;
  for (const auto& [id, item] : health.records) {
    const bool counts = IsMeasured(health.config, item) && item.latency_us > 0;
    if (counts) out[item.spec.group].push_back(item.latency_us);
  }
  return out;
}

double Median(std::vector<double>& values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::ranges::nth_element(values, middle);
  return *middle;
}

bool IsOutlier(const settings& config, const record& item, double median_latency) {
  if (!IsMeasured(config, item)) return false;
  if (item.failure_rate >= config.outlier_failure_rate) return true;
  return median_latency > 0 && item.latency_us > config.outlier_latency_factor * median_latency;
}

}  // namespace

void RecomputeEjections(registry& health) {
  tally all;
  std::unordered_map<std::string_view, tally> groups;
  std::vector<record*> suspects;
  for (auto& [id, item] : health.records) {
    item.ejected = false;
    if (!IsInUse(item)) continue;
    ++all.in_use;
    ++groups[item.spec.group].in_use;
    if (item.state == endpoint_state::kSuspect) suspects.push_back(&item);
  }
  std::ranges::sort(suspects, EjectsBefore);
  for (record* item : suspects) {
    tally& group = groups[item->spec.group];
    const bool group_allows =
        item->refused || group.ejected < EjectionLimit(health.config, group.in_use);
    item->ejected = group_allows && all.ejected < EjectionLimit(health.config, all.in_use);
    group.ejected += item->ejected ? 1 : 0;
    all.ejected += item->ejected ? 1 : 0;
  }
}

bool SweepOutliers(registry& health, time_point now) {
  const settings& config = health.config;
  std::unordered_map<std::string_view, double> medians;
  // With fewer than three measured members nobody can say which one is the outlier.
  for (auto& [group, latencies] : CollectLatencies(health)) {
    if (latencies.size() >= 3) medians[group] = Median(latencies);
  }
  bool found = false;
  for (auto& [id, item] : health.records) {
    const auto median = medians.find(item.spec.group);
    const double latency = median == medians.end() ? 0 : median->second;
    if (!IsOutlier(config, item, latency)) continue;
    if (!Suspect(item, false, change_cause::kOutlier, now)) continue;
    item.ejections = std::min(item.ejections + 1, 6);
    item.hold_until = now + item.ejections * config.outlier_hold;
    found = true;
  }
  return found;
}

}  // namespace balsambay::health::details
