// Engine fleets for the tests of path selection and placement.
#pragma once

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "test_model.h"

namespace balsambay::pipeline {

// Between 1 and 39 engines of all kinds in up to three zones. They hold random ranges, and about
// one in ten is unusable.
inline std::vector<engine> RandomEngines(const model_spec& model) {
  const int count = *rc::gen::inRange(1, 40);
  std::vector<engine> engines;
  for (int i = 0; i < count; ++i) {
    const auto kind =
        static_cast<size_t>(*rc::gen::inRange(0, static_cast<int>(model.kinds.size())));
    const int begin = *rc::gen::inRange(0, model.layers);
    const int end = *rc::gen::inRange(begin, model.layers + 1);
    const std::string zone(1, *rc::gen::element('a', 'b', 'c'));
    engine random_engine = MakeEngine("e" + std::to_string(i), kind, {begin, end}, zone);
    random_engine.usable = *rc::gen::inRange(0, 10) > 0;
    random_engine.sequences = *rc::gen::inRange(0, 50);
    engines.push_back(std::move(random_engine));
  }
  return engines;
}

// Empty engines of a site with three zones of unequal size and four kinds of accelerators.
inline std::vector<engine> MixedSite() {
  std::vector<engine> engines;
  const auto add = [&](size_t kind, const char* zone, int count) {
    for (int i = 0; i < count; ++i) {
      engines.push_back(
          MakeEngine(std::string(zone) + std::to_string(engines.size()), kind, {}, zone));
    }
  };
  add(1, "c", 1);
  add(2, "a", 1);
  add(2, "b", 2);
  add(2, "c", 1);
  add(3, "a", 8);
  add(3, "b", 4);
  add(3, "c", 5);
  add(4, "a", 3);
  add(4, "b", 7);
  add(4, "c", 7);
  return engines;
}

}  // namespace balsambay::pipeline
