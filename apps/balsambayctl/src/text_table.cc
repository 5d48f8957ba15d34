// Table layout; see the header.
#include "text_table.h"

#include <algorithm>
#include <cstdio>

namespace balsambay::ctl {
namespace {

void Widen(std::vector<size_t>& widths, const std::vector<std::string>& row) {
  for (size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
}

std::string FormatRow(const std::vector<std::string>& row, const std::vector<size_t>& widths) {
  std::string line;
  for (size_t i = 0; i < row.size(); ++i) {
    line += row[i];
    if (i + 1 < row.size()) line.append(widths[i] - row[i].size() + 2, ' ');
  }
  return line + "\n";
}

}  // namespace

std::string FormatTable(const text_table& table) {
  std::vector<size_t> widths(table.header.size(), 0);
  Widen(widths, table.header);
  for (const auto& row : table.rows) Widen(widths, row);
  std::string out = FormatRow(table.header, widths);
  for (const auto& row : table.rows) out += FormatRow(row, widths);
  return out;
}

std::string FormatAge(int64_t milliseconds) {
  constexpr int64_t kMinute = 60000;
  constexpr int64_t kHour = 60 * kMinute;
  constexpr int64_t kDay = 24 * kHour;
  if (milliseconds < 0) return "-";
  if (milliseconds < 1000) return std::to_string(milliseconds) + " ms";
  if (milliseconds >= 2 * kDay) return std::to_string(milliseconds / kDay) + " d";
  if (milliseconds >= 2 * kHour) return std::to_string(milliseconds / kHour) + " h";
  if (milliseconds >= 2 * kMinute) return std::to_string(milliseconds / kMinute) + " min";
  char buffer[32];
  std::snprintf(buffer, sizeof buffer, "%.1f s", static_cast<double>(milliseconds) / 1000);
  return buffer;
}

}  // namespace balsambay::ctl
