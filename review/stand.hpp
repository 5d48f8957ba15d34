// Stand-ins for the cases under review/: the platform's store, plain engines, clients, and the start
// of real gateway processes. Blocking sockets and one thread a connection; loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using nlohmann::json;
using clock = std::chrono::steady_clock;

inline const clock::time_point kStart = clock::now();
inline double Now() { return std::chrono::duration<double>(clock::now() - kStart).count(); }
inline int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepFor(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline void SleepUntil(double t) { SleepFor(t - Now()); }

// --- record.txt

class record {
 public:
  explicit record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) std::exit(2);
  }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    char text[2000];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", Now(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

// --- HTTP

inline std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct message {
  std::string first;  // request or status line
  std::map<std::string, std::string> headers;  // lower-case names
  std::string body;
  std::string Header(const std::string& name) const {
    const auto found = headers.find(Lower(name));
    return found == headers.end() ? std::string() : found->second;
  }
  std::string Word(size_t index) const {
    size_t begin = 0;
    for (size_t i = 0; i < index; ++i) {
      begin = first.find(' ', begin);
      if (begin == std::string::npos) return {};
      ++begin;
    }
    return first.substr(begin, first.find(' ', begin) - begin);
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

enum class read_result { kWhole, kClosed, kCut, kTimeout };

// Reads one request or reply. `pending` keeps bytes that follow it. `until`: on the clock of Now().
inline read_result ReadMessage(int fd, message& out, std::string& pending, double until,
                               bool is_reply = false) {
  const auto more = [&]() -> read_result {
    const double left = until - Now();
    pollfd wait{fd, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) return read_result::kTimeout;
    char buffer[16384];
    const ssize_t got = recv(fd, buffer, sizeof buffer, 0);
    if (got <= 0) return read_result::kClosed;
    pending.append(buffer, static_cast<size_t>(got));
    return read_result::kWhole;
  };
  size_t end = 0;
  while ((end = pending.find("\r\n\r\n")) == std::string::npos) {
    const bool empty = pending.empty();
    const read_result result = more();
    if (result != read_result::kWhole) return result == read_result::kClosed && !empty ? read_result::kCut : result;
  }
  const std::string head = pending.substr(0, end + 2);
  pending.erase(0, end + 4);
  out = {};
  size_t line = head.find("\r\n");
  out.first = head.substr(0, line);
  line += 2;
  while (line < head.size()) {
    const size_t stop = head.find("\r\n", line);
    const std::string text = head.substr(line, stop - line);
    const size_t colon = text.find(':');
    if (colon != std::string::npos) {
      size_t value = colon + 1;
      while (value < text.size() && text[value] == ' ') ++value;
      out.headers[Lower(text.substr(0, colon))] = text.substr(value);
    }
    line = stop + 2;
  }
  const auto fill = [&](size_t bytes) {
    while (pending.size() < bytes) {
      const read_result result = more();
      if (result != read_result::kWhole) return result == read_result::kTimeout ? result : read_result::kCut;
    }
    return read_result::kWhole;
  };
  if (Lower(out.Header("Transfer-Encoding")) == "chunked") {
    while (true) {
      size_t eol = 0;
      while ((eol = pending.find("\r\n")) == std::string::npos) {
        if (const auto r = fill(pending.size() + 1); r != read_result::kWhole) return r;
      }
      const size_t size = std::strtoul(pending.c_str(), nullptr, 16);
      if (const auto r = fill(eol + 2 + size + 2); r != read_result::kWhole) return r;
      out.body += pending.substr(eol + 2, size);
      pending.erase(0, eol + 2 + size + 2);
      if (size == 0) return read_result::kWhole;
    }
  }
  if (const std::string length = out.Header("Content-Length"); !length.empty()) {
    const size_t size = std::strtoul(length.c_str(), nullptr, 10);
    if (const auto r = fill(size); r != read_result::kWhole) return r;
    out.body = pending.substr(0, size);
    pending.erase(0, size);
  } else if (is_reply) {
    while (true) {
      const read_result r = more();
      if (r == read_result::kClosed) break;
      if (r != read_result::kWhole) return r;
    }
    out.body = std::exchange(pending, {});
  }
  return read_result::kWhole;
}

inline bool SendAll(int fd, const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t n = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

inline sockaddr_in Address(const std::string& ip_port) {
  sockaddr_in address{};
  const size_t colon = ip_port.find(':');
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(std::atoi(ip_port.c_str() + colon + 1)));
  inet_pton(AF_INET, ip_port.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

inline int FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Address(ip + ":0");
  bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

inline int Connect(const std::string& ip_port, double timeout_s) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = Address(ip_port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&wait, 1, static_cast<int>(timeout_s * 1000)) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

// Serves connections until Close(). The handler answers on the socket itself and returns whether the
// connection is kept.
class server {
 public:
  using handler = std::function<bool(int fd, const message& request)>;
  server(std::string ip, handler handle, int port = 0) : ip_(std::move(ip)), handle_(std::move(handle)) {
    Listen(port);
  }
  ~server() { Close(); }
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  std::string Address() const { return ip_ + ":" + std::to_string(port_); }

  // As at the end of a process: new connections are refused, open ones are reset.
  void Close() {
    std::unique_lock lock(mutex_);
    if (fd_ < 0) return;
    shutdown(fd_, SHUT_RDWR);
    for (const int fd : open_) {
      const linger hard{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      shutdown(fd, SHUT_RDWR);
    }
    close(std::exchange(fd_, -1));
    lock.unlock();
    if (accepting_.joinable()) accepting_.join();
    lock.lock();
    done_.wait(lock, [&] { return open_.empty(); });
  }
  void Reopen() { Listen(port_); }
  // As at a loss of power: what is open stays open at the peers, without a sign, and the address is
  // free for Reopen(). The handlers of the open connections must not return.
  void Abandon() {
    {
      const std::lock_guard lock(mutex_);
      close(std::exchange(fd_, -1));
      open_.clear();
    }
    accepting_.join();
  }

 private:
  void Listen(int port) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = stand::Address(ip_ + ":" + std::to_string(port));
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd_, 512) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    accepting_ = std::thread([this, fd = fd_] { Accept(fd); });
  }
  void Accept(int listener) {
    while (true) {
      pollfd wait{listener, POLLIN, 0};
      poll(&wait, 1, 200);
      {
        const std::lock_guard lock(mutex_);
        if (fd_ < 0) return;
      }
      if ((wait.revents & POLLIN) == 0) continue;
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard lock(mutex_);
      if (fd_ < 0) {
        close(fd);
        return;
      }
      open_.insert(fd);
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  void Serve(int fd) {
    std::string pending;
    message request;
    while (ReadMessage(fd, request, pending, Now() + 300) == read_result::kWhole) {
      if (!handle_(fd, request)) break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    close(fd);
    done_.notify_all();
  }
  std::string ip_;
  handler handle_;
  int fd_ = -1;
  int port_ = 0;
  std::thread accepting_;
  std::mutex mutex_;
  std::condition_variable done_;
  std::set<int> open_;
};

inline bool KeepsConnection(const message& request) {
  return Lower(request.Header("Connection")) != "close";
}

// Sends a whole reply; returns whether the connection is kept.
inline bool Reply(int fd, const message& request, int status, const std::string& headers,
                  const std::string& body) {
  const bool keep = KeepsConnection(request);
  SendAll(fd, "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers + (keep ? "" : "Connection: close\r\n") +
                  "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  return keep;
}

struct answer {
  int status = 0;  // 0: none
  bool whole = false;
  std::string detail;
  message reply;
};

// One request on a new connection.
inline answer Send(const std::string& ip_port, const std::string& method, const std::string& path,
                   const std::string& headers, const std::string& body, double timeout_s) {
  answer out;
  const double until = Now() + timeout_s;
  const int fd = Connect(ip_port, std::min(1.0, timeout_s));
  if (fd < 0) {
    out.detail = "not connected";
    return out;
  }
  SendAll(fd, method + " " + path + " HTTP/1.1\r\n" + headers + "Connection: close\r\n" +
                  (body.empty() && method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
                  "\r\n" + body);
  std::string pending;
  const read_result result = ReadMessage(fd, out.reply, pending, until, true);
  close(fd);
  out.status = out.reply.Status();
  out.whole = result == read_result::kWhole;
  out.detail = result == read_result::kWhole     ? "whole"
               : result == read_result::kTimeout ? "timeout"
                                                 : "closed";
  return out;
}

// --- The platform's store

inline std::string EncodeBase64(const std::string& in) {
  static const char* const kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t v = static_cast<unsigned char>(in[i]) << 16;
    if (i + 1 < in.size()) v |= static_cast<unsigned char>(in[i + 1]) << 8;
    if (i + 2 < in.size()) v |= static_cast<unsigned char>(in[i + 2]);
    out += kDigits[v >> 18];
    out += kDigits[(v >> 12) & 63];
    out += i + 1 < in.size() ? kDigits[(v >> 6) & 63] : '=';
    out += i + 2 < in.size() ? kDigits[v & 63] : '=';
  }
  return out;
}

struct store_data {
  struct row {
    std::string value;  // base64
    uint64_t ver = 0;
    bool deleted = false;
  };
  std::mutex mutex;
  std::condition_variable changed;
  uint64_t ver = 1;
  std::map<std::string, std::map<std::string, row>> tables;
  std::set<const void*> ended;  // fronts that have been closed

  void Set(const std::string& table, const std::string& key, const std::string& base64, bool deleted) {
    tables[table][key] = {base64, ver, deleted};
  }
  void Put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex);
    ++ver;
    Set(table, key, EncodeBase64(value), false);
    changed.notify_all();
  }
  void Delete(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex);
    ++ver;
    Set(table, key, "", true);
    changed.notify_all();
  }
};

// The store at one address. Several fronts may serve the same data.
class store {
 public:
  store(std::string ip, store_data& data)
      : data_(data), server_(std::move(ip), [this](int fd, const message& r) { return Handle(fd, r); }) {}
  ~store() { Close(); }
  std::string Address() const { return server_.Address(); }
  void Close() {
    {
      const std::lock_guard lock(data_.mutex);
      data_.ended.insert(this);
      data_.changed.notify_all();
    }
    server_.Close();
  }
  std::atomic<int> calls{0};

 private:
  static std::string Unescape(const std::string& text) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
  static json RowJson(const std::string& table, const std::string& key, const store_data::row& row) {
    json out = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.ver}};
    if (row.deleted) {
      out["tombstone"] = true;
    } else {
      out["value"] = row.value;
    }
    return out;
  }
  json Envelope() { return {{"ver", data_.ver}, {"now_ms", static_cast<uint64_t>(Now() * 1000) + 1000}}; }

  bool Handle(int fd, const message& request) {
    ++calls;
    const std::string target = request.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query;
    size_t at = target.find('?');
    while (at != std::string::npos) {
      const size_t next = target.find('&', at + 1);
      const std::string part = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
      const size_t equals = part.find('=');
      if (equals != std::string::npos) query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
      at = next;
    }
    std::string body;
    int status = 200;
    {
      std::unique_lock lock(data_.mutex);
      if (path == "/balsambay/rows-get") {
        body = Get(query).dump();
      } else if (path == "/balsambay/rows-feed") {
        const auto until = clock::now() + std::chrono::milliseconds(std::atoi(query["wait_ms"].c_str()));
        json rows = Changed(query);
        while (rows.empty() && !data_.ended.contains(this) &&
               data_.changed.wait_until(lock, until) != std::cv_status::timeout) {
          rows = Changed(query);
        }
        if (rows.empty()) rows = Changed(query);
        json reply = Envelope();
        reply["rows"] = rows;
        body = reply.dump();
      } else if (path == "/balsambay/rows-tx") {
        body = Transaction(json::parse(request.body), status).dump();
      } else {
        status = 404;
      }
      if (data_.ended.contains(this)) return false;
    }
    SleepFor(0.003);
    return Reply(fd, request, status, "Content-Type: application/json\r\n", body);
  }
  json Get(std::map<std::string, std::string>& query) {
    json reply = Envelope();
    reply["rows"] = json::array();
    reply["has_more"] = false;
    const size_t limit = query.contains("limit") ? std::strtoul(query["limit"].c_str(), nullptr, 10) : 500;
    for (const auto& [key, row] : data_.tables[query["table"]]) {
      if (row.deleted || key < query["from"]) continue;
      if (query.contains("to") && key >= query["to"]) break;
      if (reply["rows"].size() == limit) {
        reply["has_more"] = true;
        break;
      }
      reply["rows"].push_back(RowJson(query["table"], key, row));
    }
    return reply;
  }
  json Changed(std::map<std::string, std::string>& query) {
    const uint64_t since = std::strtoull(query["since_rev"].c_str(), nullptr, 10);
    std::vector<std::pair<uint64_t, json>> rows;
    for (const auto& [key, row] : data_.tables[query["table"]]) {
      if (row.ver > since) rows.emplace_back(row.ver, RowJson(query["table"], key, row));
    }
    std::ranges::sort(rows, {}, [](const auto& entry) { return entry.first; });
    json out = json::array();
    for (auto& entry : rows) out.push_back(std::move(entry.second));
    return out;
  }
  json Transaction(const json& tx, int& status) {
    json reply = Envelope();
    for (const json& want : tx.value("expect_rev", json::array())) {
      const auto& rows = data_.tables[want["table"]];
      const auto found = rows.find(want["key"]);
      const bool there = found != rows.end() && !found->second.deleted;
      if (want["ver"] != (there ? found->second.ver : 0)) status = 412;
      if (there) reply["rows"].push_back(RowJson(want["table"], want["key"], found->second));
    }
    if (status == 412) return reply;
    ++data_.ver;
    for (const json& put : tx.value("puts", json::array())) {
      data_.Set(put["table"], put["key"], put["value"], false);
    }
    for (const json& row : tx.value("delete", json::array())) data_.Set(row["table"], row["key"], "", true);
    data_.changed.notify_all();
    reply = Envelope();
    return reply;
  }

  store_data& data_;
  server server_;
};

// --- Gateways

struct gateway {
  std::string id;
  std::string zone;
  std::string ip;
  std::string front;
  std::string ready;
  std::string folder;
  pid_t pid = 0;
  int peer_port = 0;
  int starts = 0;

  gateway(std::string name, std::string in_zone, std::string at, const std::string& work)
      : id(std::move(name)), zone(std::move(in_zone)), ip(std::move(at)), folder(work) {
    front = ip + ":" + std::to_string(FreePort(ip));
    ready = ip + ":" + std::to_string(FreePort(ip));
    peer_port = FreePort(ip);
  }
  std::string SettingsPath() const { return folder + "/" + id + ".conf"; }

  // Settings as DEPLOY.md shows them. `provider`: address of the store.
  void WriteSettings(const std::string& provider, const std::string& more = "") const {
    const std::string path = SettingsPath();
    std::ofstream out(path + ".new");
    out << "node=" << id << "\nrole=gateway\nclass=front\nserves=front\nip=" << ip << "\nzone=" << zone
        << "\nregion=r1\nzones.z1=r1\nzones.z2=r1\nzones.z3=r1\nlisten.front=" << front
        << "\nlisten.ready=" << ready << "\nport_range=" << peer_port << "," << peer_port + 15
        << "\nseeds=\nbootstrap=false\ncounts_as_loss=false\nlimits.cpu_share=0.25\nlimits.cores=1\n"
           "limits.memory_limit_mb=260\nlimits.max_fds=4200\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
           "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
           "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers\n"
           "tolerate.machines=2\ntolerate.zones=1\ntolerate.regions=0\nbounds.seed_lag_s=3\n"
           "bounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catchup_s=4\n"
           "bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.lost_ms=200\nbounds.config_ms=2000\n"
           "bounds.rollback_slack_ms=250\nbounds.outer_ms=5000\nbounds.strict_revoke=false\n"
           "bounds.revoke_ms=5000\nbounds.retry_ratio=0.2\nbounds.retry_window_s=10\n"
           "bounds.retry_slack=196\nbounds.recover_s=12\nbounds.pass_ms=120\nbounds.again_s=0\n"
           "bounds.stall_ms=3000\nbounds.fence_required=false\nprovider.addr="
        << provider
        << "\nprovider.form=table\nprovider.writes_per_s=400\nprovider.reads_per_s=2000\n"
           "provider.tx_ms=3.0\nprovider.part_ops_s=300\nprovider.row_bytes=65536\n"
           "provider.across=true\nprovider.history_s=20\nprovider.blob_bytes=8388608\n"
           "provider.blob_ms=25.0\nprovider.blob_mb_s=80.0\n"
        << more;
    out.close();
    std::rename((path + ".new").c_str(), path.c_str());
  }
  // The command of the deploy file. Called on the main thread, at whose end the process ends too.
  void Start() {
    ++starts;
    const std::string log = folder + "/" + id + "." + std::to_string(starts) + ".log";
    pid = fork();
    if (pid != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
    dup2(out, 1);
    dup2(out, 2);
    setenv("BALSAMBAY_BOOT", SettingsPath().c_str(), 1);
    execl("target/apps/balsambayd/balsambayd", "target/apps/balsambayd/balsambayd", "platform",
          "--metrics_port=9464", nullptr);
    _exit(127);
  }
  bool IsReady() const { return Send(ready, "GET", "/balsambay/ready", "Host: ready\r\n", "", 0.5).status == 200; }
  bool WaitReady(double limit_s) const {
    const double until = Now() + limit_s;
    while (Now() < until) {
      if (IsReady()) return true;
      SleepFor(0.05);
    }
    return false;
  }
  void Signal(int number) const {
    if (pid > 0) kill(pid, number);
  }
  void Kill() {
    if (pid <= 0) return;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    pid = 0;
  }
  // Whether the process has ended by itself.
  bool HasEnded() {
    if (pid <= 0 || waitpid(pid, nullptr, WNOHANG) != pid) return false;
    pid = 0;
    return true;
  }
};

inline std::string Hex(uint64_t value) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value * 0x9e3779b97f4a7c15ULL + 1));
  return text;
}

