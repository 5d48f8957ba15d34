// Reader election, age limits and messages for shared tables.
#include "details/sharing.h"

#include <algorithm>
#include <numeric>

#include "exchange/watch.h"

namespace balsambay::gateway {
namespace {

using exchange::changed_row;
using exchange::shared_change;
using exchange::table_change;
using std::chrono_literals::operator""ms;

// Multiplied by the number of gateways, this is the shortest check interval of each, so that all
// gateways together send at most one check in this time, unless the cap applies. The first check
// usually confirms the copies of all others; see OnPeerPosition.
constexpr duration kCheckIntervalPerGateway = 5ms;
constexpr duration kMinCheckIntervalFloor = 500ms;
constexpr duration kMinCheckIntervalCap = 1500ms;
// The platform counts the store as healthy again after this many times the limit for a lost call,
// which is half of the time that the platform states (platform/src/settings.cc).
constexpr int kRecoveryFactor = 2;
// Delivery grace at a reader, for rows that another gateway forwards.
constexpr duration kReaderGrace = 150ms;
// Delivery grace at a gateway that is no reader: after another change, the readers may be waiting
// for further ones before they call the store again.
constexpr duration kNonReaderGrace = 1000ms;
// Age at which a copy is checked, as a fraction of the time within which every gateway must know a
// change. Readers check first and inform the others. Together with the jitter (freshness.cc), one
// lost check and the interval after it, the whole path stays below that time.
constexpr double kReaderAgeFraction = 0.3;
constexpr double kNonReaderAgeFraction = 0.4;

// Number of gateways of a cell that follow the shared tables for the whole cell.
constexpr size_t kReaders = 2;
// Hashed to rank the members; the same at all gateways of an installation.
constexpr std::string_view kReaderOrder = "readers of the shared tables";

// Larger changes are not forwarded: each gateway fetches them from the store, where many rows take
// one call.
constexpr size_t kMaxForwardedBytes = 4000;
// Rows of one datagram.
constexpr size_t kMaxRowBytesPerMessage = 1100;

size_t RowBytes(const changed_row& row) {
  return row.key.size() + (row.value ? row.value->size() : 0);
}

// Splits a change into parts for one datagram each. Rows are ordered by version, and those of one
// version stay in one part, so that a receiver of a part knows all changes up to its `until`.
std::vector<shared_change> Split(const shared_change& shared) {
  std::vector<shared_change> parts;
  size_t bytes = 0;
  for (const changed_row& row : shared.change.rows) {
    const bool full = !parts.empty() && bytes + RowBytes(row) > kMaxRowBytesPerMessage &&
                      row.version > parts.back().change.until;
    if (parts.empty() || full) {
      const uint64_t since = parts.empty() ? shared.change.since : parts.back().change.until;
      parts.push_back({.table = shared.table, .change = {since, 0, {}}});
      bytes = 0;
    }
    bytes += RowBytes(row);
    parts.back().change.rows.push_back(row);
    parts.back().change.until = row.version;
  }
  if (parts.empty()) return {shared};
  parts.back().change.until = shared.change.until;
  parts.back().as_of_ms = shared.as_of_ms;
  return parts;
}

}  // namespace

void ConfigureFreshness(freshness& copy, const table_role& role, const propagation_limits& limits,
                        int age_factor) {
  copy.min_check_interval = std::clamp<duration>(kCheckIntervalPerGateway * role.gateway_count,
                                                 kMinCheckIntervalFloor, kMinCheckIntervalCap);
  copy.max_check_interval = limits.lost_call * kRecoveryFactor;
  copy.max_age = limits.lost_call;
  if (!role.exact) {
    const double fraction = role.is_reader ? kReaderAgeFraction : kNonReaderAgeFraction;
    copy.max_age =
        std::min(copy.max_age, std::chrono::duration_cast<duration>(limits.change * fraction));
  }
  copy.max_age *= age_factor;
  copy.delivery_grace = kNonReaderGrace;
  if (role.is_reader) copy.delivery_grace = role.exact ? duration::zero() : kReaderGrace;
}

bool IsElectedReader(std::string_view self, std::span<const cell_member> others,
                     const reader_election_times& times) {
  const bool starting = times.now - times.started < times.lifetime;
  const bool store_is_back = times.now - times.store_recovered_at < times.lifetime;
  std::vector<std::string_view> candidates;
  for (const cell_member& member : others) {
    const bool is_alive = times.now - member.last_heard < times.lifetime;
    if (starting || (is_alive && (store_is_back || member.reaches_store))) {
      candidates.push_back(member.id);
    }
  }
  return exchange::WatchRank(kReaderOrder, self, candidates) < kReaders;
}

bool ShouldShareWithCell(bool is_reader, const table_change& change, const freshness& copy) {
  const bool is_unannounced =
      !change.rows.empty() && change.rows.back().version > NewestAnnouncedVersion(copy);
  return is_reader || is_unannounced;
}

std::vector<cell_message> MakeCellMessages(const shared_change& change, uint32_t self,
                                           const exchange::topology& topology,
                                           std::span<const exchange::member> members,
                                           random_generator& rng) {
  shared_change content = change;
  if (IsLarge(change.change)) content.change.rows.clear();
  std::vector<cell_message> messages;
  for (const shared_change& part : Split(content)) {
    for (const std::vector<size_t>& group : exchange::RelayGroups(topology, rng)) {
      cell_message addressed{group.front(), {}};
      // Without this gateway's feed positions, which would announce rows that are still on their
      // way.
      addressed.message.sender = self;
      addressed.message.rows = part;
      std::ranges::transform(group.begin() + 1, group.end(),
                             std::back_inserter(addressed.message.rows->forward_to),
                             [&](size_t index) { return exchange::IdHash(members[index].id); });
      messages.push_back(std::move(addressed));
    }
  }
  return messages;
}

bool IsLarge(const table_change& change) {
  const size_t bytes =
      std::accumulate(change.rows.begin(), change.rows.end(), size_t{0},
                      [](size_t sum, const changed_row& row) { return sum + RowBytes(row); });
  return bytes > kMaxForwardedBytes;
}

}  // namespace balsambay::gateway
