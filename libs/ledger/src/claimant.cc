// State machine of a submission, as defined by the state chart claim.scxml.
#include "ledger/claimant.h"

#include <array>

#include "chart/chart.h"
#include "claim_chart.h"

namespace balsambay::ledger {
namespace {

enum class submission_event { kGrant, kAnswer, kDispatch, kNotStarted, kGiveUp, kEnd };

constexpr std::array<std::string_view, 6> kStates = {"waiting",  "granted",  "dispatched",
                                                     "given_up", "answered", "ended"};
constexpr std::array<std::string_view, 6> kEvents = {"grant",       "answer",  "dispatch",
                                                     "not_started", "give_up", "end"};

bool Step(submission& submission, submission_event event) {
  static const chart::table table = chart::ParseEmbedded(charts::claim, kStates, kEvents);
  return chart::Step(table, submission.state, event);
}

}  // namespace

submission MakeSubmission(claim request, time_point now) {
  return {.request = std::move(request),
          .state = submission_state::kWaiting,
          .first_sent = now,
          .expires = {}};
}

bool OnReply(submission& submission, const reply& reply) {
  if (reply.kind == reply_kind::kRefused || reply.kind == reply_kind::kRecorded) return false;
  if (reply.kind != reply_kind::kGrant) {
    Step(submission, submission_event::kAnswer);
    return false;
  }
  if (Step(submission, submission_event::kGrant)) {
    submission.expires = submission.first_sent + reply.grant_time;
  }
  return submission.state == submission_state::kGivenUp;
}

bool TryDispatch(submission& submission, time_point now) {
  return now < submission.expires && Step(submission, submission_event::kDispatch);
}

void OnNotStarted(submission& submission) { Step(submission, submission_event::kNotStarted); }

bool GiveUp(submission& submission) {
  return submission.state == submission_state::kGivenUp ||
         Step(submission, submission_event::kGiveUp);
}

bool EndSubmission(submission& submission) { return Step(submission, submission_event::kEnd); }

}  // namespace balsambay::ledger
