// Messages between the daemons of a zone that distribute configuration versions, and their JSON
// encoding.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/result.h"

namespace balsambay::configsync {

enum class message_kind : uint8_t {
  kQuery,     // requests an announcement
  kAnnounce,  // `version` is in force at the sender
  kPull,      // requests the chunk at `offset` of the transfer from `base_version` to `version`
  kChunk,     // one chunk; `version` differs from the request if the sender has a newer version
};

// Content of a transfer: a JSON array of deltas, or a whole document.
enum class transfer_kind : uint8_t { kDeltas, kSnapshot };

struct message {
  message_kind kind = message_kind::kQuery;
  uint64_t version = 0;
  uint64_t age_ms = 0;        // kAnnounce: time since `version` was known to be the latest
  uint64_t base_version = 0;  // kPull: version of the receiver's document; 0: needs a snapshot
  uint64_t offset = 0;        // kPull, kChunk: in bytes from the start of the transfer
  uint64_t total_bytes = 0;   // kChunk: size of the whole transfer
  transfer_kind transfer = transfer_kind::kDeltas;  // kChunk
  std::string digest;                               // kChunk: of the document at `version`
  std::string data;                                 // kChunk
};

// Value of the member "t", which identifies the messages of this protocol.
inline constexpr const char* kMessageType = "c";

nlohmann::json ToJson(const message& message);
// Errors: kInvalidArgument for a message of another protocol or a malformed one.
result<message> MessageFromJson(const nlohmann::json& json);

}  // namespace balsambay::configsync
