// Commit by compare-and-set, with read-back after a lost reply.
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

void AddPruning(uint64_t version, table::transaction& tx) {
  if (version <= kKeptVersions) return;
  const uint64_t old = version - kKeptVersions;
  tx.writes.push_back({DeltaKey(old), std::nullopt});
  if (version % kSnapshotEvery != 0) return;
  tx.writes.push_back({SnapshotKey(old), std::nullopt});
  // The first snapshot is not at a multiple of the interval.
  if (old == kSnapshotEvery) tx.writes.push_back({SnapshotKey(1), std::nullopt});
}

const table::row* FindRow(const table::read_reply& reply, std::string_view key) {
  const auto found = std::ranges::find(reply.rows, key, &table::row::key);
  return found == reply.rows.end() ? nullptr : &*found;
}

void Finish(committer& committer, commit_outcome::kind result, uint64_t version) {
  committer.phase = commit_phase::kDone;
  committer.outcome = {result, version};
}

void OnLostReply(committer& committer) {
  if (committer.phase == commit_phase::kTransact) {
    committer.maybe_sent = true;
    committer.phase = commit_phase::kReadBack;
  }
  if (committer.attempts_left > 0) return;
  using kind = commit_outcome::kind;
  Finish(committer, committer.maybe_sent ? kind::kUnknown : kind::kNotDone, 0);
}

// Head as read; version 0 when the row is absent.
struct head_view {
  head value;
  uint64_t row_version = 0;
  bool malformed = false;
};

head_view ViewHead(const table::read_reply& reply) {
  const table::row* row = FindRow(reply, kHeadKey);
  if (row == nullptr) return {};
  const result<head> parsed = HeadFromText(row->value);
  if (parsed.has_error()) return {{}, row->version, true};
  return {parsed.value(), row->version, false};
}

bool IsBase(const committer& committer, const head_view& view) {
  const commit_request& request = committer.request;
  if (view.malformed || view.value.version != request.base_version) return false;
  return request.base_version == 0 || view.value.digest == committer.base_digest;
}

void OnHead(committer& committer, const table::read_reply& reply) {
  const head_view view = ViewHead(reply);
  if (!IsBase(committer, view)) {
    Finish(committer, commit_outcome::kind::kConflict, view.value.version);
    return;
  }
  committer.head_row_version = view.row_version;
  committer.phase = commit_phase::kTransact;
}

bool HasNonce(const table::row* row, const std::string& nonce) {
  if (row == nullptr) return false;
  return TextIn(ParseJson(row->value), "nonce") == nonce;
}

// A transaction of this commit that is still on its way cannot win later: once the head has moved,
// its condition fails; while the head has not moved, the repeated transaction has the same
// condition, so that at most one of the two is written.
void OnReadBack(committer& committer, const table::read_reply& reply) {
  const uint64_t version = NewVersion(committer);
  const std::string& nonce = committer.request.nonce;
  const bool mine = HasNonce(FindRow(reply, kHeadKey), nonce) ||
                    HasNonce(FindRow(reply, DeltaKey(version)), nonce) ||
                    HasNonce(FindRow(reply, SnapshotKey(version)), nonce);
  if (mine) {
    Finish(committer, commit_outcome::kind::kCommitted, version);
    return;
  }
  const head_view view = ViewHead(reply);
  if (IsBase(committer, view)) {
    committer.head_row_version = view.row_version;
    committer.phase = commit_phase::kTransact;
    return;
  }
  // Rows that would show whose commit it was may have been pruned.
  const bool pruned = committer.maybe_sent && view.value.version >= version + kKeptVersions;
  Finish(committer, pruned ? commit_outcome::kind::kUnknown : commit_outcome::kind::kConflict,
         view.value.version);
}

void OnCommitReply(committer& committer, const table::commit_reply& reply) {
  if (reply.committed) {
    Finish(committer, commit_outcome::kind::kCommitted, NewVersion(committer));
    return;
  }
  // An earlier transaction of this commit may have caused the conflict.
  committer.phase = commit_phase::kReadBack;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) out += (out.empty() ? "" : "\n") + line;
  return out;
}

}  // namespace

table::transaction BuildCommit(const commit_request& request, uint64_t head_row_version) {
  const uint64_t version = request.base_version + 1;
  const std::string digest = Digest(request.document);
  table::transaction tx;
  tx.conditions.push_back({std::string(kHeadKey), head_row_version});
  tx.writes.push_back(
      {std::string(kHeadKey), HeadToText({version, digest, request.nonce, LastSnapshot(version)})});
  if (version > 1) {
    const std::string patch = json::diff(request.base, request.document).dump();
    tx.writes.push_back({DeltaKey(version), DeltaToText({version, digest, patch}, request.nonce)});
  }
  if (IsSnapshotVersion(version)) {
    tx.writes.push_back({SnapshotKey(version), SnapshotText(request, version, digest)});
  }
  AddPruning(version, tx);
  return tx;
}

result<committer> StartCommit(commit_request request, const validate_fn& validate, int attempts) {
  const std::vector<std::string> errors = validate(request.document);
  if (!errors.empty()) return Failure(errc::kInvalidArgument, JoinLines(errors));
  if (request.nonce.empty()) return Failure(errc::kInvalidArgument, "commit nonce is empty");
  committer out;
  if (request.base_version > 0) out.base_digest = Digest(request.base);
  out.request = std::move(request);
  out.attempts_left = attempts;
  return out;
}

std::optional<table_call> NextCall(const committer& committer) {
  const uint64_t version = NewVersion(committer);
  switch (committer.phase) {
    case commit_phase::kReadHead:
      return table::read_request{{std::string(kHeadKey)}, ""};
    case commit_phase::kTransact:
      return BuildCommit(committer.request, committer.head_row_version);
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
  --committer.attempts_left;
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
