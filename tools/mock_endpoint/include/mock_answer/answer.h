// The answer that an undisturbed mock engine gives. Shared by the engine and by programs that check
// answers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/hash.h"

namespace balsambay::mock_answer {

inline uint64_t StartContext(std::string_view prompt) { return Hash64(prompt); }

inline uint64_t ExtendContext(uint64_t context, std::string_view token) {
  return Hash64(token, context);
}

inline std::string NextToken(uint64_t context) {
  return "w" + std::to_string(context % 10000) + " ";
}

// The whole answer of `count` tokens.
inline std::string Expected(std::string_view prompt, uint32_t count) {
  std::string out;
  uint64_t context = StartContext(prompt);
  for (uint32_t i = 0; i < count; ++i) {
    const std::string token = NextToken(context);
    context = ExtendContext(context, token);
    out += token;
  }
  return out;
}

}  // namespace balsambay::mock_answer
