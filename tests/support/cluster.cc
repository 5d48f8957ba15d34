// Starts and drives the processes of a system test.
#include "cluster.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "base/hash.h"

namespace balsambay::system_test {
namespace {

using nlohmann::json;

constexpr const char* kAdminToken = "admin-secret";
constexpr const char* kPeerKey = "peer-secret";

std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

bool CanConnect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool ok = connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  close(fd);
  return ok;
}

json InitialDocument() {
  json rules = {{"default_timeout_ms", 20000}};
  return {{"format", 1},
          {"zones", json::object()},
          {"vms", json::object()},
          {"models", {{"m1", {{"layers", kModelLayers}}}}},
          {"endpoints", json::object()},
          {"services", json::object()},
          {"workspaces",
           {{"w1", {{"token_digests", json::array({Sha256Hex(kCallerToken)})}}},
            {"w2", {{"token_digests", json::array({Sha256Hex("secret-2")})}}}}},
          {"links", json::object()},
          {"rules", rules}};
}

std::vector<json> ReadJournal(const std::string& path) {
  std::vector<json> out;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    json entry = json::parse(line, nullptr, false);
    if (entry.is_object()) out.push_back(std::move(entry));
  }
  return out;
}

}  // namespace

stream_text ParseStream(const std::string& body) {
  stream_text out;
  size_t begin = 0;
  for (size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", begin)) {
    const std::string event = body.substr(begin, end - begin);
    begin = end + 2;
    const size_t data = event.find("data: ");
    if (data == std::string::npos) continue;
    const std::string text = event.substr(data + 6);
    if (text == "[DONE]") {
      out.done = true;
      continue;
    }
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) continue;
    if (parsed.contains("error")) {
      out.error_reason = parsed.at("error").value("reason", "");
      out.final_outcome = parsed.at("error").value("outcome", "");
      continue;
    }
    out.content += parsed.at("choices").at(0).at("delta").value("content", "");
    if (!parsed.contains("balsambay")) continue;
    out.final_outcome = parsed.at("balsambay").value("outcome", "");
    out.attempts = parsed.at("balsambay").value("attempts", 0);
  }
  return out;
}

cluster::cluster(const std::string& name)
    : document(InitialDocument()),
      directory_(std::filesystem::temp_directory_path() /
                 ("balsambay-" + name + "-" + std::to_string(getpid()))),
      client_(net::MakeHttpClient(loop_.Timers())),
      platform_port_(FreePort()) {
  std::filesystem::create_directories(directory_);
  platform_ = std::make_unique<child_process>(
      ProgramPath("balsambay-mock-platform"),
      std::vector<std::string>{"--listen=" + Address(platform_port_)}, FilePath("platform.log"));
  WaitForPort(platform_port_);
}

cluster::~cluster() {
  daemons_.clear();
  endpoints_.clear();
  platform_.reset();
  if (std::getenv("BALSAMBAY_KEEP_LOGS") == nullptr) std::filesystem::remove_all(directory_);
}

std::string cluster::FilePath(const std::string& name) const { return directory_ + "/" + name; }

void cluster::WaitForPort(int port) {
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!CanConnect(port)) {
    if (std::chrono::steady_clock::now() > limit)
      throw std::runtime_error("nothing listens on " + Address(port));
    usleep(2000);
  }
}

json cluster::EndpointEntry(const endpoint_process& endpoint, const std::string& zone) {
  const std::string vm = "vm-" + endpoint.id;
  document["zones"][zone] = {{"region", "r1"}};
  document["vms"][vm] = {{"zone", zone}};
  const int port = endpoint.link ? endpoint.link->Port() : endpoint.port;
  return {{"vm", vm}, {"address", Address(port)}};
}

endpoint_process& cluster::AddEngine(const std::string& id, const engine_options& options) {
  auto added = std::make_unique<endpoint_process>();
  added->id = id;
  added->port = FreePort();
  added->journal = FilePath(id + ".journal");
  if (options.behind_relay) added->link = std::make_unique<relay>(added->port);
  added->arguments = {
      "--id=" + id,
      "--listen=" + Address(added->port),
      "--first_layer=" + std::to_string(options.first_layer),
      "--end_layer=" + std::to_string(options.end_layer),
      "--tokens_per_second=" + std::to_string(options.tokens_per_second),
      "--max_runs=" + std::to_string(options.max_runs),
      std::string("--checks_fencing=") + (options.checks_fencing ? "true" : "false"),
      "--journal=" + added->journal};
  json entry = EndpointEntry(*added, options.zone);
  entry.update({{"kind", "engine"},
                {"accelerator", "a"},
                {"model", "m1"},
                {"layers", {options.first_layer, options.end_layer}},
                {"tokens_per_second", options.tokens_per_second},
                {"prefill_tokens_per_second", 50000},
                {"max_runs", options.max_runs},
                {"checks_fencing", options.checks_fencing}});
  document["endpoints"][id] = entry;
  return *(endpoints_[id] = std::move(added));
}

