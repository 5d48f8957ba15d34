// Phases of a commit: read the head, send the transaction, read back after a lost reply or a
// conflict.
#include "configsync/commit.h"

#include <algorithm>

#include "base/json.h"

namespace balsambay::configsync {
namespace {

using nlohmann::json;

uint64_t NewVersion(const committer& committer) { return committer.request.base_version + 1; }

std::string SnapshotText(const commit_request& request, uint64_t version,
                         const std::string& digest) {
  return json{{"version", version},
              {"digest", digest},
              {"nonce", request.nonce},
              {"document", request.document}}
      .dump();
}

// Appends the deletion of the rows that leave the retention window with `version`.
void AppendPruningWrites(uint64_t version, table::transaction& tx) {
  if (version <= kRetainedVersions) return;
  const uint64_t expired = version - kRetainedVersions;
  tx.writes.push_back({DeltaKey(expired), std::nullopt});
  if (version % kSnapshotInterval != 0) return;
  tx.writes.push_back({SnapshotKey(expired), std::nullopt});
  // The first snapshot has version 1, which is not a multiple of the interval.
  if (expired == kSnapshotInterval) tx.writes.push_back({SnapshotKey(1), std::nullopt});
}

const table::row* FindRow(const table::read_reply& reply, std::string_view key) {
  const auto found = std::ranges::find(reply.rows, key, &table::row::key);
  return found == reply.rows.end() ? nullptr : &*found;
}

void Finish(committer& committer, commit_outcome::kind result, uint64_t version) {
  committer.phase = commit_phase::kDone;
  committer.outcome = {result, version};
}

// Handles a call without a usable reply. Ends the commit if no calls are left.
void OnLostReply(committer& committer) {
  if (committer.phase == commit_phase::kTransact) {
    committer.has_unknown_outcome = true;
    committer.phase = commit_phase::kReadBack;
  }
  if (committer.calls_left > 0) return;
  using kind = commit_outcome::kind;
  Finish(committer, committer.has_unknown_outcome ? kind::kUnknown : kind::kNotCommitted, 0);
}

// Content of config/head as read from the table; both versions are 0 if the row is absent.
struct observed_head {
  head value;
  uint64_t row_version = 0;
  bool malformed = false;
};

observed_head ObserveHead(const table::read_reply& reply) {
  const table::row* row = FindRow(reply, kHeadKey);
  if (row == nullptr) return {};
  const result<head> parsed = HeadFromText(row->value);
  if (parsed.has_error()) return {{}, row->version, true};
  return {parsed.value(), row->version, false};
}

// Whether the head is still the version that the operator edited.
bool MatchesBase(const committer& committer, const observed_head& observed) {
  const commit_request& request = committer.request;
  if (observed.malformed || observed.value.version != request.base_version) return false;
  return request.base_version == 0 || observed.value.digest == committer.base_digest;
}

void OnHead(committer& committer, const table::read_reply& reply) {
  const observed_head observed = ObserveHead(reply);
  if (!MatchesBase(committer, observed)) {
    Finish(committer, commit_outcome::kind::kConflict, observed.value.version);
    return;
  }
  committer.head_row_version = observed.row_version;
  committer.phase = commit_phase::kTransact;
}

bool HasNonce(const table::row* row, const std::string& nonce) {
  if (row == nullptr) return false;
  return TextIn(ParseJson(row->value), "nonce") == nonce;
}

// A delayed transaction of this commit cannot create a second version. Once the head has changed,
// its condition fails; as long as the head has not changed, the repeated transaction has the same
// condition, so at most one of the two is committed.
void OnReadBack(committer& committer, const table::read_reply& reply) {
  const uint64_t version = NewVersion(committer);
  const std::string& nonce = committer.request.nonce;
  const bool is_own_commit = HasNonce(FindRow(reply, kHeadKey), nonce) ||
                             HasNonce(FindRow(reply, DeltaKey(version)), nonce) ||
                             HasNonce(FindRow(reply, SnapshotKey(version)), nonce);
  if (is_own_commit) {
    Finish(committer, commit_outcome::kind::kCommitted, version);
    return;
  }
  const observed_head observed = ObserveHead(reply);
  if (MatchesBase(committer, observed)) {
    committer.head_row_version = observed.row_version;
    committer.phase = commit_phase::kTransact;
    return;
  }
  // The rows whose nonce would identify the commit may have been pruned.
  const bool pruned =
      committer.has_unknown_outcome && observed.value.version >= version + kRetainedVersions;
  Finish(committer, pruned ? commit_outcome::kind::kUnknown : commit_outcome::kind::kConflict,
         observed.value.version);
}

void OnCommitReply(committer& committer, const table::commit_reply& reply) {
  if (reply.committed) {
    Finish(committer, commit_outcome::kind::kCommitted, NewVersion(committer));
    return;
  }
  // The conflict may be with an earlier transaction of this commit, whose reply was lost.
  committer.phase = commit_phase::kReadBack;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += (text.empty() ? "" : "\n") + line;
  return text;
}

}  // namespace

table::transaction BuildTransaction(const commit_request& request, uint64_t head_row_version) {
  const uint64_t version = request.base_version + 1;
  const std::string digest = Digest(request.document);
  table::transaction tx;
  tx.conditions.push_back({std::string(kHeadKey), head_row_version});
  tx.writes.push_back({std::string(kHeadKey),
                       HeadToText({version, digest, request.nonce, LastSnapshotVersion(version)})});
  if (version > 1) {
    const std::string patch = json::diff(request.base_document, request.document).dump();
    tx.writes.push_back({DeltaKey(version), DeltaToText({version, digest, patch}, request.nonce)});
  }
  if (IsSnapshotVersion(version)) {
    tx.writes.push_back({SnapshotKey(version), SnapshotText(request, version, digest)});
  }
  AppendPruningWrites(version, tx);
  return tx;
}

result<committer> StartCommit(commit_request request, const validate_fn& validate, int max_calls) {
  const std::vector<std::string> errors = validate(request.document);
  if (!errors.empty()) return Failure(errc::kInvalidArgument, JoinLines(errors));
  if (request.nonce.empty()) return Failure(errc::kInvalidArgument, "commit request has no nonce");
  committer committer;
  if (request.base_version > 0) committer.base_digest = Digest(request.base_document);
  committer.request = std::move(request);
  committer.calls_left = max_calls;
  return committer;
}

std::optional<table_call> NextCall(const committer& committer) {
  const uint64_t version = NewVersion(committer);
  switch (committer.phase) {
    case commit_phase::kReadHead:
      return table::read_request{{std::string(kHeadKey)}, ""};
    case commit_phase::kTransact:
      return BuildTransaction(committer.request, committer.head_row_version);
    case commit_phase::kReadBack:
      return table::read_request{{std::string(kHeadKey), DeltaKey(version), SnapshotKey(version)},
                                 ""};
    case commit_phase::kDone:
      break;
  }
  return std::nullopt;
}

void OnReply(committer& committer, const table_reply& reply) {
  if (committer.phase == commit_phase::kDone) return;
  --committer.calls_left;
  const auto* rows = std::get_if<table::read_reply>(&reply);
  const auto* commit = std::get_if<table::commit_reply>(&reply);
  if (committer.phase == commit_phase::kTransact && commit != nullptr) {
    OnCommitReply(committer, *commit);
  } else if (committer.phase == commit_phase::kReadHead && rows != nullptr) {
    OnHead(committer, *rows);
  } else if (committer.phase == commit_phase::kReadBack && rows != nullptr) {
    OnReadBack(committer, *rows);
  } else {
    OnLostReply(committer);
  }
}

}  // namespace balsambay::configsync
