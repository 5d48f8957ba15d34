// Detection of plain endpoints that have gone silent. They answer health checks in turn with their
// requests, so that a late answer shows nothing; but a live endpoint ends each request at its
// deadline and refuses what it has no room for, so it does not leave requests and checks unanswered
// for kMaxSilence. An endpoint that was found silent is checked until it answers. If it does so as
// the same incarnation, its loss is withdrawn.
#include "details/silence.h"

#include <algorithm>
#include <array>
#include <vector>

#include "details/attempt.h"
#include "details/containment.h"
#include "details/fleet.h"
#include "details/monitor.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Time in which live endpoints usually answer: a request that was sent to a lost one that long
// after the first unanswered request may be the cause as well.
constexpr duration kUsualReplyTime = 100ms;
// Time without an answer after which the endpoint of a request is checked.
constexpr duration kOverdue = 1000ms;
// Shortest time from the first check to the conclusion that the endpoint is silent.
constexpr duration kMinCheckTime = 1000ms;
// Interval between checks, so that a lost packet does not decide.
constexpr duration kCheckInterval = 500ms;
// A connection that fails within this time was refused; a later failure may be one of the network.
constexpr duration kMaxRefusalTime = 400ms;
// Time from the start of an endpoint until its entry in the list, which is written meanwhile.
constexpr duration kEntryWriteTime = 300ms;
// A loss that was found by silence can be withdrawn for this long.
constexpr duration kSilentLifetime = std::chrono::seconds(60);
// Bounds the memory and the number of connections.
constexpr size_t kMaxChecks = 64;
constexpr size_t kMaxSilent = 256;

constexpr std::string_view kNoAnswer = "no answer";

bool IsListed(const endpoint* target, uint64_t incarnation) {
  return target != nullptr && target->listed.incarnation == incarnation;
}

bool IsFoundSilent(const gateway_state& state, const std::string& id, uint64_t incarnation) {
  const auto found = state.silent.find(id);
  return found != state.silent.end() && found->second.target.incarnation == incarnation &&
         found->second.answered_at == time_point();
}

bool IsUnderCheck(const gateway_state& state, const std::string& id, uint64_t incarnation) {
  const auto found = state.silence_checks.find(id);
  return found != state.silence_checks.end() && found->second.target.incarnation == incarnation;
}

// Whether a gateway or another endpoint of the zone was heard of. If the whole zone is silent, it
// is cut off, or this gateway is.
bool HeardFromZone(const gateway_state& state, const plain_instance& target, time_point since) {
  bool has_others = false;
  for (const auto& [id, remote] : state.peers) {
    if (remote.address.zone != target.zone) continue;
    has_others = true;
    if (remote.heard >= since) return true;
  }
  for (const auto& [id, other] : state.endpoints) {
    if (other.listed.zone != target.zone || id == target.id) continue;
    has_others = true;
    if (std::max(other.answered_at, other.last_not_leaving_at) >= since) return true;
  }
  return !has_others;
}

// Reports the loss of the endpoint, whose entry may have expired.
void ReportEnded(gateway_state& state, const plain_instance& lost, std::string_view reason,
                 time_point silent_since) {
  log::Log(log::level::kWarning, "plain endpoint lost",
           {{"endpoint", lost.id},
            {"incarnation", lost.incarnation},
            {"address", lost.address},
            {"reason", reason},
            {"silent_ms", WholeMilliseconds(MonotonicNow() - silent_since)},
            {"listed", IsListed(FindEndpoint(state, lost.id), lost.incarnation)}});
  endpoint* target = FindEndpoint(state, lost.id);
  if (!IsListed(target, lost.incarnation)) {
    return OnRemovedEndpointLost(state, lost.id, lost.incarnation, silent_since);
  }
  if (target->down) return OnEndpointLost(state, *target, silent_since);
  MarkDown(state, *target, reason, loss_evidence::kProof, silent_since);
}

// Whether the endpoint itself replied, not another one that has taken over its address.
bool IsOwnReply(const plain_instance& target, const reply_metadata& facts) {
  return facts.endpoint_id.empty() || facts.endpoint_id == target.id;
}

