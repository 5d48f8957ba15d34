// The claimant's state machine for one submission of a request. The claimant is the daemon that
// accepted the request. Only the claimant decides whether the request is dispatched, so it can
// report "not run" to the caller as soon as GiveUp() has returned true.
//
// The functions do no I/O: the caller sends the messages to the owner of the shard.
#pragma once

#include "base/time.h"
#include "ledger/ledger.h"

namespace balsambay::ledger {

enum class submission_state {
  kWaiting,     // the claim was sent and has not been answered, or was refused
  kGranted,     // the request may be dispatched until `expires`
  kDispatched,  // the request may have run
  kGivenUp,     // the request will never be dispatched; send Abandon() to the owner
  kAnswered,    // the owner reported a duplicate or a key conflict
  kEnded,       // the request was dispatched, and the run ended or its outcome is unknown
};

struct submission {
  claim request;
  submission_state state = submission_state::kWaiting;
  time_point first_sent;  // when the claim was first sent, on the claimant's clock
  time_point expires;     // of the grant, on the claimant's clock; valid once granted
};

// Returns a submission in state kWaiting; the caller sends the claim.
submission MakeSubmission(claim request, time_point now);

// Applies a reply of the owner. A refusal leaves the submission in kWaiting: the caller may send
// the claim again with the same request id (after kNotOwner to the owner named in the reply), or
// give it up. Returns true when the caller must send Abandon() to the owner, because a grant
// arrived for a submission that was already given up.
bool OnReply(submission& submission, const reply& reply);

// Call right before the first byte is written to an endpoint, with a clock read for this call.
// Returns true only before the grant expires, and only once unless OnNotStarted() is called in
// between. If it returns false, give the submission up.
[[nodiscard]] bool TryDispatch(submission& submission, time_point now);

// The endpoint proved that it did not start the request: the submission is granted again, and
// TryDispatch() may be called again.
void OnNotStarted(submission& submission);

// Gives up a submission that was not dispatched. Returns false when the request may have run.
[[nodiscard]] bool GiveUp(submission& submission);

// The run ended, or its outcome is unknown; the caller sends Finish() to the owner. Returns false
// when the submission was not dispatched.
[[nodiscard]] bool EndSubmission(submission& submission);

}  // namespace balsambay::ledger
