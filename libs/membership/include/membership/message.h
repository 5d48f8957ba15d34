// Messages of the membership protocol and their JSON form, which the peer library sends as CBOR.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "base/result.h"

namespace balsambay::membership {

// Encoded by number. At one incarnation, a higher number overrides a lower one.
enum class member_status : uint8_t { kUnknown, kAlive, kSuspect, kFailed, kLeft };

// Encoded by number.
enum class message_kind : uint8_t {
  kPing,         // the receiver replies with kAck and the same sequence
  kAck,          // `target` is the id of the member that replied to the ping
  kPingRequest,  // asks the receiver to ping `target` and to forward its kAck
  kGossip,       // carries only updates and facts; no reply
  kSyncRequest,  // the receiver replies with kSyncReply if its digest differs from `digest`
  kSyncReply,    // batch of the sender's member table and urgent facts; no reply
};

// Status of one member as known to the sender.
struct member_update {
  std::string id;
  std::string address;
  uint64_t incarnation = 0;
  member_status status = member_status::kAlive;
  bool operator==(const member_update&) const = default;
};

// Small key-value entry that one daemon, the origin, publishes to its zone. The version of each
// (origin, key) only increases.
struct fact {
  std::string origin;  // daemon id
  std::string key;
  std::string value;  // empty: the fact is withdrawn
  uint64_t version = 0;
  bool urgent = false;  // forwarded at once, and sent to new members in a sync
  bool operator==(const fact&) const = default;
};

struct message {
  message_kind kind = message_kind::kPing;
  std::string zone;
  std::string sender_id;
  std::string sender_address;
  uint64_t incarnation = 0;  // of the sender
  member_status status = member_status::kAlive;
  uint64_t sequence = 0;        // matches an acknowledgement to its ping
  std::string target;           // member id, for kAck and kPingRequest
  std::string target_address;   // for kPingRequest
  uint64_t digest = 0;          // of the sender's member table, for kSyncRequest
  uint64_t config_version = 0;  // in force at the sender; 0: none
  uint64_t config_age_ms = 0;   // time since config_version was last known to be the latest
  std::vector<member_update> updates;
  std::vector<fact> facts;
};

// Value of "t" in every JSON message of this protocol.
inline constexpr const char* kMessageType = "m";

nlohmann::json ToJson(const message& message);
// Errors: kInvalidArgument if `json` is not a membership message, or if a field is missing, has the
// wrong type or exceeds its limit.
result<message> MessageFromJson(const nlohmann::json& json);

}  // namespace balsambay::membership
