// Random engines for the tests of paths and placement.
#pragma once

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "test_model.h"

namespace balsambay::pipeline {

// Engines of all kinds in up to three zones that hold random ranges, some of them unusable.
inline std::vector<engine> RandomEngines(const model_spec& model) {
  const int count = *rc::gen::inRange(1, 40);
  std::vector<engine> out;
  for (int i = 0; i < count; ++i) {
    const auto kind =
        static_cast<size_t>(*rc::gen::inRange(0, static_cast<int>(model.kinds.size())));
    const int begin = *rc::gen::inRange(0, model.layers);
    const int end = *rc::gen::inRange(begin, model.layers + 1);
    const std::string zone(1, *rc::gen::element('a', 'b', 'c'));
    engine item = MakeEngine("e" + std::to_string(i), kind, {begin, end}, zone);
    item.usable = *rc::gen::inRange(0, 10) > 0;
    item.sequences = *rc::gen::inRange(0, 50);
    out.push_back(std::move(item));
  }
  return out;
}

// The engines of a mixed site: zones of unequal size with four kinds of accelerators.
inline std::vector<engine> MixedSite() {
  std::vector<engine> out;
  const auto add = [&](size_t kind, const char* zone, int count) {
    for (int i = 0; i < count; ++i) {
      out.push_back(MakeEngine(std::string(zone) + std::to_string(out.size()), kind, {}, zone));
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
  return out;
}

}  // namespace balsambay::pipeline
