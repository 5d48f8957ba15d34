// Text helpers on string views. Abseil's take its own view type, which is not the standard one in
// Debian's build.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace balsambay {

// Parts between separators; empty parts are kept. The views point into `text`.
std::vector<std::string_view> SplitText(std::string_view text, char separator);

std::string_view TrimSpace(std::string_view text);

// Removes the first line of `text` and returns it without its end, which is a line feed, or a
// carriage return and a line feed.
std::string_view TakeLine(std::string_view& text);

// ASCII only.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// The whole text as a finite decimal number; nullopt otherwise.
std::optional<double> ParseNumber(std::string_view text);

}  // namespace balsambay
