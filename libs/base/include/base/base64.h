// Bytes as base64 text.
#pragma once

#include <string>
#include <string_view>

namespace balsambay {

std::string EncodeBase64(std::string_view bytes);

// Characters outside the alphabet are skipped.
std::string DecodeBase64(std::string_view text);

}  // namespace balsambay