// The endpoint answered a check that was sent at `asked`. If it was found silent, a restart may
// have ended the silence, so that CheckSilentEndpoints() draws the conclusion.
void OnAlive(gateway_state& state, const plain_instance& target, time_point asked) {
  if (IsUnderCheck(state, target.id, target.incarnation)) state.silence_checks.erase(target.id);
  if (const auto silent = state.silent.find(target.id); silent != state.silent.end()) {
    if (IsFoundSilent(state, target.id, target.incarnation))
      silent->second.answered_at = MonotonicNow();
    return;
  }
  endpoint* listed = FindEndpoint(state, target.id);
  if (IsListed(listed, target.incarnation)) {
    OnEndpointAlive(state, *listed, target.incarnation, asked);
    OnEndpointAnswered(state, *listed);
  }
}

void OnCheckReply(gateway_state& state, const plain_instance& target, time_point asked,
                  const net::whole_reply& reply) {
  const bool replied = reply.end.failure == net::call_failure::kNone;
  const bool own = IsOwnReply(target, state.wire.read_reply(reply.head));
  if (replied && own) return OnAlive(state, target, asked);
  const bool refused =
      reply.end.failure == net::call_failure::kConnect && MonotonicNow() - asked < kMaxRefusalTime;
  if (!IsUnderCheck(state, target.id, target.incarnation) || !(replied || refused)) return;
  const time_point silent_since = state.silence_checks.at(target.id).silent_since;
  state.silence_checks.erase(target.id);
  ReportEnded(state, target,
              refused ? "refuses connections" : "another endpoint answers at its address",
              silent_since);
}

void SendCheck(gateway_state& state, const plain_instance& target) {
  const catalog::service* service = catalog::FindService(*state.configuration, target.service);
  if (service == nullptr || service->health_path.empty()) return;
  net::client_request request;
  request.method = "GET";
  request.url = "http://" + target.address + service->health_path;
  request.header_timeout = kMaxSilence;
  net::Fetch(
      *state.client, std::move(request),
      [&state, target, asked = MonotonicNow()](const net::whole_reply& reply) {
        OnCheckReply(state, target, asked, reply);
      },
      kShortReplyLimits);
}

// Whether checks of the endpoint's service are possible. Without them, silence shows nothing.
bool CanCheck(const gateway_state& state, const plain_instance& target) {
  if (!state.configuration) return false;
  const catalog::service* service = catalog::FindService(*state.configuration, target.service);
  return service != nullptr && !service->pipelined && !service->health_path.empty();
}

// Concludes a check without an answer.
void ConcludeCheck(gateway_state& state, const silence_check& check, time_point now) {
  const plain_instance& target = check.target;
  if (!HeardFromZone(state, target, check.started)) {
    log::Log(log::level::kInfo, "endpoint is silent, and so is its zone",
             {{"endpoint", target.id},
              {"zone", target.zone},
              {"silent_ms", WholeMilliseconds(now - check.silent_since)}});
    return;
  }
  if (IsFoundSilent(state, target.id, target.incarnation)) return;
  while (state.silent.size() >= kMaxSilent) state.silent.erase(state.silent.begin());
  state.silent[target.id] = {target, check.silent_since, now, now + kCheckInterval, {}};
  ReportEnded(state, target, "answers neither requests nor health checks", check.silent_since);
}

void ConcludeChecks(gateway_state& state, time_point now) {
  std::vector<silence_check> due;
  std::vector<plain_instance> unanswered;
  for (auto& [id, check] : state.silence_checks) {
    // This process may not have read the answers that have arrived.
    if (state.loop_delayed_at > check.started) {
      check.started = now;
      check.due = std::max(check.due, now + kMinCheckTime);
    }
    if (now >= check.due) {
      due.push_back(check);
    } else if (now >= check.next_check) {
      check.next_check = now + kCheckInterval;
      unanswered.push_back(check.target);
    }
  }
  for (const plain_instance& target : unanswered) SendCheck(state, target);
  for (const silence_check& check : due) {
    state.silence_checks.erase(check.target.id);
    ConcludeCheck(state, check, now);
  }
}

// Whether the list would show a restart of the endpoint before it answered.
bool WouldShowRestart(const gateway_state& state, time_point answered, time_point now) {
  return now - EndpointListAge(state, now) >= answered + kEntryWriteTime;
}

