// The only code that changes the version in force.
#include "details/apply.h"

#include <algorithm>

namespace balsambay::configsync::details {
namespace {

using nlohmann::json;

bool IsAccepted(state& state, uint64_t version, const json& document, effects& out) {
  std::vector<std::string> errors = state.validate(document);
  if (errors.empty()) return true;
  state.refused_version = version;
  ++state.counters.refused_versions;
  out.refusals.push_back({version, std::move(errors)});
  return false;
}

void TrimHistory(state& state) {
  while (state.history.size() > kSnapshotEvery ||
         state.history_bytes > state.config.max_history_bytes) {
    state.history_bytes -= state.history.front().patch.size();
    state.history.pop_front();
  }
}

void AppendHistory(state& state, std::span<const delta> deltas) {
  for (const delta& next : deltas) {
    state.history.push_back(next);
    state.history_bytes += next.patch.size();
  }
  TrimHistory(state);
}

void AnnounceToSome(state& state, time_point now, effects& out) {
  std::vector<std::string> peers = state.live;
  std::erase(peers, state.config.id);
  std::ranges::shuffle(peers, state.rng);
  peers.resize(std::min(peers.size(), static_cast<size_t>(state.config.fanout)));
  for (const std::string& peer : peers) Announce(state, peer, now, out);
}

void Enter(state& state, uint64_t version, const std::string& digest, time_point now,
           effects& out) {
  state.version = version;
  state.digest = digest;
  state.known_version = std::max(state.known_version, version);
  state.needs_snapshot = false;
  state.current_serving.reset();
  if (state.current_pull && !IsWanted(state, state.current_pull->version)) {
    state.current_pull.reset();
  }
  ++state.counters.versions_applied;
  out.applied = true;
  UpdateReady(state, now);
  AnnounceToSome(state, now, out);
}

bool Mismatch(state& state) {
  ++state.counters.digest_mismatches;
  state.needs_snapshot = true;
  return false;
}

}  // namespace

bool IsWanted(const state& state, uint64_t version) {
  if (version == 0 || version == state.refused_version) return false;
  if (state.fault_apply_lower) return version != state.version;
  return version > state.version;
}

bool CanUseDeltas(const state& state, uint64_t version) {
  return state.version > 0 && version > state.version && !state.needs_snapshot;
}

bool AdoptDeltas(state& state, std::span<const delta> deltas, time_point now, effects& out) {
  const delta& last = deltas.back();
  if (!IsWanted(state, last.version)) return true;
  const result<undo_log> applied = ApplyDeltas(state.document, deltas);
  if (applied.has_error()) return Mismatch(state);
  if (!IsAccepted(state, last.version, state.document, out)) {
    Undo(state.document, applied.value());
    return true;
  }
  AppendHistory(state, deltas);
  Enter(state, last.version, last.digest, now, out);
  return true;
}

bool AdoptSnapshot(state& state, uint64_t version, const std::string& digest, json document,
                   std::span<const delta> deltas, time_point now, effects& out) {
  const uint64_t last = deltas.empty() ? version : deltas.back().version;
  const std::string& last_digest = deltas.empty() ? digest : deltas.back().digest;
  if (!IsWanted(state, last)) return true;
  if (Digest(document) != digest) return Mismatch(state);
  if (ApplyDeltas(document, deltas).has_error()) return Mismatch(state);
  if (!IsAccepted(state, last, document, out)) return true;
  state.document = std::move(document);
  state.history.clear();
  state.history_bytes = 0;
  AppendHistory(state, deltas);
  ++state.counters.snapshots_fetched;
  Enter(state, last, last_digest, now, out);
  return true;
}

void Announce(const state& state, const std::string& to, time_point now, effects& out) {
  if (state.version == 0) return;
  message content;
  content.kind = message_kind::kAnnounce;
  content.version = state.version;
  content.age_ms = static_cast<uint64_t>(Age(state, now).count() / 1000);
  out.sends.push_back({to, std::move(content)});
}

void UpdateReady(state& state, time_point now) {
  state.grace_over = state.grace_over || now >= state.started + state.config.start_grace;
  if (state.ready || state.version == 0) return;
  const bool is_highest =
      state.version >= state.known_version || state.known_version == state.refused_version;
  state.ready = is_highest && (state.table_answered || state.grace_over);
}

}  // namespace balsambay::configsync::details
