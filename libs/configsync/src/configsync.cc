// Entry points.
#include "configsync/configsync.h"

#include <algorithm>

#include "details/apply.h"
#include "details/pulls.h"
#include "details/table_reads.h"

namespace balsambay::configsync {
namespace {

constexpr size_t kReaders = 2;
// Age before the first confirmation.
constexpr duration kUnconfirmedAge = std::chrono::hours(24 * 365);
// A prepared transfer that nobody asks for is dropped, because it can be as large as the document.
constexpr duration kServingLifetime = std::chrono::seconds(5);

time_point ServingEnd(const state& state) {
  return state.current_serving ? state.current_serving->last_used + kServingLifetime : kNever;
}

void Query(const std::string& peer, effects& out) { out.sends.push_back({peer, message{}}); }

}  // namespace

state MakeState(settings config, validate_fn validate, uint64_t seed, time_point now) {
  state out;
  out.config = std::move(config);
  out.validate = std::move(validate);
  out.rng.seed(seed);
  out.confirmed = now - kUnconfirmedAge;
  out.live = {out.config.id};
  out.next_poll = now;
  out.fallback_interval = out.config.fallback_interval;
  out.started = now;
  return out;
}

effects OnTick(state& state, time_point now) {
  effects out;
  if (ServingEnd(state) <= now) state.current_serving.reset();
  details::PollIfDue(state, now, out);
  details::ContinuePulls(state, now, out);
  details::UpdateReady(state, now);
  return out;
}

time_point NextDeadline(const state& state) {
  time_point next = std::min(details::NextPollDeadline(state), ServingEnd(state));
  if (state.current_pull) next = std::min(next, state.current_pull->deadline);
  return state.grace_over ? next : std::min(next, state.started + state.config.start_grace);
}

effects OnReadReply(state& state, uint64_t id, const table::read_reply* reply, time_point now) {
  effects out;
  if (!state.read || state.read->id != id) return out;
  const pending_read read = *state.read;
  if (reply == nullptr) {
    details::OnReadFailed(state, now);
    return out;
  }
  state.read.reset();
  details::OnRead(state, read, *reply, now, out);
  details::UpdateReady(state, now);
  return out;
}

effects OnMessage(state& state, std::string_view from, const message& message, time_point now) {
  effects out;
  const std::string peer(from);
  switch (message.kind) {
    case message_kind::kQuery:
      details::Announce(state, peer, now, out);
      break;
    case message_kind::kAnnounce:
      details::OnPeerHas(state, peer, message.version, std::chrono::milliseconds(message.age_ms),
                         now, out);
      break;
    case message_kind::kPull:
      details::Serve(state, peer, message, now, out);
      break;
    case message_kind::kPart:
      details::OnPart(state, peer, message, now, out);
      break;
  }
  return out;
}

effects OnPeerVersion(state& state, std::string_view peer, uint64_t version, duration age,
                      time_point now) {
  effects out;
  details::OnPeerHas(state, peer, version, age, now, out);
  return out;
}

effects SetLive(state& state, std::span<const std::string> ids, time_point now) {
  effects out;
  const bool was_reader = IsReader(state);
  std::vector<std::string> live(ids.begin(), ids.end());
  std::ranges::sort(live);
  if (!state.ready) {
    for (const std::string& id : live) {
      if (!std::ranges::binary_search(state.live, id)) Query(id, out);
    }
  }
  state.live = std::move(live);
  std::erase_if(state.peer_versions, [&state](const auto& entry) {
    return !std::ranges::binary_search(state.live, entry.first);
  });
  if (IsReader(state) && !was_reader) state.next_poll = std::min(state.next_poll, now);
  return out;
}

effects OnCommitted(state& state, uint64_t version, time_point now) {
  effects out;
  state.known_version = std::max(state.known_version, version);
  if (version <= state.version) return out;
  state.poll_requested = true;
  state.next_poll = now;
  details::PollIfDue(state, now, out);
  return out;
}

bool IsReader(const state& state) {
  const auto end =
      state.live.begin() + static_cast<std::ptrdiff_t>(std::min(kReaders, state.live.size()));
  return std::find(state.live.begin(), end, state.config.id) != end;
}

duration Age(const state& state, time_point now) { return now - state.confirmed; }

}  // namespace balsambay::configsync