// Checks the endpoints that were found silent until they answer, and withdraws the losses of those
// that were not restarted.
void CheckSilentEndpoints(gateway_state& state, time_point now) {
  std::erase_if(state.silent, [&](const auto& entry) {
    const endpoint* target = FindEndpoint(state, entry.first);
    const bool restarted =
        target != nullptr && target->listed.incarnation != entry.second.target.incarnation;
    return restarted || now - entry.second.found_at >= kSilentLifetime;
  });
  std::vector<silent_endpoint> recovered;
  std::vector<plain_instance> unanswered;
  for (auto& [id, silent] : state.silent) {
    if (!IsListed(FindEndpoint(state, id), silent.target.incarnation)) continue;
    const bool answered = silent.answered_at != time_point();
    if (answered && WouldShowRestart(state, silent.answered_at, now)) {
      recovered.push_back(silent);
    } else if (!answered && now >= silent.next_check) {
      silent.next_check = now + kCheckInterval;
      unanswered.push_back(silent.target);
    }
  }
  for (const plain_instance& target : unanswered) SendCheck(state, target);
  for (const silent_endpoint& silent : recovered) {
    state.silent.erase(silent.target.id);
    log::Log(log::level::kInfo, "silent endpoint answers, its loss is withdrawn",
             {{"endpoint", silent.target.id},
              {"incarnation", silent.target.incarnation},
              {"silent_ms", WholeMilliseconds(silent.answered_at - silent.since)}});
    endpoint& target = *FindEndpoint(state, silent.target.id);
    OnEndpointAlive(state, target, silent.target.incarnation, silent.answered_at);
    OnEndpointAnswered(state, target);
  }
}

void CheckOverdue(gateway_state& state, time_point now) {
  for (const auto& [number, request] : state.calls) {
    for (const attempt_ptr& attempt : {request->open, request->successor}) {
      const bool overdue = attempt && attempt->head.status == 0 && attempt->upstream &&
                           now - attempt->last_progress >= kOverdue;
      if (overdue) CheckSilence(state, *request, *attempt);
    }
  }
}

}  // namespace

void CheckSilence(gateway_state& state, const plain_instance& target, time_point silent_since) {
  if (!CanCheck(state, target)) return;
  if (IsFoundSilent(state, target.id, target.incarnation) ||
      IsUnderCheck(state, target.id, target.incarnation))
    return;
  if (state.silence_checks.size() >= kMaxChecks) return;
  const time_point now = MonotonicNow();
  const time_point due = std::max(silent_since + kMaxSilence, now + kMinCheckTime);
  state.silence_checks[target.id] = {target, silent_since, now, due, now + kCheckInterval};
  CountReport(state.metrics, kNoAnswer);
  SendCheck(state, target);
}

void CheckSilence(gateway_state& state, const call& request, const attempt& unanswered) {
  if (IsPipelined(unanswered)) return;
  const call_hop& hop = unanswered.path.front();
  const auto reached = request.reached.find(hop.endpoint_id);
  if (reached == request.reached.end()) return;
  const endpoint* listed = FindEndpoint(state, hop.endpoint_id);
  // The end of an endpoint that announced it is no crash.
  if (listed != nullptr && (listed->listed.leaving || !IsListed(listed, reached->second))) return;
  const std::string zone = listed != nullptr ? listed->listed.zone : std::string();
  CheckSilence(state, {hop.endpoint_id, reached->second, hop.address, request.service, zone},
               unanswered.last_progress + kUsualReplyTime);
}

void EndSilence(gateway_state& state, const endpoint& target) {
  state.silence_checks.erase(target.listed.id);
  const auto silent = state.silent.find(target.listed.id);
  if (silent == state.silent.end() || silent->second.answered_at != time_point()) return;
  silent->second.answered_at = MonotonicNow();
}

time_point SilentSince(const gateway_state& state, const std::string& id, uint64_t incarnation) {
  if (IsFoundSilent(state, id, incarnation)) return state.silent.at(id).since;
  if (IsUnderCheck(state, id, incarnation)) return state.silence_checks.at(id).silent_since;
  return kNever;
}

void UpdateSilence(gateway_state& state, time_point now) {
  CheckOverdue(state, now);
  ConcludeChecks(state, now);
  CheckSilentEndpoints(state, now);
}

}  // namespace balsambay::gateway
