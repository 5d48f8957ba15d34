// A request that crashes each plain engine that begins to run it. The engine falls silent, and is
// back after 3 s under a new id.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr int64_t kContactMs = 3000;  // bounds.contact_ms
constexpr int64_t kSilentMs = 3000;
constexpr int64_t kBeatMs = 1200;
constexpr int64_t kEachMs = 4000;  // the request comes again
constexpr int64_t kDurationMs = 60'000;
constexpr int kEngines = 3;
constexpr int kGateways = 3;
constexpr size_t kAllowed = 3;  // retries later than contact_ms after the third crash

struct plain_engine {
  std::mutex mutex;
  std::string name;
  int starts = 1;
  int64_t silent_until = 0;
  beat row;
  std::unique_ptr<server> listener;
  std::string Id() const { return name + "-" + std::to_string(starts); }
};

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  store platform(Ip(1));
  heartbeats beats(platform);
  std::mutex mutex;
  std::vector<int64_t> crashes;
  std::vector<std::pair<int64_t, std::string>> reached;  // arrivals of the request, by client attempt
  std::vector<std::unique_ptr<plain_engine>> engines;
  const auto restart = [&](plain_engine& e) {
    std::string former;
    {
      const std::lock_guard lock(e.mutex);
      former = e.Id();
      ++e.starts;
      e.row.id = e.Id();
      e.row.born = static_cast<uint64_t>(WallMs());
      e.row.seq = 1;
    }
    beats.Set(e.row);
    Record("%s is back as %s", former.c_str(), e.row.id.c_str());
    SleepMs(3 * kBeatMs - kSilentMs);
    platform.Delete("servers", former);
  };
  for (int i = 0; i < kEngines; ++i) {
    auto made = std::make_unique<plain_engine>();
    plain_engine& e = *made;
    e.name = "i-" + std::to_string(i);
    e.listener = std::make_unique<server>(Ip(20 + i) + ":0", [&](int fd, const message& request) {
      std::string id;
      int64_t silent = 0;
      {
        const std::lock_guard lock(e.mutex);
        id = e.Id();
        silent = e.silent_until - NowMs();
      }
      if (silent > 0) {
        SleepMs(silent);
        Reset(fd);
        return false;
      }
      const headers own = {{"Balsambay-Instance-Id", id}};
      if (request.Target() == "/health") return SendAll(fd, Reply(200, own, ""));
      if (request.Get("Balsambay-Expect-Instance") != id) return SendAll(fd, Reply(421, own, ""));
      const std::string name = request.Get("Balsambay-Request-Id");
      if (request.body == "crash") {
        {
          const std::lock_guard lock(mutex);
          reached.emplace_back(NowMs(), name);
        }
        Record("%s reaches %s%s", name.c_str(), id.c_str(), Trouble() ? " and crashes it" : "");
        if (Trouble()) {
          {
            const std::lock_guard lock(mutex);
            crashes.push_back(NowMs());
          }
          {
            const std::lock_guard lock(e.mutex);
            e.silent_until = NowMs() + kSilentMs;
          }
          // Three beats without a sign, then the row goes.
          beats.Silence(id);
          std::thread([&] {
            SleepMs(kSilentMs);
            restart(e);
          }).detach();
          SleepMs(kSilentMs);
          Reset(fd);
          return false;
        }
      }
      SleepMs(30);
      return SendAll(fd, Reply(200, {{"Balsambay-Request-Id", name},
                                     {"Balsambay-Upstream-Seal", "s." + name}},
                               "found"));
    });
    e.row.id = e.Id();
    e.row.service = "desk";
    e.row.addr = e.listener->Address();
    beats.Set(e.row);
    engines.push_back(std::move(made));
  }
  const json config = {
      {"version", 7},
      {"routes", {Route("look", "/look/", "safe", "desk", 1000, 150, 2)}},
      {"services", {{{"name", "desk"}, {"health_path", "/health"}, {"max_conns", 96}}}},
      {"limits", Limits()},
      {"tenants", Tenants()}};
  platform.Put("op", "config", config.dump());
  std::vector<gateway> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(MakeGateway(5 + i, "a", platform));
    Start(gateways.back());
  }
  for (const gateway& g : gateways) WaitUntilReady(g);
  SleepMs(4000);
  const auto send = [&](size_t number, const std::string& id, const std::string& body) {
    const gateway& g = gateways[number % gateways.size()];
    return Call(g.ip + ":" + std::to_string(g.port),
                Request("POST", "/look/x",
                        {{"Host", "shop.example"},
                         {"Balsambay-Request-Id", id},
                         {"Balsambay-Deadline-Ms", "1000"},
                         {"X-Api-Key", "key1"}},
                        body),
                1500);
  };
  std::atomic<bool> stop{false};
  std::map<int, int> others;
  std::thread harmless([&] {
    for (size_t n = 0; !stop; ++n) {
      ++others[send(n, "h" + std::to_string(n), "look " + std::to_string(n)).status];
      SleepMs(100);
    }
  });
  const int64_t begin = NowMs();
  for (size_t n = 0; NowMs() < begin + kDurationMs; ++n) {
    const std::string id = "c" + std::to_string(n);
    const answer got = send(n, id, "crash");
    Record("client attempt %s gets %d", id.c_str(), got.status);
    SleepMs(begin + static_cast<int64_t>(n + 1) * kEachMs - NowMs());
  }
  stop = true;
  harmless.join();
  std::set<std::string> late;
  const std::lock_guard lock(mutex);
  if (crashes.size() >= 3) {
    for (const auto& [at, id] : reached)
      if (at > crashes[2] + kContactMs) late.insert(id);
  }
  std::string statuses;
  for (const auto& [status, count] : others)
    statuses += " " + std::to_string(status) + ": " + std::to_string(count);
  if (reached.empty()) CannotRun("the request reached no engine");
  Finish(late.size() > kAllowed ? 1 : 0,
         std::to_string(crashes.size()) + " crashes, " + std::to_string(late.size()) +
             " retries reached engines later than contact_ms after the third (3 allowed); other requests" +
             statuses);
}
