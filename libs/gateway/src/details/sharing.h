// How gateways pass on the rows of shared tables: who reads for a cell, how old a copy may become,
// and the messages that carry a change. No I/O; peers.cc sends and receives.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "details/freshness.h"
#include "exchange/message.h"
#include "exchange/topology.h"

namespace balsambay::gateway {

// How a gateway takes part.
struct table_role {
  bool exact = true;    // all gateways read for themselves
  bool reading = true;  // follows the tables, for itself or for its cell
  size_t gateways = 1;  // of the installation
};

// Times by which the platform expects changes to be known.
struct notice_limits {
  duration lost_call{0};  // a call for changes that was lost without a sign is noticed
  duration change{0};     // a change in the store is known everywhere
};

// Sets the limits, pauses and grace times of the copies. `age_factor`: of a table that may be
// older.
void AdaptFreshness(freshness& item, const table_role& role, const notice_limits& limits,
                    int age_factor);

// Another member of the own cell, as far as it has told of itself.
struct cell_member {
  std::string_view id;
  time_point heard{};          // its last message of state
  bool reaches_store = false;  // as that said
};

struct reader_times {
  time_point now;
  duration lifetime{0};      // a member that is silent for longer counts as gone
  time_point started;        // of this gateway
  time_point store_back_at;  // when this gateway last reached the store after it had not
};

// Whether the gateway `self`, which reaches the store, follows the tables for its cell. Few members
// do, and each decides for itself: so members that have not yet had the time to say that they are
// there, or that they reach the store again, count as if they had.
bool ReadsForCell(std::string_view self, std::span<const cell_member> others,
                  const reader_times& times);

// Whether a gateway tells its cell of a change that its own call has brought. One that does not
// read for the cell tells only of what nobody has told of: the readers may be gone, stand still or
// be cut off.
bool TellsCell(bool reading, const exchange::table_change& change, const freshness& item);

// A message with rows, and the member that it is sent to.
struct row_message {
  size_t to = 0;
  exchange::message message;
};

// The messages that tell the own cell of a change: parts that fit into a datagram each, to one
// member of each group, who passes them on. A change that is too large goes without its rows:
// whoever receives it asks the store.
std::vector<row_message> TellCell(const exchange::shared_change& change, uint32_t self,
                                  const exchange::topology& topology,
                                  std::span<const exchange::member> members, random_generator& rng);

// Whether a change is more than messages carry.
bool IsLarge(const exchange::table_change& change);

}  // namespace balsambay::gateway
