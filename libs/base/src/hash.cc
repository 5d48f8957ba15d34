// Hashes by xxHash and GLib's checksums.
#include "base/hash.h"

#include <glib.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <functional>
#include <numeric>

namespace balsambay {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string Sha256Hex(std::string_view data) {
  gchar* hex = g_compute_checksum_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(data.data()), data.size());
  std::string out(hex);
  g_free(hex);
  return out;
}

std::string HmacSha256Hex(std::string_view key, std::string_view data) {
  gchar* hex = g_compute_hmac_for_data(G_CHECKSUM_SHA256,
                                       reinterpret_cast<const guchar*>(key.data()), key.size(),
                                       reinterpret_cast<const guchar*>(data.data()), data.size());
  std::string out(hex);
  g_free(hex);
  return out;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  const int diff = std::transform_reduce(a.begin(), a.end(), b.begin(), 0, std::bit_or<>(),
                                         [](char x, char y) { return x ^ y; });
  return diff == 0;
}

}  // namespace balsambay
