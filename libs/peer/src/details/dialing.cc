// Targets: addresses to which the node keeps a link, with back-off and jitter.
#include "details/node.h"

namespace balsambay::peer::details {
namespace {

constexpr double kBackoffJitter = 0.5;

void FailDial(node& node, const std::string& address) {
  node.targets.at(address).link = 0;
  ScheduleDial(node, address);
}

}  // namespace

void Dial(node& node, const std::string& address) {
  const auto found = node.targets.find(address);
  if (found == node.targets.end()) return;
  found->second.retry = 0;
  ++node.counters.connect_attempts;
  const result<address_ptr> parsed = ParseAddress(address);
  if (parsed.has_error()) return;
  result<socket_ptr> socket = BeginConnect(parsed.value().get());
  if (socket.has_error()) {
    FailDial(node, address);
    return;
  }
  const link_id id = node.next_link++;
  found->second.link = id;
  auto link =
      StartClientLink(socket.value().release(), address, LimitsOf(node), HandlersFor(node, id));
  if (!link) {
    FailDial(node, address);
    return;
  }
  AddLink(node, id, std::move(link), address);
}

void ScheduleDial(node& node, const std::string& address) {
  dial_target& target = node.targets.at(address);
  if (node.closed || target.retry != 0) return;
  const time_point at = MonotonicNow() + Jitter(node.rng, target.backoff, kBackoffJitter);
  target.retry =
      Subscribe(node.timers, at, [&node, address](time_point /*now*/) { Dial(node, address); });
  target.backoff = std::min(2 * target.backoff, node.settings.max_backoff);
}

void OnLinkAuthenticated(node& node, const std::string& target) {
  const auto found = node.targets.find(target);
  if (found != node.targets.end()) found->second.backoff = node.settings.first_backoff;
}

void OnLinkReplaced(node& node, link_id loser, link_id winner) {
  for (auto& [address, target] : node.targets) {
    if (target.link != loser && target.satisfied_by != loser) continue;
    target.link = 0;
    target.satisfied_by = winner;
  }
}

void OnLinkEnded(node& node, link_id id) {
  for (auto& [address, target] : node.targets) {
    if (target.link != id && target.satisfied_by != id) continue;
    target.link = 0;
    target.satisfied_by = 0;
    ScheduleDial(node, address);
  }
}

}  // namespace balsambay::peer::details
