// Priority admission under overload, over a queueing model in virtual time: many gateways decide by
// an old view of one fleet, whose streams miss their goal once more of them run than it carries.
// Guards against shedding that inverts the priorities, starves a workspace or lets goodput
// collapse.
#include "admission/overload.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <numeric>
#include <queue>
#include <vector>

namespace balsambay::admission {
namespace {

using namespace std::chrono_literals;

constexpr int kGateways = 20;
constexpr double kCapacity = 300;  // streams that run in time
constexpr double kServiceSeconds = 4;
constexpr double kStepSeconds = 0.01;
constexpr double kWarmUpSeconds = 10;
constexpr double kEndSeconds = 50;
constexpr duration kDeadline = 20s;
constexpr int kClasses = 3;
constexpr int kWorkspaces = 8;         // of each class; the first is five times as large
constexpr double kRefusalLevel = 1.3;  // the endpoints themselves refuse beyond it

struct load_pattern {
  double load = 1;  // relative to the capacity
  bool controlled = true;
  bool retry_at_once = false;      // every other workspace retries at once, others as told
  int burst_class = -1;            // has 2.5 times its traffic from 20 s to 35 s
  duration view_delay = 700ms;     // age of the fleet's state as known to gateways
  time_point blind_from = kNever;  // from then on, the state of the fleet is not known
};

struct outcome {
  std::array<std::array<double, kWorkspaces>, kClasses> asked{}, served{};
  double goodput = 0;  // streams in time, relative to the capacity
  double ClassShare(int index) const {
    return std::accumulate(served[index].begin(), served[index].end(), 0.0) /
           std::accumulate(asked[index].begin(), asked[index].end(), 0.0);
  }
  std::vector<double> WorkspaceShares() const {
    std::vector<double> shares;
    for (int c = 0; c < kClasses; ++c) {
      for (int w = 0; w < kWorkspaces; ++w) shares.push_back(served[c][w] / asked[c][w]);
    }
    return shares;
  }
};

struct client_call {
  int level = 0;
  int workspace = 0;
  double arrived = 0;
  double at = 0;  // of this try
  int tries = 0;
  bool operator>(const client_call& other) const { return at > other.at; }
};

struct stream {
  client_call call;
  size_t gateway = 0;
  double left = kServiceSeconds;
  bool late = false;
};

time_point At(double seconds) { return time_point() + FromMilliseconds(1000 * seconds); }

outcome Simulate(const load_pattern& pattern, uint64_t seed) {
  random_generator rng(seed);
  std::vector<overload_control> gateways(kGateways);
  std::deque<double> views;  // streams at each step
  std::priority_queue<client_call, std::vector<client_call>, std::greater<>> arrivals;
  std::vector<stream> running;
  outcome result;
  const double rate = pattern.load * kCapacity / kServiceSeconds;
  const auto view_steps = static_cast<size_t>(Seconds(pattern.view_delay) / kStepSeconds);
  const auto measured = [](const client_call& call) {
    return call.arrived >= kWarmUpSeconds && call.arrived < kEndSeconds - 10;
  };
  for (double now = 0; now < kEndSeconds; now += kStepSeconds) {
    for (int level = 0; level < kClasses; ++level) {
      for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
        const bool burst = level == pattern.burst_class && now >= 20 && now < 35;
        const double weight = (workspace == 0 ? 5.0 : 1.0) / (kWorkspaces + 4) / kClasses;
        const double mean = rate * weight * (burst ? 2.5 : 1) * kStepSeconds;
        if (UniformUnit(rng) >= mean) continue;
        const client_call call{level, workspace, now, now};
        if (measured(call)) ++result.asked[level][workspace];
        arrivals.push(call);
      }
    }
    views.push_back(static_cast<double>(running.size()));
    if (views.size() > view_steps) views.pop_front();
    while (!arrivals.empty() && arrivals.top().at <= now) {
      client_call call = arrivals.top();
      arrivals.pop();
      ++call.tries;
      const size_t index = UniformBelow(rng, kGateways);
      overload_control& control = gateways[index];
      const time_point time = At(now);
      if (NeedsSample(control, time)) {
        RecordFullness(control,
                       {.fullness = views.front() / kCapacity,
                        .requests = views.front(),
                        .gateways = kGateways,
                        .current = time < pattern.blind_from},
                       time);
      }
      const duration left = kDeadline - FromMilliseconds(1000 * (now - call.arrived));
      overload_verdict verdict;
      if (pattern.controlled) {
        verdict =
            DecideOverload(control,
                           {.priority = call.level,
                            .workspace = std::string(1, static_cast<char>('a' + call.workspace)),
                            .work = 1,
                            .time_left = left},
                           time, rng);
      }
      const bool accepted = verdict.reason == overload_reason::kAccepted;
      const bool room = static_cast<double>(running.size()) < kRefusalLevel * kCapacity;
      if (accepted && room) {
        running.push_back({call, index, kServiceSeconds * (0.5 + UniformUnit(rng))});
        continue;
      }
      if (accepted) {
        RecordEnd(control, time);
        RecordResult(control, true, time);
      }
      if (call.tries > 1) continue;
      const bool at_once = pattern.retry_at_once && call.workspace % 2 == 0;
      const duration wait = std::min(verdict.retry_after, left / 3);
      call.at = now + (at_once ? kStepSeconds : std::max(kStepSeconds, Seconds(wait)));
      arrivals.push(call);
    }
    // Streams share the fleet: beyond its capacity all of them slow down and miss their goal.
    const double crowd = static_cast<double>(running.size()) / kCapacity;
    for (stream& each : running) {
      each.left -= kStepSeconds / std::max(1.0, crowd);
      const bool late = crowd > 1.03;
      if (late && !each.late) RecordResult(gateways[each.gateway], true, At(now));
      each.late = each.late || late;
    }
    std::erase_if(running, [&](const stream& each) {
      if (each.left > 0) return false;
      RecordEnd(gateways[each.gateway], At(now));
      if (each.late) return true;
      RecordResult(gateways[each.gateway], false, At(now));
      if (measured(each.call)) ++result.served[each.call.level][each.call.workspace];
      if (now >= kWarmUpSeconds) ++result.goodput;
      return true;
    });
  }
  result.goodput /= (kEndSeconds - kWarmUpSeconds) * kCapacity / kServiceSeconds;
  return result;
}

double Peak(uint64_t seed) {
  double peak = 0;
  for (const double load : {0.7, 0.8, 0.9, 1.0}) {
    peak = std::max(peak, Simulate({.load = load, .controlled = false}, seed).goodput);
  }
  return peak;
}

double Mean(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

void CheckShares(const outcome& result) {
  INFO("shares " << result.ClassShare(0) << " " << result.ClassShare(1) << " "
                 << result.ClassShare(2) << ", goodput " << result.goodput);
  CHECK(result.ClassShare(0) >= result.ClassShare(1));
  CHECK(result.ClassShare(0) >= result.ClassShare(2));
  const std::vector<double> shares = result.WorkspaceShares();
  CHECK(std::ranges::min(shares) >= Mean(shares) / 4);
}

}  // namespace

TEST_CASE("three classes with 1.5 and 2 times the capacity keep their order and the goodput") {
  for (const uint64_t seed : {1, 2, 3}) {
    const double peak = Peak(seed);
    for (const double load : {1.5, 2.0}) {
      CAPTURE(seed, load, peak);
      const outcome result = Simulate({.load = load}, seed);
      CheckShares(result);
      CHECK(result.goodput >= 0.9 * peak);
      // The model must show the collapse that the control prevents.
      CHECK(Simulate({.load = load, .controlled = false}, seed).goodput < 0.5 * peak);
    }
  }
}

TEST_CASE("a burst of 2.5 times the traffic of any class keeps order and goodput") {
  for (const int burst_class : {0, 1, 2}) {
    CAPTURE(burst_class);
    const outcome result = Simulate({.load = 1.0, .burst_class = burst_class}, 4);
    CheckShares(result);
    CHECK(result.goodput >= 0.9 * Peak(4));
  }
}

TEST_CASE("clients that retry at once take neither the goodput nor another workspace's share") {
  const outcome result = Simulate({.load = 2.0, .retry_at_once = true}, 5);
  CheckShares(result);
  CHECK(result.goodput >= 0.9 * Peak(5));
}

TEST_CASE("gateways whose view is 2 s old keep the order, and most of the goodput") {
  const outcome result = Simulate({.load = 2.0, .view_delay = 2000ms}, 6);
  CheckShares(result);
  CHECK(result.goodput >= 0.75 * Peak(6));
}

TEST_CASE("gateways that lose the view of the fleet go on by their own load") {
  const outcome result = Simulate({.load = 2.0, .blind_from = At(15)}, 7);
  CheckShares(result);
  CHECK(result.goodput >= 0.75 * Peak(7));
}

TEST_CASE("a fleet with room sheds nothing") {
  random_generator rng(8);
  overload_control control;
  for (int i = 0; i < 1000; ++i) {
    const time_point now = At(1 + i * 0.01);
    RecordFullness(control, {.fullness = 0.69, .requests = 100, .gateways = 10, .current = true},
                   now);
    CHECK(DecideOverload(control, {.priority = i % 3, .workspace = "a"}, now, rng).reason ==
          overload_reason::kAccepted);
  }
}

TEST_CASE("retry times grow with the demand shed and stay within a third of the time left") {
  random_generator rng(9);
  overload_control control;
  std::array<double, 2> waits{};
  for (int i = 0; i < 2000; ++i) {
    const time_point now = At(1 + i * 0.01);
    RecordFullness(control, {.fullness = 1.2, .requests = 100, .gateways = 10, .current = true},
                   now);
    DecideOverload(control, {.priority = i % 3, .workspace = "a", .time_left = 20s}, now, rng);
    const duration wait = RetryAfter(control, 2, 20s, now, rng);
    CHECK(wait >= control.config.min_retry_after);
    CHECK(wait <= duration(20s) / 3);
    waits[i / 1000] += Seconds(wait) / 1000;
  }
  CHECK(waits[1] > waits[0]);
  const time_point end = At(21);
  CHECK(RetryAfter(control, 2, 20s, end, rng) > RetryAfter(control, 7, 20s, end, rng));
}

TEST_CASE("the state for many workspaces stays bounded") {
  random_generator rng(10);
  overload_control control;
  for (int i = 0; i < 6000; ++i) {
    DecideOverload(control, {.priority = 0, .workspace = std::to_string(i)}, At(1), rng);
  }
  CHECK(control.levels.at(0).workspaces.size() <= control.config.max_workspaces + 1);
}

}  // namespace balsambay::admission
