// State machines of shards and records, as defined by the state charts shard.scxml and
// record.scxml.
#pragma once

#include "chart/chart.h"

namespace balsambay::ledger {

enum class shard_state { kForeign, kAcquiring, kLoading, kServing, kDraining };
enum class shard_event { kTakeOver, kAcquired, kLoaded, kHandOver, kReleased, kLost };

enum class record_state : uint8_t { kNotRun, kStarting, kStarted, kRan, kUnknown };
enum class record_event { kClaim, kStartCommitted, kStartRejected, kAbandoned, kRan, kUnknown };

// Apply an event. If the chart has no such transition, return false and leave `state` unchanged.
bool Step(shard_state& state, shard_event event);
bool Step(record_state& state, record_event event);

// State names as in record.scxml. Record rows in the table contain them.
std::string_view ToString(record_state state);
std::optional<record_state> ParseRecordState(std::string_view name);

}  // namespace balsambay::ledger
