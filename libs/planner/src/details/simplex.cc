// Pivot steps of the simplex method with a dense inverse of the basis.
#include "details/simplex.h"

#include <algorithm>

namespace balsambay::planner::details {
namespace {

// Pivot elements and negative prices up to this size are treated as zero (rounding errors).
constexpr double kTolerance = 1e-9;

// The right-hand sides are lowered by different amounts up to this fraction. Otherwise ties in the
// ratio test can make the method cycle. Lowering, not raising, keeps the solution feasible.
constexpr double kPerturbation = 1e-9;

constexpr int64_t kSlack = -1;  // column id of a slack variable

// Returns inverse * column: the decrease of the basic variables per unit of the entering column.
std::vector<double> MultiplyByInverse(simplex_state& state, std::span<const sparse_entry> column) {
  const size_t rows = state.basis.size();
  std::vector<double> direction(rows, 0);
  for (size_t i = 0; i < rows; ++i) {
    for (const sparse_entry& e : column) direction[i] += state.inverse[i * rows + e.row] * e.value;
  }
  state.operations += rows * column.size();
  return direction;
}

// Returns the row whose basic variable reaches zero first (ratio test), or SIZE_MAX when no row
// limits the step.
size_t FindLeavingRow(const simplex_state& state, const std::vector<double>& direction) {
  size_t leaving = SIZE_MAX;
  double smallest_ratio = 0;
  for (size_t i = 0; i < direction.size(); ++i) {
    if (direction[i] <= kTolerance) continue;
    const double ratio = state.values[i] / direction[i];
    if (leaving == SIZE_MAX || ratio < smallest_ratio) {
      leaving = i;
      smallest_ratio = ratio;
    }
  }
  return leaving;
}

// Column positions of the non-zero entries in a row of the inverse. Slack variables that never left
// the basis keep unit columns, so most entries are zero until many rows have changed.
std::vector<uint32_t> FindNonZeros(const simplex_state& state, size_t row) {
  const size_t rows = state.basis.size();
  std::vector<uint32_t> positions;
  for (uint32_t j = 0; j < rows; ++j) {
    if (state.inverse[row * rows + j] != 0) positions.push_back(j);
  }
  return positions;
}

void SubtractRow(simplex_state& state, size_t target, size_t source, double factor,
                 const std::vector<uint32_t>& positions) {
  const size_t rows = state.basis.size();
  double* target_row = &state.inverse[target * rows];
  const double* source_row = &state.inverse[source * rows];
  for (const uint32_t j : positions) target_row[j] -= factor * source_row[j];
  state.operations += positions.size();
}

void Pivot(simplex_state& state, size_t leaving, const std::vector<double>& direction,
           double gain) {
  const size_t rows = state.basis.size();
  const double step = state.values[leaving] / direction[leaving];
  const std::vector<uint32_t> positions = FindNonZeros(state, leaving);
  for (const uint32_t j : positions) state.inverse[leaving * rows + j] /= direction[leaving];
  for (size_t i = 0; i < rows; ++i) {
    if (i == leaving || direction[i] == 0) continue;
    SubtractRow(state, i, leaving, direction[i], positions);
    state.values[i] = std::max(0.0, state.values[i] - step * direction[i]);
  }
  state.values[leaving] = step;
  for (const uint32_t j : positions) state.prices[j] += gain * state.inverse[leaving * rows + j];
  state.operations += rows;
}

}  // namespace

simplex_state MakeSlackBasis(size_t rows) {
  simplex_state state{.basis = std::vector<int64_t>(rows, kSlack),
                      .inverse = std::vector<double>(rows * rows, 0),
                      .values = std::vector<double>(rows),
                      .prices = std::vector<double>(rows, 0)};
  for (size_t i = 0; i < rows; ++i) {
    state.inverse[i * rows + i] = 1;
    const auto fraction = static_cast<double>((i * 2654435761U) % 1000U) / 1000.0;
    state.values[i] = 1 - kPerturbation * fraction;
  }
  return state;
}

void EnterColumn(simplex_state& state, int64_t id, std::span<const sparse_entry> column,
                 double gain) {
  const std::vector<double> direction = MultiplyByInverse(state, column);
  const size_t leaving = FindLeavingRow(state, direction);
  if (leaving == SIZE_MAX) return;
  Pivot(state, leaving, direction, gain);
  state.basis[leaving] = id;
}

void RemoveNegativePrices(simplex_state& state) {
  // Each pass is one pivot; the limit on passes only guards against endless loops by rounding
  // errors.
  for (size_t pass = 0; pass < 4 * state.prices.size(); ++pass) {
    const auto lowest = std::ranges::min_element(state.prices);
    if (lowest == state.prices.end() || *lowest >= -kTolerance) return;
    const auto row = static_cast<uint32_t>(lowest - state.prices.begin());
    const sparse_entry slack{.row = row, .value = 1};
    EnterColumn(state, kSlack, {&slack, 1}, -*lowest);
  }
}

}  // namespace balsambay::planner::details
