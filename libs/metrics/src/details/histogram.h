// Storage of one histogram series.
#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <tuple>
#include <vector>

#include "metrics/metrics.h"

namespace balsambay::metrics {

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using bucket_counts =
    boost::histogram::histogram<std::tuple<log_axis>, boost::histogram::dense_storage<uint64_t>>;

// Invariant: `count` is the sum over all buckets with underflow and overflow.
struct histogram {
  bucket_counts buckets;
  double sum = 0;
  uint64_t count = 0;
};

}  // namespace balsambay::metrics
