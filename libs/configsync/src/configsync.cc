// Entry points of the library: dispatch events and compute deadlines.
#include "configsync/configsync.h"

#include <algorithm>

#include "details/apply.h"
#include "details/pulls.h"
#include "details/table_reads.h"

namespace balsambay::configsync {
namespace {

constexpr size_t kReaderCount = 2;  // in each zone
// ConfirmationAge of the version before its first confirmation.
constexpr duration kUnconfirmedAge = std::chrono::hours(24 * 365);
// An outgoing transfer that no peer requests for this long is freed, because it can be as large as
// the document.
constexpr duration kOutgoingLifetime = std::chrono::seconds(5);

time_point OutgoingExpiry(const state& state) {
  return state.outgoing ? state.outgoing->last_used + kOutgoingLifetime : kNever;
}

void SendQuery(const std::string& peer, effects& effects) {
  effects.sends.push_back({peer, message{}});
}

}  // namespace

state MakeState(settings config, validate_fn validate, uint64_t seed, time_point now) {
  state initial;
  initial.config = std::move(config);
  initial.validate = std::move(validate);
  initial.rng.seed(seed);
  initial.confirmed_at = now - kUnconfirmedAge;
  initial.live_ids = {initial.config.id};
  initial.next_poll = now;
  initial.fallback_interval = initial.config.fallback_interval;
  initial.started = now;
  return initial;
}

effects OnTick(state& state, time_point now) {
  effects effects;
  if (OutgoingExpiry(state) <= now) state.outgoing.reset();
  details::PollIfDue(state, now, effects);
  details::AdvancePull(state, now, effects);
  details::UpdateReady(state, now);
  return effects;
}

time_point NextDeadline(const state& state) {
  time_point next = std::min(details::NextPollDeadline(state), OutgoingExpiry(state));
  if (state.current_pull) next = std::min(next, state.current_pull->deadline);
  return state.grace_over ? next : std::min(next, state.started + state.config.start_grace);
}

effects OnReadReply(state& state, uint64_t id, const table::read_reply* reply, time_point now) {
  effects effects;
  if (!state.outstanding_read || state.outstanding_read->id != id) return effects;
  const pending_read read = *state.outstanding_read;
  if (reply == nullptr) {
    details::OnReadFailed(state, now);
    return effects;
  }
  state.outstanding_read.reset();
  details::OnReadSucceeded(state, read, *reply, now, effects);
  details::UpdateReady(state, now);
  return effects;
}

effects OnMessage(state& state, std::string_view sender, const message& message, time_point now) {
  effects effects;
  const std::string peer(sender);
  switch (message.kind) {
    case message_kind::kQuery:
      details::Announce(state, peer, now, effects);
      break;
    case message_kind::kAnnounce:
      details::UpdatePeerVersion(state, peer, message.version,
                                 std::chrono::milliseconds(message.age_ms), now, effects);
      break;
    case message_kind::kPull:
      details::ServeChunk(state, peer, message, now, effects);
      break;
    case message_kind::kChunk:
      details::OnChunk(state, peer, message, now, effects);
      break;
  }
  return effects;
}

effects OnPeerVersion(state& state, std::string_view peer, uint64_t version, duration age,
                      time_point now) {
  effects effects;
  details::UpdatePeerVersion(state, peer, version, age, now, effects);
  return effects;
}

effects SetLiveMembers(state& state, std::span<const std::string> ids, time_point now) {
  effects effects;
  const bool was_reader = IsReader(state);
  std::vector<std::string> sorted_ids(ids.begin(), ids.end());
  std::ranges::sort(sorted_ids);
  if (!state.ready) {
    for (const std::string& id : sorted_ids) {
      if (!std::ranges::binary_search(state.live_ids, id)) SendQuery(id, effects);
    }
  }
  state.live_ids = std::move(sorted_ids);
  std::erase_if(state.peer_versions, [&state](const auto& peer_version) {
    return !std::ranges::binary_search(state.live_ids, peer_version.first);
  });
  if (IsReader(state) && !was_reader) state.next_poll = std::min(state.next_poll, now);
  return effects;
}

effects OnCommitted(state& state, uint64_t version, time_point now) {
  effects effects;
  state.highest_known_version = std::max(state.highest_known_version, version);
  if (version <= state.version) return effects;
  state.poll_requested = true;
  state.next_poll = now;
  details::PollIfDue(state, now, effects);
  return effects;
}

bool IsReader(const state& state) {
  const auto end = state.live_ids.begin() +
                   static_cast<std::ptrdiff_t>(std::min(kReaderCount, state.live_ids.size()));
  return std::find(state.live_ids.begin(), end, state.config.id) != end;
}

duration ConfirmationAge(const state& state, time_point now) { return now - state.confirmed_at; }

}  // namespace balsambay::configsync
