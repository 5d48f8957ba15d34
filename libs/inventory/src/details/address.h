// IP:PORT addresses.
#pragma once

#include <string>
#include <string_view>

namespace balsambay::inventory::details {

// The address in canonical form ("127.0.0.1:80", "[::1]:80"), so that two spellings of one address
// compare equal; empty when `text` is no IP:PORT with a port from 1 to 65535.
std::string CanonicalAddress(std::string_view text);

}  // namespace balsambay::inventory::details