inline std::string MakeFolder() {
  char name[] = "/tmp/balsambay-review-XXXXXX";
  if (mkdtemp(name) == nullptr) std::exit(2);
  return name;
}

// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. Gateways that
// still run get SIGKILL at the end of this process (see gateway::Start).
[[noreturn]] inline void Finish(int code, const std::string& folder) {
  std::fflush(stdout);
  if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder);
  _exit(code);
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline json Route(const std::string& prefix, const std::string& kind, const std::string& service,
                  int timeout_ms = 1000, int attempts = 2, int aim_ms = 150) {
  return {{"name", "r-" + prefix.substr(1, prefix.size() - 2)},
          {"host", "desk.example"},
          {"prefix", prefix},
          {"kind", kind},
          {"timeout_ms", timeout_ms},
          {"target_latency_ms", aim_ms},
          {"priority", 2},
          {"service", service},
          {"attempts", attempts},
          {"no_auth", false},
          {"sticky", false}};
}

inline json Configuration(int version, const json& routes, const std::vector<std::string>& services) {
  json out = {{"version", version},
              {"routes", routes.is_array() ? routes : json::array({routes})},
              {"services", json::array()},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 4194304},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}},
              {"tenants", {{{"name", "t1"}, {"api_keys", {"key-1"}}, {"priority", 1}}}}};
  for (const std::string& name : services) {
    out["services"].push_back(
        {{"name", name}, {"health_path", "/health"}, {"max_conns", 96}, {"protocol", "h1"}, {"tls", false}});
  }
  return out;
}

