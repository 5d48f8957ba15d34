// Applies whole reads, changes and deltas to a copy of a table.
#include "replica/table_copy.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "base/delta.h"

namespace balsambay::replica {
namespace {

// Limit for a value decoded from a delta that another process sent; values of the store are
// shorter.
constexpr size_t kMaxValueBytes = size_t{4} << 20;
// Values shorter than this are sent whole: a delta would save too little.
constexpr size_t kMinDeltaValueBytes = 64;
// Limit for the previous values of each table: enough for a series of changes of a configuration
// with some hundred routes, or for one change of each endpoint of a large installation.
constexpr size_t kMaxPreviousBytes = size_t{512} << 10;

void KeepPreviousRow(table_copy& copy, const std::string& key, stored_row row) {
  if (row.value.size() < kMinDeltaValueBytes || row.value.size() > kMaxPreviousBytes) return;
  copy.previous_bytes += row.value.size();
  copy.previous_rows.push_back({key, std::move(row)});
  while (copy.previous_bytes > kMaxPreviousBytes) {
    copy.previous_bytes -= copy.previous_rows.front().row.value.size();
    copy.previous_rows.pop_front();
  }
}

// Returns nullptr if the copy has neither a current nor a previous value of that version.
const std::string* FindValue(const table_copy& copy, const std::string& key, uint64_t version) {
  const auto current = copy.rows.find(key);
  if (current != copy.rows.end() && current->second.version == version) {
    return &current->second.value;
  }
  const auto previous =
      std::ranges::find_if(copy.previous_rows, [&](const previous_row& candidate) {
        return candidate.row.version == version && candidate.key == key;
      });
  return previous == copy.previous_rows.end() ? nullptr : &previous->row.value;
}

// Returns nullopt if the row was deleted, or if its delta is damaged or refers to a value that the
// copy does not have.
std::optional<std::string> DecodeValue(const table_copy& copy, const changed_row& row) {
  if (!row.delta_base_version) return row.value;
  if (*row.delta_base_version == 0) return ApplyDelta("", *row.value, kMaxValueBytes);
  const std::string* base = FindValue(copy, row.key, *row.delta_base_version);
  if (base == nullptr) return std::nullopt;
  return ApplyDelta(*base, *row.value, kMaxValueBytes);
}

void SetRow(table_copy& copy, const std::string& key, stored_row row) {
  const auto [entry, added] = copy.rows.try_emplace(key);
  if (!added) KeepPreviousRow(copy, key, std::move(entry->second));
  entry->second = std::move(row);
}

void EraseRow(table_copy& copy, const std::string& key) {
  const auto found = copy.rows.find(key);
  if (found == copy.rows.end()) return;
  KeepPreviousRow(copy, key, std::move(found->second));
  copy.rows.erase(found);
}

// The change from `before` to a read of the whole table at `version`. A whole read does not show at
// which version a missing row was deleted, so deletions carry the version of the read.
table_change Difference(const table_copy& before, const stored_rows& after, uint64_t version) {
  table_change difference{before.unchanged_since, version, {}};
  for (const auto& [key, row] : after) {
    if (row.version > before.complete) difference.rows.push_back({key, row.version, row.value});
  }
  for (const auto& [key, row] : before.rows) {
    if (!after.contains(key)) difference.rows.push_back({key, version, std::nullopt});
  }
  std::ranges::stable_sort(difference.rows, {}, &changed_row::version);
  return difference;
}

}  // namespace

std::string_view ToString(change_outcome outcome) {
  constexpr std::array<std::string_view, 4> kNames = {"applied", "known", "gap", "unknown base"};
  return kNames.at(static_cast<size_t>(outcome));
}

apply_result Apply(table_copy& copy, const table_change& change) {
  if (!copy.loaded) return {change_outcome::kGap, false};
  if (change.until <= copy.complete) return {change_outcome::kAlreadyApplied, false};
  if (change.since > copy.complete) return {change_outcome::kGap, false};
  std::vector<std::pair<const changed_row*, std::optional<std::string>>> new_rows;
  for (const changed_row& row : change.rows) {
    if (row.version <= copy.complete) continue;
    auto value = DecodeValue(copy, row);
    if (row.value && !value) return {change_outcome::kUnknownBase, false};
    new_rows.emplace_back(&row, std::move(value));
  }
  for (auto& [row, value] : new_rows) {
    copy.changed = std::max(copy.changed, row->version);
    copy.unchanged_since = copy.changed;
    if (value) {
      SetRow(copy, row->key, {row->version, std::move(*value)});
    } else {
      EraseRow(copy, row->key);
    }
  }
  copy.complete = change.until;
  return {change_outcome::kApplied, !new_rows.empty()};
}

std::optional<table_change> ReplaceRows(table_copy& copy, stored_rows rows, uint64_t version) {
  // An older read would undo changes that the copy already contains.
  if (version < copy.complete) return std::nullopt;
  table_change difference{version, version, {}};
  if (copy.loaded) difference = Difference(copy, rows, version);
  for (auto& [key, row] : copy.rows) {
    const auto found = rows.find(key);
    const bool unchanged = found != rows.end() && found->second.version == row.version;
    if (!unchanged) KeepPreviousRow(copy, key, std::move(row));
  }
  copy.rows = std::move(rows);
  copy.complete = version;
  // The read does not show when rows were deleted, which may have been as late as `version`.
  copy.unchanged_since = version;
  copy.loaded = true;
  for (const auto& [key, row] : copy.rows) copy.changed = std::max(copy.changed, row.version);
  return difference;
}

table_change WithDeltas(table_change change, const table_copy& copy) {
  for (changed_row& row : change.rows) {
    if (!row.value || row.value->size() < kMinDeltaValueBytes) continue;
    const auto base = copy.rows.find(row.key);
    const bool has_base = base != copy.rows.end();
    std::string delta =
        EncodeDelta(has_base ? std::string_view{base->second.value} : "", *row.value);
    if (delta.size() >= row.value->size()) continue;
    row.value = std::move(delta);
    row.delta_base_version = has_base ? base->second.version : 0;
  }
  return change;
}

}  // namespace balsambay::replica
