// Sends claims to the shard's owner, which is this daemon or a peer, and repeats the end of each
// claimed request until the owner has recorded it.
#include "details/ledger_driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "details/dispatch.h"
#include "details/logging.h"
#include "details/peers.h"
#include "details/replies.h"
#include "details/requests.h"
#include "details/stored_result.h"
#include "details/table_client.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

// After this time the caller gets an error with Retry-After instead of waiting for the ledger.
constexpr duration kClaimTimeout = std::chrono::milliseconds(1500);
constexpr duration kClaimRetryDelay = std::chrono::milliseconds(50);
constexpr duration kEndRetryInterval = std::chrono::milliseconds(500);
constexpr duration kMaxUnconfirmedEndAge = std::chrono::seconds(60);
constexpr duration kRetryAfter = std::chrono::seconds(1);

void ApplyEffects(router_state& state, const ledger::effects& effects);

void ScheduleTick(router_state& state) {
  Cancel(state.loop.Timers(), state.ledger_timer);
  const time_point deadline = ledger::NextDeadline(*state.shards);
  if (deadline == kNever) return;
  state.ledger_timer = Subscribe(state.loop.Timers(), deadline, [&state](time_point now) {
    ApplyEffects(state, ledger::OnTick(*state.shards, now, WallClockMs()));
  });
}

json ToJson(const ledger::claim& claim) {
  return {{"workspace", claim.workspace},
          {"key", claim.key},
          {"body_digest", claim.body_digest},
          {"request_id", claim.request_id},
          {"claimant", claim.claimant}};
}

ledger::claim ClaimFromJson(const json& value) {
  return {value.at("workspace"), value.at("key"), value.at("body_digest"), value.at("request_id"),
          value.at("claimant")};
}

// Stored results may contain any bytes; CBOR binary values preserve them.
json ToJson(const ledger::reply& reply) {
  return {{"type", "claim_reply"},
          {"request_id", reply.request_id},
          {"kind", static_cast<int>(reply.kind)},
          {"reason", static_cast<int>(reply.reason)},
          {"retry_after_us", reply.retry_after.count()},
          {"owner", reply.owner},
          {"grant_us", reply.grant_time.count()},
          {"result_stored", reply.result_stored},
          {"result", json::binary(std::vector<uint8_t>(reply.result.begin(), reply.result.end()))}};
}

ledger::reply ReplyFromJson(const json& value) {
  ledger::reply reply;
  reply.request_id = value.at("request_id");
  reply.kind = static_cast<ledger::reply_kind>(value.at("kind").get<int>());
  reply.reason = static_cast<ledger::refusal_reason>(value.at("reason").get<int>());
  reply.retry_after = duration(value.at("retry_after_us").get<int64_t>());
  reply.owner = value.at("owner");
  reply.grant_time = duration(value.at("grant_us").get<int64_t>());
  reply.result_stored = value.at("result_stored");
  const auto& bytes = value.at("result").get_binary();
  reply.result.assign(bytes.begin(), bytes.end());
  return reply;
}

std::string OwnerOf(const router_state& state, const ledger::claim& claim) {
  const auto shard = ledger::ShardForKey(claim.workspace, claim.key, state.config.shards);
  return ledger::PreferredOwner(shard, state.live_daemons);
}

// Passes a message about `claim` to `owner`. Returns false when there is no link to it.
bool SendToOwner(router_state& state, const std::string& owner, const char* type,
                 const ledger::claim& claim, const unconfirmed_end* claim_end = nullptr) {
  if (owner == state.instance_id) {
    const time_point now = MonotonicNow();
    const std::string_view kind = type;
    if (kind == "claim") ApplyEffects(state, ledger::Claim(*state.shards, claim, now));
    if (kind == "abandon") ApplyEffects(state, ledger::Abandon(*state.shards, claim, now));
    if (kind == "finish")
      ApplyEffects(state,
                   ledger::Finish(*state.shards, claim, claim_end->end, claim_end->result, now));
    return true;
  }
  json message = {{"type", type}, {"claim", ToJson(claim)}};
  if (claim_end != nullptr) {
    message["end"] = static_cast<int>(claim_end->end);
    message["result"] =
        json::binary(std::vector<uint8_t>(claim_end->result.begin(), claim_end->result.end()));
  }
  return SendToPeer(state, owner, message);
}

void RefuseClaim(router_state& state, const request_ptr& request, std::string detail) {
  FailRequest(state, request, "ledger_unavailable", std::move(detail), kRetryAfter);
}

void SendClaim(router_state& state, const request_ptr& request, const std::string& owner) {
  request->claim_owner = owner;
  if (owner.empty() || !SendToOwner(state, owner, "claim", request->submission->request)) {
    RefuseClaim(state, request, "the owner of the record's shard cannot be reached");
  }
}

