// Cost of membership per node and time to detect a crash, in virtual time, as JSON lines. CPU is
// real time of the protocol code with its CBOR form. wire_bytes_per_s adds 8 bytes of WebSocket
// framing and 52 of TCP/IP headers for each message, and 52 for its TCP acknowledgement.
#include <malloc.h>

#include <algorithm>
#include <iostream>

#include "../tests/simulation.h"

namespace balsambay::membership {
namespace {

using testing::simulation;

constexpr int kSeconds = 30;
constexpr double kHeaderBytes = 112;

// Each daemon renews 8 load summaries a second, more than the byte budget lets through.
void PublishLoad(simulation& sim) {
  for (size_t i = 0; i < sim.nodes.size(); ++i) {
    for (int key = 0; key < 8; ++key) {
      const std::string name = "load/" + std::to_string(key);
      sim.Carry(i, PublishFact(sim.nodes[i].core, name, "0.73,12,4096", false, sim.now).value());
    }
  }
}

void Report(std::string_view name, size_t members, nlohmann::json figures) {
  figures["benchmark"] = name;
  figures["members"] = members;
  std::cout << figures << std::endl;
}

void MeasureTraffic(size_t members, bool facts, double loss) {
  const size_t heap_before = mallinfo2().uordblks;
  simulation sim(members, 1);
  sim.RunUntil([&sim] { return sim.IsConverged(); }, std::chrono::seconds(60));
  sim.RunFor(std::chrono::seconds(10));
  sim.measure = true;
  sim.loss = loss;
  for (int second = 0; second < kSeconds; ++second) {
    if (facts) PublishLoad(sim);
    sim.RunFor(std::chrono::seconds(1));
  }
  const size_t heap = mallinfo2().uordblks - heap_before;
  int64_t failed = 0;
  double bytes = 0;
  double messages = 0;
  double most = 0;
  for (const auto& node : sim.nodes) {
    failed += std::ranges::count(node.events, event_kind::kFailed, &event::kind);
    bytes += static_cast<double>(node.bytes);
    messages += static_cast<double>(node.messages);
    most = std::max(most, static_cast<double>(node.bytes));
  }
  const double node_seconds = static_cast<double>(members) * kSeconds;
  const double busy = std::chrono::duration<double>(sim.busy).count();
  Report("membership_traffic", members,
         {{"facts", facts},
          {"loss", loss},
          {"false_failures_seen", failed},
          {"messages_per_s", messages / node_seconds},
          {"payload_bytes_per_s", bytes / node_seconds},
          {"payload_bytes_per_s_highest_node", most / kSeconds},
          {"wire_bytes_per_s", (bytes + messages * kHeaderBytes) / node_seconds},
          {"cpu_percent", 100 * busy / node_seconds},
          {"heap_kb_per_node", static_cast<double>(heap) / 1024 / static_cast<double>(members)}});
}

void MeasureDetection(size_t members) {
  std::vector<double> all_found;
  std::vector<double> all_know;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    simulation sim(members, seed);
    const time_point begin = sim.now;
    sim.RunUntil([&sim] { return sim.IsConverged(); }, std::chrono::seconds(60));
    all_found.push_back(std::chrono::duration<double>(sim.now - begin).count());
    sim.RunFor(std::chrono::milliseconds(10000 + UniformBelow(sim.rng, 1000)));
    const time_point start = sim.now;
    sim.Crash(members - 1);
    sim.RunUntil([&sim] { return sim.IsConverged(); }, std::chrono::seconds(60));
    all_know.push_back(std::chrono::duration<double>(sim.now - start).count());
  }
  std::ranges::sort(all_know);
  Report("membership_crash_detection", members,
         {{"runs", all_know.size()},
          {"simultaneous_start_s_max", std::ranges::max(all_found)},
          {"all_know_s_median", all_know[all_know.size() / 2]},
          {"all_know_s_max", all_know.back()}});
}

}  // namespace
}  // namespace balsambay::membership

int main() {
  using namespace balsambay::membership;  // NOLINT(google-build-using-namespace)
  for (const size_t members : {10, 50, 150}) {
    MeasureTraffic(members, false, 0);
    MeasureTraffic(members, true, 0);
    MeasureTraffic(members, true, 0.3);
    MeasureDetection(members);
  }
}
