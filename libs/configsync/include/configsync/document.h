// Versions of the configuration document: digests, patches and the rows that hold them.
//
//   config/head        {"version","digest","nonce","snapshot"}  snapshot: version of the last
//   snapshot row config/delta/N     {"version","digest","nonce","patch"}     RFC 6902 patch from
//   version N-1 to N config/snapshot/N  {"version","digest","nonce","document"}  for version 1 and
//   every 64th
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace balsambay::configsync {

inline constexpr std::string_view kHeadKey = "config/head";
inline constexpr uint64_t kSnapshotEvery = 64;
// Deltas and snapshots older than this many versions are deleted; a reader that is further behind
// takes the latest snapshot.
inline constexpr uint64_t kKeptVersions = 128;

std::string DeltaKey(uint64_t version);
std::string SnapshotKey(uint64_t version);
bool IsSnapshotVersion(uint64_t version);
uint64_t LastSnapshot(uint64_t version);  // the highest snapshot version <= `version` > 0

struct head {
  uint64_t version = 0;  // > 0
  std::string digest;
  std::string nonce;  // identifies the commit
  uint64_t snapshot = 0;
};

// One version as a patch against the version before.
struct delta {
  uint64_t version = 0;
  std::string digest;  // of the document after the patch
  std::string patch;   // JSON text
  bool operator==(const delta&) const = default;
};

std::string HeadToText(const head& head);
// Errors: kInvalidArgument for malformed rows.
result<head> HeadFromText(std::string_view text);
std::string DeltaToText(const delta& delta, std::string_view nonce);
result<delta> DeltaFromText(std::string_view text);

// SHA-256 of the document's compact text with sorted keys, as hex.
std::string Digest(const nlohmann::json& document);

// Operations that restore a document, in the order in which they must be applied.
using undo_log = std::vector<nlohmann::json>;

// Applies the patches of `deltas` in order, in place, because a copy of a large document would
// exceed the memory of a small VM. On any error, or when the last digest differs, the document is
// as before. Only the operations add, remove and replace are accepted. Errors: kInvalidArgument.
result<undo_log> ApplyDeltas(nlohmann::json& document, std::span<const delta> deltas);
void Undo(nlohmann::json& document, const undo_log& log);

}  // namespace balsambay::configsync
