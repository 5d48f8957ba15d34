// Socket addresses from text.
#pragma once

#include <gio/gio.h>

#include <string_view>

namespace balsambay::net {

// nullptr when `address` is not IP:PORT. The caller owns the result.
GSocketAddress* ParseAddress(std::string_view address);

}  // namespace balsambay::net
