// Tables for people.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace balsambay::ctl {

struct text_table {
  std::vector<std::string> header;
  std::vector<std::vector<std::string>> rows;  // each as long as `header`
};

// Columns are padded to their widest cell and separated by two spaces.
std::string FormatTable(const text_table& table);

// "850 ms", "12.3 s", "4 min", "3 h" or "2 d".
std::string FormatAge(int64_t milliseconds);

}  // namespace balsambay::ctl
