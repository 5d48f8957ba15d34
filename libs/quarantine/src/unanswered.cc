// Runs that ended without an answer of their endpoint. A slow endpoint cannot be told from a silent
// one, so nothing follows from them until the endpoint is found lost.
#include "details/unanswered.h"

#include <algorithm>

#include "quarantine/quarantine.h"

namespace balsambay::quarantine {
namespace {

// Bounds the memory; the oldest are dropped. Each is kept for some seconds.
constexpr size_t kMaxUnanswered = 1024;

void PurgeExpired(table& state, time_point now) {
  std::erase_if(state.unanswered,
                [&](const unanswered_run& ended) { return now >= ended.expires; });
}

}  // namespace

void ReportUnanswered(table& state, run_id id, const endpoint_instance& instance, time_point now,
                      time_point until) {
  const auto found = state.runs.find(id);
  if (found == state.runs.end()) return;
  const run& active = found->second;
  const auto hop = std::ranges::find(active.route, instance, &route_hop::instance);
  if (hop == active.route.end() || hop->progressed || hop->loss_counted) return;
  PurgeExpired(state, now);
  // The endpoint was in doubt already when the run was placed on it.
  if (hop->placed_at > details::InDoubtSince(state, instance, now)) return;
  if (state.unanswered.size() >= kMaxUnanswered) state.unanswered.pop_front();
  state.unanswered.push_back({instance, active.key, id, now, until, active.as_suspect});
}

void ReportAnswer(table& state, const endpoint_instance& instance, time_point until) {
  for (unanswered_run& ended : state.unanswered) {
    if (ended.instance != instance || ended.answered) continue;
    ended.answered = true;
    ended.expires = std::min(ended.expires, until);
  }
}

namespace details {

void GradeUnanswered(table& state, const endpoint_instance& instance, time_point now,
                     attributed_losses& losses) {
  PurgeExpired(state, now);
  std::vector<unanswered_run> graded;
  std::ranges::copy_if(state.unanswered, std::back_inserter(graded),
                       [&](const auto& ended) { return ended.instance == instance; });
  // A request that ran when the endpoint was lost is the likelier cause; the unanswered ones may
  // only have been slow.
  const bool has_likelier_cause = !losses.empty();
  for (const unanswered_run& ended : graded) {
    std::erase_if(state.unanswered, [&](const auto& other) {
      return other.id == ended.id && other.key == ended.key;
    });
    Touch(state, ended.key);
    losses.emplace(ended.key, attributed_loss{.instance = instance,
                                              .half_weight = has_likelier_cause,
                                              .as_suspect = ended.as_suspect});
  }
}

time_point InDoubtSince(const table& state, const endpoint_instance& instance, time_point now) {
  time_point since = kNever;
  for (const unanswered_run& ended : state.unanswered) {
    const bool in_doubt = ended.instance == instance && !ended.answered && now < ended.expires;
    if (in_doubt) since = std::min(since, ended.ended_at);
  }
  return since;
}

void ForgetUnanswered(table& state, const fingerprint& key) {
  std::erase_if(state.unanswered, [&](const auto& ended) { return ended.key == key; });
}

}  // namespace details
}  // namespace balsambay::quarantine
