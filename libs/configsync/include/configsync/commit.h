// Commit of a new configuration version by compare-and-set on config/head, including the case that
// the reply to the transaction is lost. No I/O: the caller carries out one table call at a time and
// passes back its reply.
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

// Errors of a document as text with field paths; empty when it is valid.
using validate_fn = std::function<std::vector<std::string>(const nlohmann::json& document)>;

struct commit_request {
  nlohmann::json document;
  uint64_t base_version = 0;  // the version that the operator edited; 0 for the first commit
  nlohmann::json base;        // document of base_version; ignored when that is 0
  std::string nonce;          // unique for each commit
};

// The transaction that turns base_version into base_version + 1. `head_row_version` is the row
// version of config/head (0: absent).
table::transaction BuildCommit(const commit_request& request, uint64_t head_row_version);

enum class commit_phase { kReadHead, kTransact, kReadBack, kDone };

struct commit_outcome {
  enum class kind {
    kCommitted,
    kConflict,  // another version was committed first; `version` is the head's
    kNotDone,   // nothing was written
    kUnknown,   // the table did not answer; a later read back decides
  };
  kind result = kind::kNotDone;
  uint64_t version = 0;
};

// Invariant: at most one table call is outstanding, and none in kDone.
struct committer {
  commit_request request;
  std::string base_digest;
  commit_phase phase = commit_phase::kReadHead;
  uint64_t head_row_version = 0;
  bool maybe_sent = false;  // a transaction with an unknown outcome exists
  int attempts_left = 0;
  commit_outcome outcome;  // valid in kDone
};

using table_call = std::variant<table::read_request, table::transaction>;
// monostate: no reply arrived, the outcome of the call is unknown.
using table_reply = std::variant<std::monostate, table::read_reply, table::commit_reply>;

// Errors: kInvalidArgument with all validation errors, one a line; nothing is sent then.
// `attempts` bounds the table calls.
result<committer> StartCommit(commit_request request, const validate_fn& validate,
                              int attempts = 10);

// The call to make now; nothing in kDone.
std::optional<table_call> NextCall(const committer& committer);
void OnReply(committer& committer, const table_reply& reply);

}  // namespace balsambay::configsync
