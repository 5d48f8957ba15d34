// Runs that ended without an answer of their endpoint, which may have been lost by then.
#pragma once

#include "details/blame.h"

namespace balsambay::quarantine::details {

// Adds the losses for the runs that ended unanswered on `instance`. Of the endpoints of one run,
// one counts. Precondition: `instance` is lost.
void GradeUnanswered(table& state, const endpoint_instance& instance, time_point now,
                     attributed_losses& losses);

// Time from which the endpoint, by the first run that ended unanswered on it, may have been lost;
// kNever if there is none or the endpoint has answered since. Runs that were placed on it later are
// no likely cause of its loss.
time_point InDoubtSince(const table& state, const endpoint_instance& instance, time_point now);

// Forgets the unanswered runs of a fingerprint that has completed.
void ForgetUnanswered(table& state, const fingerprint& key);

}  // namespace balsambay::quarantine::details
