// Messages between the daemons of a zone about configuration versions, and their JSON form.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/result.h"

namespace balsambay::configsync {

enum class message_kind : uint8_t {
  kQuery,     // asks for an announcement
  kAnnounce,  // `version` is in force at the sender
  kPull,      // asks for the part at `offset` of what leads from `have` to `version`
  kPart,      // one part; `version` differs from the request when the sender moved on
};

// What the bytes of a transfer are: a JSON array of deltas, or a whole document.
enum class transfer_kind : uint8_t { kDeltas, kSnapshot };

struct message {
  message_kind kind = message_kind::kQuery;
  uint64_t version = 0;
  uint64_t age_ms = 0;  // kAnnounce: since `version` was known to be the latest
  uint64_t have = 0;
  uint64_t offset = 0;
  uint64_t total = 0;  // bytes of the whole transfer
  transfer_kind transfer = transfer_kind::kDeltas;
  std::string digest;  // of the document at `version`
  std::string data;
};

// The "t" member of every message of this protocol.
inline constexpr const char* kMessageType = "c";

nlohmann::json ToJson(const message& message);
// Errors: kInvalidArgument.
result<message> MessageFromJson(const nlohmann::json& json);

}  // namespace balsambay::configsync
