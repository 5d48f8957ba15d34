// Splits a stream of server-sent events at event boundaries, so that only whole events are passed
// on and an interrupted stream can continue after the last of them. Events bear ids, numbers that
// increase; anything else is no part of the stream, such as an error's text, or an event that was
// there before.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace balsambay::gateway {

struct event_splitter {
  std::string partial;  // bytes after the last whole event
  std::string last_id;  // of the last whole event that names an id
  size_t events = 0;    // whole events so far
  // Something else than the next event has come. Nothing after it is taken.
  bool malformed = false;
};

// Returns all whole events that `data` completes, as received, up to the first one that is
// malformed.
std::string TakeWholeEvents(event_splitter& splitter, std::string_view data);

// Forgets what came after the last whole event, because the stream continues from another endpoint.
void DropPartialEvent(event_splitter& splitter);

}  // namespace balsambay::gateway
