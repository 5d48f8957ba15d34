// Mock platform server. Holds everything in memory; a restart loses it.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <signal.h>

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "net/http_server.h"
#include "net/loop.h"
#include "table/table.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");

namespace balsambay {
namespace {

struct fault_settings {
  std::string mode = "ok";
  int delay_ms = 0;
  int lose_replies = 0;
};

struct platform {
  net::loop loop;
  table::memory_table table;
  std::map<std::string, std::string, std::less<>> objects;
  nlohmann::json vms = nlohmann::json::object();
  fault_settings faults;
};

void RespondJson(const net::exchange_ptr& request, int status, const nlohmann::json& body) {
  const net::header type{"Content-Type", "application/json"};
  request->Respond(status, {&type, 1}, body.dump());
}

void BadRequest(const net::exchange_ptr& request, const std::string& detail) {
  RespondJson(request, 400, {{"error", detail}});
}

void HandleTransact(platform& state, const net::exchange_ptr& request) {
  const auto tx =
      table::TransactionFromJson(nlohmann::json::parse(request->Body(), nullptr, false));
  if (tx.has_error()) return BadRequest(request, tx.error().detail);
  const auto reply = table::Commit(state.table, tx.value());
  if (state.faults.lose_replies > 0) {
    --state.faults.lose_replies;
    // The stream ends without a valid body: the client cannot tell whether the write happened.
    request->BeginStream(200, {});
    request->Write("{");
    request->End();
    return;
  }
  RespondJson(request, 200, table::ToJson(reply));
}

void HandleRead(platform& state, const net::exchange_ptr& request) {
  const auto read =
      table::ReadRequestFromJson(nlohmann::json::parse(request->Body(), nullptr, false));
  if (read.has_error()) return BadRequest(request, read.error().detail);
  RespondJson(request, 200, table::ToJson(table::Read(state.table, read.value())));
}

void HandleObject(platform& state, const net::exchange_ptr& request, std::string name) {
  if (request->Method() == "PUT") {
    state.objects[std::move(name)] = request->Body();
    return request->Respond(200, {}, "{}");
  }
  const auto it = state.objects.find(name);
  if (it == state.objects.end()) return request->Respond(404, {}, "{}");
  request->Respond(200, {}, it->second);
}

void HandleVms(platform& state, const net::exchange_ptr& request) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [id, entry] : state.vms.items()) list.push_back(entry);
  RespondJson(request, 200, {{"vms", std::move(list)}});
}

void HandleMockFaults(platform& state, const net::exchange_ptr& request) {
  const auto json = nlohmann::json::parse(request->Body(), nullptr, false);
  if (!json.is_object()) return BadRequest(request, "faults must be an object");
  state.faults.mode = json.value("mode", state.faults.mode);
  state.faults.delay_ms = json.value("delay_ms", state.faults.delay_ms);
  state.faults.lose_replies = json.value("lose_replies", state.faults.lose_replies);
  RespondJson(request, 200, {{"mode", state.faults.mode}});
}

void HandleMockVms(platform& state, const net::exchange_ptr& request) {
  const auto json = nlohmann::json::parse(request->Body(), nullptr, false);
  if (!json.is_object() || !json.contains("vm")) return BadRequest(request, "member vm is missing");
  const std::string id = json.at("vm");
  if (json.value("state", nlohmann::json("")) == nlohmann::json("")) {
    state.vms.erase(id);
  } else {
    state.vms[id] = json;
  }
  RespondJson(request, 200, nlohmann::json::object());
}

void HandleMockStats(platform& state, const net::exchange_ptr& request) {
  RespondJson(request, 200,
              {{"commits", state.table.commits},
               {"reads", state.table.reads},
               {"rows", state.table.rows.size()}});
}

void Route(platform& state, const net::exchange_ptr& request) {
  const std::string_view path = request->Path();
  if (path == "/v1/table/transact") return HandleTransact(state, request);
  if (path == "/v1/table/read") return HandleRead(state, request);
  if (path == "/v1/vms") return HandleVms(state, request);
  if (path.starts_with("/v1/objects/"))
    return HandleObject(state, request, std::string(path.substr(12)));
  request->Respond(404, {}, "{}");
}

void OnRequest(platform& state, const net::exchange_ptr& request) {
  const std::string_view path = request->Path();
  if (path == "/mock/faults") return HandleMockFaults(state, request);
  if (path == "/mock/vms") return HandleMockVms(state, request);
  if (path == "/mock/stats") return HandleMockStats(state, request);
  if (state.faults.mode == "down") return RespondJson(request, 503, {{"error", "unavailable"}});
  if (state.faults.mode == "drop") return;
  if (state.faults.delay_ms == 0) return Route(state, request);
  Subscribe(state.loop.Timers(), MonotonicNow() + std::chrono::milliseconds(state.faults.delay_ms),
            [&state, request](time_point) { Route(state, request); });
}

int Run() {
  platform state;
  net::server_handlers handlers;
  handlers.on_request = [&](const net::exchange_ptr& request) { OnRequest(state, request); };
  handlers.on_reject = [](net::rejection, std::vector<net::header>&) { return std::string("{}"); };
  auto server = net::ListenHttp(absl::GetFlag(FLAGS_listen), {.max_body_bytes = 64 << 20},
                                state.loop.Timers(), std::move(handlers));
  if (server.has_error()) {
    std::cerr << "cannot listen: " << server.error().detail << "\n";
    return 1;
  }
  state.loop.OnSignal(SIGTERM, [&] { state.loop.Quit(); });
  std::printf("listening on port %d\n", server.value()->Port());
  std::fflush(stdout);
  state.loop.Run();
  return 0;
}

}  // namespace
}  // namespace balsambay

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return balsambay::Run();
}
