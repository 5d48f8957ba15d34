// The claimant's side of one submission. Kept by the daemon that accepted the request; it alone
// decides whether the request may be dispatched, so "not run" can be told to the caller as soon as
// GiveUp() has returned true.
#pragma once

#include "base/time.h"
#include "ledger/ledger.h"

namespace balsambay::ledger {

enum class claim_state {
  kWaiting,     // claim sent, no reply
  kGranted,     // may dispatch until `expires`
  kDispatched,  // may have run
  kGivenUp,     // will never dispatch; the owner should be told with Abandon
  kAnswered,    // duplicate or key conflict
  kEnded,       // dispatched and finished
};

struct submission {
  claim request;
  claim_state state = claim_state::kWaiting;
  time_point sent;     // when the claim was first sent, on this daemon's clock
  time_point expires;  // meaningful once granted
};

submission Submit(claim request, time_point now);

// Applies a reply of the owner. A refusal leaves the submission waiting: the claim may be sent
// again with the same request id (for kNotOwner to the named owner), or be given up. Returns true
// when the submission must tell the owner that it was abandoned: a grant came for a submission that
// has been given up.
bool OnReply(submission& submission, const reply& reply);

// Call right before the first byte is written to an endpoint, with a clock read for this call.
// Returns true at most once for each grant, and only before it expires; after false the submission
// must be given up.
[[nodiscard]] bool TryDispatch(submission& submission, time_point now);

// The endpoint proved that nothing ran; TryDispatch may be called again.
void OnNotStarted(submission& submission);

// Ends a submission that was not dispatched. Returns false when it may have run.
[[nodiscard]] bool GiveUp(submission& submission);

// The run ended, or its outcome is unknown; the owner is told with Finish. Returns false when the
// submission was not dispatched.
[[nodiscard]] bool End(submission& submission);

}  // namespace balsambay::ledger
