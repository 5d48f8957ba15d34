// Datagrams on the loop, for state that is worthless when late.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "base/result.h"

namespace balsambay::net {

class datagram_socket {
 public:
  virtual ~datagram_socket() = default;
  // Sends or drops, never blocks. `address` is IP:PORT; others are ignored.
  virtual void Send(std::string_view address, std::string_view data) = 0;
};

// Binds to `address` (IP:PORT). `on_data` gets the payload of each datagram. Errors:
// kInvalidArgument for a bad address, kUnavailable when the address is in use.
result<std::unique_ptr<datagram_socket>> BindDatagram(
    std::string_view address, std::function<void(std::string_view data)> on_data);

}  // namespace balsambay::net
