// Event boundaries of a server-sent event stream.
#include "details/event_stream.h"

#include <algorithm>

namespace balsambay::gateway {
namespace {

constexpr std::string_view kIdField = "id:";

// Length of the whole events at the start of `text`; they end with an empty line.
size_t WholeEvents(std::string_view text) {
  const size_t plain = text.rfind("\n\n");
  const size_t with_cr = text.rfind("\n\r\n");
  const size_t plain_end = plain == std::string_view::npos ? 0 : plain + 2;
  const size_t cr_end = with_cr == std::string_view::npos ? 0 : with_cr + 3;
  return std::max(plain_end, cr_end);
}

void ReadLine(event_splitter& splitter, std::string_view line) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.empty()) {
    ++splitter.events;
  } else if (line.starts_with(kIdField)) {
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    splitter.last_id = line;
  }
}

}  // namespace

std::string TakeWholeEvents(event_splitter& splitter, std::string_view data) {
  splitter.partial += data;
  const size_t length = WholeEvents(splitter.partial);
  if (length == 0) return {};
  std::string whole = splitter.partial.substr(0, length);
  splitter.partial.erase(0, length);
  for (size_t begin = 0; begin < whole.size();) {
    const size_t end = whole.find('\n', begin);
    ReadLine(splitter, std::string_view{whole}.substr(begin, end - begin));
    begin = end + 1;
  }
  return whole;
}

void DropPartialEvent(event_splitter& splitter) { splitter.partial.clear(); }

}  // namespace balsambay::gateway
