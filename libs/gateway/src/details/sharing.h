// Distribution of the rows of shared tables among gateways: which gateways of a cell read the
// tables from the store, how old a copy may become, and the messages that carry a change. No I/O;
// peers.cc sends and receives.
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

// How a gateway takes part in the distribution.
struct table_role {
  bool exact = true;         // every gateway reads the tables itself
  bool is_reader = true;     // follows the tables, for itself or for its cell
  size_t gateway_count = 1;  // of the installation
};

// Times within which the platform expects changes to be known.
struct propagation_limits {
  duration lost_call{0};  // detection of a call for changes that was lost without an error
  duration change{0};     // from a change in the store until every gateway knows it
};

// Sets the age limit, check intervals and grace time of a copy. `age_factor` multiplies the age
// limit, for a table that may be older than the others.
void ConfigureFreshness(freshness& copy, const table_role& role, const propagation_limits& limits,
                        int age_factor);

// Another member of this gateway's cell, as its messages describe it.
struct cell_member {
  std::string_view id;
  time_point last_heard{};     // arrival of its last periodic state message
  bool reaches_store = false;  // according to that message
};

struct reader_election_times {
  time_point now;
  duration lifetime{0};           // a member that is silent for longer counts as gone
  time_point started;             // of this gateway
  time_point store_recovered_at;  // when this gateway last regained access to the store
};

// Whether the gateway `self`, which reaches the store, follows the tables for its cell. Few members
// do, and each decides on its own by the same order of ids. Members that have not yet had the time
// to report that they are there, or that they reach the store again, count as if they had.
bool IsElectedReader(std::string_view self, std::span<const cell_member> others,
                     const reader_election_times& times);

// Whether a gateway forwards to its cell a change that its own call to the store has returned.
// Readers always do. Others do so only if no peer has announced the change, since the readers may
// have failed, stalled or lost access to the store.
bool ShouldShareWithCell(bool is_reader, const exchange::table_change& change,
                         const freshness& copy);

// A message with rows, and the index of the member that it is sent to.
struct cell_message {
  size_t receiver = 0;
  exchange::message message;
};

// The messages that forward a change to the own cell. Each part fits into one datagram and goes to
// one member of each group, which forwards it to the rest of the group. A change that is too large
// is sent without its rows, and its receivers ask the store.
std::vector<cell_message> MakeCellMessages(const exchange::shared_change& change, uint32_t self,
                                           const exchange::topology& topology,
                                           std::span<const exchange::member> members,
                                           random_generator& rng);

// Whether a change has more bytes than messages between gateways carry.
bool IsLarge(const exchange::table_change& change);

}  // namespace balsambay::gateway
