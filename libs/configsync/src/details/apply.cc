// Validates and applies versions. No other file changes the version in force.
#include "details/apply.h"

#include <algorithm>

namespace balsambay::configsync::details {
namespace {

using nlohmann::json;

// Validates `document`. If it is invalid, records the rejection and returns false.
bool ValidateOrReject(state& state, uint64_t version, const json& document, effects& effects) {
  std::vector<std::string> errors = state.validate(document);
  if (errors.empty()) return true;
  state.rejected_version = version;
  ++state.counters.rejected_versions;
  effects.rejections.push_back({version, std::move(errors)});
  return false;
}

void TrimHistory(state& state) {
  while (state.history.size() > kSnapshotInterval ||
         state.history_bytes > state.config.max_history_bytes) {
    state.history_bytes -= state.history.front().patch.size();
    state.history.pop_front();
  }
}

void AppendHistory(state& state, std::span<const delta> deltas) {
  for (const delta& delta : deltas) {
    state.history.push_back(delta);
    state.history_bytes += delta.patch.size();
  }
  TrimHistory(state);
}

void AnnounceToRandomPeers(state& state, time_point now, effects& effects) {
  std::vector<std::string> peers = state.live_ids;
  std::erase(peers, state.config.id);
  std::ranges::shuffle(peers, state.rng);
  peers.resize(std::min(peers.size(), static_cast<size_t>(state.config.fanout)));
  for (const std::string& peer : peers) Announce(state, peer, now, effects);
}

void PutInForce(state& state, uint64_t version, const std::string& digest, time_point now,
                effects& effects) {
  state.version = version;
  state.digest = digest;
  state.highest_known_version = std::max(state.highest_known_version, version);
  state.needs_snapshot = false;
  state.outgoing.reset();
  if (state.current_pull && !ShouldApply(state, state.current_pull->version)) {
    state.current_pull.reset();
  }
  ++state.counters.versions_applied;
  effects.applied = true;
  UpdateReady(state, now);
  AnnounceToRandomPeers(state, now, effects);
}

// Makes the next fetch use a snapshot. Returns false for the caller to return.
bool OnDigestMismatch(state& state) {
  ++state.counters.digest_mismatches;
  state.needs_snapshot = true;
  return false;
}

}  // namespace

bool ShouldApply(const state& state, uint64_t version) {
  if (version == 0 || version == state.rejected_version) return false;
  if (state.fault_apply_lower) return version != state.version;
  return version > state.version;
}

bool CanApplyDeltas(const state& state, uint64_t version) {
  return state.version > 0 && version > state.version && !state.needs_snapshot;
}

bool AdoptDeltas(state& state, std::span<const delta> deltas, time_point now, effects& effects) {
  const delta& last = deltas.back();
  if (!ShouldApply(state, last.version)) return true;
  const result<undo_log> applied = ApplyDeltas(state.document, deltas);
  if (applied.has_error()) return OnDigestMismatch(state);
  if (!ValidateOrReject(state, last.version, state.document, effects)) {
    Undo(state.document, applied.value());
    return true;
  }
  AppendHistory(state, deltas);
  PutInForce(state, last.version, last.digest, now, effects);
  return true;
}

bool AdoptSnapshot(state& state, uint64_t version, const std::string& digest, json document,
                   std::span<const delta> deltas, time_point now, effects& effects) {
  const uint64_t last_version = deltas.empty() ? version : deltas.back().version;
  const std::string& last_digest = deltas.empty() ? digest : deltas.back().digest;
  if (!ShouldApply(state, last_version)) return true;
  if (Digest(document) != digest) return OnDigestMismatch(state);
  if (ApplyDeltas(document, deltas).has_error()) return OnDigestMismatch(state);
  if (!ValidateOrReject(state, last_version, document, effects)) return true;
  state.document = std::move(document);
  state.history.clear();
  state.history_bytes = 0;
  AppendHistory(state, deltas);
  ++state.counters.snapshots_fetched;
  PutInForce(state, last_version, last_digest, now, effects);
  return true;
}

void Announce(const state& state, const std::string& receiver, time_point now, effects& effects) {
  if (state.version == 0) return;
  message content;
  content.kind = message_kind::kAnnounce;
  content.version = state.version;
  content.age_ms = static_cast<uint64_t>(ConfirmationAge(state, now).count() / 1000);
  effects.sends.push_back({receiver, std::move(content)});
}

void UpdateReady(state& state, time_point now) {
  state.grace_over = state.grace_over || now >= state.started + state.config.start_grace;
  if (state.ready || state.version == 0) return;
  const bool is_highest = state.version >= state.highest_known_version ||
                          state.highest_known_version == state.rejected_version;
  state.ready = is_highest && (state.table_answered || state.grace_over);
}

}  // namespace balsambay::configsync::details