// --- A plain engine, which beats into the store about every 1.2 s.

class engine {
 public:
  // Answers a request; see server::handler. Health checks and requests for another instance are
  // answered by the engine itself.
  using handler = std::function<bool(int fd, const message& request)>;
  engine(std::string id, std::string service, std::string zone, std::string ip, store_data& data, handler handle)
      : id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        data_(data),
        handle_(std::move(handle)),
        born_(WallMs()),
        server_(std::move(ip), [this](int fd, const message& r) { return Handle(fd, r); }),
        beating_([this] { Beat(); }) {}
  ~engine() {
    ended_ = true;
    wake_.notify_all();
    beating_.join();
    server_.Close();
  }
  const std::string& Id() const { return id_; }
  std::string Address() const { return server_.Address(); }

  json Entry() const {
    return {{"service", service_}, {"addr", Address()}, {"zone", zone_},
            {"version", "v1"},     {"slots", 6},        {"state", draining_ ? "draining" : "ready"},
            {"cold_left_ms", 0},   {"seq", seq_.load()},       {"born", born_.load()}};
  }
  void WriteEntry() {
    ++seq_;
    data_.Put("servers", id_, Entry().dump());
  }
  void Drain() {
    draining_ = true;
    WriteEntry();
  }
  // Crashes. `silent`: open and new connections get no answer until the restart, as when the machine
  // has lost power; otherwise they are reset and refused.
  void Crash(bool silent) {
    dead_ = true;
    silent_ = silent;
    if (!silent) std::thread([this] { server_.Close(); closed_ = true; }).detach();
  }
  void Restart() {
    if (silent_) {
      silent_ = false;
      server_.Abandon();
    } else {
      while (!closed_) SleepFor(0.01);
    }
    closed_ = false;
    born_ = WallMs();
    seq_ = 0;
    ++life_;
    dead_ = false;
    silent_ = false;
    server_.Reopen();
    WriteEntry();
  }
  bool IsDead() const { return dead_; }
  std::atomic<bool> beats{true};

