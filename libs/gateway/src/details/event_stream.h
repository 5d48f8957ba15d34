// Splits a stream of server-sent events at event boundaries, so that only whole events are passed
// on and an interrupted stream can continue after the last of them.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace balsambay::gateway {

struct event_splitter {
  std::string partial;  // bytes after the last whole event
  std::string last_id;  // of the last whole event that names an id
  size_t events = 0;    // whole events so far
};

// Returns all whole events that `data` completes, as received.
std::string TakeWholeEvents(event_splitter& splitter, std::string_view data);

// Forgets an incomplete event, because the stream continues from another endpoint.
void DropPartialEvent(event_splitter& splitter);

}  // namespace balsambay::gateway
