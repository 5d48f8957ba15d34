// A part of prompts that crashes each engine that begins to write an answer on it. Requests with it
// come from one tenant first, and later from another one.
#include "../stand.hpp"
using namespace stand;

constexpr int kLayers = 8;
constexpr double kLayerMb = 1750;
constexpr double kLoadS = 2;
const std::string kDeadlyPart = "5c1e07a2";
const std::map<std::string, double> kMemoryMb = {{"h100", 72000}, {"a100s", 36000}, {"l4", 21600}, {"t4", 14400}};

record* g_log = nullptr;
std::atomic<int> g_too_large{0};
std::atomic<int> g_orders{0};
std::mutex g_mutex;
std::vector<double> g_crashes;                              // caused by the part
std::vector<std::pair<double, std::string>> g_arrivals;  // requests with the part, at engines

// A model engine that holds the whole model, once it was ordered to.
class model_engine {
 public:
  model_engine(std::string id, std::string kind, std::string zone, const std::string& ip, store_data& data)
      : id_(std::move(id)),
        kind_(std::move(kind)),
        zone_(std::move(zone)),
        data_(data),
        born_(WallMs()),
        server_(ip, [this](int fd, const message& r) { return Handle(fd, r); }),
        beating_([this] { Beat(); }) {
    g_log->Line("engine %s (%s, %s) starts, empty", id_.c_str(), kind_.c_str(), zone_.c_str());
  }
  ~model_engine() {
    if (!ended_) Crash("end of the test");
    beating_.join();
    server_.Close();
  }
  const std::string& Id() const { return id_; }
  bool HasCrashed() const { return ended_; }
  int Held() {
    const std::lock_guard lock(mutex_);
    return to_ - from_;
  }
  // The process ends: its address refuses connections, and the store hears nothing more from it.
  void Crash(const char* why) {
    if (ended_.exchange(true)) return;
    g_log->Line("engine %s (%s) crashes: %s", id_.c_str(), kind_.c_str(), why);
    std::thread([this] { server_.Close(); }).detach();
    std::thread([this] {
      SleepFor(3.6);  // three heartbeats
      data_.Delete("servers", id_);
    }).detach();
  }

