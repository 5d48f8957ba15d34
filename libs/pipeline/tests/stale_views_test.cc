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

}  // namespace
}  // namespace balsambay::pipeline
