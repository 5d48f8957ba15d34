// Tests of the chart interpreter.
#include "chart/chart.h"

#include <array>
#include <catch2/catch.hpp>

namespace balsambay::chart {
namespace {

enum class door { kOpen, kClosed };
enum class signal { kPush, kPull };
constexpr std::array<std::string_view, 2> kStates = {"open", "closed"};
constexpr std::array<std::string_view, 2> kEvents = {"push", "pull"};
constexpr std::array<std::string_view, 1> kActions = {"count"};

constexpr std::string_view kDoor = R"(<scxml initial="open">
  <state id="open"><transition event="push" target="closed" action="count"/></state>
  <final id="closed"/></scxml>)";

TEST_CASE("a chart moves only along its transitions") {
  const table chart = ParseEmbedded(kDoor, kStates, kEvents, kActions);
  door state = door::kOpen;
  CHECK_FALSE(Step(chart, state, signal::kPull));
  CHECK(state == door::kOpen);
  CHECK(Find(chart, 0, 0)->actions == std::vector<uint8_t>{0});
  CHECK(Step(chart, state, signal::kPush));
  CHECK(state == door::kClosed);
  CHECK(chart.final_states[1]);
}

TEST_CASE("a chart that disagrees with the code is refused; guards against renamed states") {
  const std::array<std::string_view, 3> more_states = {"open", "closed", "locked"};
  CHECK(Parse(kDoor, more_states, kEvents, kActions).error().detail ==
        "chart lacks state \"locked\"");
  CHECK(Parse(kDoor, kStates, kEvents).error().detail == "chart names unknown action \"count\"");
  CHECK(Parse("<scxml", kStates, kEvents).has_error());
  CHECK(Parse("<scxml initial='gone'/>", kStates, kEvents).has_error());
}

}  // namespace
}  // namespace balsambay::chart
