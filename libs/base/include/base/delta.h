// A text as what differs from an earlier one, for sending changes of long texts in few bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace balsambay {

// `text` in terms of `base`, which may be empty. Short when most of `text` occurs in the last 32 KB
// of `base` or repeats within itself.
std::string EncodeDelta(std::string_view base, std::string_view text);

// nullopt: `delta` was not made against this `base`, is damaged, or describes a text that is longer
// than `most_bytes`.
std::optional<std::string> ApplyDelta(std::string_view base, std::string_view delta,
                                      size_t most_bytes);

}  // namespace balsambay
