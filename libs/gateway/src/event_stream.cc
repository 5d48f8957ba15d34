// Event boundaries and ids of a server-sent event stream.
#include "details/event_stream.h"

#include <algorithm>
#include <charconv>
#include <optional>

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

std::optional<uint64_t> NumberOf(std::string_view id) {
  uint64_t out = 0;
  const auto parsed = std::from_chars(id.data(), id.data() + id.size(), out);
  if (parsed.ec != std::errc() || parsed.ptr != id.data() + id.size()) return std::nullopt;
  return out;
}

// Removes the next line of `text` with its end, and returns it without.
std::string_view TakeLine(std::string_view& text) {
  const size_t end = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

// Removes the next event of `text`, up to its empty line; returns its id, which is empty without.
std::string_view TakeEvent(std::string_view& text) {
  std::string_view id;
  while (!text.empty()) {
    std::string_view line = TakeLine(text);
    if (line.empty()) break;
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    id = line;
  }
  return id;
}

bool Follows(std::string_view id, std::string_view last_id) {
  const auto number = NumberOf(id);
  const auto last = NumberOf(last_id);
  return number && (last_id.empty() || (last && *number > *last));
}

}  // namespace

std::string TakeWholeEvents(event_splitter& splitter, std::string_view data) {
  if (splitter.malformed) return {};
  splitter.partial += data;
  const size_t length = WholeEvents(splitter.partial);
  std::string_view rest = std::string_view{splitter.partial}.substr(0, length);
  while (!rest.empty()) {
    const size_t taken = length - rest.size();
    const std::string_view id = TakeEvent(rest);
    if (!Follows(id, splitter.last_id)) {
      splitter.malformed = true;
      std::string whole = splitter.partial.substr(0, taken);
      splitter.partial.clear();
      return whole;
    }
    splitter.last_id = id;
    ++splitter.events;
  }
  std::string whole = splitter.partial.substr(0, length);
  splitter.partial.erase(0, length);
  return whole;
}

void DropPartialEvent(event_splitter& splitter) {
  splitter.partial.clear();
  splitter.malformed = false;
}

}  // namespace balsambay::gateway
