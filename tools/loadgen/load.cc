// Arrivals and answers of a load run.
#include "load.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "base/random.h"

namespace balsambay::loadgen {
namespace {

using nlohmann::json;

constexpr duration kSeriesInterval = std::chrono::milliseconds(100);
constexpr double kParetoShape = 1.5;
constexpr uint32_t kMaxTokens = 4096;

struct run_state {
  const settings& config;
  net::loop& loop;
  std::unique_ptr<net::http_client> client;
  random_generator rng;
  outcome out;
  size_t next_target = 0;
  size_t open = 0;
  time_point end_of_arrivals;
};

struct answer {
  run_state& run;
  workspace_result& workspace;
  sample result;
  std::string tail;  // incomplete event at the end of the data, or the body of an error
};

using answer_ptr = std::shared_ptr<answer>;

uint32_t DrawLength(run_state& run) {
  if (!run.config.heavy_tail) return run.config.max_tokens;
  // Mean of a Pareto distribution with shape a and scale s is s a / (a - 1).
  const double scale = run.config.max_tokens * (kParetoShape - 1) / kParetoShape;
  const double drawn = scale / std::pow(1 - UniformUnit(run.rng), 1 / kParetoShape);
  return static_cast<uint32_t>(std::clamp(drawn, 1.0, static_cast<double>(kMaxTokens)));
}

std::string MakePrompt(run_state& run) {
  std::string prompt(run.config.shared_prefix_bytes, 'p');
  while (prompt.size() < run.config.shared_prefix_bytes + run.config.prompt_bytes) {
    prompt += std::to_string(run.rng());
  }
  return prompt;
}

// Counts whole events; each carries one token.
void OnStreamData(answer& item, std::string_view data) {
  const time_point now = MonotonicNow();
  item.tail += data;
  size_t begin = 0;
  for (size_t end = item.tail.find("\n\n"); end != std::string::npos;
       end = item.tail.find("\n\n", begin)) {
    const std::string_view event = std::string_view{item.tail}.substr(begin, end - begin);
    begin = end + 2;
    if (event == "data: [DONE]") item.result.whole = true;
    if (event.find("\"content\":") == std::string_view::npos) continue;
    if (item.result.tokens++ == 0) {
      item.result.first = now;
    } else {
      item.result.longest_gap = std::max(item.result.longest_gap, now - item.result.last);
    }
    item.result.last = now;
    ++item.run.out.tokens_by_interval[(now - item.run.out.started) / kSeriesInterval];
  }
  item.tail.erase(0, begin);
}

void OnEnd(const answer_ptr& item, const net::call_end& end) {
  sample& result = item->result;
  if (result.first == time_point{}) result.first = MonotonicNow();
  result.last = MonotonicNow();
  if (end.failure != net::call_failure::kNone) result.reason = "transport";
  const bool is_stream =
      item->run.config.stream && item->run.config.service.empty() && result.status == 200;
  if (!is_stream && end.failure == net::call_failure::kNone) result.whole = result.status == 200;
  if (result.status != 200 && result.reason.empty()) {
    const json body = json::parse(item->tail, nullptr, false);
    result.reason = body.is_object() ? body.value("reason", "unknown") : "unknown";
  }
  if (!result.whole && result.reason.empty()) result.reason = "stream_error";
  item->workspace.samples.push_back(result);
  --item->run.open;
}

net::client_request MakeRequest(run_state& run, const workspace_load& load) {
  net::client_request request;
  const std::string& target = run.config.targets[run.next_target++ % run.config.targets.size()];
  request.header_timeout = std::chrono::milliseconds(run.config.timeout_ms + 1000);
  request.headers = {{"Authorization", "Bearer " + load.token},
                     {"Balsambay-Timeout-Ms", std::to_string(run.config.timeout_ms)}};
  if (!run.config.service.empty()) {
    const char* path = run.config.direct ? "/v1/call/" : "/v1/services/";
    request.url = "http://" + target + path + run.config.service;
    request.headers.push_back({"Idempotency-Key", std::to_string(run.rng())});
    request.body = json{{"order", std::to_string(run.rng())}}.dump();
    return request;
  }
  request.url = "http://" + target + "/v1/chat/completions";
  request.body = json{{"model", run.config.model},
                      {"stream", run.config.stream},
                      {"max_tokens", DrawLength(run)},
                      {"messages", json::array({{{"role", "user"}, {"content", MakePrompt(run)}}})}}
                     .dump();
  return request;
}

void SendOne(run_state& run, size_t index, time_point scheduled) {
  auto item = std::make_shared<answer>(answer{run, run.out.workspaces[index], {}, ""});
  item->result.scheduled = scheduled;
  item->result.measured = scheduled >= run.out.started + run.config.warm_up;
  ++run.open;
  net::client_callbacks callbacks;
  callbacks.on_headers = [item](const net::reply_head& head) { item->result.status = head.status; };
  callbacks.on_data = [item](std::string_view data) {
    const bool is_stream = item->run.config.stream && item->run.config.service.empty();
    if (is_stream && item->result.status == 200) {
      OnStreamData(*item, data);
    } else {
      item->tail += data;
    }
  };
  callbacks.on_end = [item](const net::call_end& end) { OnEnd(item, end); };
  run.client->Send(MakeRequest(run, run.config.workspaces[index]), std::move(callbacks));
}

void ScheduleNext(run_state& run, size_t index, time_point previous) {
  const double rate = run.config.workspaces[index].requests_per_second;
  const double wait_s = -std::log(1 - UniformUnit(run.rng)) / rate;
  const time_point next = previous + duration(static_cast<int64_t>(wait_s * 1e6));
  if (next > run.end_of_arrivals) return;
  Subscribe(run.loop.Timers(), next, [&run, index, next](time_point) {
    SendOne(run, index, next);
    ScheduleNext(run, index, next);
  });
}

// Ends the loop when all answers are there or the drain time is over.
void WatchEnd(run_state& run) {
  Subscribe(run.loop.Timers(), MonotonicNow() + std::chrono::milliseconds(20),
            [&run](time_point now) {
              const bool idle = now > run.end_of_arrivals && run.open == 0;
              if (idle || now > run.end_of_arrivals + run.config.drain) return run.loop.Quit();
              WatchEnd(run);
            });
}

}  // namespace

outcome RunLoad(const settings& settings, net::loop& loop) {
  run_state run{
      settings, loop, net::MakeHttpClient(loop.Timers()), random_generator(settings.seed), {}, 0,
      0,        {}};
  run.out.started = MonotonicNow();
  run.end_of_arrivals = run.out.started + settings.warm_up + settings.length;
  for (const workspace_load& load : settings.workspaces)
    run.out.workspaces.push_back({load.name, {}});
  for (size_t i = 0; i < settings.workspaces.size(); ++i) ScheduleNext(run, i, run.out.started);
  WatchEnd(run);
  loop.Run();
  return std::move(run.out);
}

}  // namespace balsambay::loadgen
