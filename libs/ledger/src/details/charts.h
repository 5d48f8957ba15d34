// The state charts of shards and records, and their names.
#pragma once

#include "chart/chart.h"

namespace balsambay::ledger {

enum class shard_state { kForeign, kAcquiring, kLoading, kServing, kDraining };
enum class shard_event { kTakeOver, kAcquired, kLoaded, kHandOver, kReleased, kLost };

enum class record_state : uint8_t { kNotRun, kStarting, kStarted, kRan, kUnknown };
enum class record_event { kClaim, kStartCommitted, kStartRejected, kAbandoned, kRan, kUnknown };

// Return whether the chart has the transition.
bool Step(shard_state& state, shard_event event);
bool Step(record_state& state, record_event event);

// Names as in record.scxml, also used in record rows.
std::string_view ToString(record_state state);
std::optional<record_state> RecordStateFrom(std::string_view name);

}  // namespace balsambay::ledger
