// Base64 by GLib.
#include "base/base64.h"

#include <glib.h>

namespace balsambay {

std::string EncodeBase64(std::string_view bytes) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()), bytes.size());
  std::string out(text);
  g_free(text);
  return out;
}

std::string DecodeBase64(std::string_view text) {
  gsize size = 0;
  guchar* bytes = g_base64_decode(std::string(text).c_str(), &size);
  std::string out(reinterpret_cast<const char*>(bytes), size);
  g_free(bytes);
  return out;
}

}  // namespace balsambay
