// balsambayd: the entry daemon. Reads settings, starts the router, handles signals.
#include <absl/flags/flag.h>
#include <signal.h>

#include <cstdio>
#include <span>
#include <string_view>

#include "flags.h"
#include "log/log.h"
#include "platform/run.h"
#include "router/router.h"

namespace balsambay::app {
namespace {

constexpr int kExitCannotStart = 1;
constexpr int kExitWrongSettings = 2;
constexpr int kExitCutRequests = 3;

int Run() {
  const settings_outcome read = ReadSettings();
  for (const std::string& error : read.errors) std::fprintf(stderr, "%s\n", error.c_str());
  if (!read.errors.empty()) return kExitWrongSettings;
  log::SetLevel(log::ParseLevel(read.log_level).value());
  net::loop loop;
  auto started = router::Start(read.settings, loop);
  if (started.has_error()) {
    std::fprintf(stderr, "cannot start: %s\n", started.error().detail.c_str());
    return kExitCannotStart;
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
  if (cut_requests == 0) return 0;
  std::fprintf(stderr, "forced stop: %d requests were cut\n", cut_requests);
  return kExitCutRequests;
}

}  // namespace
}  // namespace balsambay::app

int main(int argc, char** argv) {
  const std::span<char*> arguments(argv, static_cast<size_t>(argc));
  if (argc > 1 && std::string_view(arguments[1]) == "platform") {
    // Everything else comes from the settings file.
    balsambay::app::ParseFlags(argc - 1, arguments.subspan(1).data());
    return balsambay::platform::Run(absl::GetFlag(FLAGS_metrics_port));
  }
  balsambay::app::ParseFlags(argc, argv);
  return balsambay::app::Run();
}