void RetryClaim(router_state& state, const request_ptr& request, const std::string& owner,
                duration wait) {
  const time_point now = MonotonicNow();
  if (now + wait > request->submission->first_sent + kClaimTimeout) {
    return RefuseClaim(state, request, "the record's shard has no owner at the moment");
  }
  const std::weak_ptr<caller_request> weak = request;
  request->backoff_timer =
      Subscribe(state.loop.Timers(), now + wait, [&state, weak, owner](time_point) {
        const auto locked = weak.lock();
        if (!locked || locked->phase != attempts::phase::kClaiming) return;
        const std::string target =
            owner.empty() ? OwnerOf(state, locked->submission->request) : owner;
        SendClaim(state, locked, target);
      });
}

void OnRefused(router_state& state, const request_ptr& request, const ledger::reply& reply) {
  switch (reply.reason) {
    case ledger::refusal_reason::kNotOwner:
      return RetryClaim(state, request, reply.owner, kClaimRetryDelay);
    case ledger::refusal_reason::kLoading:
    case ledger::refusal_reason::kMoving:
    case ledger::refusal_reason::kBusy:
    case ledger::refusal_reason::kLeaseLapsed:
      return RetryClaim(state, request, "", std::max(kClaimRetryDelay, reply.retry_after));
    default:
      return RefuseClaim(state, request,
                         "start record refused: " + std::string(ledger::ToString(reply.reason)));
  }
}

void RespondDuplicate(router_state& state, const request_ptr& request, const ledger::reply& reply) {
  problem error{.reason = "duplicate_unknown",
                .detail = "an earlier request with this key was started",
                .outcome = attempts::outcome::kUnknown};
  if (reply.kind == ledger::reply_kind::kInProgress) {
    error.reason = "duplicate_in_progress";
    error.retry_after = kRetryAfter;
  }
  if (reply.kind == ledger::reply_kind::kRan) {
    error.reason = "result_not_kept";
    error.detail = "an earlier request with this key ran; its result was too large to keep";
    error.outcome = attempts::outcome::kRan;
  }
  if (reply.kind == ledger::reply_kind::kKeyConflict) {
    error.reason = "key_conflict";
    error.detail = "the key was used with a different body";
    error.outcome = attempts::outcome::kNotRun;
  }
  RespondProblem(state, request->exchange, error);
  RemoveRequest(state, request);
}

// Takes a copy, because the reply may erase the element of state.unconfirmed_ends during the send.
void SendEndToOwner(router_state& state, unconfirmed_end end) {
  const std::string owner = end.owner.empty() ? OwnerOf(state, end.claim) : end.owner;
  if (owner.empty()) return;
  SendToOwner(state, owner, end.abandoned ? "abandon" : "finish", end.claim, &end);
}

void OnEndReply(router_state& state, const ledger::reply& reply) {
  const auto it = state.unconfirmed_ends.find(reply.request_id);
  if (reply.kind == ledger::reply_kind::kRecorded ||
      reply.reason == ledger::refusal_reason::kNoRecord) {
    state.unconfirmed_ends.erase(it);
    return;
  }
  // The next repetition looks up the shard's new owner; an owner named in the reply is used at
  // once.
  it->second.owner = reply.reason == ledger::refusal_reason::kNotOwner ? reply.owner : "";
  if (!it->second.owner.empty()) SendEndToOwner(state, it->second);
}

void OnClaimReply(router_state& state, const ledger::reply& reply) {
  if (state.unconfirmed_ends.contains(reply.request_id)) {
    OnEndReply(state, reply);
    return CheckStopped(state);
  }
  const auto found = state.requests.find(reply.request_id);
  if (found == state.requests.end() || !found->second->submission) return;
  const request_ptr request = found->second;
  if (request->phase != attempts::phase::kClaiming) return;
  ledger::OnReply(*request->submission, reply);
  switch (reply.kind) {
    case ledger::reply_kind::kGrant:
      attempts::Advance(request->phase, attempts::phase_event::kGranted);
      return Dispatch(state, request);
    case ledger::reply_kind::kRefused:
      return OnRefused(state, request, reply);
    case ledger::reply_kind::kRan:
      if (reply.result_stored && RespondStored(*request, reply.result))
        return RemoveRequest(state, request);
      return RespondDuplicate(state, request, reply);
    default:
      return RespondDuplicate(state, request, reply);
  }
}

void ApplyEffects(router_state& state, const ledger::effects& effects) {
  for (const ledger::effect& effect : effects) {
    if (const auto* call = std::get_if<lease::table_call>(&effect)) {
      SendTableCall(state, *call, [&state, id = call->id](const lease::table_outcome& outcome) {
        ApplyEffects(state, ledger::OnTableReply(*state.shards, id, outcome, MonotonicNow()));
      });
    } else if (const auto* reply = std::get_if<ledger::reply>(&effect)) {
      if (reply->claimant == state.instance_id) {
        // Deferred, so that a reply never arrives during the send of its claim.
        Subscribe(state.loop.Timers(), MonotonicNow(),
                  [&state, reply_copy = *reply](time_point) { OnClaimReply(state, reply_copy); });
      } else {
        SendToPeer(state, reply->claimant, ToJson(*reply));
      }
    } else if (const auto* handover = std::get_if<ledger::handover_request>(&effect)) {
      SendToPeer(state, handover->owner, {{"type", "handover"}, {"shard", handover->shard}});
    }
  }
  ScheduleTick(state);
  if (state.draining) CheckStopped(state);
}

