// Engine protocol over HTTP: the route as JSON in the request, newline-delimited JSON in the reply.
#include "net/engine_client.h"

#include <nlohmann/json.hpp>

#include "base/json.h"

namespace balsambay::net {
namespace {

constexpr size_t kMaxLineBytes = 1 << 20;
// The reply to the cancellation of a run is not used.
constexpr size_t kMaxCancelReplyBytes = size_t{64} << 10;

std::string EncodeRun(const run_request& request) {
  nlohmann::json route = nlohmann::json::array();
  for (const run_stage& stage : request.stages) {
    route.push_back({{"endpoint", stage.endpoint},
                     {"address", stage.address},
                     {"layers", {stage.first_layer, stage.end_layer}}});
  }
  return nlohmann::json{{"run", request.run_id},
                        {"attempt", request.attempt},
                        {"model", request.model},
                        {"route", std::move(route)},
                        {"prompt", request.prompt},
                        {"delivered", request.delivered},
                        {"max_tokens", request.max_tokens},
                        {"priority", request.priority},
                        {"repeatable", request.repeatable}}
      .dump();
}

run_failure ToRunFailure(call_failure failure) {
  switch (failure) {
    case call_failure::kConnect:
    case call_failure::kNoSocket:
      return run_failure::kNotSent;
    case call_failure::kTimeout:
      return run_failure::kTimeout;
    case call_failure::kNone:
    case call_failure::kBroken:
      break;
  }
  return run_failure::kBroken;
}

class http_run final : public engine_run, public std::enable_shared_from_this<http_run> {
 public:
  http_run(http_client& client, run_request request, run_events events)
      : client_(client),
        request_(std::move(request)),
        events_(std::move(events)),
        share_(request_.buffers, [this] { OnReclaimed(); }) {}

  void Start() {
    client_request call;
    call.url = "http://" + request_.stages.front().address + "/v1/runs";
    call.body = EncodeRun(request_);
    call.connect_timeout = request_.connect_timeout;
    call.header_timeout = request_.header_timeout;
    const auto self = shared_from_this();
    client_callbacks callbacks;
    callbacks.on_headers = [self](const reply_head& head) { self->OnHeaders(head); };
    callbacks.on_data = [self](std::string_view data) { self->OnData(data); };
    callbacks.on_end = [self](const call_end& end) { self->OnCallEnd(end); };
    call_ = client_.Send(std::move(call), std::move(callbacks));
  }

  void Cancel() override {
    if (done_) return;
    SendCancel();
    Close();
  }

  void PauseReading() override {
    if (call_) call_->PauseReading();
  }

  void ResumeReading() override {
    if (call_) call_->ResumeReading();
  }

 private:
  void SendCancel() {
    client_request cancel;
    cancel.method = "DELETE";
    cancel.url = "http://" + request_.stages.front().address + "/v1/runs/" + request_.run_id + "-" +
                 std::to_string(request_.attempt);
    cancel.header_timeout = std::chrono::seconds(2);
    Fetch(client_, std::move(cancel), [](const whole_reply&) {},
          {.body_bytes = kMaxCancelReplyBytes});
  }

  void Close() {
    done_ = true;
    events_ = {};
    if (call_) call_->Cancel();
    call_.reset();
  }

  void Fail(run_failure failure, std::string_view endpoint, std::string_view detail) {
    if (done_) return;
    const auto keep = shared_from_this();
    const auto on_failed = events_.on_failed;
    Close();
    if (on_failed) on_failed(request_.attempt, failure, endpoint, detail);
  }

  const std::string& Head() const { return request_.stages.front().endpoint; }

  void OnHeaders(const reply_head& head) {
    if (head.status == 200) return;
    if (head.status == 503 && head.Get("Balsambay-Not-Started") == "1") {
      const bool leaving = head.Get("Balsambay-Leaving") == "1";
      return Fail(leaving ? run_failure::kLeaving : run_failure::kRefused, Head(),
                  "refused before starting");
    }
    Fail(run_failure::kBroken, Head(), "status " + std::to_string(head.status));
  }

