// Builds replies. Each refusal reason has the delay after which the claimant should retry.
#include <array>

#include "details/shard_set.h"

namespace balsambay::ledger {
namespace {

using std::chrono::milliseconds;

struct refusal_text {
  std::string_view name;
  duration retry_after;
};

// Indexed by the value of the reason.
constexpr std::array<refusal_text, 11> kRefusals = {{{"none", milliseconds(0)},
                                                     {"not_owner", milliseconds(0)},
                                                     {"loading", milliseconds(500)},
                                                     {"moving", milliseconds(500)},
                                                     {"lease_lapsed", milliseconds(1000)},
                                                     {"table_unavailable", milliseconds(1000)},
                                                     {"overloaded", milliseconds(250)},
                                                     {"full", milliseconds(10'000)},
                                                     {"busy", milliseconds(100)},
                                                     {"no_record", milliseconds(0)},
                                                     {"invalid", milliseconds(0)}}};

}  // namespace

std::string_view ToString(refusal_reason reason) {
  return kRefusals[static_cast<size_t>(reason)].name;
}

void Reply(shard_set& set, std::string_view claimant, std::string_view request_id, reply_kind kind,
           effects& effects) {
  reply reply;
  reply.claimant = claimant;
  reply.request_id = request_id;
  reply.kind = kind;
  if (kind == reply_kind::kGrant) {
    reply.grant_time = set.config.grant_time;
    ++set.count.grants;
  } else if (kind != reply_kind::kRecorded) {
    ++set.count.duplicates;
  }
  effects.emplace_back(std::move(reply));
}

void Refuse(shard_set& set, std::string_view claimant, std::string_view request_id,
            refusal_reason reason, std::string_view owner, effects& effects) {
  reply reply;
  reply.claimant = claimant;
  reply.request_id = request_id;
  reply.reason = reason;
  reply.retry_after = kRefusals[static_cast<size_t>(reason)].retry_after;
  reply.owner = owner;
  ++set.count.refused;
  effects.emplace_back(std::move(reply));
}

}  // namespace balsambay::ledger
