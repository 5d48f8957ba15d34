// Clients ask for a part of an answer (Range), which a server need not heed. A client must get the server's
// whole answer with the server's status, or nothing that bears the server's seal.
#include "../rig-3.hpp"

using namespace rig;

int main(int argc, char** argv) {
  const std::string folder = Begin(argc, argv);
  store platform;
  // 800 bytes that differ from each other in their position.
  const auto whole = [](const std::string& id) {
    std::string body;
    while (body.size() < 800) body += id + ":" + std::to_string(body.size()) + ";";
    return body.substr(0, 800);
  };
  const auto run = [&](const message& request) { return whole(request.Header("Balsambay-Request-Id")); };
  plain_server first(platform, "i-00000001", "llogi", "caerfyrddin", run);
  plain_server second(platform, "i-00000002", "llogi", "llanelli", run);
  platform.Put("op", "config",
               json{{"version", 7},
                    {"routes", {Route("r-2", "/cufi504/", "safe", "llogi", 1000, 2)}},
                    {"services", {{{"name", "llogi"}, {"health_path", "/health"}, {"max_conns", 96}}}},
                    {"limits", Limits()},
                    {"tenants", {{{"name", "hule930"}, {"api_keys", {"n2ctnfzs989anu6wsjnb"}}}}}}
                   .dump());
  gateway one("front-caerfyrddin-1", "caerfyrddin", "127.0.0.1", platform, folder);
  gateway two("front-llanelli-1", "llanelli", "127.0.0.2", platform, folder);
  StartAll({&one, &two});

  const std::vector<std::string> ranges = {"bytes=0-99", "bytes=100-", "bytes=0-9,20-29", "bytes=800-899"};
  int asked = 0;
  int answered = 0;
  int broken = 0;
  for (int round = 0; round < 10; ++round) {
    for (const std::string& range : ranges) {
      const std::string id = Id("9c41d07b", ++asked);
      headers fields = {{"Host", "ficu95.example"},
                        {"Balsambay-Request-Id", id},
                        {"Balsambay-Deadline-Ms", "1000"},
                        {"X-Api-Key", "n2ctnfzs989anu6wsjnb"}};
      if (Trouble()) fields.emplace_back("Range", range);
      const answer got = Ask(round % 2 == 0 ? one : two, "GET /cufi504/fi50/2f HTTP/1.1", fields, "", 2000);
      const std::string seal = got.head.Header("Balsambay-Upstream-Seal");
      Record("client gets %s (%s): %d, %s, %zu bytes, seal '%s'", id.c_str(), Trouble() ? range.c_str() : "no range",
             got.Status(), Text(got.how), got.body.size(), seal.c_str());
      if (got.how == end::kComplete && got.Status() / 100 == 2) ++answered;
      if (got.how != end::kComplete || seal.empty()) continue;
      // The servers answered 200 with the whole body to each request that they ran.
      const bool other_body = got.Status() / 100 == 2 && got.body != whole(id);
      const bool other_status = got.Status() != 200;
      if (!other_body && !other_status) continue;
      ++broken;
      Record("MIXED: %s bears the seal of an answer 200 with 800 bytes, but has status %d and %zu bytes", id.c_str(),
             got.Status(), got.body.size());
    }
  }
  const size_t runs = first.Runs().size() + second.Runs().size();
  Record("requests %d, run %zu, answered with success %d, broken %d", asked, runs, answered, broken);
  if (runs == 0) Finish(2);
  Finish(broken > 0 ? 1 : 0);
}