 private:
  json State() {
    json out = {{"stage", "mixed"}, {"models", json::array()}, {"kind", kind_}, {"born", born_}};
    if (to_ > from_) {
      out["models"].push_back({{"name", "m0"}, {"version", 1}, {"adapters", json::array()}});
      out["layers"] = {{"from", from_}, {"to", to_}, {"version", 1}};
    }
    return out;
  }
  void Beat() {
    while (!ended_) {
      json entry;
      {
        const std::lock_guard lock(mutex_);
        entry = State();
      }
      entry["service"] = "llm";
      entry["addr"] = server_.Address();
      entry["zone"] = zone_;
      entry["version"] = "v1";
      entry["slots"] = 192;
      entry["state"] = "ready";
      entry["cold_left_ms"] = 0;
      entry["seq"] = ++beats_;
      if (!ended_) data_.Put("servers", id_, entry.dump());
      for (int i = 0; i < 12 && !ended_; ++i) SleepFor(0.1);
    }
  }
  bool Handle(int fd, const message& request) {
    if (ended_) return false;
    const std::string expected = request.Header("Balsambay-Expect-Instance");
    if (!expected.empty() && expected != id_) return Reply(fd, request, 421, "Balsambay-Instance-Id: " + id_ + "\r\n", "");
    const std::string path = request.Word(1);
    if (path == "/balsambay/report") return Report(fd, request);
    if (path == "/balsambay/order") return Order(fd, request);
    if (path == "/health") return Reply(fd, request, 200, "Balsambay-Instance-Id: " + id_ + "\r\n", "");
    return Stream(fd, request);
  }
  bool Stream(int fd, const message& request) {
    const std::string id = request.Header("Balsambay-Request-Id");
    {
      const std::lock_guard lock(mutex_);
      if (to_ - from_ != kLayers || Now() < busy_until_) {
        return Reply(fd, request, 421, "Balsambay-Request-Id: " + id + "\r\nAt-Server: " + server_.Address() + "\r\n", "");
      }
    }
    const std::string prefix = request.Header("Balsambay-Prompt-Prefix");
    const bool deadly = prefix.find(kDeadlyPart) != std::string::npos;
    if (deadly) {
      const std::lock_guard lock(g_mutex);
      g_arrivals.emplace_back(Now(), id);
      g_log->Line("%s (tenant %s) with the part arrives at %s", id.c_str(), request.Header("Balsambay-Tenant").c_str(), id_.c_str());
    }
    SendAll(fd, "HTTP/1.1 200 -\r\nContent-Type: text/event-stream\r\n" + Sealed(id) + "Transfer-Encoding: chunked\r\n\r\n");
    SleepFor(0.04);
    if (deadly && !ended_) {
      {
        const std::lock_guard lock(g_mutex);
        g_crashes.push_back(Now());
      }
      Crash("it begins to write an answer on the part");
    }
    const std::string last = request.Header("Last-Event-Id");
    for (int i = last.empty() ? 1 : std::atoi(last.c_str()) + 1; i <= 12; ++i) {
      if (ended_) return false;
      const std::string event = "id: " + std::to_string(i) + "\ndata: x\n\n";
      char size[20];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!SendAll(fd, size + event + "\r\n")) return false;
      SleepFor(0.025);
    }
    SendAll(fd, "0\r\n\r\n");
    return KeepsConnection(request);
  }
  bool Report(int fd, const message& request) {
    const std::lock_guard lock(mutex_);
    json report = State();
    const double free_mb = kMemoryMb.at(kind_) - (to_ - from_) * kLayerMb;
    report["busy"] = Now() < busy_until_;
    report["seq"] = seq_;
    report["waiting"] = report["running"] = report["kv_used"] = report["handles"] = 0;
    report["kv_total"] = static_cast<int64_t>(free_mb / (590000.0 / kLayers / 1e6));
    report["pace"] = 1.0;
    return Reply(fd, request, 200, "Content-Type: application/json\r\n", report.dump());
  }
  bool Order(int fd, const message& request) {
    std::unique_lock lock(mutex_);
    const json order = json::parse(request.body, nullptr, false);
    if (!order.is_object() || order.value("op", "") != "place") return Reply(fd, request, 400, "", "{}");
    const int from = order["from"];
    const int to = order["to"];
    if (order.contains("expect_rev") && order["expect_rev"] != seq_) return Reply(fd, request, 409, "", "{}");
    if (Now() < busy_until_) return Reply(fd, request, 409, "", "{}");
    if (from == from_ && to == to_) return Reply(fd, request, 200, "", "{}");
    ++seq_;
    ++g_orders;
    const double needed = (to - from) * kLayerMb;
    const bool too_large = needed > kMemoryMb.at(kind_);
    g_log->Line("order to %s (%s, %.0f MB): layers %d-%d, %.0f MB%s", id_.c_str(), kind_.c_str(), kMemoryMb.at(kind_), from, to,
                needed, too_large ? ": MORE THAN IT HOLDS" : "");
    if (too_large) {
      ++g_too_large;
      lock.unlock();
      Reply(fd, request, 202, "", "{}");
      Crash("it was ordered to hold more layers than its mb holds");
      return false;
    }
    from_ = to_ = 0;
    const double load = kLoadS * (to - from) / kLayers;
    busy_until_ = Now() + load;
    std::thread([this, from, to, load] {
      SleepFor(load);
      const std::lock_guard done(mutex_);
      from_ = from;
      to_ = to;
    }).detach();
    return Reply(fd, request, 202, "", "{}");
  }

  std::string id_;
  std::string kind_;
  std::string zone_;
  store_data& data_;
  int64_t born_;
  std::mutex mutex_;
  int from_ = 0;
  int to_ = 0;
  int seq_ = 0;
  double busy_until_ = 0;
  int beats_ = 0;
  std::atomic<bool> ended_{false};
  server server_;
  std::thread beating_;
};

