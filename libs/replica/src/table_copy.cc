// Rows, versions and deltas of a copy.
#include "replica/table_copy.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "base/delta.h"

namespace balsambay::replica {
namespace {

// Of a value that others describe by a delta; values of the store are shorter.
constexpr size_t kMostValueBytes = size_t{4} << 20;
// Shorter values are not worth a delta.
constexpr size_t kLeastDeltaValue = 64;
// Of former values, for each table: a series of changes of a configuration with some hundred
// routes, or one of each endpoint of a large installation.
constexpr size_t kMostFormerBytes = size_t{512} << 10;

void KeepFormer(table_copy& copy, const std::string& key, stored_row row) {
  if (row.value.size() < kLeastDeltaValue || row.value.size() > kMostFormerBytes) return;
  copy.former_bytes += row.value.size();
  copy.former.push_back({key, std::move(row)});
  while (copy.former_bytes > kMostFormerBytes) {
    copy.former_bytes -= copy.former.front().row.value.size();
    copy.former.pop_front();
  }
}

// nullptr: not known here.
const std::string* FindValue(const table_copy& copy, const std::string& key, uint64_t version) {
  const auto now = copy.rows.find(key);
  if (now != copy.rows.end() && now->second.version == version) return &now->second.value;
  const auto before = std::ranges::find_if(copy.former, [&](const former_value& item) {
    return item.row.version == version && item.key == key;
  });
  return before == copy.former.end() ? nullptr : &before->row.value;
}

// nullopt: the delta is to a value that is not known here, or is damaged.
std::optional<std::string> ValueOf(const table_copy& copy, const changed_row& row) {
  if (!row.delta_to) return row.value;
  if (*row.delta_to == 0) return ApplyDelta("", *row.value, kMostValueBytes);
  const std::string* base = FindValue(copy, row.key, *row.delta_to);
  if (base == nullptr) return std::nullopt;
  return ApplyDelta(*base, *row.value, kMostValueBytes);
}

void SetRow(table_copy& copy, const std::string& key, stored_row row) {
  const auto [found, added] = copy.rows.try_emplace(key);
  if (!added) KeepFormer(copy, key, std::move(found->second));
  found->second = std::move(row);
}

void EraseRow(table_copy& copy, const std::string& key) {
  const auto found = copy.rows.find(key);
  if (found == copy.rows.end()) return;
  KeepFormer(copy, key, std::move(found->second));
  copy.rows.erase(found);
}

// When rows went does not show in a whole read; they are not there at its version.
table_change Difference(const table_copy& before, const stored_rows& after, uint64_t version) {
  table_change out{before.unchanged_since, version, {}};
  for (const auto& [key, row] : after) {
    if (row.version > before.complete) out.rows.push_back({key, row.version, row.value});
  }
  for (const auto& [key, row] : before.rows) {
    if (!after.contains(key)) out.rows.push_back({key, version, std::nullopt});
  }
  std::ranges::stable_sort(out.rows, {}, &changed_row::version);
  return out;
}

}  // namespace

std::string_view ToString(change_outcome outcome) {
  constexpr std::array<std::string_view, 4> kNames = {"applied", "known", "gap", "unknown base"};
  return kNames.at(static_cast<size_t>(outcome));
}

applied Apply(table_copy& copy, const table_change& change) {
  if (!copy.read) return {change_outcome::kGap, false};
  if (change.until <= copy.complete) return {change_outcome::kKnown, false};
  if (change.since > copy.complete) return {change_outcome::kGap, false};
  std::vector<std::pair<const changed_row*, std::optional<std::string>>> newer;
  for (const changed_row& row : change.rows) {
    if (row.version <= copy.complete) continue;
    auto value = ValueOf(copy, row);
    if (row.value && !value) return {change_outcome::kUnknownBase, false};
    newer.emplace_back(&row, std::move(value));
  }
  for (auto& [row, value] : newer) {
    copy.changed = std::max(copy.changed, row->version);
    copy.unchanged_since = copy.changed;
    if (value) {
      SetRow(copy, row->key, {row->version, std::move(*value)});
    } else {
      EraseRow(copy, row->key);
    }
  }
  copy.complete = change.until;
  return {change_outcome::kApplied, !newer.empty()};
}

std::optional<table_change> Replace(table_copy& copy, stored_rows rows, uint64_t version) {
  // Changes that are known already would be undone.
  if (version < copy.complete) return std::nullopt;
  table_change out{version, version, {}};
  if (copy.read) out = Difference(copy, rows, version);
  for (auto& [key, row] : copy.rows) {
    const auto found = rows.find(key);
    const bool same = found != rows.end() && found->second.version == row.version;
    if (!same) KeepFormer(copy, key, std::move(row));
  }
  copy.rows = std::move(rows);
  copy.complete = version;
  // Rows that were deleted before do not show when.
  copy.unchanged_since = version;
  copy.read = true;
  for (const auto& [key, row] : copy.rows) copy.changed = std::max(copy.changed, row.version);
  return out;
}

table_change WithDeltas(table_change change, const table_copy& copy) {
  for (changed_row& row : change.rows) {
    if (!row.value || row.value->size() < kLeastDeltaValue) continue;
    const auto known = copy.rows.find(row.key);
    const bool has_base = known != copy.rows.end();
    std::string delta =
        EncodeDelta(has_base ? std::string_view{known->second.value} : "", *row.value);
    if (delta.size() >= row.value->size()) continue;
    row.value = std::move(delta);
    row.delta_to = has_base ? known->second.version : 0;
  }
  return change;
}

}  // namespace balsambay::replica
