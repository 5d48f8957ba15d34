// To whom a gateway sends its state and its news, and how often. Nothing that one gateway sends or
// receives grows with the square of the installation.
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

// The installation as one gateway sees it. Indexes are those of the members it was made from.
struct topology {
  // All gateways tell all others the exact load of their requests. Otherwise they tell what
  // endpoints report, and only to their cell and to a few members of others.
  bool exact = true;
  duration interval{0};                     // between two messages of state
  std::vector<size_t> cell;                 // the others of the own cell; all others when exact
  std::vector<std::vector<size_t>> others;  // other cells, those of the own zone first
};

// Bytes a second that a gateway may send, and receive, for all its messages.
inline constexpr double kBytesPerSecond = 6000;

// `members` may or may not contain the gateway itself. Every gateway forms the same cells from the
// same members.
topology MakeTopology(std::span<const member> members, std::string_view self,
                      std::string_view zone);

// Receivers of the state message number `round`: the whole cell, and in some rounds a random member
// of some of the other cells, all of which get their turn.
struct receivers {
  std::vector<size_t> cell;
  std::vector<size_t> relays;  // members of other cells, who pass it on to theirs
};
receivers StateReceivers(const topology& topology, size_t round, random_generator& rng);

// Receivers of news: the whole cell, and a random member of several other cells. Whoever learns the
// news by them sends them on in the same way, once.
receivers NewsReceivers(const topology& topology, random_generator& rng);

// Receivers of something larger, such as rows of a shared table, that is meant for the own cell:
// each group's first member sends it on to the others, so that nobody sends it often.
std::vector<std::vector<size_t>> CellGroups(const topology& topology, random_generator& rng);

// How long a gateway that is in the same cell may be silent before it counts as gone.
duration Lifetime(const topology& topology);

// How old the news may be that a gateway of any cell reaches the store.
duration ContactLifetime(const topology& topology);

}  // namespace balsambay::exchange
