// Polling by readers, fallback for daemons without recent news, and fetch of deltas or a snapshot.
#include "details/table_reads.h"

#include <algorithm>

#include "details/apply.h"

namespace balsambay::configsync::details {
namespace {

using nlohmann::json;

constexpr double kPollJitter = 0.1;
// Daemons of a zone that lose their readers together must not read at the same moment.
constexpr double kFallbackJitter = 0.5;

bool IsStale(const state& state, time_point now) {
  return now - state.confirmed >= state.config.fallback_after;
}

void Read(state& state, read_purpose purpose, std::vector<std::string> keys, time_point now,
          effects& out) {
  const uint64_t id = state.next_read_id++;
  state.read = pending_read{id, purpose, now};
  ++state.counters.table_reads;
  out.reads.push_back({id, {std::move(keys), ""}});
}

bool PollsOften(const state& state) { return IsReader(state) || !state.ready; }

void ScheduleNextPoll(state& state, time_point now) {
  const settings& config = state.config;
  if (PollsOften(state)) {
    state.next_poll = now + Jitter(state.rng, config.poll_interval, kPollJitter);
  } else {
    const duration wait = Jitter(state.rng, state.fallback_interval, kFallbackJitter);
    state.next_poll = std::max(now, state.confirmed + config.fallback_after) + wait;
  }
}

// Deltas when they are kept and not more than a snapshot would need.
std::vector<std::string> KeysFor(const state& state, const head& head) {
  std::vector<std::string> keys = {std::string(kHeadKey)};
  uint64_t first = state.version + 1;
  const bool by_deltas =
      CanUseDeltas(state, head.version) && head.version - state.version <= kSnapshotEvery;
  if (!by_deltas) {
    keys.push_back(SnapshotKey(head.snapshot));
    first = head.snapshot + 1;
  }
  for (uint64_t version = first; version <= head.version; ++version) {
    keys.push_back(DeltaKey(version));
  }
  return keys;
}

void Confirm(state& state, time_point at) {
  state.confirmed = std::max(state.confirmed, at);
  state.fallback_interval = state.config.fallback_interval;
}

void OnHeadRead(state& state, const pending_read& read, const head& head, time_point now,
                effects& out) {
  state.known_version = std::max(state.known_version, head.version);
  if (head.version == state.version) Confirm(state, read.sent);
  if (head.version < state.version) ++state.counters.lower_versions_ignored;
  if (!IsWanted(state, head.version)) return;
  Read(state, read_purpose::kVersions, KeysFor(state, head), now, out);
}

// Consecutive deltas from `first` on, as far as the rows go.
std::vector<delta> DeltasFrom(const table::read_reply& reply, uint64_t first) {
  std::vector<delta> deltas;
  for (const table::row& row : reply.rows) {
    if (!row.key.starts_with("config/delta/")) continue;
    result<delta> parsed = DeltaFromText(row.value);
    if (parsed.has_value()) deltas.push_back(std::move(parsed.value()));
  }
  // Rows come in key order, in which 10 precedes 9.
  std::ranges::sort(deltas, {}, &delta::version);
  std::erase_if(deltas, [first](const delta& item) { return item.version < first; });
  uint64_t expected = first;
  const auto gap = std::ranges::find_if(
      deltas, [&expected](const delta& item) { return item.version != expected++; });
  deltas.erase(gap, deltas.end());
  return deltas;
}

const table::row* FindPrefix(const table::read_reply& reply, std::string_view prefix) {
  const auto found = std::ranges::find_if(
      reply.rows, [prefix](const table::row& row) { return row.key.starts_with(prefix); });
  return found == reply.rows.end() ? nullptr : &*found;
}

bool AdoptSnapshotRow(state& state, const table::row& row, const table::read_reply& reply,
                      time_point now, effects& out) {
  json value = json::parse(row.value, nullptr, false);
  const bool ok = value.is_object() && value.contains("version") && value.contains("document") &&
                  value["version"].is_number_unsigned() && value.contains("digest") &&
                  value["digest"].is_string();
  if (!ok) return false;
  const uint64_t version = value["version"];
  const std::string digest = value["digest"];
  json document = std::move(value["document"]);
  value = nullptr;
  return AdoptSnapshot(state, version, digest, std::move(document), DeltasFrom(reply, version + 1),
                       now, out);
}

void OnVersionsRead(state& state, const table::read_reply& reply, time_point now, effects& out) {
  bool fits = false;
  if (const table::row* row = FindPrefix(reply, "config/snapshot/")) {
    fits = AdoptSnapshotRow(state, *row, reply, now, out);
  } else {
    const std::vector<delta> deltas = DeltasFrom(reply, state.version + 1);
    fits = !deltas.empty() && AdoptDeltas(state, deltas, now, out);
  }
  // Rows may have been pruned, or replaced by a peer's version, since the head was read.
  if (!fits) state.next_poll = std::min(state.next_poll, now + state.config.poll_interval / 10);
}

std::optional<head> HeadOf(const table::read_reply& reply) {
  const auto found = std::ranges::find(reply.rows, kHeadKey, &table::row::key);
  if (found == reply.rows.end()) return std::nullopt;
  const result<head> parsed = HeadFromText(found->value);
  if (parsed.has_error()) return std::nullopt;
  return parsed.value();
}

}  // namespace

void PollIfDue(state& state, time_point now, effects& out) {
  if (state.read && now - state.read->sent >= state.config.reply_timeout) OnReadFailed(state, now);
  if (state.read || state.next_poll > now) return;
  if (PollsOften(state) || IsStale(state, now) || state.poll_requested) {
    state.poll_requested = false;
    Read(state, read_purpose::kHead, {std::string(kHeadKey)}, now, out);
  }
  ScheduleNextPoll(state, now);
}

time_point NextPollDeadline(const state& state) {
  return state.read ? state.read->sent + state.config.reply_timeout : state.next_poll;
}

void OnRead(state& state, const pending_read& read, const table::read_reply& reply, time_point now,
            effects& out) {
  state.table_answered = true;
  const std::optional<head> head = HeadOf(reply);
  if (!head) return;
  if (read.purpose == read_purpose::kHead) {
    OnHeadRead(state, read, *head, now, out);
    return;
  }
  OnVersionsRead(state, reply, now, out);
  if (head->version == state.version) Confirm(state, read.sent);
}

void OnReadFailed(state& state, time_point now) {
  state.read.reset();
  state.fallback_interval =
      std::min(2 * state.fallback_interval, state.config.max_fallback_interval);
  ScheduleNextPoll(state, now);
}

}  // namespace balsambay::configsync::details
