// Calls to the table service, as effects that the caller carries out: it sends `request` and
// reports the outcome under the same id, or `unknown_outcome` when it cannot tell whether the call
// took effect.
#pragma once

#include <cstdint>
#include <variant>

#include "table/table.h"

namespace balsambay::lease {

struct table_call {
  uint64_t id = 0;
  std::variant<table::transaction, table::read_request> request;
};

// The reply was lost or the call timed out; a transaction may still take effect later.
struct unknown_outcome {};

using table_outcome = std::variant<unknown_outcome, table::commit_reply, table::read_reply>;

}  // namespace balsambay::lease
