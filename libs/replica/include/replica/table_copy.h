// Copy of a shared table, made of whole reads and of the changes after them. Versions are those of
// the store as a whole: several tables share one counter.
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

// A value that a row had before.
struct former_value {
  std::string key;
  stored_row row;
};

struct table_copy {
  bool read = false;  // there was a whole read
  stored_rows rows;
  uint64_t complete = 0;  // all changes up to this version are in `rows`; never goes back
  uint64_t changed = 0;   // of the newest change seen; at most `complete`
  // The table did not change after this version, up to `complete`. Others may know less than
  // `complete` and still follow on it.
  uint64_t unchanged_since = 0;
  // Values that changes may still be described by, oldest first; bounded by their size.
  std::deque<former_value> former;
  size_t former_bytes = 0;
};

// What became of a change that another process has passed on.
enum class change_outcome : uint8_t {
  kApplied,
  kKnown,        // nothing in it is new
  kGap,          // changes before it are missing, or the table has not been read yet
  kUnknownBase,  // a value in it is a delta to one that is not known here
};
std::string_view ToString(change_outcome outcome);

struct applied {
  change_outcome outcome = change_outcome::kKnown;
  bool rows_changed = false;
};

// Brings the copy up to the end of the change, or leaves it as it is.
applied Apply(table_copy& copy, const table_change& change);

// Takes the result of a whole read. Returns the difference to what was known, as a change for
// others that know at least as much; without rows if there is none or this is the first read.
// nullopt: the result is older than what is known, and is not taken.
std::optional<table_change> Replace(table_copy& copy, stored_rows rows, uint64_t version);

// The change with values as deltas to what the copy holds, where that is shorter.
table_change WithDeltas(table_change change, const table_copy& copy);

}  // namespace balsambay::replica
