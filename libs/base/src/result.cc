// Names of error codes and the abort path for broken invariants.
#include "base/result.h"

#include <cstdio>
#include <cstdlib>

namespace balsambay {

std::string_view ToString(errc code) {
  switch (code) {
    case errc::kInvalidArgument:
      return "invalid_argument";
    case errc::kConflict:
      return "conflict";
    case errc::kUnavailable:
      return "unavailable";
    case errc::kUnknownOutcome:
      return "unknown_outcome";
    case errc::kNotFound:
      return "not_found";
    case errc::kExhausted:
      return "exhausted";
    case errc::kInternal:
      return "internal";
  }
  return "internal";
}

void CheckInvariant(bool condition, std::string_view what) {
  if (condition) return;
  std::fprintf(stderr, "invariant broken: %.*s\n", static_cast<int>(what.size()), what.data());
  std::abort();
}

}  // namespace balsambay
