// Cells and intervals.
#include "exchange/topology.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "base/hash.h"

namespace balsambay::exchange {
namespace {

using std::chrono_literals::operator""ms;

// Installations of up to this many gateways exchange exact loads with everybody.
constexpr size_t kMostExact = 24;
constexpr duration kExactInterval = 100ms;
constexpr size_t kPeersPerExactInterval = 8;

constexpr size_t kMostInCell = 48;
// State of a few endpoints that the sender watches and some that it passes on, with the headers of
// IP and UDP.
constexpr double kStateBytes = 300;
// The rest of the allowance is for news and for state of other cells.
constexpr double kStatePart = 0.7;
constexpr duration kLeastInterval = 1000ms;
// Other cells are told in each n-th round, this many of them.
constexpr size_t kRelayRounds = 3;
constexpr size_t kRelaysPerRound = 4;
// Cells that are told the news by each gateway that learns them.
constexpr size_t kNewsCells = 6;
// Lost messages of state in a row after which a gateway counts as gone.
constexpr int kMissedMessages = 3;
// Messages of state on the way of what one gateway says to a gateway of another cell: its own, the
// one that passes it on, and rounds in which its cell is not among those told.
constexpr int kContactMessages = 5;
constexpr duration kExactLifetime = 2000ms;

size_t Pick(const std::vector<size_t>& cell, random_generator& rng) {
  return cell[UniformBelow(rng, cell.size())];
}

// Members of each zone in an order that does not depend on their names' meaning, so that the loss
// of a row of neighbours is spread over the cells.
std::map<std::string_view, std::vector<size_t>> ByZone(std::span<const member> members) {
  std::map<std::string_view, std::vector<size_t>> out;
  for (size_t i = 0; i < members.size(); ++i) out[members[i].zone].push_back(i);
  for (auto& [zone, indexes] : out) {
    std::ranges::sort(indexes, {}, [&](size_t i) {
      return std::pair(Hash64(members[i].id), std::string_view{members[i].id});
    });
  }
  return out;
}

duration IntervalOf(size_t receivers) {
  const double seconds =
      static_cast<double>(receivers) * kStateBytes / (kStatePart * kBytesPerSecond);
  return std::max<duration>(kLeastInterval, FromMilliseconds(1000 * seconds));
}

}  // namespace

topology MakeTopology(std::span<const member> members, std::string_view self,
                      std::string_view zone) {
  topology out;
  const bool listed = std::ranges::find(members, self, &member::id) != members.end();
  const size_t count = members.size() + (listed ? 0 : 1);
  if (count <= kMostExact) {
    for (size_t i = 0; i < members.size(); ++i) {
      if (members[i].id != self) out.cell.push_back(i);
    }
    out.interval = kExactInterval * (1 + out.cell.size() / kPeersPerExactInterval);
    return out;
  }
  out.exact = false;
  std::vector<std::vector<size_t>> far;
  for (const auto& [name, indexes] : ByZone(members)) {
    const size_t cells = (indexes.size() + kMostInCell - 1) / kMostInCell;
    for (size_t cell = 0; cell < cells; ++cell) {
      std::vector<size_t> part;
      bool own = name == zone && cells == 1;
      for (size_t i = cell; i < indexes.size(); i += cells) {
        own = own || members[indexes[i]].id == self;
        part.push_back(indexes[i]);
      }
      std::erase_if(part, [&](size_t i) { return members[i].id == self; });
      if (own) {
        out.cell = std::move(part);
      } else if (!part.empty()) {
        (name == zone ? out.others : far).push_back(std::move(part));
      }
    }
  }
  std::ranges::move(far, std::back_inserter(out.others));
  out.interval = IntervalOf(out.cell.size());
  return out;
}

receivers StateReceivers(const topology& topology, size_t round, random_generator& rng) {
  receivers out;
  out.cell = topology.cell;
  if (topology.others.empty() || round % kRelayRounds != 0) return out;
  const size_t count = std::min(kRelaysPerRound, topology.others.size());
  const size_t first = round / kRelayRounds * count;
  for (size_t i = 0; i < count; ++i) {
    out.relays.push_back(Pick(topology.others[(first + i) % topology.others.size()], rng));
  }
  return out;
}

receivers NewsReceivers(const topology& topology, random_generator& rng) {
  receivers out;
  out.cell = topology.cell;
  std::vector<size_t> cells(topology.others.size());
  for (size_t i = 0; i < cells.size(); ++i) cells[i] = i;
  std::ranges::shuffle(cells, rng);
  if (cells.size() > kNewsCells) cells.resize(kNewsCells);
  for (const size_t cell : cells) out.relays.push_back(Pick(topology.others[cell], rng));
  return out;
}

std::vector<std::vector<size_t>> CellGroups(const topology& topology, random_generator& rng) {
  std::vector<size_t> members = topology.cell;
  std::ranges::shuffle(members, rng);
  const auto groups =
      static_cast<size_t>(std::ceil(std::sqrt(static_cast<double>(members.size()))));
  std::vector<std::vector<size_t>> out(groups);
  for (size_t i = 0; i < members.size(); ++i) out[i % groups].push_back(members[i]);
  return out;
}

duration Lifetime(const topology& topology) {
  const duration silent = kMissedMessages * topology.interval;
  return topology.exact ? std::max<duration>(kExactLifetime, silent) : silent;
}

duration ContactLifetime(const topology& topology) {
  return topology.exact ? Lifetime(topology) : kContactMessages * topology.interval;
}

}  // namespace balsambay::exchange
