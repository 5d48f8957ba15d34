// Errors as values. Functions that can fail return result<T>; only broken invariants abort.
#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <string_view>

namespace balsambay {

enum class errc {
  kInvalidArgument,  // the input is wrong; retrying the same call cannot help
  kConflict,         // a compare-and-set lost against another writer
  kUnavailable,      // nothing happened; a later retry can succeed
  kUnknownOutcome,   // the effect may or may not have happened
  kNotFound,
  kExhausted,  // a limit is reached
  kInternal,
};

std::string_view ToString(errc code);

struct error {
  errc code = errc::kInternal;
  std::string detail;  // for people; names the value that was wrong
};

// Access to the missing alternative terminates: it is a broken invariant.
template <class T>
using result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, error,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

inline auto Success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

inline auto Failure(errc code, std::string detail) {
  return BOOST_OUTCOME_V2_NAMESPACE::failure(error{code, std::move(detail)});
}

// Aborts with a message when `condition` is false. For invariants, never for input.
void CheckInvariant(bool condition, std::string_view what);

}  // namespace balsambay
