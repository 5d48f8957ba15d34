// Stand-ins for the scripted cases 11 to 15: the platform's store, services and engines, clients, and
// the gateways as processes of their own. Blocking sockets, one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using nlohmann::json;

inline int64_t NowMs() {
  using namespace std::chrono;
  static const auto start = steady_clock::now();
  return duration_cast<milliseconds>(steady_clock::now() - start).count();
}

inline int64_t UnixMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// --- record.txt

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

__attribute__((format(printf, 1, 2))) inline void Record(const char* format, ...) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%7lld ", static_cast<long long>(NowMs()));
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

// --- Sockets

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

// A port that is free now on all loopback addresses that the cases use.
inline int FreePort(int type = SOCK_STREAM) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address = Address("127.0.0.1", 0);
  socklen_t size = sizeof(address);
  bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

inline int Connect(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Address(ip, port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t got = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (got <= 0) return false;
    sent += static_cast<size_t>(got);
  }
  return true;
}

// Closes the connection with a reset.
inline void Reset(int fd) {
  const linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  close(fd);
}

// Appends what arrives within `timeout_ms`. Returns the bytes; 0: closed, -1: reset, -2: time out.
inline ssize_t ReceiveSome(int fd, std::string& buffer, int64_t timeout_ms) {
  pollfd wait{fd, POLLIN, 0};
  const int ready = poll(&wait, 1, static_cast<int>(std::max<int64_t>(timeout_ms, 0)));
  if (ready == 0) return -2;
  char piece[16384];
  const ssize_t got = recv(fd, piece, sizeof(piece), 0);
  if (got > 0) buffer.append(piece, static_cast<size_t>(got));
  return got < 0 ? -1 : got;
}

// --- HTTP

using headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Find(const headers& fields, const std::string& name) {
  for (const auto& [key, value] : fields) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return {};
}

