// Hashing. Hash64 is fast and stable across processes (it places keys on shards); Sha256Hex and
// HmacSha256Hex are for tokens, digests and authentication.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace balsambay {

uint64_t Hash64(std::string_view data, uint64_t seed = 0);
std::string Sha256Hex(std::string_view data);
std::string HmacSha256Hex(std::string_view key, std::string_view data);

// Compares in time independent of the content, for secrets of equal length.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

}  // namespace balsambay
