// Authenticated links between entry daemons: CBOR messages over WebSocket on GLib's default main
// context. Links are not encrypted; both sides prove that they know the shared key. All calls and
// callbacks happen on the thread of the main loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/timer_service.h"

namespace balsambay::peer {

struct peer_settings {
  std::string id;              // unique among daemons, not empty
  std::string listen_address;  // IP:PORT or [IPv6]:PORT; port 0: chosen by the kernel
  std::string key;             // shared key, not empty
  size_t max_message_bytes = 1 << 20;
  size_t max_send_buffer_bytes = 4 << 20;  // for each link
  size_t max_links = 1024;                 // further incoming connections are closed at once
  duration handshake_timeout = std::chrono::seconds(2);
  // 150 links cost about 0.5 KB/s of pings at 5 s; membership probes find dead peers sooner.
  duration ping_interval = std::chrono::seconds(5);
  duration pong_timeout = std::chrono::seconds(2);
  duration first_backoff = std::chrono::milliseconds(100);
  duration max_backoff = std::chrono::seconds(2);
  uint64_t seed = 0;  // for jitter
};

// Callbacks may call any function of the node but must not destroy it.
struct peer_callbacks {
  std::function<void(std::string_view peer_id, const nlohmann::json& message)> on_message;
  std::function<void(std::string_view peer_id)> on_up;
  std::function<void(std::string_view peer_id)> on_down;
};

struct peer_counters {
  uint64_t messages_in = 0;
  uint64_t messages_out = 0;
  uint64_t bytes_in = 0;  // TCP payload, with handshakes and pings
  uint64_t bytes_out = 0;
  uint64_t links_up = 0;  // authenticated links ever
  uint64_t auth_failures = 0;
  uint64_t unauthenticated_messages = 0;
  uint64_t oversized_messages = 0;
  uint64_t malformed_messages = 0;
  uint64_t handshake_timeouts = 0;
  uint64_t pong_timeouts = 0;
  uint64_t send_refused = 0;  // Send() returned false
  uint64_t connect_attempts = 0;
  uint64_t rejected_links = 0;  // over max_links, or a link to itself
};

class peer_node {
 public:
  // Listens at once. Errors: kInvalidArgument for bad settings, kUnavailable when the address
  // cannot be bound. `timers` must outlive the node; its deadlines use MonotonicNow().
  static result<std::unique_ptr<peer_node>> Create(timer_service& timers, peer_settings settings,
                                                   peer_callbacks callbacks);
  ~peer_node();
  peer_node(const peer_node&) = delete;
  peer_node& operator=(const peer_node&) = delete;

  // Keeps a link to `address`, with back-off and jitter between attempts. Repeated calls are
  // ignored. Errors: kInvalidArgument for a malformed address.
  result<void> Connect(std::string_view address);
  // Stops dialing `address`; a link that is up stays.
  void Disconnect(std::string_view address);

  // False when there is no link to the peer, the message is larger than max_message_bytes or the
  // send buffer is full. True means queued, not delivered.
  bool Send(std::string_view peer_id, const nlohmann::json& message);

  // Closes the links to a peer that another source declared dead. Dialing goes on.
  void Drop(std::string_view peer_id);

  // Stops listening and dialing and closes all links, without on_down.
  void Close();

  bool IsUp(std::string_view peer_id) const;
  std::vector<std::string> UpPeers() const;
  // The listen address with the real port.
  std::string LocalAddress() const;
  peer_counters Counters() const;

 private:
  struct impl;
  explicit peer_node(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

}  // namespace balsambay::peer
