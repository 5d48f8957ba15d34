// Simplex steps with a dense inverse of the basis.
#include "details/simplex.h"

#include <algorithm>

namespace balsambay::planner::details {
namespace {

constexpr double kTolerance = 1e-9;

// The right-hand sides are lowered by different amounts up to this fraction. Without it, ties in
// the ratio test let the method cycle; lowering keeps the solution within the true limits.
constexpr double kPerturbation = 1e-9;

constexpr int64_t kSlack = -1;

std::vector<double> BasisTimes(simplex_state& s, std::span<const sparse_entry> column) {
  const size_t rows = s.basis.size();
  std::vector<double> direction(rows, 0);
  for (size_t i = 0; i < rows; ++i) {
    for (const sparse_entry& e : column) direction[i] += s.inverse[i * rows + e.row] * e.value;
  }
  s.operations += rows * column.size();
  return direction;
}

// The row that reaches zero first; SIZE_MAX when none limits the step.
size_t LeavingRow(const simplex_state& s, const std::vector<double>& direction) {
  size_t leaving = SIZE_MAX;
  double smallest = 0;
  for (size_t i = 0; i < direction.size(); ++i) {
    if (direction[i] <= kTolerance) continue;
    const double ratio = s.values[i] / direction[i];
    if (leaving == SIZE_MAX || ratio < smallest) {
      leaving = i;
      smallest = ratio;
    }
  }
  return leaving;
}

// Positions of the entries of a row that are not zero. Rows that never left the basis keep unit
// columns, so most entries are zero until many rows have changed.
std::vector<uint32_t> NonZeros(const simplex_state& s, size_t row) {
  const size_t rows = s.basis.size();
  std::vector<uint32_t> positions;
  for (uint32_t j = 0; j < rows; ++j) {
    if (s.inverse[row * rows + j] != 0) positions.push_back(j);
  }
  return positions;
}

void SubtractRow(simplex_state& s, size_t target, size_t source, double factor,
                 const std::vector<uint32_t>& positions) {
  const size_t rows = s.basis.size();
  double* to = &s.inverse[target * rows];
  const double* from = &s.inverse[source * rows];
  for (const uint32_t j : positions) to[j] -= factor * from[j];
  s.operations += positions.size();
}

void Pivot(simplex_state& s, size_t leaving, const std::vector<double>& direction, double gain) {
  const size_t rows = s.basis.size();
  const double step = s.values[leaving] / direction[leaving];
  const std::vector<uint32_t> positions = NonZeros(s, leaving);
  for (const uint32_t j : positions) s.inverse[leaving * rows + j] /= direction[leaving];
  for (size_t i = 0; i < rows; ++i) {
    if (i == leaving || direction[i] == 0) continue;
    SubtractRow(s, i, leaving, direction[i], positions);
    s.values[i] = std::max(0.0, s.values[i] - step * direction[i]);
  }
  s.values[leaving] = step;
  for (const uint32_t j : positions) s.prices[j] += gain * s.inverse[leaving * rows + j];
  s.operations += rows;
}

}  // namespace

simplex_state MakeSlackBasis(size_t rows) {
  simplex_state s{.basis = std::vector<int64_t>(rows, kSlack),
                  .inverse = std::vector<double>(rows * rows, 0),
                  .values = std::vector<double>(rows),
                  .prices = std::vector<double>(rows, 0)};
  for (size_t i = 0; i < rows; ++i) {
    s.inverse[i * rows + i] = 1;
    const auto spread = static_cast<double>((i * 2654435761U) % 1000U) / 1000.0;
    s.values[i] = 1 - kPerturbation * spread;
  }
  return s;
}

void EnterColumn(simplex_state& s, int64_t id, std::span<const sparse_entry> column, double gain) {
  const std::vector<double> direction = BasisTimes(s, column);
  const size_t leaving = LeavingRow(s, direction);
  if (leaving == SIZE_MAX) return;
  Pivot(s, leaving, direction, gain);
  s.basis[leaving] = id;
}

void RemoveNegativePrices(simplex_state& s) {
  // Each pass is one pivot; the limit only guards against rounding.
  for (size_t pass = 0; pass < 4 * s.prices.size(); ++pass) {
    const auto lowest = std::ranges::min_element(s.prices);
    if (lowest == s.prices.end() || *lowest >= -kTolerance) return;
    const auto row = static_cast<uint32_t>(lowest - s.prices.begin());
    const sparse_entry slack{.row = row, .value = 1};
    EnterColumn(s, kSlack, {&slack, 1}, -*lowest);
  }
}

}  // namespace balsambay::planner::details
