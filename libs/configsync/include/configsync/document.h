// Versions of the configuration document: digests, patches and the table rows that store them.
//
//   config/head        {"version","digest","nonce","snapshot"}
//     The latest version; "snapshot" is the version of the last snapshot row.
//   config/delta/N     {"version","digest","nonce","patch"}
//     RFC 6902 patch from version N-1 to version N.
//   config/snapshot/N  {"version","digest","nonce","document"}
//     The whole document, for version 1 and every 64th version.
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
inline constexpr uint64_t kSnapshotInterval = 64;  // versions
// Number of versions after which deltas and snapshots are deleted. A daemon that is further behind
// fetches the latest snapshot.
inline constexpr uint64_t kRetainedVersions = 128;

std::string DeltaKey(uint64_t version);
std::string SnapshotKey(uint64_t version);
bool IsSnapshotVersion(uint64_t version);
// The highest snapshot version that is at most `version`; `version` must be positive.
uint64_t LastSnapshotVersion(uint64_t version);

// Content of the row config/head.
struct head {
  uint64_t version = 0;  // > 0
  std::string digest;
  std::string nonce;              // identifies the commit
  uint64_t snapshot_version = 0;  // of the last snapshot row
};

// One version as a patch against the previous version.
struct delta {
  uint64_t version = 0;
  std::string digest;  // of the document after the patch
  std::string patch;   // JSON text of an RFC 6902 patch
  bool operator==(const delta&) const = default;
};

std::string HeadToText(const head& head);
// Errors: kInvalidArgument for a malformed row.
result<head> HeadFromText(std::string_view text);
// `nonce` identifies the commit; DeltaFromText() does not return it.
std::string DeltaToText(const delta& delta, std::string_view nonce);
// Errors: kInvalidArgument for a malformed row.
result<delta> DeltaFromText(std::string_view text);

// Hexadecimal SHA-256 of the compact JSON text of the document with sorted keys.
std::string Digest(const nlohmann::json& document);

// Patch operations that restore a document, in the order in which they must be applied.
using undo_log = std::vector<nlohmann::json>;

// Applies the patches of `deltas` in order. Works in place, because a copy of a large document
// would exceed the memory of a small VM. If a patch fails, or if the resulting digest differs from
// that of the last delta, the document is restored. Only the operations add, remove and replace are
// accepted. Errors: kInvalidArgument.
result<undo_log> ApplyDeltas(nlohmann::json& document, std::span<const delta> deltas);
void Undo(nlohmann::json& document, const undo_log& log);

}  // namespace balsambay::configsync
