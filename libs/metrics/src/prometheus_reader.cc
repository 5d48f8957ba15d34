// Reader of the text exposition format.
#include <charconv>
#include <optional>

#include "metrics/prometheus.h"

namespace balsambay::metrics {
namespace {

void SkipBlanks(std::string_view& text) {
  const size_t start = text.find_first_not_of(" \t");
  text.remove_prefix(start == std::string_view::npos ? text.size() : start);
}

std::string_view TakeUntil(std::string_view& text, std::string_view stops) {
  const std::string_view taken = text.substr(0, text.find_first_of(stops));
  text.remove_prefix(taken.size());
  return taken;
}

bool Skip(std::string_view& text, char expected) {
  if (!text.starts_with(expected)) return false;
  text.remove_prefix(1);
  return true;
}

// A quoted label value; the opening quote has been skipped.
std::optional<std::string> TakeQuoted(std::string_view& text) {
  std::string out;
  while (!text.empty()) {
    const char c = text.front();
    text.remove_prefix(1);
    if (c == '"') return out;
    if (c != '\\') {
      out += c;
      continue;
    }
    if (text.empty()) break;
    out += text.front() == 'n' ? '\n' : text.front();
    text.remove_prefix(1);
  }
  return std::nullopt;
}

// The labels after "{" up to and including "}".
std::optional<label_set> TakeLabels(std::string_view& text) {
  label_set out;
  SkipBlanks(text);
  while (!Skip(text, '}')) {
    const std::string name(TakeUntil(text, "= \t"));
    SkipBlanks(text);
    if (name.empty() || !Skip(text, '=')) return std::nullopt;
    SkipBlanks(text);
    if (!Skip(text, '"')) return std::nullopt;
    std::optional<std::string> value = TakeQuoted(text);
    if (!value) return std::nullopt;
    out.push_back({name, std::move(*value)});
    SkipBlanks(text);
    if (Skip(text, ',')) SkipBlanks(text);
  }
  return out;
}

std::optional<double> ParseNumber(std::string_view text) {
  if (text.starts_with('+')) text.remove_prefix(1);
  double value = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<sample> ParseSample(std::string_view line) {
  sample out;
  out.name = TakeUntil(line, "{ \t");
  SkipBlanks(line);
  if (Skip(line, '{')) {
    std::optional<label_set> labels = TakeLabels(line);
    if (!labels) return std::nullopt;
    out.labels = std::move(*labels);
    SkipBlanks(line);
  }
  const std::optional<double> value = ParseNumber(TakeUntil(line, " \t"));
  if (out.name.empty() || !value) return std::nullopt;
  out.value = *value;
  return out;
}

}  // namespace

result<std::vector<sample>> ParsePrometheusText(std::string_view text) {
  std::vector<sample> out;
  for (size_t number = 1; !text.empty(); ++number) {
    std::string_view line = TakeUntil(text, "\n");
    Skip(text, '\n');
    if (line.ends_with('\r')) line.remove_suffix(1);
    SkipBlanks(line);
    if (line.empty() || line.front() == '#') continue;
    std::optional<sample> parsed = ParseSample(line);
    if (!parsed) {
      return Failure(errc::kInvalidArgument, "malformed metrics line " + std::to_string(number));
    }
    out.push_back(std::move(*parsed));
  }
  return out;
}

}  // namespace balsambay::metrics
