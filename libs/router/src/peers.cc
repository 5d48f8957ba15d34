// Sets up the peer links and dispatches messages by their type.
#include "details/peers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "details/config_driver.h"
#include "details/ledger_driver.h"
#include "details/logging.h"
#include "details/membership_driver.h"
#include "details/quarantine_driver.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

bool IsLedgerMessage(std::string_view type) {
  return type == "claim" || type == "claim_reply" || type == "abandon" || type == "finish" ||
         type == "handover";
}

void DispatchMessage(router_state& state, std::string_view peer, const json& message) {
  const std::string type = message.at("type");
  if (IsLedgerMessage(type)) return HandleLedgerMessage(state, peer, message);
  if (type == "config") return HandleConfigMessage(state, peer, message);
  if (type == "quarantine") return HandleQuarantineMessage(state, peer, message);
  if (type == "swim") return HandleMembershipMessage(state, peer, message);
}

void OnMessage(router_state& state, std::string_view peer, const json& message) {
  try {
    DispatchMessage(state, peer, message);
  } catch (const json::exception& failure) {
    metrics::Increment(state.metrics.registry, state.metrics.peer_errors);
    log::Log(log::level::kWarning, "message of a peer is not valid",
             {{"peer", peer}, {"detail", failure.what()}});
  }
}

void OnLinkChange(router_state& state, std::string_view peer, bool up) {
  log::Log(log::level::kInfo, up ? "peer link is up" : "peer link is down", {{"peer", peer}});
  UpdateLedgerMembers(state);
  HandleMemberLink(state, peer, up);
  HandleQuarantineLink(state, peer, up);
}

}  // namespace

result<void> StartPeers(router_state& state) {
  if (state.config.peer_listen.empty()) return Success();
  peer::peer_settings settings;
  settings.id = state.instance_id;
  settings.listen_address = state.config.peer_listen;
  settings.key = state.config.peer_key;
  settings.seed = state.rng();
  peer::peer_callbacks callbacks;
  callbacks.on_message = [&state](std::string_view peer, const json& message) {
    OnMessage(state, peer, message);
  };
  callbacks.on_up = [&state](std::string_view peer) { OnLinkChange(state, peer, true); };
  callbacks.on_down = [&state](std::string_view peer) { OnLinkChange(state, peer, false); };
  BOOST_OUTCOME_TRY(node, peer::peer_node::Create(state.loop.Timers(), std::move(settings),
                                                  std::move(callbacks)));
  state.peers = std::move(node);
  for (const std::string& address : state.config.peers) {
    BOOST_OUTCOME_TRYV(state.peers->Connect(address));
  }
  return Success();
}

bool SendToPeer(router_state& state, std::string_view peer, const json& message) {
  return state.peers && state.peers->Send(peer, message);
}

void SendToAllPeers(router_state& state, const json& message) {
  if (!state.peers) return;
  std::ranges::for_each(state.peers->UpPeers(),
                        [&](const std::string& peer) { state.peers->Send(peer, message); });
}

std::vector<std::string> LiveDaemons(const router_state& state) {
  std::vector<std::string> daemons;
  if (state.peers) daemons = state.peers->UpPeers();
  daemons.push_back(state.instance_id);
  std::ranges::sort(daemons);
  return daemons;
}

}  // namespace balsambay::router
