// Durations of the requests of each route, and the decision about a request during a stop.
#include "details/stop_check.h"

#include <algorithm>

#include "details/retries.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

// Tokens of the answer as far as the caller has announced them; 0: not at all.
double AnnouncedTokens(const incoming_call& incoming) {
  if (incoming.expected_answer_tokens <= 0) return incoming.max_answer_tokens;
  if (incoming.max_answer_tokens <= 0) return incoming.expected_answer_tokens;
  return std::min(incoming.expected_answer_tokens, incoming.max_answer_tokens);
}

}  // namespace

void RecordDuration(gateway_state& state, const call& request, time_point now) {
  AddDuration(state.usual_durations[request.route->name], now - request.arrived,
              AnnouncedTokens(request.incoming));
}

void ForgetOtherRoutes(gateway_state& state) {
  const auto& routes = state.configuration->content.routes;
  std::erase_if(state.usual_durations, [&](const auto& entry) {
    return std::ranges::find(routes, entry.first, &catalog::route::name) == routes.end();
  });
}

std::optional<stop_decision> CheckAgainstStop(const gateway_state& state, const call& request,
                                              time_point now) {
  if (!state.forced_end || request.streaming) return std::nullopt;
  const auto usual = state.usual_durations.find(request.route->name);
  return DecideInStop(usual == state.usual_durations.end() ? nullptr : &usual->second,
                      {.time_left = *state.forced_end - now,
                       .own_time_left = request.due - now,
                       .answer_tokens = AnnouncedTokens(request.incoming),
                       .repeatable = IsIdempotent(request)});
}

void RecordStopDecision(gateway_state& state, const call& request, const stop_decision& decision,
                        time_point now) {
  log::Log(log::level::kInfo, "request checked against the end of the stop",
           {{"request", request.incoming.id},
            {"route", request.route->name},
            {"outcome", ToString(decision.verdict)},
            {"known", decision.expected.has_value()},
            {"expected_ms", WholeMilliseconds(decision.expected.value_or(duration::zero()))},
            {"stop_left_ms", WholeMilliseconds(*state.forced_end - now)},
            {"left_ms", WholeMilliseconds(request.due - now)},
            {"attempts", request.attempts}});
  if (decision.verdict == stop_verdict::kFits) return;
  CountStopRefusal(state.metrics, ToString(decision.verdict));
}

}  // namespace balsambay::gateway
