// HTTP client: each call has a connection of its own. On a connection that is used again, a second
// copy of an earlier answer cannot be told from the answer.
#include "net/http_client.h"

#include <algorithm>

#include "base/text.h"
#include "details/direct_call.h"

namespace balsambay::net {
namespace {

class direct_http_client final : public http_client {
 public:
  direct_http_client(timer_service& timers, malformed_reply_handler on_malformed)
      : timers_(timers), on_malformed_(std::move(on_malformed)) {}
  // Callbacks may refer to the owner of the client, so none runs after it is gone.
  ~direct_http_client() override {
    for (const std::weak_ptr<client_call>& open : calls_) {
      if (const auto call = open.lock()) call->Cancel();
    }
  }

  timer_service& Timers() override { return timers_; }

  std::shared_ptr<client_call> Send(client_request request, client_callbacks callbacks) override {
    if (calls_.size() >= prune_at_) Prune();
    auto call = SendDirect(timers_, on_malformed_, std::move(request), std::move(callbacks));
    calls_.push_back(call);
    return call;
  }

 private:
  void Prune() {
    std::erase_if(calls_, [](const auto& entry) { return entry.expired(); });
    prune_at_ = std::max(kPruneAt, 2 * calls_.size());
  }

  static constexpr size_t kPruneAt = 64;

  timer_service& timers_;
  malformed_reply_handler on_malformed_;
  std::vector<std::weak_ptr<client_call>> calls_;  // that may be open
  size_t prune_at_ = kPruneAt;
};

// A reply that is collected whole. Owned by the callbacks of its call.
struct fetch : std::enable_shared_from_this<fetch> {
  fetch(timer_service& service, const fetch_limits& bounds,
        std::function<void(const whole_reply&)> when_done)
      : timers(service), limits(bounds), done(std::move(when_done)) {}
  ~fetch() { Cancel(timers, body_timer); }

  void OnHeaders(const reply_head& head) {
    reply.status = head.status;
    reply.head = head;
    body_timer =
        Subscribe(timers, MonotonicNow() + limits.body_time, [weak = weak_from_this()](time_point) {
          if (const auto self = weak.lock()) self->Break("reply takes too long");
        });
  }

  void OnData(std::string_view data) {
    if (reply.body.size() + data.size() > limits.body_bytes) return Break("reply is too large");
    reply.body += data;
  }

  void OnEnd(const call_end& end) {
    Cancel(timers, body_timer);
    reply.end = end;
    done(reply);
  }

  void Break(std::string detail) {
    const auto keep = shared_from_this();
    if (const auto open = call.lock()) open->Cancel();
    OnEnd({call_failure::kBroken, std::move(detail)});
  }

  timer_service& timers;
  fetch_limits limits;
  std::function<void(const whole_reply&)> done;
  std::weak_ptr<client_call> call;
  whole_reply reply;
  timer_id body_timer = 0;
};

}  // namespace

std::string_view reply_head::Get(std::string_view name) const {
  const auto it = std::ranges::find_if(
      headers, [&](const header& entry) { return EqualsIgnoreCase(entry.name, name); });
  return it == headers.end() ? std::string_view() : it->value;
}

std::unique_ptr<http_client> MakeHttpClient(timer_service& timers,
                                            malformed_reply_handler on_malformed) {
  return std::make_unique<direct_http_client>(timers, std::move(on_malformed));
}

std::shared_ptr<client_call> Fetch(http_client& client, client_request request,
                                   std::function<void(const whole_reply&)> done,
                                   const fetch_limits& limits) {
  auto fetched = std::make_shared<fetch>(client.Timers(), limits, std::move(done));
  client_callbacks callbacks;
  callbacks.on_headers = [fetched](const reply_head& head) { fetched->OnHeaders(head); };
  callbacks.on_data = [fetched](std::string_view data) { fetched->OnData(data); };
  callbacks.on_end = [fetched](const call_end& end) { fetched->OnEnd(end); };
  auto call = client.Send(std::move(request), std::move(callbacks));
  fetched->call = call;
  return call;
}

}  // namespace balsambay::net
