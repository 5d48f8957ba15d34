// Public functions of a peer node.
#include "peer/peer.h"

#include "details/codec.h"
#include "details/node.h"

namespace balsambay::peer {

using details::EndLink;
using details::link_id;

struct peer_node::impl : details::node {};

namespace {

result<void> CheckSettings(const peer_settings& settings) {
  if (settings.id.empty()) return Failure(errc::kInvalidArgument, "peer id is empty");
  if (settings.key.empty()) return Failure(errc::kInvalidArgument, "peer key is empty");
  return Success();
}

}  // namespace

peer_node::peer_node(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

peer_node::~peer_node() { Close(); }

result<std::unique_ptr<peer_node>> peer_node::Create(timer_service& timers, peer_settings settings,
                                                     peer_callbacks callbacks) {
  BOOST_OUTCOME_TRYV(CheckSettings(settings));
  const uint64_t seed = settings.seed;
  auto state = std::make_unique<impl>(impl{{.timers = timers,
                                            .settings = std::move(settings),
                                            .callbacks = std::move(callbacks),
                                            .rng = random_generator(seed),
                                            .instance = details::RandomHex(),
                                            .listener = nullptr,
                                            .links = {},
                                            .current = {},
                                            .targets = {},
                                            .next_sweep = {},
                                            .counters = {}}});
  BOOST_OUTCOME_TRYV(details::StartListening(*state));
  details::StartSweep(*state);
  return std::unique_ptr<peer_node>(new peer_node(std::move(state)));
}

result<void> peer_node::Connect(std::string_view address) {
  BOOST_OUTCOME_TRYV(details::ParseAddress(address));
  if (impl_->closed || impl_->targets.contains(address)) return Success();
  const std::string key(address);
  impl_->targets[key].backoff = impl_->settings.first_backoff;
  details::Dial(*impl_, key);
  return Success();
}

void peer_node::Disconnect(std::string_view address) {
  const auto found = impl_->targets.find(address);
  if (found == impl_->targets.end()) return;
  Cancel(impl_->timers, found->second.retry);
  impl_->targets.erase(found);
}

bool peer_node::Send(std::string_view peer_id, const nlohmann::json& message) {
  const auto found = impl_->current.find(peer_id);
  const std::string payload = found == impl_->current.end() ? "" : details::Encode(message);
  const bool sent = !payload.empty() && payload.size() <= impl_->settings.max_message_bytes &&
                    impl_->links.at(found->second).link->Send(payload);
  ++(sent ? impl_->counters.messages_out : impl_->counters.send_refused);
  return sent;
}

void peer_node::Drop(std::string_view peer_id) {
  const auto found = impl_->current.find(peer_id);
  if (found != impl_->current.end()) EndLink(*impl_, found->second);
}

void peer_node::Close() {
  if (impl_->closed) return;
  impl_->closed = true;
  Cancel(impl_->timers, impl_->sweep_timer);
  for (const auto& [address, target] : impl_->targets) Cancel(impl_->timers, target.retry);
  details::StopListening(*impl_);
  impl_->listener.reset();
  impl_->targets.clear();
  impl_->callbacks.on_down = [](std::string_view /*peer_id*/) {};
  while (!impl_->links.empty()) EndLink(*impl_, impl_->links.begin()->first);
}

bool peer_node::IsUp(std::string_view peer_id) const { return impl_->current.contains(peer_id); }

std::vector<std::string> peer_node::UpPeers() const {
  std::vector<std::string> peers;
  for (const auto& [peer, link] : impl_->current) peers.push_back(peer);
  return peers;
}

std::string peer_node::LocalAddress() const {
  return impl_->listener ? details::LocalAddress(impl_->listener.get()) : "";
}

peer_counters peer_node::Counters() const {
  peer_counters total = impl_->counters;
  for (const auto& [id, state] : impl_->links) {
    total.bytes_in += state.link->BytesIn();
    total.bytes_out += state.link->BytesOut();
  }
  return total;
}

}  // namespace balsambay::peer
