// Time of one choice of a path and of a whole placement by number of engines, in five zones with
// four kinds of accelerators. Prints JSON lines.
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
// Of 216 engines, 4 are of the largest kind, 18 of the next, 97 of the third.
constexpr int kLargest = 4;
constexpr int kLarge = 22;
constexpr int kMedium = 119;
constexpr int kSite = 216;

model_spec SiteModel() {
  model_spec model = TestModel();
  model.read_tokens_per_ms = 272;
  model.usual_answer_tokens = 172;
  // Without the kind that holds all layers.
  model.kinds.erase(model.kinds.begin());
  return model;
}

size_t KindOf(int index) {
  const int place = index * 97 % kSite;
  if (place < kLargest) return 0;
  if (place < kLarge) return 1;
  return place < kMedium ? 2 : 3;
}

std::vector<engine> MakeEngines(const model_spec& model, int count) {
  std::vector<engine> out;
  for (int i = 0; i < count; ++i) {
    const auto zone = "zone-" + std::to_string(static_cast<size_t>(i) % kZones);
    out.push_back(MakeEngine("e" + std::to_string(i), KindOf(i), {}, zone));
  }
  const placement_plan plan = PlanPlacement(model, out);
  for (size_t i = 0; i < out.size(); ++i) out[i].held = plan.ranges[i];
  return out;
}

double MicrosecondsOf(const std::function<void()>& fn) {
  const auto start = std::chrono::steady_clock::now();
  fn();
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
      .count();
}

void Run(int count) {
  const model_spec model = SiteModel();
  std::vector<engine> engines = MakeEngines(model, count);
  random_generator rng(3);
  for (engine& item : engines) {
    item.sequences = static_cast<double>(UniformBelow(rng, 60));
    item.committed = item.sequences * 900 * item.held.Size() / 2;
  }
  std::vector<double> times;
  size_t stages = 0;
  for (int i = 0; i < kRuns; ++i) {
    path_choice choice;
    times.push_back(MicrosecondsOf([&] {
      choice = ChoosePath(model, engines,
                          {.tokens = 940,
                           .home_zone = "zone-1",
                           .head = {},
                           .old_figures = true,
                           .seed = static_cast<uint64_t>(i)});
    }));
    stages += choice.stages.size();
  }
  std::ranges::sort(times);
  const double placement_us = MicrosecondsOf([&] { PlanPlacement(model, engines); });
  std::cout << nlohmann::json{{"benchmark", "path_choice"},
                              {"engines", count},
                              {"us_median", times[kRuns / 2]},
                              {"us_p99", times[kRuns * 99 / 100]},
                              {"stages_mean", static_cast<double>(stages) / kRuns},
                              {"placement_ms", placement_us / 1000}}
            << std::endl;
}

}  // namespace
}  // namespace balsambay::pipeline

int main() {
  for (const int engines : {52, 94, 216, 432, 2000}) balsambay::pipeline::Run(engines);
}
