// Mock endpoint process: flags, HTTP routes and shutdown.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <signal.h>
#include <unistd.h>

#include <iostream>

#include "endpoint.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");
ABSL_FLAG(std::string, id, "e1", "endpoint id");
ABSL_FLAG(std::string, kind, "engine", "engine or service");
ABSL_FLAG(int, first_layer, 0, "first layer held");
ABSL_FLAG(int, end_layer, 32, "layer after the last one held");
ABSL_FLAG(double, tokens_per_second, 1000, "decode rate, shared by all runs");
ABSL_FLAG(int, max_runs, 64, "runs or calls at a time; more are refused before starting");
ABSL_FLAG(int, service_delay_ms, 2, "time that a service call takes");
ABSL_FLAG(uint64_t, incarnation, 1,
          "the platform's incarnation of the VM that this endpoint runs on");
ABSL_FLAG(bool, checks_fencing, true, "refuse commands with an old epoch");
ABSL_FLAG(std::string, journal, "", "file to append executed work to; empty for none");

namespace balsambay::mock_endpoint {

void Journal(endpoint& self, const nlohmann::json& entry) {
  if (self.journal == nullptr) return;
  const std::string line =
      entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  std::fwrite(line.data(), 1, line.size(), self.journal);
  std::fflush(self.journal);
}

void RespondJson(const net::exchange_ptr& request, int status, const nlohmann::json& body) {
  const net::header type{"Content-Type", "application/json"};
  request->Respond(status, {&type, 1}, body.dump());
}

void RefuseNotStarted(const endpoint& self, const net::exchange_ptr& request) {
  std::vector<net::header> headers = {{"Balsambay-Not-Started", "1"}};
  if (self.leaving) headers.push_back({"Balsambay-Leaving", "1"});
  request->Respond(503, headers, "{}");
}

void QuitWhenIdle(endpoint& self) {
  if (!self.leaving || !self.runs.empty() || !self.kv.empty() || self.active_calls > 0) return;
  // The last reply is still in libsoup's hands.
  Subscribe(self.loop.Timers(), MonotonicNow() + std::chrono::milliseconds(300),
            [&self](time_point) { self.loop.Quit(); });
}

namespace {

void HandleStatus(endpoint& self, const net::exchange_ptr& request) {
  RespondJson(request, 200,
              {{"id", self.config.id},
               {"incarnation", self.incarnation},
               {"started_ms", self.started_ms},
               {"state", self.leaving ? "leaving" : "live"},
               {"active", static_cast<int>(self.runs.size()) + self.active_calls},
               {"executed", self.executed},
               {"kv_runs", self.kv.size()},
               {"wanted", self.wanted}});
}

void HandleOrder(endpoint& self, const net::exchange_ptr& request) {
  const auto body = nlohmann::json::parse(request->Body(), nullptr, false);
  if (!body.is_object()) return RespondJson(request, 400, {{"error", "body is not an object"}});
  const uint64_t epoch = body.at("epoch");
  if (self.config.checks_fencing && epoch < self.highest_epoch) {
    return RespondJson(request, 409, {{"error", "stale_epoch"}, {"epoch", self.highest_epoch}});
  }
  self.highest_epoch = std::max(self.highest_epoch, epoch);
  self.wanted = body.at("wanted");
  Journal(self, {{"event", "order"}, {"epoch", epoch}, {"wanted", self.wanted}});
  RespondJson(request, 200, nlohmann::json::object());
}

void Route(endpoint& self, const net::exchange_ptr& request) {
  const std::string_view path = request->Path();
  if (path == "/v1/status") return HandleStatus(self, request);
  if (path == "/v1/orders") return HandleOrder(self, request);
  if (path == "/v1/stage") return HandleStage(self, request);
  if (path.starts_with("/v1/stage/")) return HandleRelease(self, request);
  if (path == "/v1/runs") return HandleRun(self, request);
  if (path.starts_with("/v1/runs/")) return HandleCancel(self, request);
  if (path.starts_with("/v1/call/")) return HandleServiceCall(self, request);
  request->Respond(404, {}, "{}");
}

settings ReadFlags() {
  settings out;
  out.id = absl::GetFlag(FLAGS_id);
  out.kind = absl::GetFlag(FLAGS_kind);
  out.first_layer = absl::GetFlag(FLAGS_first_layer);
  out.end_layer = absl::GetFlag(FLAGS_end_layer);
  out.tokens_per_second = absl::GetFlag(FLAGS_tokens_per_second);
  out.max_runs = absl::GetFlag(FLAGS_max_runs);
  out.service_delay_ms = absl::GetFlag(FLAGS_service_delay_ms);
  out.checks_fencing = absl::GetFlag(FLAGS_checks_fencing);
  return out;
}

int Run() {
  endpoint self;
  self.config = ReadFlags();
  self.started_ms = WallClockMs();
  self.incarnation = absl::GetFlag(FLAGS_incarnation);
  const std::string journal = absl::GetFlag(FLAGS_journal);
  if (!journal.empty()) self.journal = std::fopen(journal.c_str(), "a");
  net::server_handlers handlers;
  handlers.on_request = [&](const net::exchange_ptr& request) {
    try {
      Route(self, request);
    } catch (const nlohmann::json::exception& failure) {
      RespondJson(request, 400, {{"error", failure.what()}});
    }
  };
  handlers.on_reject = [](net::rejection, std::vector<net::header>&) { return std::string("{}"); };
  auto server = net::ListenHttp(absl::GetFlag(FLAGS_listen), {.max_body_bytes = 16 << 20},
                                self.loop.Timers(), std::move(handlers));
  if (server.has_error()) {
    std::cerr << "cannot listen: " << server.error().detail << "\n";
    return 1;
  }
  self.loop.OnSignal(SIGTERM, [&] {
    self.leaving = true;
    QuitWhenIdle(self);
  });
  std::printf("listening on port %d\n", server.value()->Port());
  std::fflush(stdout);
  self.loop.Run();
  return 0;
}

}  // namespace
}  // namespace balsambay::mock_endpoint

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return balsambay::mock_endpoint::Run();
}
