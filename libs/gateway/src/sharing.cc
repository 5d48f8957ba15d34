// Roles, limits and messages for shared tables.
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

// Checks of all gateways together stay within this rate; see OnPeerPosition for the first one.
constexpr duration kCheckPauseEach = 5ms;
constexpr duration kLeastCheckPause = 500ms;
constexpr duration kMostCheckPause = 1500ms;
// The platform takes the store for sound again after this many times the limit for a lost call,
// which is half of the time that it names (platform/src/settings.cc).
constexpr int kSoundAfter = 2;
// Time for rows that another gateway passes on, if this one follows the tables.
constexpr duration kRowGrace = 150ms;
// If it does not: the gateways that follow may be in their pause after another change.
constexpr duration kReaderGrace = 1000ms;
// Parts of the time in which a change must be known everywhere at which a copy is checked. Readers
// check first and tell the others. With the spread (freshness.cc), a check that is lost and the
// pause after it, the whole way stays below that time.
constexpr double kReaderAgePart = 0.3;
constexpr double kOthersAgePart = 0.4;

// Gateways of a cell that follow the shared tables for all of it.
constexpr size_t kReaders = 2;
constexpr std::string_view kReaderOrder = "readers of the shared tables";

// Larger changes are asked for at the store by each gateway, as fetching many rows is one call
// there.
constexpr size_t kMostRowBytes = 4000;
// Of one datagram.
constexpr size_t kRowBytesPerMessage = 1100;

size_t BytesOf(const changed_row& row) {
  return row.key.size() + (row.value ? row.value->size() : 0);
}

// Rows are in the order of their versions. Those of one version stay together: a receiver of a part
// knows all changes up to its end.
std::vector<shared_change> Split(const shared_change& whole) {
  std::vector<shared_change> out;
  size_t bytes = 0;
  for (const changed_row& row : whole.change.rows) {
    const bool full = !out.empty() && bytes + BytesOf(row) > kRowBytesPerMessage &&
                      row.version > out.back().change.until;
    if (out.empty() || full) {
      const uint64_t since = out.empty() ? whole.change.since : out.back().change.until;
      out.push_back({.table = whole.table, .change = {since, 0, {}}});
      bytes = 0;
    }
    bytes += BytesOf(row);
    out.back().change.rows.push_back(row);
    out.back().change.until = row.version;
  }
  if (out.empty()) return {whole};
  out.back().change.until = whole.change.until;
  out.back().as_of_ms = whole.as_of_ms;
  return out;
}

}  // namespace

void AdaptFreshness(freshness& item, const table_role& role, const notice_limits& limits,
                    int age_factor) {
  item.check_pause =
      std::clamp<duration>(kCheckPauseEach * role.gateways, kLeastCheckPause, kMostCheckPause);
  item.longest_pause = limits.lost_call * kSoundAfter;
  item.limit = limits.lost_call;
  if (!role.exact) {
    const double part = role.reading ? kReaderAgePart : kOthersAgePart;
    item.limit = std::min(item.limit, std::chrono::duration_cast<duration>(limits.change * part));
  }
  item.limit *= age_factor;
  item.grace = kReaderGrace;
  if (role.reading) item.grace = role.exact ? duration::zero() : kRowGrace;
}

bool ReadsForCell(std::string_view self, std::span<const cell_member> others,
                  const reader_times& times) {
  const bool starting = times.now - times.started < times.lifetime;
  const bool returning = times.now - times.store_back_at < times.lifetime;
  std::vector<std::string_view> able;
  for (const cell_member& item : others) {
    const bool lives = times.now - item.heard < times.lifetime;
    if (starting || (lives && (returning || item.reaches_store))) able.push_back(item.id);
  }
  return exchange::WatchRank(kReaderOrder, self, able) < kReaders;
}

bool TellsCell(bool reading, const table_change& change, const freshness& item) {
  const bool is_new = !change.rows.empty() && change.rows.back().version > KnownElsewhere(item);
  return reading || is_new;
}

std::vector<row_message> TellCell(const shared_change& change, uint32_t self,
                                  const exchange::topology& topology,
                                  std::span<const exchange::member> members,
                                  random_generator& rng) {
  shared_change told = change;
  if (IsLarge(change.change)) told.change.rows.clear();
  std::vector<row_message> out;
  for (const shared_change& part : Split(told)) {
    for (const std::vector<size_t>& group : exchange::CellGroups(topology, rng)) {
      row_message item{group.front(), {}};
      // Without the position of this gateway, which would tell of rows that are still on their way.
      item.message.from = self;
      item.message.rows = part;
      std::ranges::transform(group.begin() + 1, group.end(),
                             std::back_inserter(item.message.rows->pass_to),
                             [&](size_t index) { return exchange::NameOf(members[index].id); });
      out.push_back(std::move(item));
    }
  }
  return out;
}

bool IsLarge(const table_change& change) {
  const size_t bytes =
      std::accumulate(change.rows.begin(), change.rows.end(), size_t{0},
                      [](size_t sum, const changed_row& row) { return sum + BytesOf(row); });
  return bytes > kMostRowBytes;
}

}  // namespace balsambay::gateway
