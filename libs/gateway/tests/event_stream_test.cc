// Splitting of server-sent event streams, and the budget of repeated requests.
#include "details/event_stream.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "details/repeat_budget.h"

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: text " + std::to_string(id) + "\n\n";
}

// Guards against forwarding half an event: a stream that is continued by another endpoint would
// then contain that part twice, or a broken event.
TEST_CASE("only complete events are returned, however the stream is cut into pieces") {
  rc::prop("pieces of random size", [] {
    std::string text;
    const int count = *rc::gen::inRange(1, 20);
    for (int i = 1; i <= count; ++i) text += Event(i);
    const size_t cut = *rc::gen::inRange<size_t>(0, text.size() + 1);
    event_splitter splitter;
    std::string returned;
    for (size_t begin = 0; begin < cut;) {
      const size_t size = std::min(*rc::gen::inRange<size_t>(1, 40), cut - begin);
      returned += TakeCompleteEvents(splitter, std::string_view(text).substr(begin, size));
      begin += size;
    }
    RC_ASSERT(returned + splitter.partial == text.substr(0, cut));
    RC_ASSERT(returned.empty() || returned.ends_with("\n\n"));
    RC_ASSERT(splitter.last_id == (splitter.events == 0 ? "" : std::to_string(splitter.events)));
  });
}

// The connection to an endpoint breaks in the middle of an event. The next endpoint sends this
// event again from its start.
TEST_CASE("a partial event is dropped before the stream continues from another endpoint") {
  event_splitter splitter;
  std::string returned = TakeCompleteEvents(splitter, Event(1) + "id: 2\ndata: te");
  DropPartialEvent(splitter);
  returned += TakeCompleteEvents(splitter, Event(2));
  CHECK(returned == Event(1) + Event(2));
  CHECK(splitter.last_id == "2");
}

TEST_CASE("lines may end with a carriage return and a line feed") {
  event_splitter splitter;
  CHECK(TakeCompleteEvents(splitter, "id: 7\r\ndata: x\r\n\r\nid") == "id: 7\r\ndata: x\r\n\r\n");
  CHECK(splitter.last_id == "7");
}

// Guards against forwarding the text of an error as part of a stream, and against repeated events.
TEST_CASE("only events with increasing ids are accepted") {
  const std::string malformed = GENERATE(as<std::string>(), "internal error\n\n", "data: x\n\n",
                                         "\n\n", "id: 2\ndata: again\n\n", "id: two\ndata: x\n\n",
                                         "id: 3x\n\n", "HTTP/1.1 500 Error\r\nA: b\r\n\r\noops");
  CAPTURE(malformed);
  event_splitter splitter;
  const std::string valid_events = TakeCompleteEvents(splitter, Event(1) + Event(2));
  CHECK(TakeCompleteEvents(splitter, Event(3) + malformed + Event(4)) == Event(3));
  CHECK(splitter.malformed);
  CHECK(splitter.last_id == "3");
  CHECK(splitter.events == 3);
  CHECK(TakeCompleteEvents(splitter, Event(4)).empty());
  // Another endpoint continues after the last accepted event.
  DropPartialEvent(splitter);
  CHECK(TakeCompleteEvents(splitter, Event(4)) == Event(4));
}

// Guards against retry storms: if every request fails, repeats are still limited to a share of the
// requests in the window.
TEST_CASE("repeats stay within the budget of each window") {
  repeat_budget budget{
      .window = 10s, .ratio = 0.2, .held_until = {}, .shares = {{5}}, .services = {}};
  time_point now{};
  int repeats = 0;
  for (int i = 0; i < 100; ++i) {
    now += 10ms;
    CountRequest(budget, "s", now);
    if (!MayRepeat(budget, "s", now)) continue;
    CountRepeat(budget, "s", now);
    ++repeats;
  }
  CHECK(repeats == 25);
  now += 11s;
  CHECK(MayRepeat(budget, "s", now));
}

// Guards against a budget that is shared between services: requests for one service must not allow
// repeats for another.
TEST_CASE("each service has a separate budget") {
  repeat_budget budget{
      .window = 10s, .ratio = 0.2, .held_until = {}, .shares = {{1}}, .services = {}};
  const time_point now{};
  for (int i = 0; i < 100; ++i) CountRequest(budget, "busy", now);
  CHECK(MayRepeat(budget, "other", now));
  CountRepeat(budget, "other", now);
  CHECK_FALSE(MayRepeat(budget, "other", now));
  CHECK(MayRepeat(budget, "busy", now));
}

// Sends as many repeats of one service as the budget allows.
int UseUp(repeat_budget& budget, time_point now) {
  int repeats = 0;
  for (; MayRepeat(budget, "s", now); ++repeats) CountRepeat(budget, "s", now);
  return repeats;
}

// Guards against a restarted gateway that uses the allowance of its earlier process again, and
// against use before the number of gateways is known.
TEST_CASE("a restarted gateway sends no repeats within the window") {
  const time_point start = time_point{} + 100s;
  repeat_budget budget{
      .window = 10s, .ratio = 0.2, .held_until = start + 10s, .shares = {}, .services = {}};
  SetShare(budget, 5, start);
  for (int i = 0; i < 100; ++i) CountRequest(budget, "s", start + 9s);
  CHECK(UseUp(budget, start + 9999ms) == 0);
  CHECK(UseUp(budget, start + 10s) == 25);
  repeat_budget unknown{
      .window = 10s, .ratio = 0.2, .held_until = {}, .shares = {}, .services = {}};
  CHECK(UseUp(unknown, start) == 0);
}

// Guards against a gateway that takes over the share of a killed one whose repeats are still within
// the window: 3 gateways, 60 repeats allowed, one is killed after it has used its share.
TEST_CASE("a share grows after the window has passed") {
  const time_point start = time_point{} + 100s;
  repeat_budget budget{.window = 10s, .ratio = 0, .held_until = {}, .shares = {}, .services = {}};
  SetShare(budget, 60, start - 20s);
  SetShare(budget, 20, start - 19s);
  SetShare(budget, 30, start);
  CHECK(UseUp(budget, start + 1s) == 20);
  CHECK(UseUp(budget, start + 10s) == 0);
  CHECK(UseUp(budget, start + 10001ms) == 10);
  // The gateway returns.
  SetShare(budget, 20, start + 12s);
  CHECK(UseUp(budget, start + 20s) == 10);
}

}  // namespace
}  // namespace balsambay::gateway