endpoint_process& cluster::AddService(const std::string& id, const std::string& service,
                                      const std::string& zone, bool behind_relay) {
  auto added = std::make_unique<endpoint_process>();
  added->id = id;
  added->port = FreePort();
  added->journal = FilePath(id + ".journal");
  if (behind_relay) added->link = std::make_unique<relay>(added->port);
  added->arguments = {"--id=" + id, "--kind=service", "--listen=" + Address(added->port),
                      "--journal=" + added->journal};
  json entry = EndpointEntry(*added, zone);
  entry.update({{"kind", "service"}, {"service", service}, {"max_runs", 64}});
  document["endpoints"][id] = entry;
  if (!document["services"].contains(service))
    document["services"][service] = {{"repeatable", true}};
  return *(endpoints_[id] = std::move(added));
}

daemon_process& cluster::AddDaemon(const std::string& id, const std::string& zone,
                                   const std::vector<std::string>& extra) {
  auto added = std::make_unique<daemon_process>();
  added->id = id;
  added->zone = zone;
  added->port = FreePort();
  added->peer_port = FreePort();
  added->arguments = extra;
  peer_links_[id] = std::make_unique<relay>(added->peer_port);
  if (!platform_links_.contains(zone))
    platform_links_[zone] = std::make_unique<relay>(platform_port_);
  return *(daemons_[id] = std::move(added));
}

void cluster::StartEndpoint(endpoint_process& endpoint) {
  endpoint.process = std::make_unique<child_process>(
      ProgramPath("balsambay-mock-endpoint"), endpoint.arguments, FilePath(endpoint.id + ".log"));
  WaitForPort(endpoint.port);
}

void cluster::StartDaemon(daemon_process& daemon) {
  std::string peers;
  for (const auto& [id, other] : daemons_) {
    if (id == daemon.id) continue;
    peers += (peers.empty() ? "" : ",") + Address(peer_links_.at(id)->Port());
  }
  std::vector<std::string> arguments = {
      "--id=" + daemon.id,
      "--zone=" + daemon.zone,
      "--listen=" + Address(daemon.port),
      "--peer_listen=" + Address(daemon.peer_port),
      "--peer_advertise=" + Address(peer_links_.at(daemon.id)->Port()),
      "--peers=" + peers,
      std::string("--peer_key=") + kPeerKey,
      std::string("--admin_token=") + kAdminToken,
      "--platform=" + Address(platform_links_.at(daemon.zone)->Port())};
  arguments.insert(arguments.end(), daemon.arguments.begin(), daemon.arguments.end());
  daemon.process = std::make_unique<child_process>(ProgramPath("balsambayd", daemon.source),
                                                   arguments, FilePath(daemon.id + ".log"));
  WaitForPort(daemon.port);
}

void cluster::Start() {
  for (auto& [id, endpoint] : endpoints_) StartEndpoint(*endpoint);
  for (auto& [id, daemon] : daemons_) StartDaemon(*daemon);
  const std::string first = daemons_.begin()->first;
  const reply applied = Apply(first, document, 0);
  if (applied.status != 200)
    throw std::runtime_error("configuration not accepted: " + applied.body);
  const bool everywhere = RunUntil([&] {
    return std::ranges::all_of(daemons_,
                               [&](const auto& entry) { return VersionOf(entry.first) >= 1; });
  });
  if (!everywhere) throw std::runtime_error("configuration did not reach all daemons");
}

reply cluster::Apply(const std::string& daemon, const json& wanted, uint64_t base_version) {
  const json body = {{"base_version", base_version}, {"document", wanted}};
  return Wait(Send(Daemon(daemon).port, "POST", "/admin/v1/config", body.dump(),
                   {{"Authorization", std::string("Bearer ") + kAdminToken}}));
}

