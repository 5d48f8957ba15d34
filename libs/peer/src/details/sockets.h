// Socket addresses and sockets by GIO.
#pragma once

#include <gio/gio.h>

#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"

namespace balsambay::peer::details {

struct unref_object {
  void operator()(gpointer object) const { g_object_unref(object); }
};
using address_ptr = std::unique_ptr<GSocketAddress, unref_object>;
using socket_ptr = std::unique_ptr<GSocket, unref_object>;

// "IP:PORT" or "[IPv6]:PORT". Errors: kInvalidArgument.
result<address_ptr> ParseAddress(std::string_view text);

// Errors: kUnavailable.
result<socket_ptr> Listen(GSocketAddress* address);
// Non-blocking; the connect may still be in progress.
result<socket_ptr> BeginConnect(GSocketAddress* address);

std::string LocalAddress(GSocket* socket);

}  // namespace balsambay::peer::details
