// State of a peer node. Files: links.cc (one link from open to end), dialing.cc (targets,
// back-off), sweep.cc (timeouts), listener.cc (incoming connections).
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/random.h"
#include "details/handshake.h"
#include "details/sockets.h"
#include "peer/peer.h"
#include "websocket_link.h"

namespace balsambay::peer::details {

using link_id = uint64_t;  // 0: none

enum class link_phase {
  kAuthenticating,
  kUp,        // the peer's current link
  kDraining,  // replaced by another link to the same peer; still delivers what is in transit
};

struct link_state {
  std::shared_ptr<websocket_link> link;
  std::string target;  // address that was dialed; empty for incoming links
  handshake auth;
  link_phase phase = link_phase::kAuthenticating;
  time_point phase_start;
  time_point last_pong;                 // or the start of the link
  std::optional<time_point> ping_sent;  // set while a pong is awaited
};

// Invariant: at most one of `link`, `satisfied_by` and `retry` is set.
struct dial_target {
  duration backoff{0};
  link_id link = 0;          // link dialed for this target
  link_id satisfied_by = 0;  // link to the same peer that replaced the dialed one
  timer_id retry = 0;
};

struct node {
  timer_service& timers;
  peer_settings settings;
  peer_callbacks callbacks;
  random_generator rng;
  std::string instance;  // new for each start
  socket_ptr listener;
  GSource* accept_source = nullptr;
  std::map<link_id, link_state> links;
  std::map<std::string, link_id, std::less<>> current;  // peer id -> link in phase kUp
  std::map<std::string, dial_target, std::less<>> targets;
  link_id next_link = 1;
  timer_id sweep_timer = 0;
  time_point next_sweep;
  peer_counters counters;  // bytes of ended links only
  bool closed = false;
};

// links.cc
link_limits LimitsOf(const node& node);
link_handlers HandlersFor(node& node, link_id id);
void AddLink(node& node, link_id id, std::shared_ptr<websocket_link> link, std::string target);
void EndLink(node& node, link_id id);

// dialing.cc
void Dial(node& node, const std::string& address);
void ScheduleDial(node& node, const std::string& address);
void OnLinkAuthenticated(node& node, const std::string& target);
void OnLinkReplaced(node& node, link_id loser, link_id winner);
void OnLinkEnded(node& node, link_id id);

// sweep.cc
void StartSweep(node& node);

// listener.cc
result<void> StartListening(node& node);
void WatchListener(node& node);
void StopListening(node& node);

}  // namespace balsambay::peer::details
