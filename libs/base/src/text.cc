// Text helpers.
#include "base/text.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

namespace balsambay {

std::vector<std::string_view> SplitText(std::string_view text, char separator) {
  std::vector<std::string_view> out;
  while (true) {
    const size_t end = text.find(separator);
    out.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return out;
    text.remove_prefix(end + 1);
  }
}

std::string_view TrimSpace(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const size_t begin = text.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kSpace) - begin + 1);
}

std::string_view TakeLine(std::string_view& text) {
  const size_t end = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(
      a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
  if (!std::isfinite(value)) return std::nullopt;
  return value;
}

}  // namespace balsambay
