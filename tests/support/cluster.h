// A small installation of real processes: mock platform, mock endpoints and entry daemons on
// loopback.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/loop.h"
#include "process.h"
#include "relay.h"

namespace balsambay::system_test {

inline constexpr int kModelLayers = 32;
inline constexpr const char* kCallerToken = "secret-1";  // of workspace w1

struct engine_options {
  std::string zone = "z1";
  int first_layer = 0;
  int end_layer = kModelLayers;
  double tokens_per_second = 1000;
  int max_runs = 64;
  bool behind_relay = false;
  bool checks_fencing = true;
};

struct endpoint_process {
  std::string id;
  std::vector<std::string> arguments;
  std::string journal;
  int port = 0;
  std::unique_ptr<relay> link;
  std::unique_ptr<child_process> process;
};

struct daemon_process {
  std::string id;
  build source = build::kFirst;  // of the next start
  std::string zone;
  int port = 0;
  int peer_port = 0;
  std::vector<std::string> arguments;
  std::unique_ptr<child_process> process;
};

struct reply {
  net::call_failure failure = net::call_failure::kNone;
  std::string failure_detail;
  int status = 0;
  std::string outcome;      // header Balsambay-Outcome
  std::string retry_after;  // header Retry-After
  std::string body;
  bool ended = false;
  time_point last_data;
  // Longest time between two pieces of the body, and when it began.
  duration longest_gap{0};

  nlohmann::json Json() const { return nlohmann::json::parse(body, nullptr, false); }
  std::string Reason() const { return Json().is_object() ? Json().value("reason", "") : ""; }
};

using reply_ptr = std::shared_ptr<reply>;

// The text of an event stream, and how it ended.
struct stream_text {
  std::string content;
  bool done = false;          // [DONE] seen
  std::string final_outcome;  // from the last chunk or the error event
  std::string error_reason;
  int attempts = 0;
};

stream_text ParseStream(const std::string& body);

class cluster {
 public:
  explicit cluster(const std::string& name);
  ~cluster();

  endpoint_process& AddEngine(const std::string& id, const engine_options& options = {});
  endpoint_process& AddService(const std::string& id, const std::string& service,
                               const std::string& zone = "z1", bool behind_relay = false);
  daemon_process& AddDaemon(const std::string& id, const std::string& zone = "z1",
                            const std::vector<std::string>& extra = {});

  // Starts the platform, all endpoints and daemons, and applies the configuration.
  void Start();
  void StartEndpoint(endpoint_process& endpoint);
  void StartDaemon(daemon_process& daemon);

  endpoint_process& Endpoint(const std::string& id) { return *endpoints_.at(id); }
  daemon_process& Daemon(const std::string& id) { return *daemons_.at(id); }

  // The configuration document; edit it before Start or apply it again.
  nlohmann::json document;
  // POST /admin/v1/config on `daemon`; the status.
  reply Apply(const std::string& daemon, const nlohmann::json& wanted, uint64_t base_version);
  // GET /admin/v1/`resource` on `daemon`; the body.
  nlohmann::json AdminGet(const std::string& daemon, const std::string& resource,
                          int timeout_ms = 20000);
  // Version in force at a daemon, 0 when it has none.
  uint64_t VersionOf(const std::string& daemon);

  reply_ptr Send(int port, const std::string& method, const std::string& path,
                 const std::string& body, std::vector<net::header> headers = {});
  // Sends as workspace w1 to a daemon.
  reply_ptr SendCall(const std::string& daemon, const std::string& path, const nlohmann::json& body,
                     std::vector<net::header> headers = {});
  reply_ptr SendChat(const std::string& daemon, const std::string& prompt, uint32_t tokens,
                     bool stream, std::vector<net::header> headers = {});
  reply Wait(const reply_ptr& pending, int timeout_ms = 20000);

  // Runs the loop until `done` or the timeout; returns whether it was done.
  bool RunUntil(const std::function<bool()>& done, int timeout_ms = 10000);
  void RunFor(int ms);

  // POST to the mock platform's control paths.
  void PlatformFaults(const nlohmann::json& faults);
  void PlatformVm(const std::string& vm, uint64_t incarnation, const std::string& state);
  relay& PlatformLink(const std::string& zone);  // the path of a zone's daemons to the platform
  relay& PeerLink(const std::string& daemon);    // the path of other daemons to this one

  std::vector<nlohmann::json> Journal(const std::string& endpoint) const;
  std::vector<nlohmann::json> AllJournals() const;

  int PlatformPort() const { return platform_port_; }

  // Path of a file of this cluster. Logs are "ID.log". All are removed with the cluster, unless
  // BALSAMBAY_KEEP_LOGS is set.
  std::string FilePath(const std::string& name) const;

 private:
  void WaitForPort(int port);
  nlohmann::json EndpointEntry(const endpoint_process& endpoint, const std::string& zone);

  std::string directory_;
  net::loop loop_;
  std::unique_ptr<net::http_client> client_;
  int platform_port_ = 0;
  std::unique_ptr<child_process> platform_;
  std::map<std::string, std::unique_ptr<relay>> platform_links_;
  std::map<std::string, std::unique_ptr<relay>> peer_links_;
  std::map<std::string, std::unique_ptr<endpoint_process>> endpoints_;
  std::map<std::string, std::unique_ptr<daemon_process>> daemons_;
};

}  // namespace balsambay::system_test
