// Model engines come up one after the other, more slowly than the gateways plan. Later the largest
// engine of a zone and a small one crash; the small one is back first.
#include "../stand.hpp"
using namespace stand;

constexpr int kLayers = 80;
constexpr double kLayerMb = 1750;
constexpr double kLoadS = 14;
const std::map<std::string, double> kMemoryMb = {{"h100", 72000}, {"a100s", 36000}, {"l4", 21600}, {"t4", 14400}};

record* g_log = nullptr;
std::atomic<int> g_too_large{0};
std::atomic<int> g_orders{0};

// A model engine, as far as orders concern it. It answers requests with 503.
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
    return Reply(fd, request, 503, "Balsambay-Not-Executed: 1\r\n", "");
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
      {"usual", {{"prompt", 772}, {"answer", 167}}}, {"layers", kLayers}, {"layer_mb", kLayerMb},
      {"act_bytes", 29500}, {"pipe_mbps", 13000.0}, {"kinds", kinds}};
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
  const auto add = [&](const std::string& id, const std::string& kind, const std::string& zone) {
    engines.push_back(std::make_unique<model_engine>(id, kind, zone, "127.0.0." + std::to_string(next_ip++), data));
  };
  // The first engines can't hold the whole model.
  add("i-1c07e2a4", "h100", "z1");
  add("i-27be1f09", "t4", "z1");
  for (const auto& g : gateways) {
    if (!g->WaitReady(15)) Finish(2, work);
  }
  SleepFor(12);
  const std::vector<std::pair<std::string, std::string>> rest = {
      {"l4", "z1"}, {"t4", "z1"}, {"a100s", "z2"}, {"a100s", "z2"}, {"l4", "z2"}, {"t4", "z2"}, {"l4", "z2"}, {"t4", "z2"}, {"t4", "z2"}, {"t4", "z1"}};
  uint64_t n = 77;
  for (const auto& [kind, zone] : rest) {
    add("i-8" + Hex(++n).substr(0, 7), kind, zone);
    SleepFor(0.5);
  }
  SleepFor(12);
  if (trouble) {
    // Two of twelve engines.
    engines[0]->Crash("process killed");
    engines[1]->Crash("process killed");
    SleepFor(2.5);
    add("i-9" + Hex(++n).substr(0, 7), "t4", "z1");
    SleepFor(2);
    add("i-9" + Hex(++n).substr(0, 7), "h100", "z1");
  }
  // Engines that crash later are back after 3 s, under a new id.
  std::set<std::string> replaced = {engines[0]->Id(), engines[1]->Id()};
  const double end = Now() + 30;
  while (Now() < end) {
    SleepFor(0.2);
    for (size_t i = 0; i < engines.size(); ++i) {
      if (!engines[i]->HasCrashed() || !replaced.insert(engines[i]->Id()).second) continue;
      SleepFor(3);
      add("i-9" + Hex(++n).substr(0, 7), "t4", "z1");
    }
  }
  for (const auto& g : gateways) g->Kill();
  log.Line("orders %d, of these for more layers than the engine's mb holds: %d", g_orders.load(), g_too_large.load());
  std::printf("orders %d, too large %d\n", g_orders.load(), g_too_large.load());
  Finish(g_too_large > 0 ? 1 : 0, work);
}
