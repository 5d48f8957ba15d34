// Clients send requests with two Content-Length fields. What a server runs must be a request as a client sent it,
// and no request that was hidden in the body of another one.
#include "../rig-3.hpp"

using namespace rig;

int main(int argc, char** argv) {
  const std::string folder = Begin(argc, argv);
  store platform;
  const auto run = [](const message&) { return std::string(800, 'w'); };
  plain_server first(platform, "i-00000001", "llogi", "caerfyrddin", run);
  plain_server second(platform, "i-00000002", "llogi", "llanelli", run);
  platform.Put("op", "config",
               json{{"version", 7},
                    {"routes", {Route("r-1", "/puxa403/", "unsafe", "llogi", 1000, 1)}},
                    {"services", {{{"name", "llogi"}, {"health_path", "/health"}, {"max_conns", 96}}}},
                    {"limits", Limits()},
                    {"tenants", {{{"name", "hule930"}, {"api_keys", {"n2ctnfzs989anu6wsjnb"}}}}}}
                   .dump());
  gateway one("front-caerfyrddin-1", "caerfyrddin", "127.0.0.1", platform, folder);
  gateway two("front-llanelli-1", "llanelli", "127.0.0.2", platform, folder);
  StartAll({&one, &two});

  // Bodies as sent, by request id. The ids of the hidden requests are not among them.
  std::map<std::string, std::string> body_of;
  constexpr int kRequests = 20;
  for (int i = 1; i <= kRequests; ++i) {
    const std::string id = Id("9c41d07b", i);
    const headers hidden_fields = {{"Host", "ficu95.example"},
                                   {"Balsambay-Request-Id", Id("deadbeef", i)},
                                   {"Balsambay-Deadline-Ms", "1000"},
                                   {"X-Api-Key", "n2ctnfzs989anu6wsjnb"},
                                   {"Content-Length", "0"}};
    const std::string body = Render("POST /puxa403/hidden HTTP/1.1", hidden_fields, "", false);
    body_of[id] = body;
    headers fields = {{"Host", "ficu95.example"},
                      {"Balsambay-Request-Id", id},
                      {"Balsambay-Deadline-Ms", "1000"},
                      {"X-Api-Key", "n2ctnfzs989anu6wsjnb"},
                      {"Content-Type", "text/plain"},
                      {"Content-Length", std::to_string(body.size())}};
    if (Trouble()) fields.emplace_back("Content-Length", "0");
    const gateway& to = i % 2 == 0 ? one : two;
    const int fd = Connect(to.Ip(), to.front);
    std::string buffer;
    SendAll(fd, Render("POST /puxa403/2f HTTP/1.1", fields, "", false) + body);
    const answer got = ReadAnswer(fd, buffer, 1500);
    Record("client sends %s with a body of %zu bytes%s, gets %d, %s", id.c_str(), body.size(),
           Trouble() ? " and a second Content-Length, 0" : "", got.Status(), Text(got.how));
    // Time for whatever the gateway makes of the rest.
    SleepMs(50);
    close(fd);
  }

  int hidden = 0;
  int changed = 0;
  std::vector<arrival> runs = first.Runs();
  for (const arrival& more : second.Runs()) runs.push_back(more);
  for (const arrival& seen : runs) {
    const std::string id = seen.request.Header("Balsambay-Request-Id");
    const auto origin = body_of.find(id);
    if (origin == body_of.end()) {
      ++hidden;
      Record("UNASKED: %s ran '%s' with id '%s', which was hidden in the body of another request", seen.server.c_str(),
             seen.request.first_line.c_str(), id.c_str());
    } else if (origin->second != seen.request.body) {
      ++changed;
      Record("UNASKED: %s ran %s with a body of %zu bytes in place of %zu", seen.server.c_str(), id.c_str(),
             seen.request.body.size(), origin->second.size());
    }
  }
  Record("requests sent %d, runs %zu, hidden requests run %d, run with another body %d", kRequests, runs.size(),
         hidden, changed);
  // With the disruption a gateway may refuse all of them.
  if (runs.empty() && !Trouble()) Finish(2);
  Finish(hidden + changed > 0 ? 1 : 0);
}
