// Registration and histogram updates.
#include "metrics/metrics.h"

#include <algorithm>
#include <cmath>

#include "base/result.h"
#include "details/histogram.h"

namespace balsambay::metrics {
namespace {

bool IsNameStart(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool IsNamePart(char c) { return IsNameStart(c) || (c >= '0' && c <= '9'); }

bool IsName(std::string_view text) {
  return !text.empty() && IsNameStart(text.front()) && std::ranges::all_of(text, IsNamePart);
}

// "le" is the label of histogram buckets, names that start with "__" belong to Prometheus.
bool IsLabelName(std::string_view text) {
  return IsName(text) && text != "le" && !text.starts_with("__");
}

void CheckLabels(const label_set& sorted) {
  const auto valid = [](const label& entry) { return IsLabelName(entry.name); };
  CheckInvariant(std::ranges::all_of(sorted, valid), "metric label names are valid");
  const auto repeated = std::ranges::adjacent_find(sorted, {}, &label::name);
  CheckInvariant(repeated == sorted.end(), "metric label names are distinct");
}

family& FindFamily(registry& metrics, std::string_view name, std::string_view help,
                   metric_type type, const histogram_bounds& bounds) {
  CheckInvariant(IsName(name), "metric names are valid");
  const auto [it, inserted] = metrics.families.try_emplace(std::string(name));
  family& out = it->second;
  if (inserted) {
    out.help = help;
    out.type = type;
    out.bounds = bounds;
  }
  CheckInvariant(out.type == type && out.bounds == bounds, "a metric name has one type and bounds");
  return out;
}

// The index of the series; `next` when it is new.
size_t FindSeries(family& owner, label_set labels, size_t next) {
  std::ranges::sort(labels);
  CheckLabels(labels);
  return owner.series.try_emplace(std::move(labels), next).first->second;
}

histogram_pointer NewHistogram(const histogram_bounds& bounds) {
  CheckInvariant(bounds.buckets > 0 && bounds.min > 0 && bounds.min < bounds.max,
                 "histogram bounds are positive and ordered");
  return histogram_pointer(
      new histogram{bucket_counts(log_axis(bounds.buckets, bounds.min, bounds.max)), 0, 0});
}

}  // namespace

void histogram_deleter::operator()(histogram* value) const { delete value; }

counter_id AddCounter(registry& metrics, std::string_view name, std::string_view help,
                      label_set labels) {
  family& owner = FindFamily(metrics, name, help, metric_type::kCounter, {});
  const size_t index = FindSeries(owner, std::move(labels), metrics.counters.size());
  if (index == metrics.counters.size()) metrics.counters.push_back(0);
  return {index};
}

gauge_id AddGauge(registry& metrics, std::string_view name, std::string_view help,
                  label_set labels) {
  family& owner = FindFamily(metrics, name, help, metric_type::kGauge, {});
  const size_t index = FindSeries(owner, std::move(labels), metrics.gauges.size());
  if (index == metrics.gauges.size()) metrics.gauges.push_back(0);
  return {index};
}

histogram_id AddHistogram(registry& metrics, std::string_view name, std::string_view help,
                          const histogram_bounds& bounds, label_set labels) {
  family& owner = FindFamily(metrics, name, help, metric_type::kHistogram, bounds);
  const size_t index = FindSeries(owner, std::move(labels), metrics.histograms.size());
  if (index == metrics.histograms.size()) metrics.histograms.push_back(NewHistogram(bounds));
  return {index};
}

void Observe(registry& metrics, histogram_id id, double value) {
  if (!std::isfinite(value)) return;
  histogram& series = *metrics.histograms[id.index];
  const double counted = std::max(value, 0.0);
  series.buckets(counted);
  series.sum += counted;
  ++series.count;
}

uint64_t Count(const registry& metrics, histogram_id id) {
  return metrics.histograms[id.index]->count;
}

}  // namespace balsambay::metrics