int main(int, char** argv) {
  record log(std::string(argv[1]) + "/record.txt");
  g_log = &log;
  const bool trouble = HasTrouble();
  const std::string work = MakeFolder();
  auto& data = *new store_data;
  auto& shop = *new store("127.0.0.21", data);
  json kinds = json::array();
  kinds.push_back({{"name", "h100"}, {"mb", 72000.0}, {"pace", 1.4}, {"read_x", 1.0}});
  kinds.push_back({{"name", "a100s"}, {"mb", 36000.0}, {"pace", 3.1}, {"read_x", 3.2}});
  kinds.push_back({{"name", "l4"}, {"mb", 21600.0}, {"pace", 16.0}, {"read_x", 8.2}});
  kinds.push_back({{"name", "t4"}, {"mb", 14400.0}, {"pace", 15.0}, {"read_x", 15.0}});
  json route = Route("/chat/", "stream", "llm", 20000, 2, 500);
  route["sticky"] = true;
  route["can_resume"] = true;
  route["gap_aim_ms"] = 200;
  json config = Configuration(1, {route}, {"llm"});
  config["services"][0]["max_conns"] = 1058;
  config["services"][0]["engine"] = {
      {"slots", 192}, {"kv_tokens", 100000}, {"kv_bytes", 590000}, {"link_mbps", 480000.0}, {"stride", 2},
      {"models", {{{"name", "m0"}, {"pace", 1.0}, {"load_s", kLoadS}, {"warm_s", 1.0}}}},
      {"step_ms", 0.85}, {"per_seq_ms", 0.00382}, {"context_per_k", 0.00512}, {"read_per_s", 196000.0},
      {"pairs_per_m", 0.166}, {"chunk", 512}, {"report_lag_ms", 200.0}, {"loads_per_s", 0.0}, {"loads_at_once", 6},
      {"delays", {{{"from", "z1"}, {"to", "z2"}, {"delay_ms", 0.62}}}},
      {"usual", {{"prompt", 772}, {"answer", 24}}}, {"layers", kLayers}, {"layer_mb", kLayerMb},
      {"act_bytes", 29500}, {"pipe_mbps", 13000.0}, {"kinds", kinds}};
  config["tenants"] = json::array({{{"name", "t1"}, {"api_keys", {"key-1"}}, {"priority", 1}}, {{"name", "t2"}, {"api_keys", {"key-2"}}, {"priority", 1}}});
  data.Put("op", "config", config.dump());

  std::vector<std::unique_ptr<gateway>> gateways;
  for (int i = 1; i <= 3; ++i) {
    const std::string n = std::to_string(i);
    gateways.push_back(std::make_unique<gateway>("front-" + n, i == 3 ? "z2" : "z1", "127.0.0.1" + n, work));
    gateways.back()->WriteSettings(shop.Address());
    gateways.back()->Start();
  }
  std::vector<std::unique_ptr<model_engine>> engines;
  int next_ip = 41;
  uint64_t next_id = 500;
  const auto add = [&] {
    const std::string n = std::to_string(next_ip++);
    engines.push_back(std::make_unique<model_engine>("i-" + Hex(++next_id).substr(0, 8), "h100", next_ip % 2 ? "z1" : "z2", "127.0.0." + n, data));
  };
  for (int i = 0; i < 12; ++i) add();
  for (const auto& g : gateways) {
    if (!g->WaitReady(15)) Finish(2, work);
  }
  SleepFor(10);
  std::atomic<bool> stop{false};
  std::atomic<uint64_t> number{0};
  std::map<std::string, std::map<int, int>> statuses;
  std::vector<std::thread> sending;
  const auto send = [&](const std::string& key, const std::string& middle, size_t at, const std::string& kind) {
    const std::string id = Hex(++number);
    const std::string headers = "Host: desk.example\r\nBalsambay-Request-Id: " + id + "\r\nBalsambay-Deadline-Ms: 8000\r\nX-Api-Key: " + key +
                                "\r\nBalsambay-Model: m0\r\nBalsambay-Token-Usage: 760,24\r\nBalsambay-Prompt-Prefix: 91bd3f06:40," + middle +
                                ":410," + Hex(number + 7000000).substr(0, 8) + ":310\r\n";
    const answer got = Send(gateways[at % 3]->front, "POST", "/chat/x", headers, "prompt " + id, 8.5);
    const std::lock_guard lock(g_mutex);
    ++statuses[kind][got.status];
    if (kind != "sound") log.Line("%s by %s at front-%zu: %d %s", id.c_str(), key.c_str(), at % 3 + 1, got.status, got.detail.c_str());
  };
  const auto start = [&](const std::string& key, const std::string& middle, size_t at, const std::string& kind) {
    sending.emplace_back([=, &send] { send(key, middle, at, kind); });
  };
  const double begin = Now();
  std::vector<double> tenant1 = {0, 0.02, 0.04, 0.06, 0.08};  // seconds after the first request with the part
  for (double t = 0.6; t < 22; t += 2) tenant1.push_back(t);
  const std::vector<double> tenant2 = {9, 9.005, 9.01, 9.015, 9.02, 9.025, 9.03, 9.035};
  struct planned {
    double at;
    std::string key;
  };
  std::vector<planned> deadly;
  if (trouble) {
    for (const double t : tenant1) deadly.push_back({begin + 3 + t, "key-1"});
    for (const double t : tenant2) deadly.push_back({begin + 3 + t, "key-2"});
    std::ranges::sort(deadly, {}, &planned::at);
  }
  size_t next = 0;
  size_t sound = 0;
  std::set<std::string> replaced;
  std::vector<std::pair<double, bool>> returns;
  while (Now() < begin + 27) {
    if (Now() >= begin + 0.045 * static_cast<double>(sound)) {
      ++sound;
      start(sound % 2 ? "key-1" : "key-2", "7" + std::to_string(1000000 + sound % 5), sound, "sound");
    }
    while (next < deadly.size() && Now() >= deadly[next].at) {
      start(deadly[next].key, kDeadlyPart, next, "with the part, " + deadly[next].key);
      ++next;
    }
    for (const auto& e : engines) {
      if (e->HasCrashed() && replaced.insert(e->Id()).second) returns.emplace_back(Now() + 3, true);
    }
    for (auto& [at, due] : returns) {
      if (!due || Now() < at) continue;
      due = false;
      add();
    }
    SleepFor(0.005);
  }
  for (std::thread& s : sending) s.join();
  for (const auto& g : gateways) g->Kill();
  int late = 0;
  const std::lock_guard lock(g_mutex);
  if (g_crashes.size() >= 5) {
    for (const auto& [at, id] : g_arrivals) {
      if (at > g_crashes[4] + 3.0) ++late;
    }
    log.Line("the fifth crash: %.3f", g_crashes[4]);
  }
  for (const auto& [kind, counts] : statuses) {
    for (const auto& [status, count] : counts) log.Line("%s: answered %d: %d", kind.c_str(), status, count);
  }
  log.Line("crashes %zu, arrivals later than contact_ms after the fifth: %d", g_crashes.size(), late);
  std::printf("crashes %zu, late arrivals %d\n", g_crashes.size(), late);
  Finish(late > 3 ? 1 : 0, work);
}
