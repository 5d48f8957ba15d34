// Both sides of a transfer. The transferred text depends only on the version and the deltas kept,
// so a sender can rebuild it between parts.
#include "details/pulls.h"

#include <algorithm>

#include "details/apply.h"

namespace balsambay::configsync::details {
namespace {

using nlohmann::json;

void RequestPart(state& state, time_point now, effects& out) {
  pull& current = *state.current_pull;
  current.deadline = now + state.config.pull_timeout;
  message request;
  request.kind = message_kind::kPull;
  request.have = CanUseDeltas(state, current.version) ? state.version : 0;
  request.version = current.version;
  request.offset = current.data.size();
  out.sends.push_back({current.from, std::move(request)});
}

void StartPull(state& state, const std::string& peer, uint64_t version, time_point now,
               effects& out) {
  ++state.counters.pulls;
  state.current_pull = pull{};
  state.current_pull->from = peer;
  state.current_pull->version = version;
  RequestPart(state, now, out);
}

void StartBestPull(state& state, time_point now, effects& out) {
  std::vector<std::pair<uint64_t, std::string>> sources;
  for (const auto& [peer, version] : state.peer_versions) {
    if (IsWanted(state, version)) sources.emplace_back(version, peer);
  }
  if (sources.empty()) return;
  const uint64_t highest = std::ranges::max(sources).first;
  std::erase_if(sources, [highest](const auto& source) { return source.first < highest; });
  const auto& [version, peer] = sources[UniformBelow(state.rng, sources.size())];
  StartPull(state, peer, version, now, out);
}

bool CoversFrom(const state& state, uint64_t have) {
  return have > 0 && have < state.version && !state.history.empty() &&
         state.history.front().version <= have + 1;
}

std::string DeltasText(const state& state, uint64_t have) {
  json list = json::array();
  for (const delta& item : state.history) {
    if (item.version > have) list.push_back({item.version, item.digest, item.patch});
  }
  return list.dump();
}

serving BuildTransfer(const state& state, uint64_t have) {
  serving out;
  out.have = have;
  out.version = state.version;
  out.digest = state.digest;
  const bool by_deltas = CoversFrom(state, have);
  out.transfer = by_deltas ? transfer_kind::kDeltas : transfer_kind::kSnapshot;
  out.data = by_deltas ? DeltasText(state, have) : state.document.dump();
  return out;
}

bool IsServing(const state& state, uint64_t have) {
  if (!state.current_serving) return false;
  const serving& current = *state.current_serving;
  const bool same =
      current.transfer == transfer_kind::kDeltas ? current.have == have : !CoversFrom(state, have);
  return same && current.version == state.version;
}

// Whether `part` continues the current pull.
bool Continues(const state& state, const std::string& from, const message& part) {
  if (!state.current_pull || state.current_pull->from != from) return false;
  const pull& current = *state.current_pull;
  if (part.offset != current.data.size() || part.total > state.config.max_transfer_bytes) {
    return false;
  }
  if (part.data.empty() || part.offset + part.data.size() > part.total) return false;
  if (part.offset == 0) return true;
  return part.version == current.version && part.total == current.total &&
         part.transfer == current.transfer && part.digest == current.digest;
}

bool IsDeltaItem(const json& item) {
  return item.is_array() && item.size() == 3 && item[0].is_number_unsigned() &&
         item[1].is_string() && item[2].is_string();
}

// Empty when malformed, or when the deltas do not follow on from the version in force.
std::vector<delta> ParseDeltas(const state& state, const std::string& text) {
  const json list = json::parse(text, nullptr, false);
  if (!list.is_array() || !std::ranges::all_of(list, IsDeltaItem)) return {};
  std::vector<delta> deltas;
  for (const json& item : list) {
    const uint64_t version = item[0];
    if (version > state.version) deltas.push_back({version, item[1], item[2]});
  }
  uint64_t expected = state.version + 1;
  const bool consecutive = std::ranges::all_of(
      deltas, [&expected](const delta& item) { return item.version == expected++; });
  return consecutive ? deltas : std::vector<delta>();
}

// The deltas may have become superfluous while they were on the way.
void AdoptTransfer(state& state, const pull& done, time_point now, effects& out) {
  if (!IsWanted(state, done.version)) return;
  if (done.transfer == transfer_kind::kSnapshot) {
    json document = json::parse(done.data, nullptr, false);
    AdoptSnapshot(state, done.version, done.digest, std::move(document), {}, now, out);
    return;
  }
  const std::vector<delta> deltas = ParseDeltas(state, done.data);
  if (!deltas.empty()) AdoptDeltas(state, deltas, now, out);
}

void Confirm(state& state, uint64_t version, duration age, time_point now) {
  if (version != state.version) return;
  state.confirmed = std::max(state.confirmed, now - age);
}

}  // namespace

void OnPeerHas(state& state, std::string_view peer, uint64_t version, duration age, time_point now,
               effects& out) {
  if (version == 0) return;
  state.peer_versions[std::string(peer)] = version;
  state.known_version = std::max(state.known_version, version);
  Confirm(state, version, age, now);
  ContinuePulls(state, now, out);
  UpdateReady(state, now);
}

void ContinuePulls(state& state, time_point now, effects& out) {
  if (state.current_pull && state.current_pull->deadline <= now) {
    state.peer_versions.erase(state.current_pull->from);
    state.current_pull.reset();
  }
  if (!state.current_pull) StartBestPull(state, now, out);
}

void Serve(state& state, const std::string& to, const message& request, time_point now,
           effects& out) {
  if (state.version <= request.have) {
    Announce(state, to, now, out);
    return;
  }
  if (!IsServing(state, request.have)) state.current_serving = BuildTransfer(state, request.have);
  serving& current = *state.current_serving;
  current.last_used = now;
  // A later part of another version is of no use to the receiver: it starts again.
  const uint64_t offset = request.version == state.version ? request.offset : 0;
  if (offset >= current.data.size()) return;
  message part;
  part.kind = message_kind::kPart;
  part.version = current.version;
  part.offset = offset;
  part.total = current.data.size();
  part.transfer = current.transfer;
  part.digest = current.digest;
  part.data = current.data.substr(offset, state.config.part_bytes);
  ++state.counters.parts_served;
  out.sends.push_back({to, std::move(part)});
  if (current.data.size() <= state.config.part_bytes) state.current_serving.reset();
}

void OnPart(state& state, const std::string& from, const message& part, time_point now,
            effects& out) {
  if (!Continues(state, from, part)) {
    const bool restarted = state.current_pull && state.current_pull->from == from &&
                           part.offset == 0 && part.version != state.current_pull->version;
    if (!restarted) return;
    state.current_pull->data.clear();
    if (!Continues(state, from, part)) return;
  }
  pull& current = *state.current_pull;
  current.version = part.version;
  current.total = part.total;
  current.transfer = part.transfer;
  current.digest = part.digest;
  current.data += part.data;
  if (current.data.size() < current.total) {
    RequestPart(state, now, out);
    return;
  }
  const pull done = std::move(current);
  state.current_pull.reset();
  // What the peer really has; it may be lower than it announced before a restart.
  state.peer_versions[from] = done.version;
  AdoptTransfer(state, done, now, out);
  if (state.needs_snapshot) state.peer_versions.erase(from);
  ContinuePulls(state, now, out);
}

}  // namespace balsambay::configsync::details