void RepeatEndUntilConfirmed(router_state& state, const std::string& request_id) {
  const auto it = state.unconfirmed_ends.find(request_id);
  if (it == state.unconfirmed_ends.end()) return;
  const unconfirmed_end& end = it->second;
  const time_point now = MonotonicNow();
  if (now > end.give_up_at) {
    log::Log(log::level::kWarning,
             "shard owner did not confirm the end of a non-repeatable request in time",
             {{"request", request_id}});
    state.unconfirmed_ends.erase(it);
    return CheckStopped(state);
  }
  Subscribe(state.loop.Timers(), now + kEndRetryInterval,
            [&state, request_id](time_point) { RepeatEndUntilConfirmed(state, request_id); });
  SendEndToOwner(state, end);
}

}  // namespace

result<void> StartLedger(router_state& state) {
  state.live_daemons = {state.instance_id};
  if (state.config.platform.empty()) return Success();
  ledger::settings settings;
  settings.self = state.instance_id;
  settings.shard_count = state.config.shards;
  BOOST_OUTCOME_TRYV(ledger::Validate(settings));
  state.shards = ledger::MakeShardSet(settings);
  UpdateLedgerMembers(state);
  return Success();
}

void UpdateLedgerMembers(router_state& state) {
  state.live_daemons = LiveDaemons(state);
  if (!state.shards) return;
  ledger::SetLiveDaemons(*state.shards, state.live_daemons, MonotonicNow());
  ApplyEffects(state, ledger::OnTick(*state.shards, MonotonicNow(), WallClockMs()));
}

void ClaimRequest(router_state& state, const request_ptr& request) {
  if (!state.shards) return RefuseClaim(state, request, "no table service is configured");
  ledger::claim claim{request->workspace, request->idempotency_key, request->body_digest,
                      request->id, state.instance_id};
  request->submission = ledger::MakeSubmission(std::move(claim), MonotonicNow());
  const std::weak_ptr<caller_request> weak = request;
  request->claim_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + kClaimTimeout, [&state, weak](time_point) {
        const auto locked = weak.lock();
        if (locked && locked->phase == attempts::phase::kClaiming)
          RefuseClaim(state, locked, "no start record in time");
      });
  SendClaim(state, request, OwnerOf(state, request->submission->request));
}

bool TryDispatchClaim(caller_request& request) {
  return !request.submission || ledger::TryDispatch(*request.submission, MonotonicNow());
}

void MarkClaimNotStarted(caller_request& request) {
  if (request.submission) ledger::OnNotStarted(*request.submission);
}

void CloseClaim(router_state& state, caller_request& request, bool ran, std::string ran_result) {
  if (!request.submission) return;
  unconfirmed_end claim_end;
  claim_end.claim = request.submission->request;
  claim_end.owner = request.claim_owner;
  claim_end.give_up_at = MonotonicNow() + kMaxUnconfirmedEndAge;
  claim_end.end = ran ? ledger::run_outcome::kRan : ledger::run_outcome::kUnknown;
  claim_end.result = std::move(ran_result);
  const ledger::submission_state previous_state = request.submission->state;
  claim_end.abandoned = ledger::GiveUp(*request.submission);
  // For duplicates and key conflicts the record belongs to another request; there is no end to
  // report.
  const bool dispatched =
      !claim_end.abandoned && previous_state == ledger::submission_state::kDispatched;
  if (dispatched && !ledger::EndSubmission(*request.submission)) return;
  if (!claim_end.abandoned && !dispatched) return;
  state.unconfirmed_ends[request.id] = std::move(claim_end);
  RepeatEndUntilConfirmed(state, request.id);
}

void HandleLedgerMessage(router_state& state, std::string_view peer, const json& message) {
  const std::string type = message.at("type");
  if (type == "claim_reply") return OnClaimReply(state, ReplyFromJson(message));
  if (!state.shards) return;
  const time_point now = MonotonicNow();
  if (type == "handover") {
    return ApplyEffects(state,
                        ledger::OnHandoverRequest(*state.shards, message.at("shard"), peer, now));
  }
  const ledger::claim claim = ClaimFromJson(message.at("claim"));
  if (type == "claim") return ApplyEffects(state, ledger::Claim(*state.shards, claim, now));
  if (type == "abandon") return ApplyEffects(state, ledger::Abandon(*state.shards, claim, now));
  const auto& bytes = message.at("result").get_binary();
  const std::string result(bytes.begin(), bytes.end());
  const auto end = static_cast<ledger::run_outcome>(message.at("end").get<int>());
  ApplyEffects(state, ledger::Finish(*state.shards, claim, end, result, now));
}

void ReleaseLedger(router_state& state) {
  if (state.shards) ApplyEffects(state, ledger::Release(*state.shards, MonotonicNow()));
}

bool LedgerReleased(const router_state& state) {
  return !state.shards || ledger::IsReleased(*state.shards);
}

}  // namespace balsambay::router
