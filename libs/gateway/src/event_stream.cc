// Parser for the boundaries and ids of server-sent events.
#include "details/event_stream.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "base/text.h"

namespace balsambay::gateway {
namespace {

constexpr std::string_view kIdField = "id:";

// Length in bytes of the complete events at the start of `text`. An event ends with an empty line.
size_t CompleteEventsLength(std::string_view text) {
  const size_t lf = text.rfind("\n\n");
  const size_t crlf = text.rfind("\n\r\n");
  const size_t lf_end = lf == std::string_view::npos ? 0 : lf + 2;
  const size_t crlf_end = crlf == std::string_view::npos ? 0 : crlf + 3;
  return std::max(lf_end, crlf_end);
}

std::optional<uint64_t> ParseId(std::string_view id) {
  uint64_t number = 0;
  const auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != id.data() + id.size()) return std::nullopt;
  return number;
}

// Removes the first event of `text`, up to and including its empty line. Returns its id; empty: it
// has none.
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

// Whether `id` is a number greater than `last_id`, or any number if `last_id` is empty.
bool IsNextId(std::string_view id, std::string_view last_id) {
  const auto number = ParseId(id);
  const auto last = ParseId(last_id);
  return number && (last_id.empty() || (last && *number > *last));
}

}  // namespace

std::string TakeCompleteEvents(event_splitter& splitter, std::string_view data) {
  if (splitter.malformed) return {};
  splitter.partial += data;
  const size_t length = CompleteEventsLength(splitter.partial);
  std::string_view rest = std::string_view{splitter.partial}.substr(0, length);
  while (!rest.empty()) {
    const size_t valid_length = length - rest.size();
    const std::string_view id = TakeEvent(rest);
    if (!IsNextId(id, splitter.last_id)) {
      splitter.malformed = true;
      std::string complete_events = splitter.partial.substr(0, valid_length);
      splitter.partial.clear();
      return complete_events;
    }
    splitter.last_id = id;
    ++splitter.events;
  }
  if (length == 0) return {};
  // The rest moves to memory of its own size; erasing would keep that of the whole text.
  std::string remainder = splitter.partial.substr(length);
  std::string complete_events = std::exchange(splitter.partial, std::move(remainder));
  if (splitter.partial.empty()) std::string().swap(splitter.partial);
  complete_events.resize(length);
  return complete_events;
}

void DropPartialEvent(event_splitter& splitter) {
  splitter.partial.clear();
  splitter.malformed = false;
}

}  // namespace balsambay::gateway
