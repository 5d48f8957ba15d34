// Simulates in virtual time how long it takes from the commit of a change until it is in force at
// all daemons, and how much peer traffic that causes. Prints JSON lines. The periodic version
// exchanges belong to membership and are not counted. The wire bytes include 112 bytes of framing
// and TCP/IP headers for each message.
#include <algorithm>
#include <iostream>

#include "../tests/simulation.h"

namespace balsambay::configsync {
namespace {

using nlohmann::json;
using testing::simulation;

constexpr int kChanges = 50;
constexpr double kHeaderBytes = 112;  // of each message

void CommitFirst(simulation& sim) {
  commit_request first;
  first.document = {{"endpoints", json::object()}};
  for (int i = 0; i < 500; ++i) {
    first.document["endpoints"]["e" + std::to_string(i)] = {{"vm", "vm-1"}, {"max_runs", 16}};
  }
  first.nonce = "first";
  sim.Commit(first);
  sim.RunUntil([&sim] { return sim.AllAt(1); }, std::chrono::seconds(10));
}

// Commits one change. Returns the time until it is in force at all nodes.
double RolloutSeconds(simulation& sim, int change) {
  commit_request request{sim.nodes[0].core.document, sim.nodes[0].core.version,
                         sim.nodes[0].core.document, std::to_string(change)};
  request.document["endpoints"]["e7"]["max_runs"] = 100 + change;
  const uint64_t version = request.base_version + 1;
  sim.Commit(request);
  sim.RunUntil([&] { return sim.HeadVersion() == version; }, std::chrono::seconds(10));
  const time_point committed = sim.now;
  sim.RunUntil([&] { return sim.AllAt(version); }, std::chrono::seconds(60));
  return std::chrono::duration<double>(sim.now - committed).count();
}

void RunBenchmark(size_t members, size_t zones, double loss) {
  simulation sim(members, zones, members);
  CommitFirst(sim);
  sim.count_traffic = true;
  sim.peer_loss = loss;
  const uint64_t reads_before = sim.table.reads;
  const time_point start = sim.now;
  std::vector<double> rollout_seconds;
  for (int change = 0; change < kChanges; ++change) {
    sim.RunFor(std::chrono::milliseconds(UniformBelow(sim.rng, 3000)));
    rollout_seconds.push_back(RolloutSeconds(sim, change));
  }
  const double seconds = std::chrono::duration<double>(sim.now - start).count();
  double bytes = 0;
  double messages = 0;
  for (const auto& node : sim.nodes) {
    bytes += static_cast<double>(node.bytes);
    messages += static_cast<double>(node.messages);
  }
  const double nodes_and_changes = static_cast<double>(members) * kChanges;
  std::ranges::sort(rollout_seconds);
  std::cout << json{{"benchmark", "configsync_spread"},
                    {"members", members},
                    {"zones", zones},
                    {"loss", loss},
                    {"in_force_s_median", rollout_seconds[kChanges / 2]},
                    {"in_force_s_max", rollout_seconds.back()},
                    {"messages_per_node_and_change", messages / nodes_and_changes},
                    {"payload_bytes_per_node_and_change", bytes / nodes_and_changes},
                    {"wire_bytes_per_node_and_change",
                     (bytes + messages * kHeaderBytes) / nodes_and_changes},
                    {"table_reads_per_s",
                     static_cast<double>(sim.table.reads - reads_before) / seconds}}
            << std::endl;
}

}  // namespace
}  // namespace balsambay::configsync

int main() {
  using balsambay::configsync::RunBenchmark;
  RunBenchmark(7, 3, 0);
  for (const size_t members : {10, 50, 150}) {
    RunBenchmark(members, 1, 0);
    RunBenchmark(members, 1, 0.3);
  }
}
