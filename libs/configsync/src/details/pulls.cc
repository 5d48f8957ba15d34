// Sending and receiving side of transfers. The transferred text depends only on the version, the
// base version and the deltas in the history, so a sender can build it again between two chunks.
#include "details/pulls.h"

#include <algorithm>

#include "details/apply.h"

namespace balsambay::configsync::details {
namespace {

using nlohmann::json;

void RequestChunk(state& state, time_point now, effects& effects) {
  pull& current = *state.current_pull;
  current.deadline = now + state.config.chunk_timeout;
  message request;
  request.kind = message_kind::kPull;
  request.base_version = CanApplyDeltas(state, current.version) ? state.version : 0;
  request.version = current.version;
  request.offset = current.data.size();
  effects.sends.push_back({current.source, std::move(request)});
}

void StartPull(state& state, const std::string& peer, uint64_t version, time_point now,
               effects& effects) {
  ++state.counters.pulls;
  state.current_pull = pull{};
  state.current_pull->source = peer;
  state.current_pull->version = version;
  RequestChunk(state, now, effects);
}

// Pulls from a random one of the peers with the highest version.
void PullHighestVersion(state& state, time_point now, effects& effects) {
  std::vector<std::pair<uint64_t, std::string>> sources;
  for (const auto& [peer, version] : state.peer_versions) {
    if (ShouldApply(state, version)) sources.emplace_back(version, peer);
  }
  if (sources.empty()) return;
  const uint64_t highest = std::ranges::max(sources).first;
  std::erase_if(sources, [highest](const auto& source) { return source.first < highest; });
  const auto& [version, peer] = sources[UniformBelow(state.rng, sources.size())];
  StartPull(state, peer, version, now, effects);
}

// Whether the history leads from `base_version` to the version in force.
bool HistoryCovers(const state& state, uint64_t base_version) {
  return base_version > 0 && base_version < state.version && !state.history.empty() &&
         state.history.front().version <= base_version + 1;
}

std::string EncodeDeltas(const state& state, uint64_t base_version) {
  json tuples = json::array();
  for (const delta& delta : state.history) {
    if (delta.version > base_version) tuples.push_back({delta.version, delta.digest, delta.patch});
  }
  return tuples.dump();
}

outgoing_transfer PrepareTransfer(const state& state, uint64_t base_version) {
  outgoing_transfer prepared;
  prepared.base_version = base_version;
  prepared.version = state.version;
  prepared.digest = state.digest;
  const bool by_deltas = HistoryCovers(state, base_version);
  prepared.transfer = by_deltas ? transfer_kind::kDeltas : transfer_kind::kSnapshot;
  prepared.data = by_deltas ? EncodeDeltas(state, base_version) : state.document.dump();
  return prepared;
}

// Whether the outgoing transfer also serves a peer at `base_version`.
bool CanReuseOutgoing(const state& state, uint64_t base_version) {
  if (!state.outgoing) return false;
  const outgoing_transfer& current = *state.outgoing;
  const bool same_content = current.transfer == transfer_kind::kDeltas
                                ? current.base_version == base_version
                                : !HistoryCovers(state, base_version);
  return same_content && current.version == state.version;
}

// Whether `chunk` is the next chunk of the current pull.
bool ContinuesPull(const state& state, const std::string& sender, const message& chunk) {
  if (!state.current_pull || state.current_pull->source != sender) return false;
  const pull& current = *state.current_pull;
  if (chunk.offset != current.data.size() || chunk.total_bytes > state.config.max_transfer_bytes) {
    return false;
  }
  if (chunk.data.empty() || chunk.offset + chunk.data.size() > chunk.total_bytes) return false;
  if (chunk.offset == 0) return true;
  return chunk.version == current.version && chunk.total_bytes == current.total_bytes &&
         chunk.transfer == current.transfer && chunk.digest == current.digest;
}

// Whether `tuple` has the form [version, digest, patch].
bool IsDeltaTuple(const json& tuple) {
  return tuple.is_array() && tuple.size() == 3 && tuple[0].is_number_unsigned() &&
         tuple[1].is_string() && tuple[2].is_string();
}

// Returns the deltas above the version in force. Empty if `text` is malformed, or if the deltas are
// not consecutive from the version in force + 1.
std::vector<delta> ParseDeltas(const state& state, const std::string& text) {
  const json tuples = json::parse(text, nullptr, false);
  if (!tuples.is_array() || !std::ranges::all_of(tuples, IsDeltaTuple)) return {};
  std::vector<delta> deltas;
  for (const json& tuple : tuples) {
    const uint64_t version = tuple[0];
    if (version > state.version) deltas.push_back({version, tuple[1], tuple[2]});
  }
  uint64_t expected = state.version + 1;
  const bool consecutive = std::ranges::all_of(
      deltas, [&expected](const delta& delta) { return delta.version == expected++; });
  return consecutive ? deltas : std::vector<delta>();
}

// Applies a complete transfer, unless its version is no longer needed because another source
// delivered it in the meantime.
void AdoptTransfer(state& state, const pull& completed, time_point now, effects& effects) {
  if (!ShouldApply(state, completed.version)) return;
  if (completed.transfer == transfer_kind::kSnapshot) {
    json document = json::parse(completed.data, nullptr, false);
    AdoptSnapshot(state, completed.version, completed.digest, std::move(document), {}, now,
                  effects);
    return;
  }
  const std::vector<delta> deltas = ParseDeltas(state, completed.data);
  if (!deltas.empty()) AdoptDeltas(state, deltas, now, effects);
}

// Records that `version` was the latest `age` ago, if it is the version in force.
void ConfirmLatest(state& state, uint64_t version, duration age, time_point now) {
  if (version != state.version) return;
  state.confirmed_at = std::max(state.confirmed_at, now - age);
}

}  // namespace

void UpdatePeerVersion(state& state, std::string_view peer, uint64_t version, duration age,
                       time_point now, effects& effects) {
  if (version == 0) return;
  state.peer_versions[std::string(peer)] = version;
  state.highest_known_version = std::max(state.highest_known_version, version);
  ConfirmLatest(state, version, age, now);
  AdvancePull(state, now, effects);
  UpdateReady(state, now);
}

void AdvancePull(state& state, time_point now, effects& effects) {
  if (state.current_pull && state.current_pull->deadline <= now) {
    state.peer_versions.erase(state.current_pull->source);
    state.current_pull.reset();
  }
  if (!state.current_pull) PullHighestVersion(state, now, effects);
}

void ServeChunk(state& state, const std::string& receiver, const message& request, time_point now,
                effects& effects) {
  if (state.version <= request.base_version) {
    Announce(state, receiver, now, effects);
    return;
  }
  if (!CanReuseOutgoing(state, request.base_version))
    state.outgoing = PrepareTransfer(state, request.base_version);
  outgoing_transfer& current = *state.outgoing;
  current.last_used = now;
  // A chunk of another version than the requested one only makes sense from offset 0: the receiver
  // starts again.
  const uint64_t offset = request.version == state.version ? request.offset : 0;
  if (offset >= current.data.size()) return;
  message chunk;
  chunk.kind = message_kind::kChunk;
  chunk.version = current.version;
  chunk.offset = offset;
  chunk.total_bytes = current.data.size();
  chunk.transfer = current.transfer;
  chunk.digest = current.digest;
  chunk.data = current.data.substr(offset, state.config.chunk_bytes);
  ++state.counters.chunks_served;
  effects.sends.push_back({receiver, std::move(chunk)});
  if (current.data.size() <= state.config.chunk_bytes) state.outgoing.reset();
}

void OnChunk(state& state, const std::string& sender, const message& chunk, time_point now,
             effects& effects) {
  if (!ContinuesPull(state, sender, chunk)) {
    const bool restarted = state.current_pull && state.current_pull->source == sender &&
                           chunk.offset == 0 && chunk.version != state.current_pull->version;
    if (!restarted) return;
    state.current_pull->data.clear();
    if (!ContinuesPull(state, sender, chunk)) return;
  }
  pull& current = *state.current_pull;
  current.version = chunk.version;
  current.total_bytes = chunk.total_bytes;
  current.transfer = chunk.transfer;
  current.digest = chunk.digest;
  current.data += chunk.data;
  if (current.data.size() < current.total_bytes) {
    RequestChunk(state, now, effects);
    return;
  }
  const pull completed = std::move(current);
  state.current_pull.reset();
  // The version of the transfer may be lower than the one that the peer announced before a restart.
  state.peer_versions[sender] = completed.version;
  AdoptTransfer(state, completed, now, effects);
  if (state.needs_snapshot) state.peer_versions.erase(sender);
  AdvancePull(state, now, effects);
}

}  // namespace balsambay::configsync::details
