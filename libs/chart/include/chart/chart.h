// State charts in files that the code interprets. A chart is an SCXML document (subset: flat
// states, one target per event); names in the file are bound at start to the enumerators that the
// code uses, so that a chart and its code cannot drift apart unnoticed.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace balsambay::chart {

struct transition {
  uint8_t target = 0;
  std::vector<uint8_t> actions;  // indices into the action names, in the order of the file
};

struct table {
  uint8_t initial = 0;
  size_t event_count = 0;
  // Indexed by state * event_count + event; empty where the chart has no transition.
  std::vector<std::optional<transition>> cells;
  std::vector<bool> final_states;
};

// Parses `scxml` and binds its names to indices in `states`, `events` and `actions`. Fails when the
// document is malformed, names something that is not listed, or lacks a listed state.
result<table> Parse(std::string_view scxml, std::span<const std::string_view> states,
                    std::span<const std::string_view> events,
                    std::span<const std::string_view> actions = {});

// Like Parse, for charts that are part of the program: an error is a broken invariant and aborts.
table ParseEmbedded(std::string_view scxml, std::span<const std::string_view> states,
                    std::span<const std::string_view> events,
                    std::span<const std::string_view> actions = {});

// The transition for `event` in `state`, or nullptr when the chart ignores the event there.
const transition* Find(const table& chart, size_t state, size_t event);

// Moves `state` along the chart; returns whether the chart has a transition for `event`.
template <class State, class Event>
bool Step(const table& chart, State& state, Event event) {
  const transition* found = Find(chart, static_cast<size_t>(state), static_cast<size_t>(event));
  if (found == nullptr) return false;
  state = static_cast<State>(found->target);
  return true;
}

}  // namespace balsambay::chart
