// Writer of the text exposition format.
#include "metrics/prometheus.h"

#include <charconv>
#include <cmath>

#include "details/histogram.h"

namespace balsambay::metrics {
namespace {

std::string NumberText(double value) {
  if (std::isnan(value)) return "NaN";
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  char buffer[32];
  const auto [end, failure] = std::to_chars(buffer, buffer + sizeof buffer, value);
  return {buffer, failure == std::errc() ? end : buffer};
}

// Bucket bounds are computed with logarithms; six digits hide the rounding ("0.1", not
// "0.09999999999999998") and tell neighbours apart.
std::string BoundText(double value) {
  char buffer[32];
  const auto [end, failure] =
      std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::general, 6);
  return {buffer, failure == std::errc() ? end : buffer};
}

std::string Escape(std::string_view text, bool quotes) {
  std::string out;
  for (const char c : text) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '\\' || (quotes && c == '"')) out += '\\';
    out += c;
  }
  return out;
}

std::string LabelText(const label_set& labels, std::string_view bound = "") {
  std::string out;
  const auto append = [&](std::string_view name, std::string_view value) {
    out += out.empty() ? "{" : ",";
    out.append(name).append("=\"").append(Escape(value, true)).append("\"");
  };
  for (const label& entry : labels) append(entry.name, entry.value);
  if (!bound.empty()) append("le", bound);
  return out.empty() ? out : out + "}";
}

void AppendSample(std::string& out, std::string_view name, const std::string& labels,
                  std::string_view value) {
  out.append(name).append(labels).append(" ").append(value).append("\n");
}

void AppendHistogram(std::string& out, const std::string& name, const label_set& labels,
                     const histogram& series) {
  const auto& axis = series.buckets.axis();
  uint64_t total = series.buckets.at(-1);  // underflow
  for (int i = 0; i < axis.size(); ++i) {
    total += series.buckets.at(i);
    AppendSample(out, name + "_bucket", LabelText(labels, BoundText(axis.bin(i).upper())),
                 std::to_string(total));
  }
  AppendSample(out, name + "_bucket", LabelText(labels, "+Inf"), std::to_string(series.count));
  AppendSample(out, name + "_sum", LabelText(labels), NumberText(series.sum));
  AppendSample(out, name + "_count", LabelText(labels), std::to_string(series.count));
}

std::string_view TypeName(metric_type type) {
  switch (type) {
    case metric_type::kCounter:
      return "counter";
    case metric_type::kGauge:
      return "gauge";
    case metric_type::kHistogram:
      break;
  }
  return "histogram";
}

void AppendSeries(std::string& out, const registry& metrics, const std::string& name,
                  metric_type type, const label_set& labels, size_t index) {
  switch (type) {
    case metric_type::kCounter:
      return AppendSample(out, name, LabelText(labels), std::to_string(metrics.counters[index]));
    case metric_type::kGauge:
      return AppendSample(out, name, LabelText(labels), NumberText(metrics.gauges[index]));
    case metric_type::kHistogram:
      return AppendHistogram(out, name, labels, *metrics.histograms[index]);
  }
}

}  // namespace

std::string PrometheusText(const registry& metrics) {
  std::string out;
  for (const auto& [name, entry] : metrics.families) {
    out += "# HELP " + name + " " + Escape(entry.help, false) + "\n";
    out += "# TYPE " + name + " " + std::string(TypeName(entry.type)) + "\n";
    for (const auto& [labels, index] : entry.series) {
      AppendSeries(out, metrics, name, entry.type, labels, index);
    }
  }
  return out;
}

}  // namespace balsambay::metrics
