// SCXML subset parser and transition lookup.
#include "chart/chart.h"

#include <algorithm>
#include <pugixml.hpp>
#include <sstream>

namespace balsambay::chart {
namespace {

result<uint8_t> IndexOf(std::span<const std::string_view> names, std::string_view name,
                        std::string_view kind) {
  const auto it = std::ranges::find(names, name);
  if (it == names.end()) {
    return Failure(errc::kInvalidArgument,
                   "chart names unknown " + std::string(kind) + " \"" + std::string(name) + "\"");
  }
  return static_cast<uint8_t>(it - names.begin());
}

result<transition> ParseTransition(const pugi::xml_node& node,
                                   std::span<const std::string_view> states,
                                   std::span<const std::string_view> actions) {
  transition out;
  BOOST_OUTCOME_TRY(target, IndexOf(states, node.attribute("target").value(), "state"));
  out.target = target;
  std::istringstream words(node.attribute("action").value());
  for (std::string word; words >> word;) {
    BOOST_OUTCOME_TRY(action, IndexOf(actions, word, "action"));
    out.actions.push_back(action);
  }
  return out;
}

}  // namespace

result<table> Parse(std::string_view scxml, std::span<const std::string_view> states,
                    std::span<const std::string_view> events,
                    std::span<const std::string_view> actions) {
  pugi::xml_document document;
  const pugi::xml_parse_result parsed = document.load_buffer(scxml.data(), scxml.size());
  if (!parsed) {
    return Failure(errc::kInvalidArgument,
                   std::string("chart is not XML: ") + parsed.description());
  }
  const pugi::xml_node root = document.child("scxml");
  table out;
  out.event_count = events.size();
  out.cells.resize(states.size() * events.size());
  out.final_states.resize(states.size());
  std::vector<bool> seen(states.size());
  BOOST_OUTCOME_TRY(initial, IndexOf(states, root.attribute("initial").value(), "state"));
  out.initial = initial;
  for (const pugi::xml_node& node : root.children()) {
    const std::string_view kind = node.name();
    if (kind != "state" && kind != "final") continue;
    BOOST_OUTCOME_TRY(state, IndexOf(states, node.attribute("id").value(), "state"));
    seen[state] = true;
    out.final_states[state] = kind == "final";
    for (const pugi::xml_node& child : node.children("transition")) {
      BOOST_OUTCOME_TRY(event, IndexOf(events, child.attribute("event").value(), "event"));
      BOOST_OUTCOME_TRY(cell, ParseTransition(child, states, actions));
      out.cells[state * events.size() + event] = std::move(cell);
    }
  }
  const auto missing = std::ranges::find(seen, false);
  if (missing != seen.end()) {
    return Failure(errc::kInvalidArgument,
                   "chart lacks state \"" + std::string(states[missing - seen.begin()]) + "\"");
  }
  return out;
}

table ParseEmbedded(std::string_view scxml, std::span<const std::string_view> states,
                    std::span<const std::string_view> events,
                    std::span<const std::string_view> actions) {
  auto parsed = Parse(scxml, states, events, actions);
  CheckInvariant(parsed.has_value(), parsed.has_value() ? "" : parsed.error().detail);
  return std::move(parsed).value();
}

const transition* Find(const table& chart, size_t state, size_t event) {
  const auto& cell = chart.cells[state * chart.event_count + event];
  return cell ? &*cell : nullptr;
}

}  // namespace balsambay::chart
