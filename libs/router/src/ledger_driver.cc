// Claims go to the shard's owner, which is this daemon or a peer; closings are repeated until
// recorded.
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

// A caller is told to come back rather than kept waiting for the ledger.
constexpr duration kClaimBound = std::chrono::milliseconds(1500);
constexpr duration kClaimRetry = std::chrono::milliseconds(50);
constexpr duration kClosingRetry = std::chrono::milliseconds(500);
constexpr duration kClosingLifetime = std::chrono::seconds(60);
constexpr duration kComeBack = std::chrono::seconds(1);

void Process(router_state& state, const ledger::effects& effects);

void ScheduleTick(router_state& state) {
  Cancel(state.loop.Timers(), state.ledger_timer);
  const time_point deadline = ledger::NextDeadline(*state.shards);
  if (deadline == kNever) return;
  state.ledger_timer = Subscribe(state.loop.Timers(), deadline, [&state](time_point now) {
    Process(state, ledger::OnTick(*state.shards, now, WallClockMs()));
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

// Stored results may hold any bytes; CBOR binary keeps them as they are.
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
  ledger::reply out;
  out.request_id = value.at("request_id");
  out.kind = static_cast<ledger::reply_kind>(value.at("kind").get<int>());
  out.reason = static_cast<ledger::refusal>(value.at("reason").get<int>());
  out.retry_after = duration(value.at("retry_after_us").get<int64_t>());
  out.owner = value.at("owner");
  out.grant_time = duration(value.at("grant_us").get<int64_t>());
  out.result_stored = value.at("result_stored");
  const auto& bytes = value.at("result").get_binary();
  out.result.assign(bytes.begin(), bytes.end());
  return out;
}

std::string OwnerOf(const router_state& state, const ledger::claim& claim) {
  const auto shard = ledger::ShardOf(claim.workspace, claim.key, state.config.shards);
  return ledger::PreferredOwner(shard, state.live_daemons);
}

// Hands a message about `claim` to `owner`; false when there is no link to it.
bool Tell(router_state& state, const std::string& owner, const char* type,
          const ledger::claim& claim, const closing* close = nullptr) {
  if (owner == state.instance_id) {
    const time_point now = MonotonicNow();
    const std::string_view kind = type;
    if (kind == "claim") Process(state, ledger::Claim(*state.shards, claim, now));
    if (kind == "abandon") Process(state, ledger::Abandon(*state.shards, claim, now));
    if (kind == "finish")
      Process(state, ledger::Finish(*state.shards, claim, close->end, close->result, now));
    return true;
  }
  json message = {{"type", type}, {"claim", ToJson(claim)}};
  if (close != nullptr) {
    message["end"] = static_cast<int>(close->end);
    message["result"] =
        json::binary(std::vector<uint8_t>(close->result.begin(), close->result.end()));
  }
  return SendToPeer(state, owner, message);
}

void RefuseClaim(router_state& state, const request_ptr& item, std::string detail) {
  GiveUp(state, item, "ledger_unavailable", std::move(detail), kComeBack);
}

void SendClaim(router_state& state, const request_ptr& item, const std::string& owner) {
  item->claim_owner = owner;
  if (owner.empty() || !Tell(state, owner, "claim", item->submission->request)) {
    RefuseClaim(state, item, "the owner of the record's shard cannot be reached");
  }
}

void RetryClaim(router_state& state, const request_ptr& item, const std::string& owner,
                duration wait) {
  const time_point now = MonotonicNow();
  if (now + wait > item->submission->sent + kClaimBound) {
    return RefuseClaim(state, item, "the record's shard has no owner at the moment");
  }
  const std::weak_ptr<request> weak = item;
  item->backoff_timer =
      Subscribe(state.loop.Timers(), now + wait, [&state, weak, owner](time_point) {
        const auto held = weak.lock();
        if (!held || held->phase != attempts::phase::kClaiming) return;
        const std::string target =
            owner.empty() ? OwnerOf(state, held->submission->request) : owner;
        SendClaim(state, held, target);
      });
}

void OnRefused(router_state& state, const request_ptr& item, const ledger::reply& reply) {
  switch (reply.reason) {
    case ledger::refusal::kNotOwner:
      return RetryClaim(state, item, reply.owner, kClaimRetry);
    case ledger::refusal::kLoading:
    case ledger::refusal::kMoving:
    case ledger::refusal::kBusy:
    case ledger::refusal::kLeaseLapsed:
      return RetryClaim(state, item, "", std::max(kClaimRetry, reply.retry_after));
    default:
      return RefuseClaim(state, item,
                         "start record refused: " + std::string(ledger::ToString(reply.reason)));
  }
}

void RespondDuplicate(router_state& state, const request_ptr& item, const ledger::reply& reply) {
  problem error{.reason = "duplicate_unknown",
                .detail = "an earlier request with this key was started",
                .outcome = attempts::outcome::kUnknown};
  if (reply.kind == ledger::reply_kind::kInProgress) {
    error.reason = "duplicate_in_progress";
    error.retry_after = kComeBack;
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
  RespondProblem(state, item->exchange, error);
  Retire(state, item);
}

// A copy, because the reply may remove the entry while it is being sent.
void TellClosing(router_state& state, closing item) {
  const std::string owner = item.owner.empty() ? OwnerOf(state, item.claim) : item.owner;
  if (owner.empty()) return;
  Tell(state, owner, item.abandoned ? "abandon" : "finish", item.claim, &item);
}

void OnClosingReply(router_state& state, const ledger::reply& reply) {
  const auto it = state.closings.find(reply.request_id);
  if (reply.kind == ledger::reply_kind::kRecorded || reply.reason == ledger::refusal::kNoRecord) {
    state.closings.erase(it);
    return;
  }
  // The repeated send finds the shard's new owner; a named one is asked at once.
  it->second.owner = reply.reason == ledger::refusal::kNotOwner ? reply.owner : "";
  if (!it->second.owner.empty()) TellClosing(state, it->second);
}

void OnClaimReply(router_state& state, const ledger::reply& reply) {
  if (state.closings.contains(reply.request_id)) {
    OnClosingReply(state, reply);
    return CheckStopped(state);
  }
  const auto found = state.requests.find(reply.request_id);
  if (found == state.requests.end() || !found->second->submission) return;
  const request_ptr item = found->second;
  if (item->phase != attempts::phase::kClaiming) return;
  ledger::OnReply(*item->submission, reply);
  switch (reply.kind) {
    case ledger::reply_kind::kGrant:
      attempts::Advance(item->phase, attempts::phase_event::kGranted);
      return Dispatch(state, item);
    case ledger::reply_kind::kRefused:
      return OnRefused(state, item, reply);
    case ledger::reply_kind::kRan:
      if (reply.result_stored && RespondStored(*item, reply.result)) return Retire(state, item);
      return RespondDuplicate(state, item, reply);
    default:
      return RespondDuplicate(state, item, reply);
  }
}

void Process(router_state& state, const ledger::effects& effects) {
  for (const ledger::effect& effect : effects) {
    if (const auto* call = std::get_if<lease::table_call>(&effect)) {
      SendTableCall(state, *call, [&state, id = call->id](const lease::table_outcome& outcome) {
        Process(state, ledger::OnTableReply(*state.shards, id, outcome, MonotonicNow()));
      });
    } else if (const auto* reply = std::get_if<ledger::reply>(&effect)) {
      if (reply->claimant == state.instance_id) {
        // Deferred, so that a reply never arrives while its claim is still being sent.
        Subscribe(state.loop.Timers(), MonotonicNow(),
                  [&state, copy = *reply](time_point) { OnClaimReply(state, copy); });
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

void SendClosing(router_state& state, const std::string& request_id) {
  const auto it = state.closings.find(request_id);
  if (it == state.closings.end()) return;
  const closing& item = it->second;
  const time_point now = MonotonicNow();
  if (now > item.give_up_at) {
    log::Log(log::level::kWarning, "end of a non-repeatable request could not be recorded",
             {{"request", request_id}});
    state.closings.erase(it);
    return CheckStopped(state);
  }
  Subscribe(state.loop.Timers(), now + kClosingRetry,
            [&state, request_id](time_point) { SendClosing(state, request_id); });
  TellClosing(state, item);
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
  ledger::SetLive(*state.shards, state.live_daemons, MonotonicNow());
  Process(state, ledger::OnTick(*state.shards, MonotonicNow(), WallClockMs()));
}

void ClaimRequest(router_state& state, const request_ptr& item) {
  if (!state.shards) return RefuseClaim(state, item, "no table service is configured");
  ledger::claim claim{item->workspace, item->idempotency_key, item->body_digest, item->id,
                      state.instance_id};
  item->submission = ledger::Submit(std::move(claim), MonotonicNow());
  const std::weak_ptr<request> weak = item;
  item->claim_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + kClaimBound, [&state, weak](time_point) {
        const auto held = weak.lock();
        if (held && held->phase == attempts::phase::kClaiming)
          RefuseClaim(state, held, "no start record in time");
      });
  SendClaim(state, item, OwnerOf(state, item->submission->request));
}

bool TryDispatchClaim(request& item) {
  return !item.submission || ledger::TryDispatch(*item.submission, MonotonicNow());
}

void ClaimNotStarted(request& item) {
  if (item.submission) ledger::OnNotStarted(*item.submission);
}

void CloseClaim(router_state& state, request& item, bool ran, std::string ran_result) {
  if (!item.submission) return;
  closing close;
  close.claim = item.submission->request;
  close.owner = item.claim_owner;
  close.give_up_at = MonotonicNow() + kClosingLifetime;
  close.end = ran ? ledger::end_state::kRan : ledger::end_state::kUnknown;
  close.result = std::move(ran_result);
  const ledger::claim_state before = item.submission->state;
  close.abandoned = ledger::GiveUp(*item.submission);
  // Duplicates and conflicts belong to another submission.
  const bool dispatched = !close.abandoned && before == ledger::claim_state::kDispatched;
  if (dispatched && !ledger::End(*item.submission)) return;
  if (!close.abandoned && !dispatched) return;
  state.closings[item.id] = std::move(close);
  SendClosing(state, item.id);
}

void HandleLedgerMessage(router_state& state, std::string_view peer, const json& message) {
  const std::string type = message.at("type");
  if (type == "claim_reply") return OnClaimReply(state, ReplyFromJson(message));
  if (!state.shards) return;
  const time_point now = MonotonicNow();
  if (type == "handover") {
    return Process(state, ledger::OnHandoverRequest(*state.shards, message.at("shard"), peer, now));
  }
  const ledger::claim claim = ClaimFromJson(message.at("claim"));
  if (type == "claim") return Process(state, ledger::Claim(*state.shards, claim, now));
  if (type == "abandon") return Process(state, ledger::Abandon(*state.shards, claim, now));
  const auto& bytes = message.at("result").get_binary();
  const std::string result(bytes.begin(), bytes.end());
  const auto end = static_cast<ledger::end_state>(message.at("end").get<int>());
  Process(state, ledger::Finish(*state.shards, claim, end, result, now));
}

void ReleaseLedger(router_state& state) {
  if (state.shards) Process(state, ledger::Release(*state.shards, MonotonicNow()));
}

bool LedgerReleased(const router_state& state) {
  return !state.shards || ledger::Released(*state.shards);
}

}  // namespace balsambay::router
