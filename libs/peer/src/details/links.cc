// One link from open to end: authentication, choice between two links to one peer, messages.
#include "details/codec.h"
#include "details/node.h"

namespace balsambay::peer::details {
namespace {

// A hello is about 150 bytes; larger messages before authentication are not parsed.
constexpr size_t kMaxHandshakeBytes = 1024;

void OnOpen(node& node, link_id id) {
  link_state& state = node.links.at(id);
  state.auth.own = {node.settings.id, RandomHex(), node.instance};
  state.auth.outgoing = !state.target.empty();
  state.link->Send(Encode(HelloMessage(state.auth.own)));
}

// Of two links between the same two processes, both sides keep the one dialed by the smaller id.
// Of two links in the same direction the newer one is kept: the dialing side has lost the other.
bool IsReplacedBy(const node& node, const link_state& old, const link_state& fresh) {
  if (old.auth.outgoing == fresh.auth.outgoing) return true;
  const bool own_is_smaller = node.settings.id < fresh.auth.peer.id;
  return fresh.auth.outgoing == own_is_smaller;
}

void StartPhase(link_state& state, link_phase phase) {
  state.phase = phase;
  state.phase_start = MonotonicNow();
}

void MakeCurrent(node& node, link_id id) {
  link_state& state = node.links.at(id);
  StartPhase(state, link_phase::kUp);
  node.current[state.auth.peer.id] = id;
}

void Replace(node& node, link_id loser, link_id winner) {
  MakeCurrent(node, winner);
  StartPhase(node.links.at(loser), link_phase::kDraining);
  OnLinkReplaced(node, loser, winner);
}

void AnnounceUp(node& node, link_id id) {
  MakeCurrent(node, id);
  const std::string peer = node.links.at(id).auth.peer.id;
  node.callbacks.on_up(peer);
}

void JoinExisting(node& node, link_id existing, link_id id) {
  const link_state& old = node.links.at(existing);
  const link_state& fresh = node.links.at(id);
  if (old.auth.peer.instance != fresh.auth.peer.instance) {
    // The peer was restarted; the old link belongs to the process that is gone.
    EndLink(node, existing);
    if (node.links.contains(id)) AnnounceUp(node, id);
  } else if (IsReplacedBy(node, old, fresh)) {
    Replace(node, existing, id);
  } else {
    Replace(node, id, existing);
  }
}

void OnAuthenticated(node& node, link_id id) {
  const link_state& state = node.links.at(id);
  if (state.auth.peer.id == node.settings.id) {
    ++node.counters.rejected_links;
    EndLink(node, id);
    return;
  }
  ++node.counters.links_up;
  OnLinkAuthenticated(node, state.target);
  const auto existing = node.current.find(state.auth.peer.id);
  if (existing == node.current.end()) {
    AnnounceUp(node, id);
  } else {
    JoinExisting(node, existing->second, id);
  }
}

void FailLink(node& node, link_id id, uint64_t& counter) {
  ++counter;
  EndLink(node, id);
}

void OnHandshakePayload(node& node, link_id id, std::string_view payload) {
  peer_counters& counters = node.counters;
  if (payload.size() > kMaxHandshakeBytes) {
    FailLink(node, id, counters.unauthenticated_messages);
    return;
  }
  const std::optional<nlohmann::json> message = Decode(payload);
  if (!message) {
    FailLink(node, id, counters.malformed_messages);
    return;
  }
  link_state& state = node.links.at(id);
  const handshake_step step = Advance(state.auth, node.settings.key, *message);
  if (!step.reply.is_null()) state.link->Send(Encode(step.reply));
  switch (step.verdict) {
    case handshake_verdict::kContinue:
      return;
    case handshake_verdict::kDone:
      OnAuthenticated(node, id);
      return;
    case handshake_verdict::kUnexpectedMessage:
      FailLink(node, id, counters.unauthenticated_messages);
      return;
    case handshake_verdict::kWrongProof:
      FailLink(node, id, counters.auth_failures);
      return;
  }
}

void OnPayload(node& node, link_id id, std::string_view payload) {
  const link_state& state = node.links.at(id);
  if (state.phase == link_phase::kAuthenticating) {
    OnHandshakePayload(node, id, payload);
    return;
  }
  const std::optional<nlohmann::json> message = Decode(payload);
  if (!message) {
    FailLink(node, id, node.counters.malformed_messages);
    return;
  }
  ++node.counters.messages_in;
  const std::string peer = state.auth.peer.id;
  node.callbacks.on_message(peer, *message);
}

void OnPong(node& node, link_id id) {
  link_state& state = node.links.at(id);
  state.ping_sent.reset();
  state.last_pong = MonotonicNow();
}

}  // namespace

link_limits LimitsOf(const node& node) {
  return {node.settings.max_message_bytes, node.settings.max_send_buffer_bytes};
}

link_handlers HandlersFor(node& node, link_id id) {
  const auto guarded = [&node, id](auto fn) {
    return [&node, id, fn](auto... args) {
      if (node.links.contains(id)) fn(node, id, args...);
    };
  };
  link_handlers handlers;
  handlers.on_open = guarded(OnOpen);
  handlers.on_message = guarded(OnPayload);
  handlers.on_pong = guarded(OnPong);
  handlers.on_end = guarded([](details::node& self, link_id link, link_end reason) {
    if (reason == link_end::kOversized) ++self.counters.oversized_messages;
    EndLink(self, link);
  });
  return handlers;
}

void AddLink(node& node, link_id id, std::shared_ptr<websocket_link> link, std::string target) {
  link_state& state = node.links[id];
  state.link = std::move(link);
  state.target = std::move(target);
  state.phase_start = MonotonicNow();
  state.last_pong = state.phase_start;
}

void EndLink(node& node, link_id id) {
  const auto found = node.links.find(id);
  if (found == node.links.end()) return;
  const link_state state = std::move(found->second);
  node.links.erase(found);
  state.link->Close();
  node.counters.bytes_in += state.link->BytesIn();
  node.counters.bytes_out += state.link->BytesOut();
  OnLinkEnded(node, id);
  if (state.phase != link_phase::kUp) return;
  node.current.erase(state.auth.peer.id);
  node.callbacks.on_down(state.auth.peer.id);
}

}  // namespace balsambay::peer::details
