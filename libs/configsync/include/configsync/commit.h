// Commits a new configuration version by compare-and-set on the row config/head. If the reply to
// the transaction is lost, the rows are read back to find out whether it was committed. Performs no
// I/O: the caller makes one table call at a time and passes its reply to OnReply().
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "configsync/document.h"
#include "table/table.h"

namespace balsambay::configsync {

// Returns the validation errors of a document as text with field paths; empty if it is valid.
using validate_fn = std::function<std::vector<std::string>(const nlohmann::json& document)>;

struct commit_request {
  nlohmann::json document;
  uint64_t base_version = 0;     // the version that the operator edited; 0 for the first commit
  nlohmann::json base_document;  // document of `base_version`; ignored if that is 0
  std::string nonce;             // unique for each commit
};

// Returns the transaction that creates version `base_version` + 1. `head_row_version` is the
// version of the row config/head in the table (0: the row is absent).
table::transaction BuildTransaction(const commit_request& request, uint64_t head_row_version);

// The table call that comes next.
enum class commit_phase { kReadHead, kTransact, kReadBack, kDone };

struct commit_outcome {
  enum class kind {
    kCommitted,
    kConflict,      // another commit was first; `version` is the version in config/head
    kNotCommitted,  // nothing was written
    // The reply to a transaction was lost, and read-back failed or found its rows pruned. Only a
    // later read of the table can show whether it was committed.
    kUnknown,
  };
  kind result = kind::kNotCommitted;
  uint64_t version = 0;
};

// State of one commit. Invariant: at most one table call is outstanding, and none in kDone.
struct committer {
  commit_request request;
  std::string base_digest;
  commit_phase phase = commit_phase::kReadHead;
  uint64_t head_row_version = 0;
  bool has_unknown_outcome = false;  // the reply to a transaction was lost
  int calls_left = 0;                // table calls that may still be made
  commit_outcome outcome;            // valid in kDone
};

using table_call = std::variant<table::read_request, table::transaction>;
// monostate: no reply arrived, so the outcome of the call is unknown.
using table_reply = std::variant<std::monostate, table::read_reply, table::commit_reply>;

// Makes at most `max_calls` table calls. Errors: kInvalidArgument if the document is invalid, with
// all validation errors, one per line, or if the nonce is empty; no table call is made then.
result<committer> StartCommit(commit_request request, const validate_fn& validate,
                              int max_calls = 10);

// The table call to make now; nullopt in kDone.
std::optional<table_call> NextCall(const committer& committer);
// Handles the reply to the call that NextCall() returned.
void OnReply(committer& committer, const table_reply& reply);

}  // namespace balsambay::configsync
