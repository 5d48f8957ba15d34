// Simulates goodput by offered load, and isolation between workspaces, in virtual time with a
// fixed-rate server. Prints JSON lines that hold the results and their targets.
#include <cstdio>

#include "fixed_rate_server.h"

using namespace balsambay::admission;  // NOLINT(google-build-using-namespace)

namespace {

void PrintGoodput(const char* name, const gate_settings& config, const server_model& server) {
  double peak = 0;
  for (const double load : {0.5, 0.75, 0.9, 1.0, 1.25, 1.5, 2.0, 2.5, 3.0}) {
    const double goodput = GoodputAt(load, config, server);
    peak = std::max(peak, goodput);
    std::printf(
        "{\"benchmark\":\"overload\",\"case\":\"%s\",\"offered\":%.2f,\"goodput\":%.4f,"
        "\"of_peak\":%.4f,\"target_of_peak\":0.9}\n",
        name, load, goodput, goodput / peak);
  }
}

void PrintIsolation(const char* name, const gate_settings& config, const server_model& server) {
  const double baseline = OtherWorkspacesP95Ms(1, config, server, 120s);
  const double overloaded = OtherWorkspacesP95Ms(10, config, server, 120s);
  std::printf(
      "{\"benchmark\":\"isolation\",\"case\":\"%s\",\"slots\":%d,\"p95_ms_at_share\":%.2f,"
      "\"p95_ms_at_10x\":%.2f,\"change\":%.4f,\"target_change\":0.1}\n",
      name, server.slots, baseline, overloaded, overloaded / baseline - 1);
}

}  // namespace

int main() {
  const server_model server;
  server_model misplanned = server;  // planned with twice the actual rate of the server
  misplanned.planned_tokens_per_second = 2 * server.tokens_per_second;
  gate_settings no_deadlines;
  no_deadlines.test_faults.no_deadlines = true;
  gate_settings no_shares;
  no_shares.test_faults.no_shares = true;
  PrintGoodput("default", {}, server);
  PrintGoodput("plan_twice_too_high", {}, misplanned);
  PrintGoodput("no_deadline_checks", no_deadlines, server);
  for (const int slots : {8, 16, 24, 32, 64}) {
    server_model resized_server = server;
    resized_server.slots = slots;
    PrintIsolation("default", {}, resized_server);
  }
  PrintIsolation("no_shares", no_shares, server);
}
