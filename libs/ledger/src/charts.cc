// Names of the enumerators in the state charts. The order is that of the enumerators.
#include "details/charts.h"

#include <algorithm>
#include <array>

#include "record_chart.h"
#include "shard_chart.h"

namespace balsambay::ledger {
namespace {

constexpr std::array<std::string_view, 5> kShardStates = {"foreign", "acquiring", "loading",
                                                          "serving", "draining"};
constexpr std::array<std::string_view, 6> kShardEvents = {"take_over", "acquired", "loaded",
                                                          "hand_over", "released", "lost"};
constexpr std::array<std::string_view, 5> kRecordStates = {"not_run", "starting", "started", "ran",
                                                           "unknown"};
constexpr std::array<std::string_view, 6> kRecordEvents = {
    "claim", "start_committed", "start_rejected", "abandoned", "ran", "unknown"};

}  // namespace

bool Step(shard_state& state, shard_event event) {
  static const chart::table table = chart::ParseEmbedded(charts::shard, kShardStates, kShardEvents);
  return chart::Step(table, state, event);
}

bool Step(record_state& state, record_event event) {
  static const chart::table table =
      chart::ParseEmbedded(charts::record, kRecordStates, kRecordEvents);
  return chart::Step(table, state, event);
}

std::string_view ToString(record_state state) { return kRecordStates[static_cast<size_t>(state)]; }

std::optional<record_state> ParseRecordState(std::string_view name) {
  const auto it = std::ranges::find(kRecordStates, name);
  if (it == kRecordStates.end()) return std::nullopt;
  return static_cast<record_state>(it - kRecordStates.begin());
}

}  // namespace balsambay::ledger