struct message {
  std::string first_line;
  headers fields;
  std::string body;
  std::string Header(const std::string& name) const { return Find(fields, name); }
  std::string Word(int index) const {
    size_t begin = 0;
    for (; index > 0; --index) begin = first_line.find(' ', begin) + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  std::string Method() const { return Word(0); }
  std::string Target() const { return Word(1); }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

// Removes a head from `buffer` if it is whole.
inline bool TakeHead(std::string& buffer, message& out) {
  const size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  out = {};
  size_t begin = 0;
  while (begin < end + 2) {
    const size_t line_end = buffer.find("\r\n", begin);
    const std::string line = buffer.substr(begin, line_end - begin);
    begin = line_end + 2;
    if (out.first_line.empty()) {
      out.first_line = line;
      continue;
    }
    const size_t colon = line.find(':');
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    out.fields.emplace_back(line.substr(0, colon), line.substr(value));
  }
  buffer.erase(0, end + 4);
  return true;
}

// Removes a body in chunks from `buffer`, appending it to `body`. Returns whether it has ended.
inline bool TakeChunks(std::string& buffer, std::string& body) {
  for (;;) {
    const size_t line_end = buffer.find("\r\n");
    if (line_end == std::string::npos) return false;
    const size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
    if (buffer.size() < line_end + 2 + size + 2) return false;
    body.append(buffer, line_end + 2, size);
    buffer.erase(0, line_end + 2 + size + 2);
    if (size == 0) return true;
  }
}

inline std::string Render(const std::string& first_line, const headers& fields, const std::string& body,
                          bool with_length = true) {
  std::string out = first_line + "\r\n";
  for (const auto& [key, value] : fields) out += key + ": " + value + "\r\n";
  if (with_length) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

// Reads one request; false: the connection has ended.
inline bool ReadRequest(int fd, std::string& buffer, message& out) {
  while (!TakeHead(buffer, out)) {
    if (ReceiveSome(fd, buffer, 600'000) <= 0) return false;
  }
  if (strcasecmp(out.Header("Transfer-Encoding").c_str(), "chunked") == 0) {
    while (!TakeChunks(buffer, out.body)) {
      if (ReceiveSome(fd, buffer, 600'000) <= 0) return false;
    }
    return true;
  }
  const size_t length = std::strtoul(out.Header("Content-Length").c_str(), nullptr, 10);
  while (buffer.size() < length) {
    if (ReceiveSome(fd, buffer, 600'000) <= 0) return false;
  }
  out.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

// How an answer that a client waits for has ended.
enum class end { kComplete, kClosed, kReset, kTimeout };

inline const char* Text(end how) {
  switch (how) {
    case end::kComplete:
      return "complete";
    case end::kClosed:
      return "closed";
    case end::kReset:
      return "reset";
    case end::kTimeout:
      return "time out";
  }
  return "";
}

struct answer {
  end how = end::kTimeout;
  bool has_head = false;
  message head;
  std::string body;
  int Status() const { return has_head ? head.Status() : 0; }
};

// Reads one answer to a request that is not HEAD. `buffer` keeps what follows it.
inline answer ReadAnswer(int fd, std::string& buffer, int64_t timeout_ms) {
  answer out;
  const int64_t due = NowMs() + timeout_ms;
  const auto more = [&] {
    const ssize_t got = ReceiveSome(fd, buffer, due - NowMs());
    if (got > 0) return true;
    out.how = got == 0 ? end::kClosed : got == -1 ? end::kReset : end::kTimeout;
    return false;
  };
  do {
    while (!TakeHead(buffer, out.head)) {
      if (!more()) return out;
    }
  } while (out.head.Status() / 100 == 1);
  out.has_head = true;
  if (strcasecmp(out.head.Header("Transfer-Encoding").c_str(), "chunked") == 0) {
    while (!TakeChunks(buffer, out.body)) {
      if (!more()) return out;
    }
    out.how = end::kComplete;
    return out;
  }
  const std::string length_text = out.head.Header("Content-Length");
  const size_t length = length_text.empty() ? SIZE_MAX : std::strtoul(length_text.c_str(), nullptr, 10);
  while (buffer.size() < length) {
    if (more()) continue;
    out.body = std::exchange(buffer, {});
    if (length == SIZE_MAX && out.how == end::kClosed) out.how = end::kComplete;
    return out;
  }
  out.body = buffer.substr(0, length);
  buffer.erase(0, length);
  out.how = end::kComplete;
  return out;
}

// --- Servers

// Accepts connections and runs `serve` for each in a thread of its own. `serve` owns the descriptor.
class listener {
 public:
  listener(const std::string& ip, int port, std::function<void(int)> serve) : serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Address(ip, port);
    socklen_t size = sizeof(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd_, 1024) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] {
      for (;;) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (errno == EINTR || errno == ECONNABORTED) continue;
          return;
        }
        const int yes = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        std::thread(serve_, fd).detach();
      }
    }).detach();
  }
  int Port() const { return port_; }

 private:
  std::function<void(int)> serve_;
  int fd_ = -1;
  int port_ = 0;
};

inline std::string Base64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

// The platform's store: rows in tables, transactions, and changes since a version (PROTOCOL.md).
class store {
 public:
  store() : listener_("127.0.0.1", 0, [this](int fd) { Serve(fd); }) {}
  std::string Addr() const { return "127.0.0.1:" + std::to_string(listener_.Port()); }

  // Writes a row as the operator or a server does. Empty: deletes it.
  void Put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    PutLocked(table, key, Base64(value), value.empty(), ++version_);
    changed_.notify_all();
  }
  // Handles a call instead of the store if it returns true; it then owns the descriptor.
  std::function<bool(int fd, const message& call)> trouble;

 private:
  struct row {
    std::string value;
    uint64_t version = 0;
    bool gone = false;
  };

  void PutLocked(const std::string& table, const std::string& key, const std::string& value, bool gone,
                 uint64_t version) {
    tables_[table][key] = {value, version, gone};
  }
  json RowJson(const std::string& table, const std::string& key, const row& entry) const {
    json out = {{"table", table}, {"part", ""}, {"key", key}, {"ver", entry.version}};
    if (entry.gone) {
      out["tombstone"] = true;
    } else {
      out["value"] = entry.value;
    }
    return out;
  }

  void Serve(int fd) {
    std::string buffer;
    message call;
    while (ReadRequest(fd, buffer, call)) {
      if (trouble && trouble(fd, call)) return;
      const auto [status, body] = Handle(call);
      const std::string text = body.dump();
      if (!SendAll(fd, Render("HTTP/1.1 " + std::to_string(status) + " Done",
                              {{"Content-Type", "application/json"}}, text))) {
        break;
      }
      if (call.Header("Connection") == "close") break;
    }
    close(fd);
  }

  std::pair<int, json> Handle(const message& call) {
    const std::string target = call.Target();
    const size_t question = target.find('?');
    const std::string path = target.substr(0, question);
    std::map<std::string, std::string> query;
    if (question != std::string::npos) {
      std::string rest = target.substr(question + 1) + "&";
      while (!rest.empty()) {
        const std::string entry = rest.substr(0, rest.find('&'));
        rest.erase(0, entry.size() + 1);
        const size_t equals = entry.find('=');
        if (equals != std::string::npos) query[entry.substr(0, equals)] = Unescape(entry.substr(equals + 1));
      }
    }
    std::unique_lock<std::mutex> lock(mutex_);
    if (path == "/balsambay/rows-tx") return Transact(json::parse(call.body, nullptr, false));
    if (path == "/balsambay/rows-get") {
      json rows = json::array();
      const size_t limit = query.count("limit") != 0 ? std::strtoul(query["limit"].c_str(), nullptr, 10) : 500;
      const auto& table = tables_[query["table"]];
      for (auto it = table.lower_bound(query["from"]); it != table.end() && rows.size() < limit; ++it) {
        if (!it->second.gone) rows.push_back(RowJson(query["table"], it->first, it->second));
      }
      return {200, Reply(rows)};
    }
    if (path == "/balsambay/rows-feed") {
      const uint64_t since = std::strtoull(query["since_rev"].c_str(), nullptr, 10);
      const int64_t due = NowMs() + std::atol(query["wait_ms"].c_str());
      for (;;) {
        std::map<uint64_t, json> rows;
        for (const auto& [key, entry] : tables_[query["table"]]) {
          if (entry.version > since) rows[entry.version * 1000 + rows.size()] = RowJson(query["table"], key, entry);
        }
        const int64_t left = due - NowMs();
        if (rows.empty() && left > 0) {
          changed_.wait_for(lock, std::chrono::milliseconds(left));
          continue;
        }
        json list = json::array();
        for (auto& [version, entry] : rows) list.push_back(entry);
        return {200, Reply(list)};
      }
    }
    return {404, json::object()};
  }
  json Reply(const json& rows) const {
    return {{"rows", rows}, {"has_more", false}, {"ver", version_}, {"now_ms", NowMs() + 1000}};
  }
  std::pair<int, json> Transact(const json& body) {
    if (!body.is_object()) return {400, json::object()};
    json conflict = json::array();
    bool holds = true;
    for (const json& entry : body.value("expect_rev", json::array())) {
      const std::string table = entry.at("table");
      const std::string key = entry.at("key");
      const row& present = tables_[table][key];
      const uint64_t version = present.gone ? 0 : present.version;
      if (version != entry.at("ver").get<uint64_t>()) holds = false;
      if (version != 0) conflict.push_back(RowJson(table, key, present));
      if (present.version == 0) tables_[table].erase(key);
    }
    if (!holds) return {412, Reply(conflict)};
    const uint64_t version = ++version_;
    for (const json& entry : body.value("puts", json::array())) {
      PutLocked(entry.at("table"), entry.at("key"), entry.at("value"), false, version);
    }
    for (const json& entry : body.value("delete", json::array())) {
      PutLocked(entry.at("table"), entry.at("key"), "", true, version);
    }
    changed_.notify_all();
    return {200, {{"ver", version_}, {"now_ms", NowMs() + 1000}}};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, row>> tables_;
  uint64_t version_ = 100;
  listener listener_;
};

// --- Gateways

// Run from the repository's root, with the command of the deploy file.
class gateway {
 public:
  gateway(std::string name, std::string zone, std::string ip, const store& platform, std::string folder)
      : name_(std::move(name)), zone_(std::move(zone)), ip_(std::move(ip)), store_(platform.Addr()),
        folder_(std::move(folder)) {
    static const int front_port = FreePort();
    static const int ready_port = FreePort();
    static const int first_port = FreePort(SOCK_DGRAM);
    static const int metrics_port = FreePort();
    front = front_port;
    ready = ready_port;
    ports_ = first_port;
    metrics = metrics_port;
    WriteSettings();
  }
  ~gateway() { Kill(); }

  void WriteSettings() const {
    FILE* file = std::fopen(Settings().c_str(), "w");
    std::fprintf(file,
                 "node=%s\nrole=gateway\nclass=front\nserves=front\nip=%s\nzone=%s\nregion=dyfed\n"
                 "listen.front=%s:%d\nlisten.ready=%s:%d\nport_range=%d,%d\nbootstrap=%s\n"
                 "counts_as_loss=false\nlimits.cpu_share=0.25\nlimits.cores=1\n"
                 "limits.memory_limit_mb=260\nlimits.max_fds=4200\nlimits.link_mbps=1000.0\n"
                 "limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n"
                 "bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.lost_ms=200\n"
                 "bounds.config_ms=2000\nbounds.rollback_slack_ms=250\nbounds.outer_ms=5000\n"
                 "bounds.retry_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=196\n"
                 "bounds.recover_s=12\nbounds.pass_ms=120\nbounds.stall_ms=3000\n"
                 "provider.addr=%s\nprovider.form=table\nprovider.writes_per_s=400\n"
                 "provider.reads_per_s=2000\n%s",
                 name_.c_str(), ip_.c_str(), zone_.c_str(), ip_.c_str(), front, ip_.c_str(), ready, ports_,
                 ports_ + 15, first_start ? "true" : "false", store_.c_str(), more_settings.c_str());
    std::fclose(file);
  }

  void Start() {
    WriteSettings();
    const char* daemon = std::getenv("GATEWAY");
    const std::string program = daemon != nullptr ? daemon : "target/apps/balsambayd/balsambayd";
    const std::string metrics_flag = "--metrics_port=" + std::to_string(metrics);
    const std::string boot = "BALSAMBAY_BOOT=" + Settings();
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with the case, also when that is cut off.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open((folder_ + "/" + name_ + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "");
      char* const environment[] = {const_cast<char*>(boot.c_str()), path.data(), nullptr};
      execle(program.c_str(), program.c_str(), "platform", metrics_flag.c_str(), nullptr, environment);
      _exit(127);
    }
    Record("gateway %s started, process %d", name_.c_str(), static_cast<int>(pid_));
  }

  bool IsReady() const {
    const int fd = Connect(ip_, ready);
    if (fd < 0) return false;
    std::string buffer;
    SendAll(fd, Render("GET /balsambay/ready HTTP/1.1", {{"Host", "ready"}, {"Connection", "close"}}, "", false));
    const answer got = ReadAnswer(fd, buffer, 1000);
    close(fd);
    return got.Status() == 200;
  }
  bool WaitUntilReady(int64_t limit_ms = 8000) const {
    const int64_t due = NowMs() + limit_ms;
    while (NowMs() < due) {
      if (IsReady()) return true;
      SleepMs(50);
    }
    return false;
  }

  void Signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  // Ends the process and returns its wait status.
  int Kill() {
    Signal(SIGKILL);
    return Wait();
  }
  int Wait() {
    int status = 0;
    if (pid_ > 0) waitpid(pid_, &status, 0);
    pid_ = -1;
    return status;
  }
  // Whether the process has ended by itself; `status` is then that of waitpid().
  bool HasEnded(int& status) {
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  pid_t Pid() const { return pid_; }
  const std::string& Ip() const { return ip_; }
  std::string Settings() const { return folder_ + "/" + name_ + ".conf"; }

  int front = 0;
  int ready = 0;
  int metrics = 0;
  bool first_start = true;
  std::string more_settings;

 private:
  std::string name_;
  std::string zone_;
  std::string ip_;
  std::string store_;
  std::string folder_;
  int ports_ = 0;
  pid_t pid_ = -1;
};

// --- Start and end of a case

// All processes that the case has started, so that Finish() can end them.
inline std::vector<gateway*> gateways;

// Opens the record. Arguments: its path, and a temporary folder for settings and logs.
inline std::string Begin(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc < 3) std::exit(2);
  record_file = std::fopen(argv[1], "w");
  if (record_file == nullptr) std::exit(2);
  NowMs();
  return argv[2];
}

// Whether the disruption is to be brought about.
inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Ends all gateways and the case: 0: the rule held, 1: it was broken, 2: the case could not run.
[[noreturn]] inline void Finish(int result) {
  for (gateway* started : gateways) started->Kill();
  Record("result %d: %s", result, result == 0 ? "held" : result == 1 ? "broken" : "could not run");
  std::fflush(nullptr);
  _exit(result);
}

// Starts the gateways and waits until all are ready.
inline void StartAll(const std::vector<gateway*>& started) {
  gateways = started;
  for (gateway* one : started) one->Start();
  for (gateway* one : started) {
    if (one->WaitUntilReady()) continue;
    Record("a gateway is not ready");
    Finish(2);
  }
}

// --- Configuration and rows of servers

inline json Route(const std::string& name, const std::string& prefix, const std::string& kind,
                  const std::string& service, int timeout_ms, int attempts) {
  return {{"name", name},       {"host", "ficu95.example"}, {"prefix", prefix},
          {"kind", kind},       {"timeout_ms", timeout_ms}, {"target_latency_ms", 150},
          {"priority", 2},      {"service", service},       {"attempts", attempts},
          {"no_auth", false},   {"sticky", false},          {"can_resume", false}};
}

inline json Limits() {
  return {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 5000},
          {"idle_timeout_ms", 15000}};
}

inline json ServerRow(const std::string& service, const std::string& addr, const std::string& zone, int slots,
                      int64_t born, const std::string& state = "ready", int seq = 1) {
  return {{"service", service}, {"addr", addr},       {"zone", zone}, {"version", "v1"}, {"slots", slots},
          {"state", state},     {"cold_left_ms", 0},  {"seq", seq},   {"born", born}};
}

// A request as a server got it.
struct arrival {
  int64_t at_ms = 0;
  std::string server;
  std::string service;
  message request;
};

// A server of a plain service (PROTOCOL.md, Engines). It answers 421 to a request that expects another
// instance, 400 to one without a sound request line or id, and else runs it: `run` makes the answer's
// body. Other headers of the answer and what a client may ask with them are left to `run`.
class plain_server {
 public:
  using runner = std::function<std::string(const message&)>;
  plain_server(store& platform, std::string id, std::string service, std::string zone, runner run)
      : platform_(platform), id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)),
        run_(std::move(run)), born_(UnixMs()), listener_("127.0.0.1", 0, [this](int fd) { Serve(fd); }) {
    Register("ready");
  }
  void Register(const std::string& state) {
    platform_.Put("servers", id_,
                  ServerRow(service_, "127.0.0.1:" + std::to_string(listener_.Port()), zone_, 6, born_, state, ++seq_)
                      .dump());
  }
  // Requests that this server has run, or has begun to run.
  std::vector<arrival> Runs() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }
  const std::string& Name() const { return id_; }
  const std::string& Service() const { return service_; }
  // Makes the whole answer of a faulty server, if it returns true.
  std::function<bool(const message& request, std::string& reply)> answer_instead;
  static std::string Seal(const message& request) { return "3e1b." + request.Header("Balsambay-Request-Id"); }

 private:
  void Serve(int fd) {
    std::string buffer;
    message request;
    while (ReadRequest(fd, buffer, request)) {
      const std::string expected = request.Header("Balsambay-Expect-Instance");
      const std::string id = request.Header("Balsambay-Request-Id");
      std::string reply;
      bool sound = request.first_line.size() > 9 && request.Target()[0] == '/' &&
                   request.first_line == request.Method() + " " + request.Target() + " HTTP/1.1";
      if (request.Target() == "/health") {
        reply = Render("HTTP/1.1 200 OK", {{"Balsambay-Instance-Id", id_}}, "");
      } else if (!sound) {
        Record("server %s: 400, request line '%s'", id_.c_str(), request.first_line.c_str());
        SendAll(fd, Render("HTTP/1.1 400 Bad Request", {{"Connection", "close"}}, ""));
        break;
      } else if (!expected.empty() && expected != id_) {
        reply = Render("HTTP/1.1 421 Misdirected Request", {{"Balsambay-Instance-Id", id_}}, "");
      } else {
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          runs_.push_back({NowMs(), id_, service_, request});
        }
        Record("server %s of %s runs %s: %s, tenant '%s'", id_.c_str(), service_.c_str(), id.c_str(),
               request.first_line.c_str(), request.Header("Balsambay-Tenant").c_str());
        if (!answer_instead || !answer_instead(request, reply)) {
          reply = Render("HTTP/1.1 200 OK", {{"Balsambay-Request-Id", id}, {"Balsambay-Upstream-Seal", Seal(request)}},
                         run_(request));
        }
      }
      if (!SendAll(fd, reply) || request.Header("Connection") == "close") break;
    }
    close(fd);
  }

  store& platform_;
  std::string id_;
  std::string service_;
  std::string zone_;
  runner run_;
  int64_t born_;
  int seq_ = 0;
  std::mutex mutex_;
  std::vector<arrival> runs_;
  listener listener_;
};

// Sends one request on a connection of its own and reads its answer.
inline answer Ask(const gateway& to, const std::string& first_line, const headers& fields, const std::string& body,
                  int64_t timeout_ms) {
  const int fd = Connect(to.Ip(), to.front);
  answer got;
  if (fd < 0) return got;
  std::string buffer;
  SendAll(fd, Render(first_line, fields, body, !body.empty()));
  got = ReadAnswer(fd, buffer, timeout_ms);
  close(fd);
  return got;
}

inline std::string Id(const char* prefix, int number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%s%08x", prefix, static_cast<unsigned>(number));
  return text;
}

}  // namespace rig