  void OnData(std::string_view data) {
    if (share_.IsReclaimed()) return;  // a timer ends the run
    buffer_ += data;
    size_t begin = 0;
    for (size_t end = buffer_.find('\n'); end != std::string::npos && !done_;
         end = buffer_.find('\n', begin)) {
      OnLine(std::string_view{buffer_}.substr(begin, end - begin));
      begin = end + 1;
    }
    buffer_.erase(0, begin);
    Flush();
    if (done_) return;
    if (buffer_.size() > kMaxLineBytes) return Fail(run_failure::kBroken, Head(), "line too long");
    if (!share_.Resize(buffer_.size())) Fail(run_failure::kNoMemory, Head(), "line too long");
  }

  // The bytes of the line were given to another buffer.
  void OnReclaimed() {
    std::string().swap(buffer_);  // frees the memory
    Subscribe(client_.Timers(), MonotonicNow(), [weak = weak_from_this()](time_point) {
      const auto self = weak.lock();
      if (self) self->Fail(run_failure::kNoMemory, self->Head(), "line reclaimed");
    });
  }

  // What came before an unusable line is part of the answer.
  void OnUnusable(std::string_view detail) {
    const auto keep = shared_from_this();
    Flush();
    Fail(run_failure::kBroken, Head(), detail);
  }

  void OnLine(std::string_view line) {
    const nlohmann::json message = ParseJson(line);
    const auto attempt = WholeNumberIn(message, "attempt", UINT32_MAX);
    if (!attempt) return OnUnusable("reply line is not a message");
    if (message.contains("token")) {
      const auto index = WholeNumberIn(message, "index", UINT32_MAX);
      auto token = TextIn(message, "token");
      if (!index || !token) return OnUnusable("token cannot be used");
      return OnToken(static_cast<uint32_t>(*attempt), static_cast<uint32_t>(*index),
                     std::move(*token));
    }
    if (message.contains("error")) return OnError(message);
    const bool ends = message.contains("end") && message.at("end") != false;
    if (ends) OnEnd(static_cast<uint32_t>(*attempt), message);
  }

  void OnError(const nlohmann::json& message) {
    const auto keep = shared_from_this();
    Flush();
    Fail(run_failure::kStageLost, TextIn(message, "endpoint").value_or(Head()),
         TextIn(message, "error").value_or("error without a text"));
  }

  void OnEnd(uint32_t attempt, const nlohmann::json& message) {
    const auto count = WholeNumberIn(message, "count", UINT32_MAX);
    if (message.at("end") != true || !count) return OnUnusable("end mark cannot be used");
    const auto keep = shared_from_this();
    Flush();
    if (done_) return;
    const auto on_end = events_.on_end;
    Close();
    const std::string reason = TextIn(message, "finish_reason").value_or("stop");
    if (on_end) on_end(attempt, static_cast<uint32_t>(*count), reason);
  }

  void OnToken(uint32_t attempt, uint32_t index, std::string token) {
    const bool consecutive = attempt == batch_attempt_ && index == batch_first_ + batch_.size();
    if (!batch_.empty() && !consecutive) Flush();
    if (batch_.empty()) {
      batch_attempt_ = attempt;
      batch_first_ = index;
    }
    batch_.push_back(std::move(token));
  }

  void Flush() {
    if (batch_.empty() || done_) return;
    const std::vector<std::string> tokens = std::exchange(batch_, {});
    const auto on_tokens = events_.on_tokens;
    if (on_tokens) on_tokens(batch_attempt_, batch_first_, tokens);
  }

  void OnCallEnd(const call_end& end) {
    call_.reset();
    if (share_.IsReclaimed()) return;  // a timer ends the run
    Flush();
    const std::string detail = end.detail.empty() ? "reply ended without an end mark" : end.detail;
    Fail(ToRunFailure(end.failure), Head(), detail);
  }

  http_client& client_;
  run_request request_;
  run_events events_;
  std::shared_ptr<client_call> call_;
  std::string buffer_;  // an incomplete line
  buffer_share share_;  // of `buffer_`
  std::vector<std::string> batch_;
  uint32_t batch_attempt_ = 0;
  uint32_t batch_first_ = 0;
  bool done_ = false;
};

}  // namespace

std::shared_ptr<engine_run> StartRun(http_client& client, run_request request, run_events events) {
  auto run = std::make_shared<http_run>(client, std::move(request), std::move(events));
  run->Start();
  return run;
}

}  // namespace balsambay::net
