// Revised simplex method for the linear program "maximise the sum of x subject to A x <= 1 and
// x >= 0". The columns of A are added one by one and have no negative entries.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace balsambay::planner::details {

struct sparse_entry {
  uint32_t row = 0;
  double value = 0;
};

// Invariants: `values` >= 0 is the current basic solution by row; `prices` are its dual prices by
// row.
struct simplex_state {
  // Row i is a slack variable while basis[i] < 0, else a column id.
  std::vector<int64_t> basis = {};
  std::vector<double> inverse = {};  // of the basis, rows * rows, row-major
  std::vector<double> values = {};
  std::vector<double> prices = {};
  uint64_t operations = 0;  // multiplications so far; a deterministic measure of time
};

// Returns the initial solution, in which all basic variables are slack variables.
simplex_state MakeSlackBasis(size_t rows);

// Enters slack variables of rows with a negative price into the basis until all prices are
// non-negative.
void RemoveNegativePrices(simplex_state& state);

// Enters column `id` into the basis. `gain` is its reduced cost: its objective coefficient (1 for a
// column of A, 0 for a slack variable) minus its price, the sum of row prices * entries.
// Precondition: `gain` is positive. Has no effect when no row limits the column.
void EnterColumn(simplex_state& state, int64_t id, std::span<const sparse_entry> column,
                 double gain);

}  // namespace balsambay::planner::details