 private:
  void Beat() {
    while (!ended_) {
      if (!dead_ && beats) WriteEntry();
      std::unique_lock lock(mutex_);
      wake_.wait_for(lock, std::chrono::milliseconds(1200), [&] { return ended_.load(); });
    }
  }
  bool Handle(int fd, const message& request) {
    const int life = life_;
    if (dead_ && silent_) HoldForEver();
    if (dead_ || ended_) return false;
    const std::string head = "Balsambay-Instance-Id: " + id_ + "\r\n";
    if (request.Word(1) == "/health") return Reply(fd, request, draining_ ? 503 : 200, head, "");
    const std::string expected = request.Header("Balsambay-Expect-Instance");
    if (!expected.empty() && expected != id_) return Reply(fd, request, 421, head, "");
    const bool keep = handle_(fd, request);
    if (dead_ && silent_) HoldForEver();
    return keep && life == life_;
  }
  static void HoldForEver() {
    while (true) SleepFor(100);
  }
  std::string id_;
  std::string service_;
  std::string zone_;
  store_data& data_;
  handler handle_;
  std::atomic<int64_t> born_;
  std::atomic<int> seq_{0};
  std::atomic<int> life_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> dead_{false};
  std::atomic<bool> silent_{false};
  std::atomic<bool> closed_{false};
  std::atomic<bool> ended_{false};
  std::mutex mutex_;
  std::condition_variable wake_;
  server server_;
  std::thread beating_;
};

inline std::string Sealed(const std::string& request_id) {
  return "Balsambay-Request-Id: " + request_id + "\r\nBalsambay-Upstream-Seal: 3e1b.07." + request_id + "\r\n";
}

inline std::string ClientHeaders(const std::string& id, int deadline_ms) {
  return "Host: desk.example\r\nBalsambay-Request-Id: " + id + "\r\nBalsambay-Deadline-Ms: " +
         std::to_string(deadline_ms) + "\r\nX-Api-Key: key-1\r\n";
}

}  // namespace stand
