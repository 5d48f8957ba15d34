// Division of the gateways into cells, message intervals and receivers.
#include "exchange/topology.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "base/hash.h"

namespace balsambay::exchange {
namespace {

using std::chrono_literals::operator""ms;

// In installations of up to this many gateways, all gateways send exact loads to all others.
constexpr size_t kMaxExactGateways = 24;
constexpr duration kExactInterval = 100ms;
// The interval of an exact topology grows by kExactInterval with each such number of peers.
constexpr size_t kPeersPerExactInterval = 8;

constexpr size_t kMaxCellSize = 48;
// Size of a state message: reports of a few endpoints that the sender watches and some that it
// forwards, with the IP and UDP headers.
constexpr double kStateMessageBytes = 300;
// Fraction of kMaxBytesPerSecond for state messages inside the cell; the rest is for endpoint
// events and for the state of other cells.
constexpr double kStateFraction = 0.7;
constexpr duration kMinInterval = 1000ms;
// State is sent to other cells in every kRelayPeriod-th round, to kRelaysPerRound of them.
constexpr size_t kRelayPeriod = 3;
constexpr size_t kRelaysPerRound = 4;
// Number of other cells to which each gateway that learns an endpoint event forwards it.
constexpr size_t kEventCells = 6;
// Consecutive lost state messages after which a gateway is considered gone.
constexpr int kMaxMissedMessages = 3;
// State messages until information from one gateway reaches a gateway of another cell: its own, the
// one that forwards it, and rounds in which the other cell is not among the receivers.
constexpr int kContactMessages = 5;
constexpr duration kMinExactLifetime = 2000ms;

size_t PickRandom(const std::vector<size_t>& cell, random_generator& rng) {
  return cell[UniformBelow(rng, cell.size())];
}

// Members of each zone, sorted by a hash of the id instead of the id itself, so that the loss of
// gateways with consecutive ids is spread over the cells.
std::map<std::string_view, std::vector<size_t>> GroupByZone(std::span<const member> members) {
  std::map<std::string_view, std::vector<size_t>> by_zone;
  for (size_t i = 0; i < members.size(); ++i) by_zone[members[i].zone].push_back(i);
  for (auto& [zone, indexes] : by_zone) {
    std::ranges::sort(indexes, {}, [&](size_t i) {
      return std::pair(Hash64(members[i].id), std::string_view{members[i].id});
    });
  }
  return by_zone;
}

duration StateInterval(size_t receivers) {
  const double seconds =
      static_cast<double>(receivers) * kStateMessageBytes / (kStateFraction * kMaxBytesPerSecond);
  return std::max<duration>(kMinInterval, FromMilliseconds(1000 * seconds));
}

}  // namespace

topology MakeTopology(std::span<const member> members, std::string_view self,
                      std::string_view zone) {
  topology result;
  const bool is_listed = std::ranges::find(members, self, &member::id) != members.end();
  const size_t gateways = members.size() + (is_listed ? 0 : 1);
  if (gateways <= kMaxExactGateways) {
    for (size_t i = 0; i < members.size(); ++i) {
      if (members[i].id != self) result.cell.push_back(i);
    }
    result.interval = kExactInterval * (1 + result.cell.size() / kPeersPerExactInterval);
    return result;
  }
  result.exact = false;
  std::vector<std::vector<size_t>> cells_of_other_zones;
  for (const auto& [zone_name, indexes] : GroupByZone(members)) {
    const size_t cells = (indexes.size() + kMaxCellSize - 1) / kMaxCellSize;
    for (size_t cell = 0; cell < cells; ++cell) {
      std::vector<size_t> cell_members;
      // A gateway that is not listed yet joins the cell of its zone if there is only one.
      bool is_own_cell = zone_name == zone && cells == 1;
      for (size_t i = cell; i < indexes.size(); i += cells) {
        is_own_cell = is_own_cell || members[indexes[i]].id == self;
        cell_members.push_back(indexes[i]);
      }
      std::erase_if(cell_members, [&](size_t i) { return members[i].id == self; });
      if (is_own_cell) {
        result.cell = std::move(cell_members);
      } else if (!cell_members.empty()) {
        (zone_name == zone ? result.other_cells : cells_of_other_zones)
            .push_back(std::move(cell_members));
      }
    }
  }
  std::ranges::move(cells_of_other_zones, std::back_inserter(result.other_cells));
  result.interval = StateInterval(result.cell.size());
  return result;
}

receivers StateReceivers(const topology& topology, size_t round, random_generator& rng) {
  receivers selected;
  selected.cell = topology.cell;
  if (topology.other_cells.empty() || round % kRelayPeriod != 0) return selected;
  const size_t count = std::min(kRelaysPerRound, topology.other_cells.size());
  const size_t first = round / kRelayPeriod * count;
  for (size_t i = 0; i < count; ++i) {
    selected.relays.push_back(
        PickRandom(topology.other_cells[(first + i) % topology.other_cells.size()], rng));
  }
  return selected;
}

receivers EventReceivers(const topology& topology, random_generator& rng) {
  receivers selected;
  selected.cell = topology.cell;
  std::vector<size_t> cells(topology.other_cells.size());
  for (size_t i = 0; i < cells.size(); ++i) cells[i] = i;
  std::ranges::shuffle(cells, rng);
  if (cells.size() > kEventCells) cells.resize(kEventCells);
  for (const size_t cell : cells)
    selected.relays.push_back(PickRandom(topology.other_cells[cell], rng));
  return selected;
}

std::vector<std::vector<size_t>> RelayGroups(const topology& topology, random_generator& rng) {
  std::vector<size_t> members = topology.cell;
  std::ranges::shuffle(members, rng);
  const auto group_count =
      static_cast<size_t>(std::ceil(std::sqrt(static_cast<double>(members.size()))));
  std::vector<std::vector<size_t>> groups(group_count);
  for (size_t i = 0; i < members.size(); ++i) groups[i % group_count].push_back(members[i]);
  return groups;
}

duration PeerTimeout(const topology& topology) {
  const duration max_silence = kMaxMissedMessages * topology.interval;
  return topology.exact ? std::max<duration>(kMinExactLifetime, max_silence) : max_silence;
}

duration StoreContactTimeout(const topology& topology) {
  return topology.exact ? PeerTimeout(topology) : kContactMessages * topology.interval;
}

}  // namespace balsambay::exchange
