// Measures the membership traffic, CPU time and memory per node, and the time to detect a crash, in
// a simulated zone. Prints JSON lines. Rates and delays are in virtual time; cpu_percent is the
// real time of the library and the CBOR codec, relative to virtual time. For each message,
// wire_bytes_per_s adds 8 bytes of WebSocket framing, 52 bytes of TCP/IP headers, and 52 bytes for
// the TCP acknowledgement.
#include <malloc.h>

#include <algorithm>
#include <iostream>

#include "../tests/simulation.h"

namespace balsambay::membership {
namespace {

using testing::simulation;

constexpr int kMeasuredSeconds = 30;        // virtual time
constexpr double kWireOverheadBytes = 112;  // per message; see above

// Publishes 8 load summaries per daemon. Called once a second, this exceeds the gossip byte rate.
void PublishLoad(simulation& sim) {
  for (size_t i = 0; i < sim.nodes.size(); ++i) {
    for (int key = 0; key < 8; ++key) {
      const std::string fact_key = "load/" + std::to_string(key);
      sim.CarryOut(
          i, PublishFact(sim.nodes[i].core, fact_key, "0.73,12,4096", false, sim.now).value());
    }
  }
}

void PrintResult(std::string_view name, size_t members, nlohmann::json figures) {
  figures["benchmark"] = name;
  figures["members"] = members;
  std::cout << figures << std::endl;
}

void MeasureTraffic(size_t members, bool facts, double loss_probability) {
  const size_t heap_before = mallinfo2().uordblks;
  simulation sim(members, 1);
  sim.RunUntil([&sim] { return sim.IsConverged(); }, std::chrono::seconds(60));
  sim.RunFor(std::chrono::seconds(10));
  sim.measure = true;
  sim.loss_probability = loss_probability;
  for (int second = 0; second < kMeasuredSeconds; ++second) {
    if (facts) PublishLoad(sim);
    sim.RunFor(std::chrono::seconds(1));
  }
  const size_t heap = mallinfo2().uordblks - heap_before;
  int64_t failed = 0;
  double bytes = 0;
  double messages = 0;
  double max_bytes = 0;
  for (const auto& node : sim.nodes) {
    failed += std::ranges::count(node.events, event_kind::kFailed, &member_event::kind);
    bytes += static_cast<double>(node.bytes);
    messages += static_cast<double>(node.messages);
    max_bytes = std::max(max_bytes, static_cast<double>(node.bytes));
  }
  const double node_seconds = static_cast<double>(members) * kMeasuredSeconds;
  const double processing_seconds = std::chrono::duration<double>(sim.processing_time).count();
  PrintResult(
      "membership_traffic", members,
      {{"facts", facts},
       {"loss", loss_probability},
       {"false_failures_seen", failed},
       {"messages_per_s", messages / node_seconds},
       {"payload_bytes_per_s", bytes / node_seconds},
       {"payload_bytes_per_s_highest_node", max_bytes / kMeasuredSeconds},
       {"wire_bytes_per_s", (bytes + messages * kWireOverheadBytes) / node_seconds},
       {"cpu_percent", 100 * processing_seconds / node_seconds},
       {"heap_kb_per_node", static_cast<double>(heap) / 1024 / static_cast<double>(members)}});
}

void MeasureDetection(size_t members) {
  std::vector<double> convergence_seconds;
  std::vector<double> detection_seconds;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    simulation sim(members, seed);
    const time_point start = sim.now;
    sim.RunUntil([&sim] { return sim.IsConverged(); }, std::chrono::seconds(60));
    convergence_seconds.push_back(std::chrono::duration<double>(sim.now - start).count());
    sim.RunFor(std::chrono::milliseconds(10000 + UniformBelow(sim.rng, 1000)));
    const time_point crash = sim.now;
    sim.Crash(members - 1);
    sim.RunUntil([&sim] { return sim.IsConverged(); }, std::chrono::seconds(60));
    detection_seconds.push_back(std::chrono::duration<double>(sim.now - crash).count());
  }
  std::ranges::sort(detection_seconds);
  PrintResult("membership_crash_detection", members,
              {{"runs", detection_seconds.size()},
               {"simultaneous_start_s_max", std::ranges::max(convergence_seconds)},
               {"all_know_s_median", detection_seconds[detection_seconds.size() / 2]},
               {"all_know_s_max", detection_seconds.back()}});
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
