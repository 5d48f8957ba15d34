// Timeouts of all links, checked by one periodic timer.
#include <algorithm>
#include <vector>

#include "details/node.h"

namespace balsambay::peer::details {
namespace {

duration SweepInterval(const peer_settings& settings) {
  return std::min({settings.handshake_timeout, settings.ping_interval, settings.pong_timeout}) / 4;
}

// Counts and returns true when the link must end.
bool IsTimedOut(node& node, const link_state& state, time_point now) {
  const peer_settings& settings = node.settings;
  if (state.phase == link_phase::kDraining) {
    return now - state.phase_start >= settings.pong_timeout;
  }
  if (state.phase == link_phase::kAuthenticating) {
    if (now - state.phase_start < settings.handshake_timeout) return false;
    ++node.counters.handshake_timeouts;
    return true;
  }
  if (!state.ping_sent || now - *state.ping_sent < settings.pong_timeout) return false;
  ++node.counters.pong_timeouts;
  return true;
}

void PingIfDue(const node& node, link_state& state, time_point now) {
  if (state.phase != link_phase::kUp || state.ping_sent) return;
  if (now - state.last_pong < node.settings.ping_interval) return;
  state.ping_sent = now;
  state.link->Ping();
}

// After a pause of this process, answers may wait unread in the sockets: timeouts start again.
void RestartTimeouts(node& node, time_point now) {
  for (auto& [id, state] : node.links) {
    state.phase_start = now;
    if (state.ping_sent) state.ping_sent = now;
  }
}

void Sweep(node& node, time_point now) {
  const duration interval = SweepInterval(node.settings);
  if (now - node.next_sweep > interval) RestartTimeouts(node, now);
  std::vector<link_id> timed_out;
  for (auto& [id, state] : node.links) {
    if (IsTimedOut(node, state, now)) {
      timed_out.push_back(id);
    } else {
      PingIfDue(node, state, now);
    }
  }
  for (const link_id id : timed_out) EndLink(node, id);
  WatchListener(node);
}

}  // namespace

void StartSweep(node& node) {
  node.next_sweep = MonotonicNow() + SweepInterval(node.settings);
  node.sweep_timer = Subscribe(node.timers, node.next_sweep, [&node](time_point now) {
    Sweep(node, now);
    if (!node.closed) StartSweep(node);
  });
}

}  // namespace balsambay::peer::details
