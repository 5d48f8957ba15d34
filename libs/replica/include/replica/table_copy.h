// Local copy of a shared table, built from reads of the whole table and the changes after them.
// Versions are those of the store as a whole: several tables share one counter.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "exchange/message.h"

namespace balsambay::replica {

using exchange::changed_row;
using exchange::table_change;

struct stored_row {
  uint64_t version = 0;
  std::string value;
  bool operator==(const stored_row&) const = default;
};

using stored_rows = std::map<std::string, stored_row>;  // by key

// A row as it was before it was changed or deleted.
struct previous_row {
  std::string key;
  stored_row row;
};

struct table_copy {
  bool loaded = false;  // the whole table has been read at least once
  stored_rows rows;
  uint64_t complete = 0;  // `rows` contains all changes up to this version; never decreases
  uint64_t changed = 0;   // version of the newest change seen; at most `complete`
  // The table did not change between this version and `complete`. A change that starts at this
  // version fits every copy that is complete up to it, even if not up to `complete`.
  uint64_t unchanged_since = 0;
  // Previous values, which deltas in later changes may refer to; oldest first, limited in bytes.
  std::deque<previous_row> previous_rows;
  size_t previous_bytes = 0;  // sum of the values' sizes in `previous_rows`
};

// Result of applying a change that another process forwarded.
enum class change_outcome : uint8_t {
  kApplied,
  kAlreadyApplied,  // the copy already contains everything up to the end of the change
  kGap,             // changes before it are missing, or the table has not been read yet
  kUnknownBase,  // a value is a delta that is damaged, or whose base value the copy does not have
};
std::string_view ToString(change_outcome outcome);

struct apply_result {
  change_outcome outcome = change_outcome::kAlreadyApplied;
  bool rows_changed = false;
};

// Brings the copy up to the end of the change. The copy is left as it is unless the outcome is
// kApplied.
apply_result Apply(table_copy& copy, const table_change& change);

// Replaces the rows with those of a read of the whole table at `version`. Returns the difference
// from the previous rows, as a change for copies that are at least as complete as this one was; it
// has no rows if nothing differs or if this is the first read. Returns nullopt and leaves the copy
// as it is if the read is older than the copy.
std::optional<table_change> ReplaceRows(table_copy& copy, stored_rows rows, uint64_t version);

// Encodes values of the change as deltas to the values in the copy, where a delta is shorter.
table_change WithDeltas(table_change change, const table_copy& copy);

}  // namespace balsambay::replica
