// A gateway: takes requests from callers, chooses endpoints and passes answers through. The
// platform's adapter feeds it with configuration, endpoints and peers, and gives it access to the
// shared table.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/remote_clock.h"
#include "base/result.h"
#include "catalog/catalog.h"
#include "exchange/message.h"
#include "gateway/settings.h"
#include "gateway/wire.h"
#include "lease/table_call.h"
#include "net/loop.h"
#include "replica/table_copy.h"

namespace balsambay::gateway {

// Another gateway of the installation.
struct peer_address {
  std::string id;
  std::string zone;
  std::string address;  // IP:PORT (UDP)
  bool operator==(const peer_address&) const = default;
};

// Sends a call to the shared table and reports its outcome once.
using table_sender = std::function<void(const lease::table_call& call,
                                        std::function<void(const lease::table_outcome&)> done)>;

// Shared tables that a gateway knows.
enum class feed : uint8_t { kConfiguration, kEndpoints, kGateways };
inline constexpr size_t kFeeds = 3;

using exchange::changed_row;
using exchange::table_change;

// A row of the gateways' own table about a request that crashes endpoints.
inline constexpr std::string_view kQuarantinePrefix = "quarantine/";
struct quarantine_record {
  std::string key;  // with the prefix
  std::string value;
};

// What became of a change that another gateway has passed on, and what is known of the table then.
struct applied_change {
  replica::change_outcome outcome = replica::change_outcome::kKnown;
  uint64_t changed = 0;   // version of the newest change seen
  uint64_t complete = 0;  // version up to which all changes are known
};

// What a gateway asks of the shared store.
struct store_hooks {
  table_sender call;
  // Asks a table for its changes at once: the call that waits for them may be lost. Returns whether
  // a call was made.
  std::function<bool(feed)> check;
  // Whether calls that wait for changes are kept open. Without them the tables change only by
  // `check` and `apply`.
  std::function<void(bool)> follow{};
  // Changes that another gateway has read.
  std::function<applied_change(feed, const table_change&)> apply{};
};

class gateway {
 public:
  virtual ~gateway() = default;

  // For callers.
  virtual int Port() const = 0;

  // Versions that are not newer than the one in force are ignored.
  virtual void OnConfiguration(catalog::document document) = 0;

  // Whether new versions are heard of. While they are not, a route or key that is not known may
  // exist.
  virtual void OnConfigurationFeed(bool reachable) = 0;

  // The complete list of endpoints. Endpoints that are missing have left.
  virtual void OnEndpoints(std::span<const listed_endpoint> endpoints) = 0;

  // Whether the list of endpoints is being followed. Entries that lapse while it is not are back
  // soon after, if the endpoints live.
  virtual void OnEndpointList(bool reachable) = 0;

  // After each reply about a table: the version of the newest change seen, the version up to which
  // all changes are known, and the times of the reply.
  virtual void OnFeedPosition(feed which, uint64_t changed, uint64_t complete,
                              const clock_sample& sample) = 0;

  // Whether OnTableChange tells others; describing a change for them takes time.
  virtual bool SharesChanges() const = 0;

  // Changes that a call of this gateway has brought. `as_of_ms`: all changes up to this time of the
  // store's clock are in them or before them.
  virtual void OnTableChange(feed which, const table_change& change, uint64_t as_of_ms) = 0;

  virtual void OnPeers(std::span<const peer_address> peers) = 0;

  // All such rows of the table. One that is missing from then on is no longer in force.
  virtual void OnQuarantine(std::span<const quarantine_record> records) = 0;

  // Limits from changed settings; addresses stay.
  virtual void OnSettings(const settings& settings) = 0;

  // Graceful stop: unready at once, no new work after the balancer's delay; `on_stopped` when all
  // requests have ended, or at the end of the grace time.
  virtual void Stop(std::function<void(int cut_requests)> on_stopped) = 0;
};

// Listens and starts to serve. `loop` must outlive the gateway. Errors: kInvalidArgument,
// kUnavailable.
result<std::unique_ptr<gateway>> Start(const settings& settings, wire wire, store_hooks store,
                                       net::loop& loop);

}  // namespace balsambay::gateway
