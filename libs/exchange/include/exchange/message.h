// Messages between gateways, encoded as CBOR. Gateways and endpoints are identified by a 32-bit
// hash of their id. All values are absolute, not changes against an earlier message.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "quarantine/quarantine.h"

namespace balsambay::exchange {

// The hash by which messages identify a gateway or an endpoint.
uint32_t IdHash(std::string_view id);

// How current the sender's copy of a shared table is.
struct feed_position {
  uint64_t changed = 0;   // version of the newest change that the sender has seen
  uint64_t as_of_ms = 0;  // time on the store's clock at which it was the newest; 0: not known
  bool operator==(const feed_position&) const = default;
};

// Load that the sender's own requests put on an endpoint.
struct own_load {
  uint32_t endpoint = 0;
  double committed = 0;   // KV cache, tokens x layers
  int sequences = 0;      // requests that pass through the endpoint
  int head_requests = 0;  // requests among them whose path begins at the endpoint
  bool operator==(const own_load&) const = default;
};

// Report of an engine about itself, received by the sender or by a gateway whose message the sender
// forwards.
struct engine_record {
  uint32_t endpoint = 0;
  duration age{0};       // of the report; encoded in steps of 10 ms
  double committed = 0;  // KV cache in use, tokens x layers; encoded in steps of 1,024
  int sequences = 0;     // requests that pass through the engine
  double slowdown = 1;   // ratio of measured to expected step time; encoded in steps of 0.1
  int first_layer = 0;   // held layers
  int end_layer = 0;     // exclusive; equal to first_layer: no layers held
  bool operator==(const engine_record&) const = default;
};

enum class endpoint_event_kind : uint8_t {
  kDown = 1,       // does not respond to the sender's zone
  kRecovered = 2,  // responds to the sender's zone again
  kLeaving = 3,    // has announced that it will leave
  kSuspect = 4,    // does not respond to another zone; its watchers should poll it
};

// Change in the state of an endpoint.
struct endpoint_event {
  endpoint_event_kind kind = endpoint_event_kind::kDown;
  uint32_t endpoint = 0;
  uint64_t incarnation = 0;
  bool operator==(const endpoint_event&) const = default;
};

// A gateway that can reach the shared store, according to the sender or to others in its zone.
struct store_contact {
  uint32_t gateway = 0;
  duration age{0};  // of this information; encoded in steps of 10 ms
  bool operator==(const store_contact&) const = default;
};

struct changed_row {
  std::string key;
  uint64_t version = 0;
  std::optional<std::string> value;  // nullopt: deleted
  // If set, `value` is a delta (base/delta.h) to the value that the row had at this version; 0: to
  // an empty value.
  std::optional<uint64_t> delta_base_version{};
  bool operator==(const changed_row&) const = default;
};

// All changes of a shared table after the version `since`, up to and including `until`.
struct table_change {
  uint64_t since = 0;
  uint64_t until = 0;
  std::vector<changed_row> rows{};
  bool operator==(const table_change&) const = default;
};

// A table change that the sender has read. Without rows if it is too large for a message; the
// receiver then reads the table itself.
struct shared_change {
  int table = 0;
  table_change change{};
  uint64_t as_of_ms = 0;               // time on the store's clock without a change after `until`
  std::vector<uint32_t> forward_to{};  // gateways to which the receiver forwards the change
  bool operator==(const shared_change&) const = default;
};

struct message {
  uint32_t sender = 0;
  bool is_state = false;       // periodic state message; others are sent when something changes
  bool reaches_store = false;  // the sender can reach the shared store; only in state messages
  std::vector<feed_position> feeds;
  std::vector<own_load> loads;
  std::vector<engine_record> engines;
  std::vector<store_contact> contacts;
  std::vector<endpoint_event> endpoint_events;
  std::optional<shared_change> rows;
  std::vector<quarantine::update> suspects;  // of the sender; `daemon` is not encoded
  bool operator==(const message&) const = default;
};

std::string Encode(const message& message);

// Returns nullopt if `data` is not a valid message of this version.
std::optional<message> Decode(std::string_view data);

}  // namespace balsambay::exchange
