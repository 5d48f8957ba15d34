// Splits a stream of server-sent events at event boundaries, so that only complete events are
// forwarded and an interrupted stream can continue after the last of them. Each event must have an
// id, a number greater than that of the event before. Everything else counts as malformed, such as
// the text of an error or a repeated event.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace balsambay::gateway {

struct event_splitter {
  std::string partial;  // bytes after the last complete event
  std::string last_id;  // of the last complete event; empty: none yet
  size_t events = 0;    // complete events so far
  // Something other than a valid next event was received. No data after it is accepted.
  bool malformed = false;
};

// Appends `data` and returns the events that are complete now, byte for byte as received, up to the
// first malformed one.
std::string TakeCompleteEvents(event_splitter& splitter, std::string_view data);

// Discards everything after the last complete event. Call before the stream continues from another
// endpoint, which sends that part again from its start.
void DropPartialEvent(event_splitter& splitter);

}  // namespace balsambay::gateway
