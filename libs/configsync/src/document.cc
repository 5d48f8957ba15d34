// Encoding of configuration rows, and patches that can be undone.
#include "configsync/document.h"

#include <algorithm>
#include <array>

#include "base/hash.h"

namespace balsambay::configsync {
namespace {

using nlohmann::json;

auto MalformedRow(std::string_view key) {
  return Failure(errc::kInvalidArgument, "malformed row " + std::string(key));
}

// Returns the operation that undoes `op`. `document` is the state before `op` is applied.
json Inverse(const json& document, const json& op) {
  const std::string operation = op.at("op");
  const std::string path = op.at("path");
  const json::json_pointer pointer(path);
  if (operation == "replace") {
    return {{"op", "replace"}, {"path", path}, {"value", document.at(pointer)}};
  }
  if (operation == "remove")
    return {{"op", "add"}, {"path", path}, {"value", document.at(pointer)}};
  if (pointer.empty()) return {{"op", "replace"}, {"path", ""}, {"value", document}};
  const json& parent = document.at(pointer.parent_pointer());
  if (parent.is_array() && pointer.back() == "-") {
    const std::string appended =
        pointer.parent_pointer().to_string() + "/" + std::to_string(parent.size());
    return {{"op", "remove"}, {"path", appended}};
  }
  const bool overwrites = parent.is_object() && parent.contains(pointer.back());
  if (!overwrites) return {{"op", "remove"}, {"path", path}};
  return {{"op", "replace"}, {"path", path}, {"value", document.at(pointer)}};
}

bool IsSupported(const json& op) {
  static constexpr std::array<std::string_view, 3> kOperations = {"add", "remove", "replace"};
  if (!op.is_object() || !op.contains("op") || !op.contains("path")) return false;
  if (!op["op"].is_string() || !op["path"].is_string()) return false;
  return std::ranges::find(kOperations, op["op"].get_ref<const std::string&>()) !=
         kOperations.end();
}

void ApplyOperation(json& document, const json& op, undo_log& log) {
  json inverse = Inverse(document, op);
  document.patch_inplace(json::array({op}));
  log.push_back(std::move(inverse));
}

bool ApplyPatch(json& document, const std::string& text, undo_log& log) {
  const json patch = json::parse(text, nullptr, false);
  if (!patch.is_array() || !std::ranges::all_of(patch, IsSupported)) return false;
  try {
    for (const json& op : patch) ApplyOperation(document, op, log);
  } catch (const json::exception&) {
    return false;
  }
  return true;
}

bool HasVersion(const json& row) {
  return row.is_object() && row.contains("version") && row["version"].is_number_unsigned() &&
         row["version"] > 0;
}

bool HasString(const json& row, const char* member) {
  return row.contains(member) && row[member].is_string();
}

}  // namespace

std::string DeltaKey(uint64_t version) { return "config/delta/" + std::to_string(version); }

std::string SnapshotKey(uint64_t version) { return "config/snapshot/" + std::to_string(version); }

bool IsSnapshotVersion(uint64_t version) {
  return version == 1 || version % kSnapshotInterval == 0;
}

uint64_t LastSnapshotVersion(uint64_t version) {
  return std::max<uint64_t>(version - version % kSnapshotInterval, 1);
}

std::string HeadToText(const head& head) {
  return json{{"version", head.version},
              {"digest", head.digest},
              {"nonce", head.nonce},
              {"snapshot", head.snapshot_version}}
      .dump();
}

result<head> HeadFromText(std::string_view text) {
  const json row = json::parse(text, nullptr, false);
  const bool valid = HasVersion(row) && HasString(row, "digest") && HasString(row, "nonce") &&
                     row.contains("snapshot") && row["snapshot"].is_number_unsigned() &&
                     row["snapshot"] <= row["version"];
  if (!valid) return MalformedRow(kHeadKey);
  return head{row["version"], row["digest"], row["nonce"], row["snapshot"]};
}

std::string DeltaToText(const delta& delta, std::string_view nonce) {
  return json{{"version", delta.version},
              {"digest", delta.digest},
              {"nonce", nonce},
              {"patch", delta.patch}}
      .dump();
}

result<delta> DeltaFromText(std::string_view text) {
  const json row = json::parse(text, nullptr, false);
  if (!HasVersion(row) || !HasString(row, "digest") || !HasString(row, "patch")) {
    return MalformedRow("config/delta");
  }
  return delta{row["version"], row["digest"], row["patch"]};
}

std::string Digest(const json& document) { return Sha256Hex(document.dump()); }

result<undo_log> ApplyDeltas(json& document, std::span<const delta> deltas) {
  undo_log log;
  const bool applied = std::ranges::all_of(
      deltas, [&](const delta& delta) { return ApplyPatch(document, delta.patch, log); });
  if (applied && (deltas.empty() || Digest(document) == deltas.back().digest)) {
    std::ranges::reverse(log);
    return log;
  }
  std::ranges::reverse(log);
  Undo(document, log);
  return Failure(errc::kInvalidArgument,
                 applied ? "digest of the patched document differs from that of the delta"
                         : "malformed or unsupported patch, or it does not apply to the document");
}

void Undo(json& document, const undo_log& log) {
  for (const json& op : log) document.patch_inplace(json::array({op}));
}

}  // namespace balsambay::configsync