json cluster::AdminGet(const std::string& daemon, const std::string& resource, int timeout_ms) {
  return Wait(Send(Daemon(daemon).port, "GET", "/admin/v1/" + resource, "",
                   {{"Authorization", std::string("Bearer ") + kAdminToken}}),
              timeout_ms)
      .Json();
}

uint64_t cluster::VersionOf(const std::string& daemon) {
  const json body = AdminGet(daemon, "status", 2000);
  return body.is_object() ? body.value("version", uint64_t{0}) : 0;
}

reply_ptr cluster::Send(int port, const std::string& method, const std::string& path,
                        const std::string& body, std::vector<net::header> headers) {
  auto out = std::make_shared<reply>();
  net::client_request request;
  request.method = method;
  request.url = "http://" + Address(port) + path;
  request.body = body;
  request.headers = std::move(headers);
  request.header_timeout = std::chrono::seconds(30);
  net::client_callbacks callbacks;
  callbacks.on_headers = [out](const net::reply_head& head) {
    out->status = head.status;
    out->outcome = head.Get("Balsambay-Outcome");
    out->retry_after = head.Get("Retry-After");
    out->last_data = MonotonicNow();
  };
  callbacks.on_data = [out](std::string_view data) {
    const time_point now = MonotonicNow();
    if (!out->body.empty()) out->longest_gap = std::max(out->longest_gap, now - out->last_data);
    out->last_data = now;
    out->body += data;
  };
  callbacks.on_end = [out](const net::call_end& end) {
    out->failure = end.failure;
    out->failure_detail = end.detail;
    out->ended = true;
  };
  client_->Send(std::move(request), std::move(callbacks));
  return out;
}

reply_ptr cluster::SendCall(const std::string& daemon, const std::string& path, const json& body,
                            std::vector<net::header> headers) {
  if (std::ranges::none_of(
          headers, [](const net::header& entry) { return entry.name == "Authorization"; })) {
    headers.push_back({"Authorization", std::string("Bearer ") + kCallerToken});
  }
  return Send(Daemon(daemon).port, "POST", path, body.dump(), std::move(headers));
}

reply_ptr cluster::SendChat(const std::string& daemon, const std::string& prompt, uint32_t tokens,
                            bool stream, std::vector<net::header> headers) {
  const json body = {{"model", "m1"},
                     {"messages", json::array({{{"role", "user"}, {"content", prompt}}})},
                     {"max_tokens", tokens},
                     {"stream", stream}};
  return SendCall(daemon, "/v1/chat/completions", body, std::move(headers));
}

reply cluster::Wait(const reply_ptr& pending, int timeout_ms) {
  RunUntil([&] { return pending->ended; }, timeout_ms);
  return *pending;
}

bool cluster::RunUntil(const std::function<bool()>& done, int timeout_ms) {
  const time_point limit = MonotonicNow() + std::chrono::milliseconds(timeout_ms);
  // Conditions may run the loop themselves, so they are checked outside of it.
  while (!done()) {
    if (MonotonicNow() > limit) return false;
    RunFor(1);
  }
  return true;
}

void cluster::RunFor(int ms) {
  Subscribe(loop_.Timers(), MonotonicNow() + std::chrono::milliseconds(ms),
            [this](time_point) { loop_.Quit(); });
  loop_.Run();
}

void cluster::PlatformFaults(const json& faults) {
  Wait(Send(platform_port_, "POST", "/mock/faults", faults.dump()));
}

void cluster::PlatformVm(const std::string& vm, uint64_t incarnation, const std::string& state) {
  Wait(Send(platform_port_, "POST", "/mock/vms",
            json{{"vm", vm}, {"incarnation", incarnation}, {"state", state}}.dump()));
}

relay& cluster::PlatformLink(const std::string& zone) { return *platform_links_.at(zone); }

relay& cluster::PeerLink(const std::string& daemon) { return *peer_links_.at(daemon); }

std::vector<json> cluster::Journal(const std::string& endpoint) const {
  return ReadJournal(endpoints_.at(endpoint)->journal);
}

std::vector<json> cluster::AllJournals() const {
  std::vector<json> out;
  for (const auto& [id, endpoint] : endpoints_) {
    for (json& entry : ReadJournal(endpoint->journal)) {
      entry["endpoint"] = id;
      out.push_back(std::move(entry));
    }
  }
  return out;
}

}  // namespace balsambay::system_test
