// Mock engine: head of runs, and stage for runs of other heads.
#include <unistd.h>

#include "endpoint.h"
#include "mock_answer/answer.h"

namespace balsambay::mock_endpoint {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr duration kMinTick = milliseconds(1);
constexpr const char* kCrashMarker = "[[crash]]";

duration TokenInterval(const endpoint& self) {
  const double active = static_cast<double>(std::max<size_t>(1, self.runs.size()));
  return duration(static_cast<int64_t>(1e6 * active / self.config.tokens_per_second));
}

// Lets the other stages drop the run's KV state.
void ReleaseStages(endpoint& self, const run& job) {
  for (size_t i = 1; i < job.route.size(); ++i) {
    net::client_request call;
    call.method = "DELETE";
    call.url = "http://" + job.route[i].at("address").get<std::string>() + "/v1/stage/" + job.id;
    net::Fetch(*self.client, std::move(call), [](const net::whole_reply&) {});
  }
}

void FinishRun(endpoint& self, const std::shared_ptr<run>& job) {
  if (job->hop) job->hop->Cancel();
  job->reply->End();
  ReleaseStages(self, *job);
  self.kv.erase(job->id);
  self.runs.erase(job->id);
  QuitWhenIdle(self);
}

void FailRun(endpoint& self, const std::shared_ptr<run>& job, const std::string& error,
             const std::string& stage) {
  job->reply->Write(json{{"attempt", job->attempt}, {"error", error}, {"endpoint", stage}}.dump() +
                    "\n");
  FinishRun(self, job);
}

// Checks that `trace` covers layers [0, end of the last stage) once and in order.
bool CoversInOrder(const json& trace) {
  int next = 0;
  for (const auto& entry : trace) {
    if (entry.at("layers").at(0) != next) return false;
    next = entry.at("layers").at(1);
  }
  return next > 0;
}

// Executes this engine's layers for one token. Returns an error text, empty when the token ran.
std::string ExecuteLayers(endpoint& self, const std::string& run_id, uint32_t index, bool prefill,
                          const json& layers) {
  if (layers.at(0) < self.config.first_layer || layers.at(1) > self.config.end_layer)
    return "layers_not_held";
  const auto it = self.kv.find(run_id);
  if (!prefill && (it == self.kv.end() || it->second != index)) return "kv_missing";
  self.kv[run_id] = index + 1;
  ++self.executed;
  return "";
}

void JournalToken(endpoint& self, const std::string& run_id, uint32_t index, const json& trace) {
  Journal(self, {{"event", "token"}, {"run", run_id}, {"index", index}, {"trace", trace}});
}

void Produce(endpoint& self, const std::shared_ptr<run>& job);

void Emit(endpoint& self, const std::shared_ptr<run>& job, const std::string& token) {
  job->context = mock_answer::ExtendContext(job->context, token);
  json line = {{"attempt", job->attempt}, {"index", job->index}, {"token", token}};
  job->reply->Write(line.dump() + "\n");
  ++job->index;
  job->next_due += TokenInterval(self);
}

void Hop(endpoint& self, const std::shared_ptr<run>& job, bool prefill) {
  json remaining = json::array();
  for (size_t i = 1; i < job->route.size(); ++i) remaining.push_back(job->route[i]);
  const json trace =
      json::array({{{"endpoint", self.config.id}, {"layers", job->route[0].at("layers")}}});
  const std::string next = job->route[1].at("endpoint");
  net::client_request call;
  call.url = "http://" + job->route[1].at("address").get<std::string>() + "/v1/stage";
  call.body = json{{"run", job->id},          {"index", job->index}, {"prefill", prefill},
                   {"context", job->context}, {"route", remaining},  {"trace", trace}}
                  .dump();
  job->busy = true;
  job->hop =
      net::Fetch(*self.client, std::move(call), [&self, job, next](const net::whole_reply& reply) {
        job->busy = false;
        job->hop.reset();
        const json body = json::parse(reply.body, nullptr, false);
        if (reply.status != 200 || !body.is_object()) {
          return FailRun(self, job, "stage_lost",
                         body.is_object() ? body.value("endpoint", next) : next);
        }
        Emit(self, job, body.at("token"));
        Produce(self, job);
      });
}

void Schedule(endpoint& self, const std::shared_ptr<run>& job) {
  const time_point due = std::max(job->next_due, MonotonicNow() + kMinTick);
  Subscribe(self.loop.Timers(), due, [&self, job](time_point) {
    if (self.runs.contains(job->id)) Produce(self, job);
  });
}

// Emits the tokens that are due. Routes with more than one stage make one hop a token.
void Produce(endpoint& self, const std::shared_ptr<run>& job) {
  const time_point now = MonotonicNow();
  while (job->next_due <= now && !job->busy) {
    if (job->index >= job->max_tokens) {
      json end = {{"attempt", job->attempt},
                  {"end", true},
                  {"count", job->index},
                  {"finish_reason", "stop"}};
      job->reply->Write(end.dump() + "\n");
      return FinishRun(self, job);
    }
    const bool prefill = !self.kv.contains(job->id);
    const json& layers = job->route[0].at("layers");
    const std::string error = ExecuteLayers(self, job->id, job->index, prefill, layers);
    if (!error.empty()) return FailRun(self, job, error, self.config.id);
    if (job->route.size() > 1) return Hop(self, job, prefill);
    if (self.journal != nullptr) {
      JournalToken(self, job->id, job->index,
                   json::array({{{"endpoint", self.config.id}, {"layers", layers}}}));
    }
    Emit(self, job, mock_answer::NextToken(job->context));
  }
  if (!job->busy) Schedule(self, job);
}

uint64_t ContextOf(const std::string& prompt, const json& delivered) {
  uint64_t context = mock_answer::StartContext(prompt);
  for (const auto& token : delivered) {
    context = mock_answer::ExtendContext(context, token.get<std::string>());
  }
  return context;
}

}  // namespace

