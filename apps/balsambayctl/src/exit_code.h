// Exit codes of the process; they are part of the interface for scripts.
#pragma once

namespace balsambay::ctl {

enum exit_code : int {
  kOk = 0,
  kFailure = 1,
  kUsage = 2,
  kInvalidDocument = 3,
  kConflict = 4,
  kUnreachable = 5,
  kUnknownOutcome = 6,
};

}  // namespace balsambay::ctl
