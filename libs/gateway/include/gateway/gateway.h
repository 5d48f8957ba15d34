// Public interface of a gateway, which accepts requests from callers, chooses an endpoint for each
// and forwards the replies. The platform adapter supplies the configuration, the endpoints and the
// peers, and gives the gateway access to the shared store.
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

// Another gateway of the same installation.
struct peer_address {
  std::string id;
  std::string zone;
  std::string address;  // IP:PORT (UDP)
  bool operator==(const peer_address&) const = default;
};

// Sends a call to the shared store. `done` is called once, with the outcome.
using store_caller = std::function<void(const lease::table_call& call,
                                        std::function<void(const lease::table_outcome&)> done)>;

// Tables of the shared store whose changes a gateway follows.
enum class feed : uint8_t { kConfiguration, kEndpoints, kGateways };
inline constexpr size_t kFeedCount = 3;

using exchange::changed_row;
using exchange::table_change;

// Prefix of the keys in the gateways' own table that hold quarantined requests, which are requests
// that crash the endpoints that run them.
inline constexpr std::string_view kQuarantineKeyPrefix = "quarantine/";
struct quarantine_record {
  std::string key;  // includes kQuarantineKeyPrefix
  std::string value;
};

// Outcome of applying a change that was received from another gateway, and the state of the local
// copy of the table afterwards.
struct applied_change {
  replica::change_outcome outcome = replica::change_outcome::kAlreadyApplied;
  uint64_t changed = 0;   // version of the newest change seen
  uint64_t complete = 0;  // all changes up to this version are known
};

// Access to the shared store, supplied by the platform adapter.
struct store_hooks {
  store_caller call;
  // Requests the changes of a table now, since the open long-poll call that waits for them may have
  // been lost. Returns whether a call was made.
  std::function<bool(feed)> check;
  // Turns on or off the long-poll calls that wait for changes. While they are off, the tables are
  // updated only by `check` and `apply`.
  std::function<void(bool)> follow{};
  // Applies changes that another gateway has read from the store.
  std::function<applied_change(feed, const table_change&)> apply{};
};

class gateway {
 public:
  virtual ~gateway() = default;

  // TCP port on which requests of callers are accepted.
  virtual int Port() const = 0;

  // Applies a configuration. Ignored unless its version is newer than the one in force.
  virtual void OnConfiguration(catalog::document document) = 0;

  // `reachable`: whether new configuration versions are being received. While they are not, a route
  // or key that is missing from the configuration may still exist.
  virtual void OnConfigurationFeedStatus(bool reachable) = 0;

  // The complete list of endpoints. Endpoints that are not in it have left.
  virtual void OnEndpoints(std::span<const listed_endpoint> endpoints) = 0;

  // `reachable`: whether changes of the endpoint list are being received. Entries that expire while
  // they are not return soon afterwards if their endpoints are alive.
  virtual void OnEndpointFeedStatus(bool reachable) = 0;

  // Call after each reply of the store about a table. `changed`: version of the newest change seen.
  // `complete`: all changes up to this version are known. `sample`: times of the reply.
  virtual void OnFeedPosition(feed which, uint64_t changed, uint64_t complete,
                              const clock_sample& sample) = 0;

  // Whether OnTableChange() forwards changes to other gateways. If not, the caller can save the
  // time that building the change description takes.
  virtual bool SharesChanges() const = 0;

  // Changes that this gateway has read from the store. `as_of_ms`: time of the store's clock up to
  // which every change is contained in `change` or precedes it.
  virtual void OnTableChange(feed which, const table_change& change, uint64_t as_of_ms) = 0;

  // The complete list of the other gateways.
  virtual void OnPeers(std::span<const peer_address> peers) = 0;

  // All quarantine records of the table. A record that is not in the list is no longer in force.
  virtual void OnQuarantine(std::span<const quarantine_record> records) = 0;

  // Call when the store has another address, before the first call to it: replies of the former
  // address neither hold the placement lease nor count as confirmations of the tables any more.
  virtual void OnStoreMoved() = 0;

  // Applies the limits of changed settings. Names, zone and listen addresses do not change.
  virtual void OnSettings(const settings& settings) = 0;

  // Graceful stop. Readiness is withdrawn at once; new requests are refused after
  // `settings::unready_delay`, by when the load balancer has taken the gateway out. `on_stopped` is
  // called when all requests have ended, or shortly before the end of `settings::stop_grace` with
  // the number of requests that were ended early.
  virtual void Stop(std::function<void(int cut_requests)> on_stopped) = 0;
};

// Opens the listening sockets and starts to serve. `loop` must outlive the gateway. Errors:
// kInvalidArgument, kUnavailable.
result<std::unique_ptr<gateway>> Start(const settings& settings, wire wire, store_hooks store,
                                       net::loop& loop);

}  // namespace balsambay::gateway
