// Duration of one path selection and of one complete placement for several numbers of engines, in
// five zones with four kinds of accelerators. Prints JSON lines.
#include <algorithm>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../tests/test_model.h"
#include "base/random.h"
#include "pipeline/placement.h"

namespace balsambay::pipeline {
namespace {

constexpr int kRuns = 300;
constexpr size_t kZones = 5;
// Of each 216 engines, 4 are of the first (largest) kind, 18 of the second and 97 of the third. The
// bounds are cumulative.
constexpr int kFirstKindEnd = 4;
constexpr int kSecondKindEnd = 22;
constexpr int kThirdKindEnd = 119;
constexpr int kSiteEngines = 216;

model_spec SiteModel() {
  model_spec model = TestModel();
  model.prefill_tokens_per_ms = 272;
  model.typical_output_tokens = 172;
  // Removes the kind that holds all layers of the model.
  model.kinds.erase(model.kinds.begin());
  return model;
}

size_t KindOf(int index) {
  // 97 is coprime to 216, so that the kinds are distributed over all indexes.
  const int position = index * 97 % kSiteEngines;
  if (position < kFirstKindEnd) return 0;
  if (position < kSecondKindEnd) return 1;
  return position < kThirdKindEnd ? 2 : 3;
}

std::vector<engine> MakeEngines(const model_spec& model, int count) {
  std::vector<engine> engines;
  for (int i = 0; i < count; ++i) {
    const auto zone = "zone-" + std::to_string(static_cast<size_t>(i) % kZones);
    engines.push_back(MakeEngine("e" + std::to_string(i), KindOf(i), {}, zone));
  }
  const placement_plan plan = PlanPlacement(model, engines);
  for (size_t i = 0; i < engines.size(); ++i) engines[i].held = plan.ranges[i];
  return engines;
}

double MeasureMicroseconds(const std::function<void()>& function) {
  const auto start = std::chrono::steady_clock::now();
  function();
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
      .count();
}

void RunBenchmark(int count) {
  const model_spec model = SiteModel();
  std::vector<engine> engines = MakeEngines(model, count);
  random_generator rng(3);
  for (engine& loaded : engines) {
    loaded.sequences = static_cast<double>(UniformBelow(rng, 60));
    loaded.committed = loaded.sequences * 900 * loaded.held.Size() / 2;
  }
  std::vector<double> times_us;
  size_t stages = 0;
  for (int i = 0; i < kRuns; ++i) {
    path_choice choice;
    times_us.push_back(MeasureMicroseconds([&] {
      choice = ChoosePath(model, engines,
                          {.tokens = 940,
                           .home_zone = "zone-1",
                           .head = {},
                           .stale_load = true,
                           .seed = static_cast<uint64_t>(i)});
    }));
    stages += choice.stages.size();
  }
  std::ranges::sort(times_us);
  const double placement_us = MeasureMicroseconds([&] { PlanPlacement(model, engines); });
  std::cout << nlohmann::json{{"benchmark", "path_choice"},
                              {"engines", count},
                              {"us_median", times_us[kRuns / 2]},
                              {"us_p99", times_us[kRuns * 99 / 100]},
                              {"stages_mean", static_cast<double>(stages) / kRuns},
                              {"placement_ms", placement_us / 1000}}
            << std::endl;
}

}  // namespace
}  // namespace balsambay::pipeline

int main() {
  for (const int engines : {52, 94, 216, 432, 2000}) balsambay::pipeline::RunBenchmark(engines);
}
