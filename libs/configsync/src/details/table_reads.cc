// Regular polls by readers, fallback polls by daemons whose version was not confirmed recently, and
// the fetch of deltas or a snapshot.
#include "details/table_reads.h"

#include <algorithm>

#include "details/apply.h"

namespace balsambay::configsync::details {
namespace {

using nlohmann::json;

// Fractions of the interval.
constexpr double kPollJitter = 0.1;
// Large, because the daemons of a zone that lose their readers at the same time must not all read
// the table at the same moment.
constexpr double kFallbackJitter = 0.5;

bool IsStale(const state& state, time_point now) {
  return now - state.confirmed_at >= state.config.confirmation_timeout;
}

void StartRead(state& state, read_purpose purpose, std::vector<std::string> keys, time_point now,
               effects& effects) {
  const uint64_t id = state.next_read_id++;
  state.outstanding_read = pending_read{id, purpose, now};
  ++state.counters.table_reads;
  effects.reads.push_back({id, {std::move(keys), ""}});
}

// Whether this daemon polls every `poll_interval` instead of only without a confirmation.
bool PollsAtFullRate(const state& state) { return IsReader(state) || !state.ready; }

void ScheduleNextPoll(state& state, time_point now) {
  const settings& config = state.config;
  if (PollsAtFullRate(state)) {
    state.next_poll = now + Jitter(state.rng, config.poll_interval, kPollJitter);
  } else {
    const duration delay = Jitter(state.rng, state.fallback_interval, kFallbackJitter);
    state.next_poll = std::max(now, state.confirmed_at + config.confirmation_timeout) + delay;
  }
}

// Keys of config/head and of the rows that lead to `head`: deltas if they can be applied, are
// still in the table and are no more than may follow a snapshot (kSnapshotInterval, which is less
// than kRetainedVersions); otherwise the last snapshot and the deltas after it.
std::vector<std::string> RowKeysToFetch(const state& state, const head& head) {
  std::vector<std::string> keys = {std::string(kHeadKey)};
  uint64_t first = state.version + 1;
  const bool by_deltas =
      CanApplyDeltas(state, head.version) && head.version - state.version <= kSnapshotInterval;
  if (!by_deltas) {
    keys.push_back(SnapshotKey(head.snapshot_version));
    first = head.snapshot_version + 1;
  }
  for (uint64_t version = first; version <= head.version; ++version) {
    keys.push_back(DeltaKey(version));
  }
  return keys;
}

// Records that the version in force was the latest at `at`.
void ConfirmLatest(state& state, time_point at) {
  state.confirmed_at = std::max(state.confirmed_at, at);
  state.fallback_interval = state.config.fallback_interval;
}

void OnHeadRead(state& state, const pending_read& read, const head& head, time_point now,
                effects& effects) {
  state.highest_known_version = std::max(state.highest_known_version, head.version);
  if (head.version == state.version) ConfirmLatest(state, read.sent);
  if (head.version < state.version) ++state.counters.lower_versions_ignored;
  if (!ShouldApply(state, head.version)) return;
  StartRead(state, read_purpose::kVersions, RowKeysToFetch(state, head), now, effects);
}

// Returns the consecutive deltas from version `first` on, up to the first gap in the rows.
std::vector<delta> DeltasFrom(const table::read_reply& reply, uint64_t first) {
  std::vector<delta> deltas;
  for (const table::row& row : reply.rows) {
    if (!row.key.starts_with("config/delta/")) continue;
    result<delta> parsed = DeltaFromText(row.value);
    if (parsed.has_value()) deltas.push_back(std::move(parsed.value()));
  }
  // Rows are sorted by key, in which 10 precedes 9.
  std::ranges::sort(deltas, {}, &delta::version);
  std::erase_if(deltas, [first](const delta& delta) { return delta.version < first; });
  uint64_t expected = first;
  const auto gap = std::ranges::find_if(
      deltas, [&expected](const delta& delta) { return delta.version != expected++; });
  deltas.erase(gap, deltas.end());
  return deltas;
}

const table::row* FindRowByPrefix(const table::read_reply& reply, std::string_view prefix) {
  const auto found = std::ranges::find_if(
      reply.rows, [prefix](const table::row& row) { return row.key.starts_with(prefix); });
  return found == reply.rows.end() ? nullptr : &*found;
}

// Returns false if the row is malformed or its version cannot be applied.
bool AdoptSnapshotRow(state& state, const table::row& row, const table::read_reply& reply,
                      time_point now, effects& effects) {
  json value = json::parse(row.value, nullptr, false);
  const bool valid = value.is_object() && value.contains("version") && value.contains("document") &&
                     value["version"].is_number_unsigned() && value.contains("digest") &&
                     value["digest"].is_string();
  if (!valid) return false;
  const uint64_t version = value["version"];
  const std::string digest = value["digest"];
  json document = std::move(value["document"]);
  value = nullptr;
  return AdoptSnapshot(state, version, digest, std::move(document), DeltasFrom(reply, version + 1),
                       now, effects);
}

void OnVersionsRead(state& state, const table::read_reply& reply, time_point now,
                    effects& effects) {
  bool applicable = false;
  if (const table::row* row = FindRowByPrefix(reply, "config/snapshot/")) {
    applicable = AdoptSnapshotRow(state, *row, reply, now, effects);
  } else {
    const std::vector<delta> deltas = DeltasFrom(reply, state.version + 1);
    applicable = !deltas.empty() && AdoptDeltas(state, deltas, now, effects);
  }
  // Since the head was read, rows may have been pruned, or a peer may have delivered another
  // version.
  if (!applicable)
    state.next_poll = std::min(state.next_poll, now + state.config.poll_interval / 10);
}

std::optional<head> FindHead(const table::read_reply& reply) {
  const auto found = std::ranges::find(reply.rows, kHeadKey, &table::row::key);
  if (found == reply.rows.end()) return std::nullopt;
  const result<head> parsed = HeadFromText(found->value);
  if (parsed.has_error()) return std::nullopt;
  return parsed.value();
}

}  // namespace

void PollIfDue(state& state, time_point now, effects& effects) {
  if (state.outstanding_read && now - state.outstanding_read->sent >= state.config.read_timeout)
    OnReadFailed(state, now);
  if (state.outstanding_read || state.next_poll > now) return;
  if (PollsAtFullRate(state) || IsStale(state, now) || state.poll_requested) {
    state.poll_requested = false;
    StartRead(state, read_purpose::kHead, {std::string(kHeadKey)}, now, effects);
  }
  ScheduleNextPoll(state, now);
}

time_point NextPollDeadline(const state& state) {
  return state.outstanding_read ? state.outstanding_read->sent + state.config.read_timeout
                                : state.next_poll;
}

void OnReadSucceeded(state& state, const pending_read& read, const table::read_reply& reply,
                     time_point now, effects& effects) {
  state.table_answered = true;
  const std::optional<head> head = FindHead(reply);
  if (!head) return;
  if (read.purpose == read_purpose::kHead) {
    OnHeadRead(state, read, *head, now, effects);
    return;
  }
  OnVersionsRead(state, reply, now, effects);
  if (head->version == state.version) ConfirmLatest(state, read.sent);
}

void OnReadFailed(state& state, time_point now) {
  state.outstanding_read.reset();
  state.fallback_interval =
      std::min(2 * state.fallback_interval, state.config.max_fallback_interval);
  ScheduleNextPoll(state, now);
}

}  // namespace balsambay::configsync::details
