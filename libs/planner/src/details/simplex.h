// Revised simplex method for: maximise the sum of x, subject to A x <= 1, x >= 0, where columns of
// A arrive one by one and have no negative entry.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace balsambay::planner::details {

struct sparse_entry {
  uint32_t row = 0;
  double value = 0;
};

// Invariants: `values` >= 0 is the current basic solution; `prices` are its dual prices.
struct simplex_state {
  // Row i is a slack variable while basis[i] < 0, else a column id.
  std::vector<int64_t> basis = {};
  std::vector<double> inverse = {};  // of the basis, rows * rows, row-major
  std::vector<double> values = {};
  std::vector<double> prices = {};
  uint64_t operations = 0;  // multiplications so far, a measure of time without a clock
};

simplex_state MakeSlackBasis(size_t rows);

// Lets slack variables with a negative price enter until all prices are non-negative.
void RemoveNegativePrices(simplex_state& s);

// Lets column `id` enter. Precondition: its price is below its gain of 1.
void EnterColumn(simplex_state& s, int64_t id, std::span<const sparse_entry> column, double gain);

}  // namespace balsambay::planner::details
