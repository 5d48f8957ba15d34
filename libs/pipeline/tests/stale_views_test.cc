// Load balance of many daemons that select paths by the same load reports, which are some seconds
// old.
#include <catch2/catch.hpp>
#include <deque>

#include "base/random.h"
#include "fleet.h"

namespace balsambay::pipeline {
namespace {

// Simulation of a zone with 39 daemons and four copies of a model, the first of which is faster
// than the others.
struct zone_simulation {
  static constexpr int kDaemons = 39;
  static constexpr double kRequestsPerS = 75;
  static constexpr double kRequestS = 4;  // duration of a request
  static constexpr double kReportIntervalS = 2.8;
  static constexpr double kTokensPerRequest = 940;
  static constexpr int kRequestsPerCopy = 110;  // requests that each copy has memory for

  model_spec model = TestModel();
  std::vector<engine> engines;  // actual load
  struct running_request {
    double end = 0;
    size_t copy = 0;
  };
  std::deque<running_request> requests;
  random_generator rng{5};
  double max_fill = 0;  // maximum fraction of a copy's memory that was in use

  zone_simulation() {
    model.kinds[0].memory_mb =
        80 * (model.layer_mb + kRequestsPerCopy * kTokensPerRequest * KvMbPerTokenLayer(model));
    model.kinds[1] = model.kinds[0];
    model.kinds[1].decode_factor = 3;
    for (int i = 0; i < 4; ++i) {
      engines.push_back(MakeEngine("e" + std::to_string(i), i == 0 ? 0 : 1, {0, 80}));
    }
  }

  double FillOf(size_t copy) const {
    return engines[copy].committed /
           KvCapacityTokenLayers(model, model.kinds[engines[copy].kind], engines[copy].held.Size());
  }

  // `assume_peer_load`: each daemon adds an estimate of the requests that the others have sent
  // since the last report.
  void Run(double seconds, bool assume_peer_load) {
    std::vector<std::vector<double>> sent(kDaemons, std::vector<double>(engines.size()));
    std::vector<engine> reported = engines;
    double next_report = 0;
    for (double now = 0; now < seconds; now += 1 / kRequestsPerS) {
      while (!requests.empty() && requests.front().end <= now) {
        engines[requests.front().copy].sequences -= 1;
        engines[requests.front().copy].committed -= kTokensPerRequest * model.layers;
        requests.pop_front();
      }
      if (now >= next_report) {
        reported = engines;
        for (auto& sent_by_daemon : sent) std::ranges::fill(sent_by_daemon, 0);
        next_report += kReportIntervalS;
      }
      std::vector<double>& own_requests = sent[UniformBelow(rng, kDaemons)];
      std::vector<engine> view = reported;
      for (size_t i = 0; i < view.size(); ++i) {
        view[i].sequences += own_requests[i];
        view[i].committed += own_requests[i] * kTokensPerRequest * model.layers;
        if (!assume_peer_load) continue;
        view[i].assumed_sequences = own_requests[i] * (kDaemons - 1);
        view[i].assumed_committed =
            own_requests[i] * (kDaemons - 1) * kTokensPerRequest * model.layers;
      }
      const auto choice = ChoosePath(model, view,
                                     {.tokens = kTokensPerRequest,
                                      .home_zone = "a",
                                      .head = {},
                                      .stale_load = true,
                                      .seed = rng()});
      REQUIRE(choice.verdict == path_verdict::kFound);
      const size_t copy = choice.stages.front().engine;
      own_requests[copy] += 1;
      engines[copy].sequences += 1;
      engines[copy].committed += kTokensPerRequest * model.layers;
      requests.push_back({now + kRequestS, copy});
      max_fill = std::max(max_fill, FillOf(copy));
    }
  }
};

// 75 requests/s of 4 s each need memory for 300 requests; the copies have memory for 440. Guards
// against daemons that all send requests to the best copy according to the last report, until it is
// full and refuses them.
TEST_CASE("daemons with the same stale reports do not overfill a copy") {
  zone_simulation zone;
  zone.Run(20, true);
  CHECK(zone.max_fill < 1);
}

// Shows that the load of the test above does overfill a copy if daemons use only the reports.
TEST_CASE("daemons that use only stale reports overfill a copy") {
  zone_simulation zone;
  zone.Run(20, false);
  CHECK(zone.max_fill > 1);
}

// Utilization of one direction of the link between two zones, each with three copies of eight
// engines, at `requests_per_s` and with stale loads. `assumed_link_mbps` is the bandwidth that path
// selection knows of (0: no limit); the utilization is that of a link of 4,720 Mbit/s.
double ZoneLinkUtilization(double assumed_link_mbps, double requests_per_s) {
  model_spec model = TestModel();
  model.activation_bytes = 19'700;
  model.zone_link_mbps = assumed_link_mbps;
  std::vector<engine> engines;
  for (const char* zone : {"a", "b"}) {
    for (int i = 0; i < 24; ++i) {
      const int first = 10 * (i % 8);
      engines.push_back(MakeEngine(zone + std::to_string(i), 3, {first, first + 10}, zone));
      engine& added = engines.back();
      added.sequences = 60;
      added.committed = 0.5 * KvCapacityTokenLayers(model, model.kinds[added.kind], 10);
      // The first zone has lost two of the three engines that hold layers 30 to 39.
      if (zone[0] != 'a' || first != 30) continue;
      added.usable = i >= 16;
      added.sequences = 150;
      added.committed *= 1.9;
    }
  }
  random_generator rng{7};
  constexpr int kRequests = 400;
  int crossings = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto choice = ChoosePath(model, engines,
                                   {.tokens = 940,
                                    .home_zone = i % 2 == 0 ? "a" : "b",
                                    .head = {},
                                    .stale_load = true,
                                    .seed = rng()});
    REQUIRE(choice.verdict == path_verdict::kFound);
    for (size_t stage = 1; stage < choice.stages.size(); ++stage) {
      const engine& previous = engines[choice.stages[stage - 1].engine];
      if (previous.zone != engines[choice.stages[stage].engine].zone) ++crossings;
    }
  }
  const double tokens = model.typical_prompt_tokens + model.typical_output_tokens;
  model.zone_link_mbps = 4'720;
  // Half of the crossings are in each direction.
  return crossings / 2.0 / kRequests * requests_per_s * ZoneTransferMs(model, tokens) / 1000;
}

// 160 requests/s in two zones, one of which has lost most engines for some of the layers. Guards
// against more traffic than the link between the zones carries, which delays all streams that cross
// zones (incident SHORT): the random spread of engine costs exceeds the cost of a crossing.
TEST_CASE("requests that bypass lost engines do not saturate the link between zones") {
  CHECK(ZoneLinkUtilization(0, 160) > 1);
  CHECK(ZoneLinkUtilization(4'720, 160) < 1);
}

}  // namespace
}  // namespace balsambay::pipeline
