// Socket addresses as text.
#pragma once

#include <string_view>

namespace balsambay::net {

// Whether `text` is IP:PORT, with a port from 1 to 65535 and nothing else.
bool IsAddress(std::string_view text);

}  // namespace balsambay::net
