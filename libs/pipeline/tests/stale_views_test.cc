// Many daemons that choose paths by the same reports, some seconds old.
#include <catch2/catch.hpp>
#include <deque>

#include "base/random.h"
#include "fleet.h"

namespace balsambay::pipeline {
namespace {

// A zone of 39 daemons before four copies of a model, the first of them faster than the others.
struct zone_of_daemons {
  static constexpr int kDaemons = 39;
  static constexpr double kRequestsPerS = 75;
  static constexpr double kRequestS = 4;
  static constexpr double kReportS = 2.8;
  static constexpr double kTokens = 940;
  static constexpr int kRoom = 110;  // requests that each copy has memory for

  model_spec model = TestModel();
  std::vector<engine> engines;  // as they are
  struct running {
    double end = 0;
    size_t copy = 0;
  };
  std::deque<running> requests;
  random_generator rng{5};
  double fullest = 0;  // largest part of a copy's room that was ever taken

  zone_of_daemons() {
    model.kinds[0].memory_mb = 80 * (model.layer_mb + kRoom * kTokens * KvMbPerTokenLayer(model));
    model.kinds[1] = model.kinds[0];
    model.kinds[1].step_factor = 3;
    for (int i = 0; i < 4; ++i) {
      engines.push_back(MakeEngine("e" + std::to_string(i), i == 0 ? 0 : 1, {0, 80}));
    }
  }

  double PartTaken(size_t copy) const {
    return engines[copy].committed /
           KvTokenLayers(model, model.kinds[engines[copy].kind], engines[copy].held.Size());
  }

  // `assume`: daemons add what the others have likely sent since the last report.
  void Run(double seconds, bool assume) {
    std::vector<std::vector<double>> sent(kDaemons, std::vector<double>(engines.size()));
    std::vector<engine> reported = engines;
    double next_report = 0;
    for (double now = 0; now < seconds; now += 1 / kRequestsPerS) {
      while (!requests.empty() && requests.front().end <= now) {
        engines[requests.front().copy].sequences -= 1;
        engines[requests.front().copy].committed -= kTokens * model.layers;
        requests.pop_front();
      }
      if (now >= next_report) {
        reported = engines;
        for (auto& row : sent) std::ranges::fill(row, 0);
        next_report += kReportS;
      }
      std::vector<double>& own = sent[UniformBelow(rng, kDaemons)];
      std::vector<engine> view = reported;
      for (size_t i = 0; i < view.size(); ++i) {
        view[i].sequences += own[i];
        view[i].committed += own[i] * kTokens * model.layers;
        if (!assume) continue;
        view[i].assumed_sequences = own[i] * (kDaemons - 1);
        view[i].assumed_committed = own[i] * (kDaemons - 1) * kTokens * model.layers;
      }
      const auto choice = ChoosePath(
          model, view,
          {.tokens = kTokens, .home_zone = "a", .head = {}, .old_figures = true, .seed = rng()});
      REQUIRE(choice.verdict == path_verdict::kFound);
      const size_t copy = choice.stages.front().engine;
      own[copy] += 1;
      engines[copy].sequences += 1;
      engines[copy].committed += kTokens * model.layers;
      requests.push_back({now + kRequestS, copy});
      fullest = std::max(fullest, PartTaken(copy));
    }
  }
};

// 75 requests a second of 4 s each need 300 places of 440. Guards against daemons that all send to
// the copy that was best in the last report, until it is full and refuses.
TEST_CASE("daemons with the same old reports do not fill one copy") {
  zone_of_daemons zone;
  zone.Run(20, true);
  CHECK(zone.fullest < 1);
}

// Shows that the load above is one that fills a copy when daemons go by the reports alone.
TEST_CASE("reports alone let daemons fill the best copy") {
  zone_of_daemons zone;
  zone.Run(20, false);
  CHECK(zone.fullest > 1);
}

// Two zones with three copies each, of eight engines, and daemons whose figures are old.
double PipeUse(double pipe_mbps, double requests_per_s) {
  model_spec model = TestModel();
  model.activation_bytes = 19'700;
  model.zone_pipe_mbps = pipe_mbps;
  std::vector<engine> engines;
  for (const char* zone : {"a", "b"}) {
    for (int i = 0; i < 24; ++i) {
      const int first = 10 * (i % 8);
      engines.push_back(MakeEngine(zone + std::to_string(i), 3, {first, first + 10}, zone));
      engine& item = engines.back();
      item.sequences = 60;
      item.committed = 0.5 * KvTokenLayers(model, model.kinds[item.kind], 10);
      // The first zone has lost two of the three that hold these layers.
      if (zone[0] != 'a' || first != 30) continue;
      item.usable = i >= 16;
      item.sequences = 150;
      item.committed *= 1.9;
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
                                    .old_figures = true,
                                    .seed = rng()});
    REQUIRE(choice.verdict == path_verdict::kFound);
    for (size_t part = 1; part < choice.stages.size(); ++part) {
      const engine& from = engines[choice.stages[part - 1].engine];
      if (from.zone != engines[choice.stages[part].engine].zone) ++crossings;
    }
  }
  const double tokens = model.usual_prompt_tokens + model.usual_answer_tokens;
  model.zone_pipe_mbps = 4'720;
  // Half of them in each direction.
  return crossings / 2.0 / kRequests * requests_per_s * PipeMs(model, tokens) / 1000;
}

// 160 requests a second in two zones, one of which has lost most engines for some of the layers.
// Guards against more requests over the pipe than it carries, so that all streams that cross are
// late (incident SHORT): the costs of engines are spread at random by more than a crossing costs.
TEST_CASE("requests around lost engines do not fill the pipe between zones") {
  CHECK(PipeUse(0, 160) > 1);
  CHECK(PipeUse(4'720, 160) < 1);
}

}  // namespace
}  // namespace balsambay::pipeline
