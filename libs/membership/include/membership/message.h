// Messages of the membership protocol and their JSON form (sent as CBOR by the peer library).
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "base/result.h"

namespace balsambay::membership {

enum class member_status : uint8_t { kUnknown, kAlive, kSuspect, kFailed, kLeft };

enum class message_kind : uint8_t {
  kPing,         // answered by kAck with the same sequence
  kAck,          // `target` names the acknowledged member
  kPingRequest,  // asks the receiver to ping `target` and to pass on its ack
  kGossip,       // carries only updates and facts
  kSyncRequest,  // answered by kSyncReply when `digest` differs from the receiver's
  kSyncReply,    // member table of the sender, in parts; the receiver answers with what is newer
};

struct member_update {
  std::string id;
  std::string address;
  uint64_t incarnation = 0;
  member_status status = member_status::kAlive;
  bool operator==(const member_update&) const = default;
};

// Small value that one daemon publishes to its zone. Versions of one (origin, key) only rise.
struct fact {
  std::string origin;  // daemon id
  std::string key;
  std::string value;  // empty: withdrawn
  uint64_t version = 0;
  bool urgent = false;  // passed on at once and repeated to new members
  bool operator==(const fact&) const = default;
};

struct message {
  message_kind kind = message_kind::kPing;
  std::string zone;
  std::string sender_id;
  std::string sender_address;
  uint64_t incarnation = 0;  // of the sender
  member_status status = member_status::kAlive;
  uint64_t sequence = 0;
  std::string target;
  std::string target_address;
  uint64_t digest = 0;
  uint64_t config_version = 0;
  uint64_t config_age_ms = 0;  // since config_version was known to be the latest
  std::vector<member_update> updates;
  std::vector<fact> facts;
};

// The "t" member of every message of this protocol.
inline constexpr const char* kMessageType = "m";

nlohmann::json ToJson(const message& message);
// Errors: kInvalidArgument when a member is missing, has the wrong type or exceeds its bound.
result<message> MessageFromJson(const nlohmann::json& json);

}  // namespace balsambay::membership
