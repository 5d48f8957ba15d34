// Time from the commit of a change to its being in force at all daemons of a zone, and the peer
// traffic it causes, in virtual time, as JSON lines. Periodic version reports belong to membership
// and are not counted here. wire bytes add 112 bytes of framing and TCP/IP headers for each
// message.
#include <algorithm>
#include <iostream>

#include "../tests/simulation.h"

namespace balsambay::configsync {
namespace {

using nlohmann::json;
using testing::simulation;

constexpr int kChanges = 50;
constexpr double kHeaderBytes = 112;

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

double SpreadSeconds(simulation& sim, int change) {
  commit_request request{sim.nodes[0].core.document, sim.nodes[0].core.version,
                         sim.nodes[0].core.document, std::to_string(change)};
  request.document["endpoints"]["e7"]["max_runs"] = 100 + change;
  const uint64_t version = request.base_version + 1;
  sim.Commit(request);
  sim.RunUntil([&] { return sim.HeadVersion() == version; }, std::chrono::seconds(10));
  const time_point accepted = sim.now;
  sim.RunUntil([&] { return sim.AllAt(version); }, std::chrono::seconds(60));
  return std::chrono::duration<double>(sim.now - accepted).count();
}

void Measure(size_t members, size_t zones, double loss) {
  simulation sim(members, zones, members);
  CommitFirst(sim);
  sim.measure = true;
  sim.loss = loss;
  const uint64_t reads_before = sim.table.reads;
  const time_point start = sim.now;
  std::vector<double> spread;
  for (int change = 0; change < kChanges; ++change) {
    sim.RunFor(std::chrono::milliseconds(UniformBelow(sim.rng, 3000)));
    spread.push_back(SpreadSeconds(sim, change));
  }
  const double seconds = std::chrono::duration<double>(sim.now - start).count();
  double bytes = 0;
  double messages = 0;
  for (const auto& node : sim.nodes) {
    bytes += static_cast<double>(node.bytes);
    messages += static_cast<double>(node.messages);
  }
  const double per = static_cast<double>(members) * kChanges;
  std::ranges::sort(spread);
  std::cout << json{{"benchmark", "configsync_spread"},
                    {"members", members},
                    {"zones", zones},
                    {"loss", loss},
                    {"in_force_s_median", spread[kChanges / 2]},
                    {"in_force_s_max", spread.back()},
                    {"messages_per_node_and_change", messages / per},
                    {"payload_bytes_per_node_and_change", bytes / per},
                    {"wire_bytes_per_node_and_change", (bytes + messages * kHeaderBytes) / per},
                    {"table_reads_per_s",
                     static_cast<double>(sim.table.reads - reads_before) / seconds}}
            << std::endl;
}

}  // namespace
}  // namespace balsambay::configsync

int main() {
  using balsambay::configsync::Measure;
  Measure(7, 3, 0);
  for (const size_t members : {10, 50, 150}) {
    Measure(members, 1, 0);
    Measure(members, 1, 0.3);
  }
}