void HandleRun(endpoint& self, const net::exchange_ptr& request) {
  if (self.leaving || self.runs.size() >= static_cast<size_t>(self.config.max_runs)) {
    return RefuseNotStarted(self, request);
  }
  const json body = json::parse(request->Body(), nullptr, false);
  if (!body.is_object()) return RespondJson(request, 400, {{"error", "body is not an object"}});
  auto job = std::make_shared<run>();
  job->attempt = body.at("attempt");
  job->id = body.at("run").get<std::string>() + "-" + std::to_string(job->attempt);
  job->route = body.at("route");
  job->index = static_cast<uint32_t>(body.at("delivered").size());
  job->max_tokens = body.at("max_tokens");
  const std::string prompt = body.at("prompt");
  job->context = ContextOf(prompt, body.at("delivered"));
  job->reply = request;
  Journal(self, {{"event", "start"}, {"run", job->id}, {"body", prompt}});
  if (prompt.find(kCrashMarker) != std::string::npos) _exit(9);
  self.runs[job->id] = job;
  request->on_hangup = [&self, job] {
    if (job->hop) job->hop->Cancel();
    ReleaseStages(self, *job);
    self.kv.erase(job->id);
    self.runs.erase(job->id);
    QuitWhenIdle(self);
  };
  request->BeginStream(200, {});
  const auto prefill_tokens = static_cast<int64_t>(prompt.size() / 4 + job->index);
  job->next_due = MonotonicNow() + duration(prefill_tokens * self.config.prefill_us_per_token);
  Schedule(self, job);
}

void HandleCancel(endpoint& self, const net::exchange_ptr& request) {
  const std::string id(request->Path().substr(std::string_view("/v1/runs/").size()));
  const auto it = self.runs.find(id);
  if (it != self.runs.end())
    FailRun(self, std::shared_ptr(it->second), "cancelled", self.config.id);
  RespondJson(request, 200, json::object());
}

void HandleRelease(endpoint& self, const net::exchange_ptr& request) {
  self.kv.erase(std::string(request->Path().substr(std::string_view("/v1/stage/").size())));
  RespondJson(request, 200, json::object());
  QuitWhenIdle(self);
}

void HandleStage(endpoint& self, const net::exchange_ptr& request) {
  const json body = json::parse(request->Body(), nullptr, false);
  if (!body.is_object()) return RespondJson(request, 400, {{"error", "body is not an object"}});
  const json& route = body.at("route");
  const std::string run_id = body.at("run");
  if (self.leaving && !self.kv.contains(run_id)) {
    return RespondJson(request, 503, {{"error", "leaving"}, {"endpoint", self.config.id}});
  }
  const uint32_t index = body.at("index");
  const std::string error =
      ExecuteLayers(self, run_id, index, body.at("prefill"), route[0].at("layers"));
  if (!error.empty())
    return RespondJson(request, 409, {{"error", error}, {"endpoint", self.config.id}});
  json trace = body.at("trace");
  trace.push_back({{"endpoint", self.config.id}, {"layers", route[0].at("layers")}});
  if (route.size() == 1) {
    if (!CoversInOrder(trace)) return RespondJson(request, 409, {{"error", "layers_not_covered"}});
    JournalToken(self, run_id, index, trace);
    return RespondJson(request, 200, {{"token", mock_answer::NextToken(body.at("context"))}});
  }
  json forward = body;
  forward["route"].erase(0);
  forward["trace"] = std::move(trace);
  net::client_request call;
  call.url = "http://" + route[1].at("address").get<std::string>() + "/v1/stage";
  call.body = forward.dump();
  const std::string next = route[1].at("endpoint");
  net::Fetch(*self.client, std::move(call), [request, next](const net::whole_reply& reply) {
    if (reply.end.failure == net::call_failure::kNone)
      return request->Respond(reply.status, {}, reply.body);
    RespondJson(request, 502, {{"error", "stage_lost"}, {"endpoint", next}});
  });
}

}  // namespace balsambay::mock_endpoint
