// Determines to which gateways a gateway sends its state and endpoint events, and how often. The
// traffic of one gateway does not grow with the square of the number of gateways.
//
// Large installations are divided into cells: groups of gateways of one zone. Gateways send their
// state to all members of their cell, and to a few members of other cells, which relay it.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace balsambay::exchange {

struct member {
  std::string id;
  std::string zone;
};

// The installation from the point of view of one gateway. Indexes refer to the members passed to
// MakeTopology().
struct topology {
  // Whether all gateways send the exact load of their own requests to all others. Otherwise they
  // send the reports of endpoints, only to their cell and to a few members of other cells.
  bool exact = true;
  duration interval{0};      // between two state messages
  std::vector<size_t> cell;  // other members of the own cell; if exact, all others
  std::vector<std::vector<size_t>> other_cells;  // other cells, those of the own zone first
};

// Limit for all messages that a gateway sends, and for all that it receives.
inline constexpr double kMaxBytesPerSecond = 6000;

// `members` need not contain the gateway itself. Every gateway derives the same cells from the same
// members.
topology MakeTopology(std::span<const member> members, std::string_view self,
                      std::string_view zone);

struct receivers {
  std::vector<size_t> cell;
  std::vector<size_t> relays;  // members of other cells, which forward the message to their cells
};

// Receivers of the state message number `round`: the whole cell, and in some rounds a random member
// of each of some other cells, in rotation.
receivers StateReceivers(const topology& topology, size_t round, random_generator& rng);

// Receivers of endpoint events: the whole cell, and a random member of each of several other cells.
// Every gateway that learns an event from such a message sends it on in the same way, once.
receivers EventReceivers(const topology& topology, random_generator& rng);

// Groups of receivers for larger messages to the own cell, such as rows of a shared table. The
// first member of each group forwards the message to the rest of the group, so that no gateway
// sends it often.
std::vector<std::vector<size_t>> RelayGroups(const topology& topology, random_generator& rng);

// Time without a message after which a gateway of the same cell is considered gone.
duration PeerTimeout(const topology& topology);

// Time for which the information that a gateway of any cell reaches the store remains valid.
duration StoreContactTimeout(const topology& topology);

}  // namespace balsambay::exchange
