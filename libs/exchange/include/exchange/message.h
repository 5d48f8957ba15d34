// Messages between gateways, in CBOR. Gateways and endpoints are named by 32 bits of the hash of
// their id. All values are absolute.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "quarantine/quarantine.h"

namespace balsambay::exchange {

uint32_t NameOf(std::string_view id);

// How current the sender's copy of a shared table is.
struct feed_position {
  uint64_t changed = 0;   // version of the newest change seen
  uint64_t as_of_ms = 0;  // time of the store's clock at which it was the newest; 0: not known
  bool operator==(const feed_position&) const = default;
};

// Load that the sender's own requests put on an endpoint.
struct own_load {
  uint32_t endpoint = 0;
  double committed = 0;  // tokens x layers
  int sequences = 0;
  int head_requests = 0;
  bool operator==(const own_load&) const = default;
};

// What an engine said of itself, to the sender or to a gateway whose message the sender passes on.
struct engine_record {
  uint32_t endpoint = 0;
  duration age{0};       // of the report; steps of 10 ms
  double committed = 0;  // tokens x layers in use; steps of 1,024
  int sequences = 0;     // requests that pass through
  double slowdown = 1;   // steps of 0.1
  int first_layer = 0;   // held
  int end_layer = 0;     // exclusive; equal to first_layer: none
  bool operator==(const engine_record&) const = default;
};

enum class news_kind : uint8_t {
  kDown = 1,     // does not answer the sender's zone
  kBack = 2,     // answers it again
  kLeaving = 3,  // says that it is about to leave
  kSuspect = 4,  // does not answer another zone; whoever watches it should ask
};

struct endpoint_news {
  news_kind kind = news_kind::kDown;
  uint32_t endpoint = 0;
  uint64_t incarnation = 0;
  bool operator==(const endpoint_news&) const = default;
};

// A gateway that reaches the shared store, as the sender or others of its zone know it.
struct store_contact {
  uint32_t gateway = 0;
  duration age{0};  // steps of 10 ms
  bool operator==(const store_contact&) const = default;
};

struct changed_row {
  std::string key;
  uint64_t version = 0;
  std::optional<std::string> value;  // nullopt: deleted
  // Set: `value` is a delta (base/delta.h) to the row's value of this version; 0: to nothing.
  std::optional<uint64_t> delta_to{};
  bool operator==(const changed_row&) const = default;
};

// All changes of a shared table after the version `since`, up to the version `until`.
struct table_change {
  uint64_t since = 0;
  uint64_t until = 0;
  std::vector<changed_row> rows{};
  bool operator==(const table_change&) const = default;
};

// A change that the sender has read. Without rows: it is too large, the receiver asks the table.
struct shared_change {
  int table = 0;
  table_change change{};
  uint64_t as_of_ms = 0;            // no change after `until` at this time of the store's clock
  std::vector<uint32_t> pass_to{};  // gateways to which the receiver sends it on
  bool operator==(const shared_change&) const = default;
};

struct message {
  uint32_t from = 0;
  bool is_state = false;  // sent in turn; the others are sent when there is something new
  bool reaches_store = false;
  std::vector<feed_position> feeds;
  std::vector<own_load> loads;
  std::vector<engine_record> engines;
  std::vector<store_contact> contacts;
  std::vector<endpoint_news> news;
  std::optional<shared_change> rows;
  std::vector<quarantine::update> suspects;  // of the sender; without its name
  bool operator==(const message&) const = default;
};

std::string Encode(const message& message);

// nullopt for anything that is not a message of this version.
std::optional<message> Decode(std::string_view data);

}  // namespace balsambay::exchange
