// balsambayd: the entry daemon. Reads settings, starts the router, handles signals.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <signal.h>

#include <cstdio>

#include "router/router.h"

ABSL_FLAG(std::string, id, "", "unique id of this daemon");
ABSL_FLAG(std::string, zone, "", "availability zone of this VM");
ABSL_FLAG(std::string, listen, "127.0.0.1:8080", "IP:PORT for callers, operators and metrics");
ABSL_FLAG(std::string, config_file, "", "fixed configuration for trials without a platform");

namespace balsambay {
namespace {

int Run() {
  router::settings settings;
  settings.id = absl::GetFlag(FLAGS_id);
  settings.zone = absl::GetFlag(FLAGS_zone);
  settings.listen = absl::GetFlag(FLAGS_listen);
  settings.config_file = absl::GetFlag(FLAGS_config_file);
  net::loop loop;
  auto started = router::Start(settings, loop);
  if (started.has_error()) {
    std::fprintf(stderr, "cannot start: %s\n", started.error().detail.c_str());
    return 1;
  }
  int cut_requests = 0;
  const auto stop = [&] {
    started.value()->Stop([&](int cut) {
      cut_requests = cut;
      loop.Quit();
    });
  };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  std::printf("listening on port %d\n", started.value()->Port());
  std::fflush(stdout);
  loop.Run();
  return cut_requests == 0 ? 0 : 3;
}

}  // namespace
}  // namespace balsambay

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return balsambay::Run();
}
