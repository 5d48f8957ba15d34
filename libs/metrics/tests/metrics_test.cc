// Tests of the registry against the text exposition format.
#include "metrics/metrics.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>

#include "metrics/prometheus.h"

namespace balsambay::metrics {
namespace {

TEST_CASE("counters and gauges follow the text format; guards against unescaped labels") {
  registry metrics;
  const counter_id total = AddCounter(metrics, "refused_total", "Refused\nrequests \\ all",
                                      {{"reason", "a\"b\\c\nd"}, {"code", "x"}});
  AddCounter(metrics, "refused_total", "", {{"reason", "queue_full"}});
  const gauge_id load = AddGauge(metrics, "load", "Load");
  Increment(metrics, total);
  Increment(metrics, total, 4);
  Set(metrics, load, -0.25);
  CHECK(PrometheusText(metrics) ==
        "# HELP load Load\n"
        "# TYPE load gauge\n"
        "load -0.25\n"
        "# HELP refused_total Refused\\nrequests \\\\ all\n"
        "# TYPE refused_total counter\n"
        "refused_total{code=\"x\",reason=\"a\\\"b\\\\c\\nd\"} 5\n"
        "refused_total{reason=\"queue_full\"} 0\n");
}

TEST_CASE("histograms have cumulative buckets, sum and count; guards against lost extremes") {
  registry metrics;
  const histogram_id id = AddHistogram(metrics, "wait_seconds", "Wait",
                                       {.min = 0.01, .max = 1, .buckets = 2}, {{"zone", "z1"}});
  for (const double value : {-1.0, 0.005, 0.05, 0.5, 7.0, std::nan(""), double{INFINITY}}) {
    Observe(metrics, id, value);
  }
  CHECK(Count(metrics, id) == 5);
  CHECK(PrometheusText(metrics) ==
        "# HELP wait_seconds Wait\n"
        "# TYPE wait_seconds histogram\n"
        "wait_seconds_bucket{zone=\"z1\",le=\"0.1\"} 3\n"
        "wait_seconds_bucket{zone=\"z1\",le=\"1\"} 4\n"
        "wait_seconds_bucket{zone=\"z1\",le=\"+Inf\"} 5\n"
        "wait_seconds_sum{zone=\"z1\"} 7.555\n"
        "wait_seconds_count{zone=\"z1\"} 5\n");
}

TEST_CASE("a series registered again keeps its value, in any order of labels") {
  registry metrics;
  const counter_id first = AddCounter(metrics, "a_total", "A", {{"x", "1"}, {"y", "2"}});
  Increment(metrics, first);
  const counter_id again = AddCounter(metrics, "a_total", "A", {{"y", "2"}, {"x", "1"}});
  CHECK(Value(metrics, again) == 1);
  CHECK(AddCounter(metrics, "a_total", "A", {{"x", "1"}}).index != first.index);
}

TEST_CASE("any label value survives writing and reading") {
  CHECK(rc::check("label round trip", [](const std::string& value, uint32_t count) {
    registry metrics;
    Increment(metrics, AddCounter(metrics, "a_total", value, {{"x", value}, {"y", ""}}), count);
    const std::vector<sample> samples = ParsePrometheusText(PrometheusText(metrics)).value();
    const sample expected{"a_total", {{"x", value}, {"y", ""}}, 1.0 * count};
    RC_ASSERT((samples == std::vector<sample>{expected}));
  }));
}

TEST_CASE("the reader accepts free spacing and timestamps and names a malformed line") {
  const auto samples =
      ParsePrometheusText("a { x = \"1\" , } +Inf 123\r\n\n# c\n  b\t2e3\n").value();
  REQUIRE(samples.size() == 2);
  CHECK((std::isinf(samples[0].value) && samples[0].labels == label_set{{"x", "1"}}));
  CHECK(samples[1].value == 2000);
  for (const auto* bad : {"a{x=\"1\" 2", "a{x=1} 2", "a{x=\"1\\", "a", "a b", "{} 1"}) {
    CHECK(ParsePrometheusText(std::string("c 1\n") + bad).error().detail ==
          "malformed metrics line 2");
  }
}

}  // namespace
}  // namespace balsambay::metrics
