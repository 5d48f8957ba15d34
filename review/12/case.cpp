// The operator takes away the last tenant. From then on no key is held by any tenant, so no request of a route
// that needs a key may run.
#include "../rig-3.hpp"

using namespace rig;

namespace {

constexpr const char* kTenantKey = "n2ctnfzs989anu6wsjnb";  // held by version 7
constexpr const char* kForeignKey = "zz00never0held0key00";  // held by no version
constexpr int kConfigMs = 2000;                             // bounds.config_ms

std::string Configuration(int version, const json& tenants) {
  return json{{"version", version},
              {"routes", {Route("r-1", "/puxa403/", "unsafe", "llogi", 1000, 1)}},
              {"services", {{{"name", "llogi"}, {"health_path", "/health"}, {"max_conns", 96}}}},
              {"limits", Limits()},
              {"tenants", tenants}}
      .dump();
}

}  // namespace

int main(int argc, char** argv) {
  const std::string folder = Begin(argc, argv);
  store platform;
  const auto run = [](const message&) { return std::string(800, 'w'); };
  plain_server first(platform, "i-00000001", "llogi", "caerfyrddin", run);
  plain_server second(platform, "i-00000002", "llogi", "llanelli", run);
  platform.Put("op", "config", Configuration(7, {{{"name", "hule930"}, {"api_keys", {kTenantKey}}}}));
  gateway one("front-caerfyrddin-1", "caerfyrddin", "127.0.0.1", platform, folder);
  gateway two("front-llanelli-1", "llanelli", "127.0.0.2", platform, folder);
  StartAll({&one, &two});

  int number = 0;
  std::map<std::string, const char*> key_of;
  const auto send = [&](const char* key) {
    const std::string id = Id("9c41d07b", ++number);
    headers fields = {{"Host", "ficu95.example"},
                      {"Balsambay-Request-Id", id},
                      {"Balsambay-Deadline-Ms", "1000"},
                      {"X-Api-Key", key}};
    key_of[id] = key;
    const answer got = Ask(number % 2 == 0 ? one : two, "POST /puxa403/2f HTTP/1.1", fields, "{}", 2000);
    Record("client with key %s gets %s: %d, %s", key, id.c_str(), got.Status(), Text(got.how));
  };
  for (int i = 0; i < 4; ++i) send(kTenantKey);
  for (int i = 0; i < 4; ++i) send(kForeignKey);
  SleepMs(4000);
  if (Trouble()) platform.Put("op", "config", Configuration(9, json::array()));
  Record(Trouble() ? "version 9, without tenants, is acknowledged" : "no new version");
  SleepMs(kConfigMs + 1000);
  const int64_t checked_from = NowMs();
  for (int i = 0; i < 20; ++i) send(kForeignKey);
  if (Trouble()) {
    for (int i = 0; i < 20; ++i) send(kTenantKey);
  }

  int foreign = 0;
  int dropped = 0;
  std::vector<arrival> runs = first.Runs();
  for (const arrival& more : second.Runs()) runs.push_back(more);
  for (const arrival& seen : runs) {
    const std::string id = seen.request.Header("Balsambay-Request-Id");
    if (key_of[id] == kForeignKey) {
      ++foreign;
      Record("ROUTE: %s ran %s, whose key no configuration ever held", seen.server.c_str(), id.c_str());
    } else if (Trouble() && seen.at_ms >= checked_from) {
      ++dropped;
      Record("CONFIG: %s ran %s with a key that was taken away", seen.server.c_str(), id.c_str());
    }
  }
  Record("runs %zu, with a key never held %d, with a dropped key %d", runs.size(), foreign, dropped);
  if (runs.size() < 4) Finish(2);
  Finish(foreign + dropped > 0 ? 1 : 0);
}
