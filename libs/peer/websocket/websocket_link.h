// One WebSocket connection between two daemons (RFC 6455, binary messages). Uses only types that
// C++17 and C++20 share, because the implementation is compiled as C++17.
#pragma once

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace balsambay::peer {

enum class link_end { kTransport, kClosedByPeer, kOversized, kProtocol };

struct link_limits {
  size_t max_message_bytes = 0;
  size_t max_send_buffer_bytes = 0;
};

// Handlers run from the main loop. After on_end no other handler runs.
struct link_handlers {
  std::function<void()> on_open;
  std::function<void(std::string_view payload)> on_message;
  std::function<void()> on_pong;
  std::function<void(link_end)> on_end;
};

class websocket_link {
 public:
  websocket_link() = default;
  virtual ~websocket_link() = default;
  websocket_link(const websocket_link&) = delete;
  websocket_link& operator=(const websocket_link&) = delete;

  // False when the link is not open or the message does not fit into the send buffer.
  virtual bool Send(std::string_view payload) = 0;
  virtual void Ping() = 0;
  // Sends a close frame, passes to the kernel what it takes and closes. No handler runs afterwards.
  virtual void Close() = 0;
  virtual size_t Buffered() const = 0;
  virtual uint64_t BytesIn() const = 0;
  virtual uint64_t BytesOut() const = 0;
};

// Take over one reference to `socket`. The client's socket has a connect in progress to `address`.
std::shared_ptr<websocket_link> StartServerLink(GSocket* socket, const link_limits& limits,
                                                link_handlers handlers);
std::shared_ptr<websocket_link> StartClientLink(GSocket* socket, const std::string& address,
                                                const link_limits& limits, link_handlers handlers);

}  // namespace balsambay::peer
