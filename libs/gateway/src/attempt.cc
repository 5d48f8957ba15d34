// Choice of endpoints and paths, and the exchange with the endpoint of each attempt.
#include "details/attempt.h"

#include <algorithm>
#include <array>

#include "base/text.h"
#include "details/containment.h"
#include "details/fleet.h"
#include "details/monitor.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

constexpr std::array<std::string_view, 6> kFailureNames = {"not_sent", "not_executed", "broken",
                                                           "stalled",  "failed",       "moved"};

// Engines accept 10 priorities, 0 to 9; requests without one have 5.
constexpr int kMaxPriority = 9;
// Heads reply to a reroute order at once or not at all.
constexpr duration kRerouteTimeout = 400ms;
// Number of other paths that are tried in a row when a new engine refuses.
constexpr int kMaxReroutes = 2;
// A reply that is not streamed is held in memory; a larger one fails the attempt.
constexpr size_t kMaxReplyBytes = size_t{16} << 20;
// Received at once of a stream: its bytes wait in memory when the caller does not read them.
constexpr size_t kStreamReadBytes = 16384;
// Longer announced lengths are taken for this one.
constexpr double kMaxAnnouncedBytes = 1e18;
// Why a reply has more bytes than can be held; values of the label "reason" of
// gateway_replies_too_large_total.
constexpr std::string_view kAnnouncedLength = "announced_length";
constexpr std::string_view kReplyLimit = "reply_limit";
constexpr std::string_view kCommonLimit = "common_limit";
constexpr std::string_view kReclaimed = "reclaimed";
// Events hold a few tokens, so more bytes than this without an event boundary are not an event
// stream.
constexpr size_t kMaxEventBytes = size_t{256} << 10;
// Cost of an endpoint that failed all its recent requests, in concurrent requests.
constexpr double kFailurePenalty = 20;
// Longest time that a suspect waits for engines that run no other suspect: about the time in which
// the other suspects produce their first output. Callers wait 2 s for the first output.
constexpr duration kMaxIsolationWait = 400ms;
// With more suspects than this, no further one waits.
constexpr std::ptrdiff_t kMaxIsolatedSuspects = 6;
// Age of the endpoint list from which each attempt that relies on it is logged. The usual limit of
// age is lower.
constexpr duration kLoggedListAge = 3000ms;
// Cost of an endpoint in another zone, in concurrent requests.
constexpr double kOtherZonePenalty = 0.5;

const catalog::service* ServiceOf(const call& request) {
  return catalog::FindService(*request.configuration, request.service);
}

// Tokens of the prompt and of the generated text.
double ExpectedTokens(const call& request, const pipeline::model_spec& model) {
  double answer = model.typical_output_tokens;
  // Averaged with the usual length, because the caller's estimate is right only at the median.
  if (request.incoming.expected_answer_tokens > 0) {
    answer = (answer + request.incoming.expected_answer_tokens) / 2;
  }
  if (request.incoming.max_answer_tokens > 0) {
    answer = std::min(answer, request.incoming.max_answer_tokens);
  }
  return request.incoming.prompt_tokens + answer;
}

std::vector<size_t> IndexesOf(std::span<const pipeline::engine> engines,
                              const std::set<std::string>& ids) {
  std::vector<size_t> indexes;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (ids.contains(engines[i].id)) indexes.push_back(i);
  }
  return indexes;
}

std::vector<call_hop> ToHops(const pipeline::path& stages,
                             std::span<const pipeline::engine> engines) {
  std::vector<call_hop> hops;
  std::ranges::transform(stages, std::back_inserter(hops), [&](const pipeline::path_stage& stage) {
    const pipeline::engine& engine = engines[stage.engine];
    return call_hop{engine.id, engine.address, stage.range};
  });
  return hops;
}

int ZoneCrossings(const pipeline::path& stages, std::span<const pipeline::engine> engines) {
  int crossings = 0;
  for (size_t i = 1; i < stages.size(); ++i) {
    if (engines[stages[i].engine].zone != engines[stages[i - 1].engine].zone) ++crossings;
  }
  return crossings;
}

// Zone crossings on the path of the open attempt; engines that are no longer known are left out.
int OpenPathCrossings(gateway_state& state, const call& request) {
  int crossings = 0;
  std::string_view last_zone;
  for (const call_hop& hop : request.open->path) {
    const endpoint* engine = FindEndpoint(state, hop.endpoint_id);
    if (engine == nullptr) continue;
    if (!last_zone.empty() && last_zone != engine->listed.zone) ++crossings;
    last_zone = engine->listed.zone;
  }
  return crossings;
}

std::vector<hop> WireHops(const std::vector<call_hop>& path) {
  std::vector<hop> hops;
  std::ranges::transform(path, std::back_inserter(hops), [](const call_hop& call_hop) {
    return hop{call_hop.address, call_hop.range};
  });
  return hops;
}

struct pipeline_choice {
  start_result result = start_result::kNoEndpoint;
  std::vector<call_hop> path;
};

// Restricts the endpoints that a request may use.
enum class endpoint_filter : uint8_t {
  kAny,
  kWithoutSuspects,  // without those that run other suspects
  kConfirmed,        // without those that may have announced that they leave
};

// Whether the filter excludes the endpoint.
bool IsFilteredOut(const gateway_state& state, const std::string& id, const endpoint& candidate,
                   endpoint_filter filter, time_point now) {
  switch (filter) {
    case endpoint_filter::kAny:
      return false;
    case endpoint_filter::kWithoutSuspects:
      return HasSuspect(state, id);
    case endpoint_filter::kConfirmed:
      return MayHaveMissedLeaving(state, candidate, now);
  }
  return false;
}

// First endpoint of the open attempt, which a successor must not use; empty: no attempt is open.
std::string_view HeadInUse(const call& request) {
  if (!request.open) return {};
  return request.open->path.front().endpoint_id;
}

std::vector<size_t> ExcludedEngines(const gateway_state& state, const call& request,
                                    std::span<const pipeline::engine> engines,
                                    endpoint_filter filter) {
  std::vector<size_t> excluded = IndexesOf(engines, request.avoided);
  if (filter == endpoint_filter::kAny) return excluded;
  const time_point now = MonotonicNow();
  for (size_t i = 0; i < engines.size(); ++i) {
    const auto found = state.endpoints.find(engines[i].id);
    const bool is_known = found != state.endpoints.end();
    if (is_known && IsFilteredOut(state, found->first, found->second, filter, now)) {
      excluded.push_back(i);
    }
  }
  return excluded;
}

// Whether the path is too slow for the gap goal of the route. False for a request that may already
// run or have run somewhere; it is not refused for this.
bool IsTooSlow(const gateway_state& state, const call& request, const pipeline::model_spec& model,
               const pipeline::path_choice& choice) {
  if (choice.verdict != pipeline::path_verdict::kFound || !request.route->streamed) return false;
  if (request.streaming || request.open || request.may_have_run) return false;
  const auto max_token_ms =
      MaxTokenMs(state.pace, request.route->event_gap_goal, model.typical_output_tokens);
  return max_token_ms && choice.token_ms > *max_token_ms;
}

pipeline_choice ChoosePipeline(gateway_state& state, const call& request,
                               const catalog::service& service, endpoint_filter filter) {
  const pipeline::model_spec& model = *service.pipelined;
  const std::vector<pipeline::engine> engines = ViewEngines(state, service, MonotonicNow());
  std::vector<size_t> excluded = ExcludedEngines(state, request, engines, filter);
  const auto in_use = std::ranges::find(engines, HeadInUse(request), &pipeline::engine::id);
  if (in_use != engines.end()) excluded.push_back(static_cast<size_t>(in_use - engines.begin()));
  // A request that was sent to as many endpoints as its route allows enters at one of these again.
  std::vector<size_t> heads;
  const std::set<std::string> reached = CountedEndpoints(state, request);
  if (static_cast<int>(reached.size()) >= request.route->max_attempts) {
    heads = IndexesOf(engines, reached);
    if (heads.empty()) return {};
  }
  pipeline::path_query query{.tokens = ExpectedTokens(request, model),
                             .home_zone = state.config.zone,
                             .head = {},
                             // A stream that has begun takes precedence over new requests.
                             .allow_overcommit = request.streaming,
                             .excluded = excluded,
                             .heads = heads,
                             .stale_load = !state.topology.exact,
                             .seed = state.rng()};
  pipeline::path_choice choice = pipeline::ChoosePath(model, engines, query);
  if (IsTooSlow(state, request, model, choice)) {
    // With old load figures the choice varies between paths of similar cost, so it may have missed
    // the fastest one.
    query.stale_load = false;
    choice = pipeline::ChoosePath(model, engines, query);
    if (IsTooSlow(state, request, model, choice)) return {start_result::kTooSlow, {}};
  }
  switch (choice.verdict) {
    case pipeline::path_verdict::kUncovered:
      return {};
    case pipeline::path_verdict::kNoRoom:
      return {start_result::kNoRoom, {}};
    case pipeline::path_verdict::kFound:
      return {start_result::kStarted, ToHops(choice.stages, engines)};
  }
  return {};
}

// Whether a suspect should wait for engines that run no other suspect. Only there does the run show
// whether this request crashes engines. With many suspects the losses have another cause, and no
// further one waits.
bool MayWaitForIsolation(const gateway_state& state, call& request) {
  const time_point now = MonotonicNow();
  if (request.isolation_wait_until == time_point()) {
    const auto suspects =
        std::ranges::count_if(state.calls, [](const auto& entry) { return entry.second->suspect; });
    request.isolation_wait_until = suspects <= kMaxIsolatedSuspects ? now + kMaxIsolationWait : now;
  }
  return now < request.isolation_wait_until;
}

// Sets the path and the expected tokens of a new attempt at a pipelined service.
start_result AssignPipeline(gateway_state& state, call& request, const catalog::service& service,
                            attempt& attempt) {
  attempt.committed_tokens = ExpectedTokens(request, *service.pipelined);
  pipeline_choice choice;
  if (IsEndpointListStale(state, MonotonicNow())) {
    choice = ChoosePipeline(state, request, service, endpoint_filter::kConfirmed);
  }
  if (choice.result != start_result::kStarted) {
    choice = ChoosePipeline(state, request, service, endpoint_filter::kAny);
  }
  if (choice.result == start_result::kStarted && request.suspect) {
    pipeline_choice isolated =
        ChoosePipeline(state, request, service, endpoint_filter::kWithoutSuspects);
    if (isolated.result == start_result::kStarted) {
      choice = std::move(isolated);
    } else if (MayWaitForIsolation(state, request)) {
      return start_result::kNoIsolatedEngines;
    }
  }
  if (choice.result == start_result::kStarted) attempt.path = std::move(choice.path);
  return choice.result;
}

// Endpoint with the lowest cost; nullptr: none can be used.
const endpoint* ChoosePlain(gateway_state& state, const call& request, endpoint_filter filter) {
  const time_point now = MonotonicNow();
  const endpoint* best = nullptr;
  double best_cost = 0;
  for (const auto& [id, candidate] : state.endpoints) {
    if (candidate.listed.service != request.service || request.avoided.contains(id)) continue;
    if (id == HeadInUse(request)) continue;
    if (!IsUsable(state, candidate, now)) continue;
    if (IsFilteredOut(state, id, candidate, filter, now)) continue;
    const double cost = candidate.own.sequences + candidate.peers.sequences +
                        kFailurePenalty * FailureRate(candidate, now) +
                        (candidate.listed.zone == state.config.zone ? 0 : kOtherZonePenalty) +
                        UniformUnit(state.rng) * 0.1;
    if (best == nullptr || cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  return best;
}

// Sets the endpoint of a new attempt at a plain service.
start_result AssignPlain(gateway_state& state, const call& request, attempt& attempt) {
  const endpoint* best =
      request.suspect ? ChoosePlain(state, request, endpoint_filter::kWithoutSuspects) : nullptr;
  if (best == nullptr && IsEndpointListStale(state, MonotonicNow())) {
    best = ChoosePlain(state, request, endpoint_filter::kConfirmed);
  }
  if (best == nullptr) best = ChoosePlain(state, request, endpoint_filter::kAny);
  if (best == nullptr) return start_result::kNoEndpoint;
  attempt.path = {{best->listed.id, best->listed.address, {}}};
  return start_result::kStarted;
}

// Whether the attempt is the open one of the request or its successor, and is not closed.
bool IsCurrent(const call_ptr& request, const attempt_ptr& attempt) {
  return request && attempt && attempt->upstream &&
         (request->open == attempt || request->successor == attempt);
}

bool IsStreamedReply(const call& request, const attempt& attempt) {
  return request.route->streamed && attempt.head.status == 200;
}

// Whether the reply names another request.
bool IsForeign(const call& request, const reply_metadata& facts) {
  return !facts.request_id.empty() && facts.request_id != request.incoming.id;
}

// Whether the reply belongs to the request and is unchanged since the endpoint sent it.
bool IsOwnReply(const call& request, const attempt& attempt) {
  const bool success = attempt.head.status >= 200 && attempt.head.status < 300;
  return !IsForeign(request, attempt.facts) && !attempt.facts.encoded &&
         (!success || attempt.facts.authentic);
}

// Bytes that a reply which is not streamed may have.
size_t MaxReplyBytes(const gateway_state& state) {
  return std::min(kMaxReplyBytes, state.reply_buffers->limit_bytes);
}

// Length of the body that the head announces; 0: none, or there is no body.
uint64_t AnnouncedBodyBytes(const call& request, const net::reply_head& head) {
  const bool has_no_body =
      request.incoming.method == "HEAD" || head.status == 204 || head.status == 304;
  if (has_no_body) return 0;
  const double announced = ParseNumber(head.Get("Content-Length")).value_or(0);
  return static_cast<uint64_t>(std::clamp(announced, 0.0, kMaxAnnouncedBytes));
}

// Frees the memory of the text. Assigning an empty one would keep its capacity.
void Free(std::string& text) { std::string().swap(text); }

// Fails an attempt whose reply cannot be held. `bytes`: size of the reply as far as it is known.
void FailTooLarge(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt,
                  std::string_view reason, uint64_t bytes, const attempt_callbacks& callbacks) {
  CountLargeReply(state.metrics, reason);
  log::Log(log::level::kWarning, "reply too large",
           {{"request", request->incoming.id},
            {"attempt", attempt->number},
            {"endpoint", attempt->path.front().endpoint_id},
            {"reason", reason},
            {"bytes", bytes},
            {"limit_bytes", MaxReplyBytes(state)},
            {"buffer_bytes", state.reply_buffers->used_bytes},
            {"buffer_limit_bytes", state.reply_buffers->limit_bytes}});
  Free(attempt->reply_body);
  Free(attempt->events.partial);
  attempt->buffer.reset();
  callbacks.on_failure(state, request, attempt, attempt_failure::kBroken);
}

// Share for the body of the reply. When it is reclaimed, the body is freed at once, and the attempt
// fails in the next turn of the loop.
std::unique_ptr<buffer_share> MakeBuffer(gateway_state& state, const call_ptr& request,
                                         const attempt_ptr& owner,
                                         const attempt_callbacks& callbacks) {
  return std::make_unique<buffer_share>(
      state.reply_buffers, [&state, weak_request = std::weak_ptr(request),
                            weak_attempt = std::weak_ptr(owner), callbacks] {
        const attempt_ptr reclaimed = weak_attempt.lock();
        if (!reclaimed) return;
        const size_t bytes = reclaimed->reply_body.size() + reclaimed->events.partial.size();
        Free(reclaimed->reply_body);
        Free(reclaimed->events.partial);
        Subscribe(state.loop.Timers(), MonotonicNow(),
                  [&state, weak_request, weak_attempt, callbacks, bytes](time_point) {
                    const call_ptr locked_request = weak_request.lock();
                    const attempt_ptr locked_attempt = weak_attempt.lock();
                    if (!IsCurrent(locked_request, locked_attempt)) return;
                    FailTooLarge(state, locked_request, locked_attempt, kReclaimed, bytes,
                                 callbacks);
                  });
      });
}

// Appends to the body of a reply that is passed on whole. Returns false, without an effect, if its
// memory exceeds the common limit or was reclaimed.
bool AppendToReply(const gateway_state& state, const call& request, attempt& attempt,
                   std::string_view data) {
  std::string& body = attempt.reply_body;
  const size_t needed = body.size() + data.size();
  if (attempt.buffer->IsReclaimed()) return false;
  if (needed > body.capacity()) {
    const uint64_t announced = AnnouncedBodyBytes(request, attempt.head);
    size_t capacity = std::min(2 * body.capacity(), MaxReplyBytes(state));
    if (announced > 0) capacity = std::min<size_t>(capacity, announced);
    capacity = std::max(capacity, needed);
    if (!attempt.buffer->Resize(capacity)) {
      capacity = needed;
      if (!attempt.buffer->Resize(capacity)) return false;
    }
    std::string grown;
    grown.reserve(capacity);
    grown += body;
    body = std::move(grown);
  }
  body += data;
  return true;
}

void OnHead(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt,
            const net::reply_head& head, const attempt_callbacks& callbacks) {
  attempt->head = head;
  attempt->facts = state.wire.read_reply(head);
  // A reply to another request or from another endpoint (421) says nothing about this endpoint.
  endpoint* target = IsForeign(*request, attempt->facts) || head.status == 421
                         ? nullptr
                         : FindEndpoint(state, attempt->path.front().endpoint_id);
  if (target != nullptr) OnEndpointAnswered(state, *target);
  if (target != nullptr) ApplyReplyMetadata(state, *target, attempt->facts);
  if (!IsCurrent(request, attempt)) return;
  // A refusal of another request does not prove that this one did not run.
  if (attempt->facts.not_executed && !IsForeign(*request, attempt->facts)) {
    return callbacks.on_failure(state, request, attempt, attempt_failure::kNotExecuted);
  }
  if (!IsOwnReply(*request, *attempt)) {
    return callbacks.on_failure(state, request, attempt, attempt_failure::kBroken);
  }
  if (head.status == 200) RecordExecuting(state, *request);
  const uint64_t announced = AnnouncedBodyBytes(*request, head);
  const bool held = !IsStreamedReply(*request, *attempt);
  if (held && announced > MaxReplyBytes(state)) {
    FailTooLarge(state, request, attempt, kAnnouncedLength, announced, callbacks);
  }
}

// Accounts for the start of an event. Returns false if there is no room for it.
bool HoldPartialEvent(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt,
                      const attempt_callbacks& callbacks) {
  const std::string& partial = attempt->events.partial;
  if (!attempt->buffer) {
    if (partial.empty()) return true;
    attempt->buffer = MakeBuffer(state, request, attempt, callbacks);
  }
  return attempt->buffer->Resize(partial.capacity());
}

void CollectReply(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt,
                  std::string_view data, const attempt_callbacks& callbacks) {
  if (!attempt->buffer) attempt->buffer = MakeBuffer(state, request, attempt, callbacks);
  const size_t bytes = attempt->reply_body.size() + data.size();
  const bool fits = bytes <= MaxReplyBytes(state);
  if (fits && AppendToReply(state, *request, *attempt, data)) return;
  // The attempt already has a timer that ends it.
  if (attempt->buffer->IsReclaimed()) return;
  FailTooLarge(state, request, attempt, fits ? kCommonLimit : kReplyLimit, bytes, callbacks);
}

void OnData(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt,
            std::string_view data, const attempt_callbacks& callbacks) {
  if (!IsStreamedReply(*request, *attempt)) {
    return CollectReply(state, request, attempt, data, callbacks);
  }
  if (attempt->buffer && attempt->buffer->IsReclaimed()) return;
  const std::string complete_events = TakeCompleteEvents(attempt->events, data);
  if (!HoldPartialEvent(state, request, attempt, callbacks)) {
    const size_t bytes = attempt->events.partial.size();
    return FailTooLarge(state, request, attempt, kCommonLimit, bytes, callbacks);
  }
  const bool unusable =
      attempt->events.malformed || attempt->events.partial.size() > kMaxEventBytes;
  if (complete_events.empty()) {
    if (unusable) callbacks.on_failure(state, request, attempt, attempt_failure::kBroken);
    return;
  }
  const time_point now = MonotonicNow();
  AddSample(attempt->progressed ? state.pace.gap : state.pace.first, now - attempt->last_progress);
  attempt->last_progress = now;
  attempt->progressed = true;
  ++attempt->outputs;
  callbacks.on_output(state, request, attempt, complete_events);
  if (unusable && IsCurrent(request, attempt)) {
    callbacks.on_failure(state, request, attempt, attempt_failure::kBroken);
  }
}

// Whether a reply that has ended without an error is complete. Without a length or chunks, the end
// of the connection right after the head, or before the first event of a stream, does not show that
// the endpoint has sent all.
bool IsCompleteReply(const call& request, const attempt& attempt) {
  constexpr int kNoContent = 204;
  const bool ends_with_connection =
      attempt.head.Get("Content-Length").empty() && attempt.head.Get("Transfer-Encoding").empty();
  if (IsStreamedReply(request, attempt)) {
    return attempt.events.partial.empty() && (attempt.progressed || !ends_with_connection);
  }
  const bool has_body = request.incoming.method != "HEAD" && attempt.head.status != kNoContent;
  const bool success = attempt.head.status >= 200 && attempt.head.status < 300;
  return !(success && has_body && ends_with_connection && attempt.reply_body.empty());
}

void OnEnd(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt,
           const net::call_end& end, const attempt_callbacks& callbacks) {
  const auto fail = [&](attempt_failure reason) {
    callbacks.on_failure(state, request, attempt, reason);
  };
  attempt->detail = end.detail;
  switch (end.failure) {
    case net::call_failure::kNoSocket:
      attempt->no_socket = true;
      return fail(attempt_failure::kNotSent);
    case net::call_failure::kConnect:
      return fail(attempt_failure::kNotSent);
    case net::call_failure::kTimeout:
      return fail(attempt_failure::kStalled);
    case net::call_failure::kBroken:
      attempt->cut = true;
      return fail(attempt_failure::kBroken);
    case net::call_failure::kNone:
      break;
  }
  const bool reclaimed = attempt->buffer && attempt->buffer->IsReclaimed();
  if (reclaimed) return FailTooLarge(state, request, attempt, kReclaimed, 0, callbacks);
  if (!IsCompleteReply(*request, *attempt)) return fail(attempt_failure::kBroken);
  // An error reply cannot end a stream that has begun.
  const bool misplaced = request->streaming && attempt->head.status != 200;
  if (misplaced || attempt->head.status >= 500) return fail(attempt_failure::kFailed);
  callbacks.on_reply(state, request, attempt);
}

attempt_spec MakeSpec(const call& request, const attempt& attempt, duration time_left) {
  attempt_spec spec;
  spec.address = attempt.path.front().address;
  spec.endpoint_id = attempt.path.front().endpoint_id;
  spec.time_left = time_left;
  spec.workspace = request.workspace;
  spec.priority = std::clamp(request.priority, 0, kMaxPriority);
  if (IsPipelined(attempt)) spec.path = WireHops(attempt.path);
  spec.last_event_id =
      attempt.events.last_id.empty() ? request.incoming.last_event_id : attempt.events.last_id;
  return spec;
}

net::client_callbacks MakeCallbacks(gateway_state& state, const call_ptr& request,
                                    const attempt_ptr& new_attempt,
                                    const attempt_callbacks& callbacks) {
  const std::weak_ptr<call> weak_request = request;
  const std::weak_ptr<attempt> weak_attempt = new_attempt;
  net::client_callbacks client_callbacks;
  client_callbacks.on_headers = [&state, weak_request, weak_attempt,
                                 callbacks](const net::reply_head& head) {
    const call_ptr locked_request = weak_request.lock();
    const attempt_ptr locked_attempt = weak_attempt.lock();
    if (IsCurrent(locked_request, locked_attempt)) {
      OnHead(state, locked_request, locked_attempt, head, callbacks);
    }
  };
  client_callbacks.on_data = [&state, weak_request, weak_attempt,
                              callbacks](std::string_view data) {
    const call_ptr locked_request = weak_request.lock();
    const attempt_ptr locked_attempt = weak_attempt.lock();
    if (IsCurrent(locked_request, locked_attempt)) {
      OnData(state, locked_request, locked_attempt, data, callbacks);
    }
  };
  client_callbacks.on_end = [&state, weak_request, weak_attempt,
                             callbacks](const net::call_end& end) {
    const call_ptr locked_request = weak_request.lock();
    const attempt_ptr locked_attempt = weak_attempt.lock();
    if (IsCurrent(locked_request, locked_attempt)) {
      OnEnd(state, locked_request, locked_attempt, end, callbacks);
    }
  };
  return client_callbacks;
}

// Counts the request as sent to the endpoint. Call before sending, since a byte of it may arrive at
// any time from then on.
void RecordSend(gateway_state& state, call& request, attempt& attempt) {
  ++request.sends;
  const std::string& id = attempt.path.front().endpoint_id;
  attempt.first_at_endpoint = !request.reached.contains(id);
  request.reached[id] = FindEndpoint(state, id)->listed.incarnation;
}

// Logs attempts after the first, and attempts that rely on an old endpoint list.
void LogSent(const gateway_state& state, const call& request, const attempt& attempt,
             time_point now) {
  const duration age = EndpointListAge(state, now);
  if (attempt.number == 1 && age < kLoggedListAge) return;
  log::Log(log::level::kInfo, "attempt sent",
           {{"request", request.incoming.id},
            {"attempt", attempt.number},
            {"endpoint", attempt.path.front().endpoint_id},
            {"hops", attempt.path.size()},
            {"list_version", EndpointListVersion(state)},
            {"list_age_ms", WholeMilliseconds(age)}});
}

// Engines and endpoints of the open attempt and its successor: all that run the request or may soon
// run it.
std::vector<call_hop> EnginesOf(const call& request) {
  std::vector<call_hop> engines;
  for (const attempt_ptr& attempt : {request.open, request.successor}) {
    if (attempt) engines.insert(engines.end(), attempt->path.begin(), attempt->path.end());
  }
  return engines;
}

// Chooses a path that keeps the head of the open attempt. `head`: index of this engine in
// `engines`. Engines without room are used only if there is no path without them.
pipeline::path_choice ChooseReroutePath(const catalog::service& service,
                                        std::span<const pipeline::engine> engines,
                                        const call& request, size_t head,
                                        const gateway_state& state, endpoint_filter filter) {
  std::vector<size_t> excluded = ExcludedEngines(state, request, engines, filter);
  std::erase(excluded, head);
  pipeline::path_query query{.tokens = request.open->committed_tokens,
                             .home_zone = state.config.zone,
                             .head = pipeline::path_stage{head, request.open->path.front().range},
                             .allow_overcommit = false,
                             .excluded = excluded};
  pipeline::path_choice choice = pipeline::ChoosePath(*service.pipelined, engines, query);
  if (choice.verdict != pipeline::path_verdict::kNoRoom) return choice;
  query.allow_overcommit = true;
  return pipeline::ChoosePath(*service.pipelined, engines, query);
}

// Makes `path` the path of the open attempt and moves the load of the attempt to it.
void AdoptPath(gateway_state& state, const call& request, std::vector<call_hop> path) {
  attempt& open = *request.open;
  RecordAttemptPath(state, request, path);
  AttachLoad(state, open, -1);
  open.outputs = 0;
  open.path = std::move(path);
  AttachLoad(state, open, 1);
}

// If the refusal of a reroute order names an engine, orders a path without this engine.
void OnRerouteRefused(gateway_state& state, const call_ptr& request, const net::whole_reply& reply,
                      const attempt_callbacks& callbacks) {
  const bool refused = reply.end.failure == net::call_failure::kNone && reply.status == 409;
  endpoint* refusing_engine =
      refused ? FindByAddress(state, state.wire.read_order_fault(reply.body)) : nullptr;
  if (refusing_engine != nullptr && ++request->open->reroutes <= kMaxReroutes) {
    request->avoided.insert(refusing_engine->listed.id);
    if (Reroute(state, request, false, callbacks)) return;
  }
  callbacks.on_reroute_failed(state, request);
}

}  // namespace

std::set<std::string> CountedEndpoints(gateway_state& state, const call& request) {
  const time_point now = MonotonicNow();
  std::set<std::string> counted;
  for (const auto& [id, incarnation] : request.reached) {
    const endpoint* engine = FindEndpoint(state, id);
    const bool ended = engine != nullptr ? HasEnded(*engine, incarnation, now)
                                         : !MayServeUnlisted(state, id, incarnation, now);
    if (!ended) counted.insert(id);
  }
  return counted;
}

std::string_view ToString(attempt_failure failure) {
  return kFailureNames.at(static_cast<size_t>(failure));
}

bool UsesEndpoint(const attempt& attempt, std::string_view endpoint_id) {
  return std::ranges::find(attempt.path, endpoint_id, &call_hop::endpoint_id) != attempt.path.end();
}

bool IsPipelined(const attempt& attempt) { return attempt.path.front().range.Size() > 0; }

bool IsStalled(const gateway_state& state, const attempt& attempt, time_point now) {
  const pace::estimate& usual = attempt.progressed ? state.pace.gap : state.pace.first;
  return now - attempt.last_progress >= StallThreshold(usual);
}

start_result StartAttempt(gateway_state& state, const call_ptr& request,
                          const attempt_callbacks& callbacks) {
  const catalog::service* service = ServiceOf(*request);
  if (service == nullptr) return start_result::kNoEndpoint;
  const auto new_attempt = std::make_shared<attempt>();
  const start_result chosen = service->pipelined
                                  ? AssignPipeline(state, *request, *service, *new_attempt)
                                  : AssignPlain(state, *request, *new_attempt);
  if (chosen != start_result::kStarted) return chosen;
  const time_point now = MonotonicNow();
  new_attempt->number = ++request->attempts;
  new_attempt->last_progress = now;
  new_attempt->events = request->events;
  DropPartialEvent(new_attempt->events);
  (request->open ? request->successor : request->open) = new_attempt;
  RecordSend(state, *request, *new_attempt);
  AttachLoad(state, *new_attempt, 1);
  RecordAttemptPath(state, *request, EnginesOf(*request));
  LogSent(state, *request, *new_attempt, now);
  net::client_request upstream_request = state.wire.write_attempt(
      request->incoming, request->body, MakeSpec(*request, *new_attempt, request->due - now));
  upstream_request.header_timeout = request->due - now;
  if (request->route->streamed) upstream_request.read_bytes = kStreamReadBytes;
  new_attempt->upstream = state.client->Send(std::move(upstream_request),
                                             MakeCallbacks(state, request, new_attempt, callbacks));
  return start_result::kStarted;
}

bool HasSuccessorTarget(gateway_state& state, const call& request) {
  const catalog::service* service = ServiceOf(request);
  if (service == nullptr) return false;
  if (!service->pipelined) return ChoosePlain(state, request, endpoint_filter::kAny) != nullptr;
  return ChoosePipeline(state, request, *service, endpoint_filter::kAny).result ==
         start_result::kStarted;
}

void CloseAttempt(gateway_state& state, attempt& attempt) {
  if (!attempt.upstream) return;
  AttachLoad(state, attempt, -1);
  attempt.upstream->Cancel();
  attempt.upstream.reset();
}

bool Reroute(gateway_state& state, const call_ptr& request, bool allow_crossings,
             const attempt_callbacks& callbacks) {
  const catalog::service* service = ServiceOf(*request);
  if (service == nullptr || !service->pipelined) return false;
  const attempt_ptr open = request->open;
  if (open->rerouting) return true;
  const std::vector<pipeline::engine> engines = ViewEngines(state, *service, MonotonicNow());
  const auto head =
      std::ranges::find(engines, open->path.front().endpoint_id, &pipeline::engine::id);
  if (head == engines.end()) return false;
  const auto head_index = static_cast<size_t>(head - engines.begin());
  pipeline::path_choice choice;
  if (request->suspect) {
    choice = ChooseReroutePath(*service, engines, *request, head_index, state,
                               endpoint_filter::kWithoutSuspects);
  }
  if (choice.verdict != pipeline::path_verdict::kFound) {
    choice =
        ChooseReroutePath(*service, engines, *request, head_index, state, endpoint_filter::kAny);
  }
  if (choice.verdict != pipeline::path_verdict::kFound) return false;
  const bool crosses = ZoneCrossings(choice.stages, engines) > OpenPathCrossings(state, *request);
  if (crosses && !allow_crossings) return false;
  std::vector<call_hop> path = ToHops(choice.stages, engines);
  net::client_request order = state.wire.write_reroute_order(open->path.front().address,
                                                             request->incoming.id, WireHops(path));
  order.header_timeout = kRerouteTimeout;
  open->rerouting = true;
  // The new engines may start on the request before the reply to the order arrives.
  std::vector<call_hop> both_paths = open->path;
  both_paths.insert(both_paths.end(), path.begin(), path.end());
  RecordAttemptPath(state, *request, both_paths);
  metrics::Increment(state.metrics.registry, state.metrics.rerouted);
  const std::weak_ptr<call> weak_request = request;
  const std::weak_ptr<attempt> weak_attempt = open;
  net::Fetch(
      *state.client, std::move(order),
      [&state, weak_request, weak_attempt, path = std::move(path),
       callbacks](const net::whole_reply& reply) {
        const call_ptr locked_request = weak_request.lock();
        const attempt_ptr open = weak_attempt.lock();
        if (!open || !locked_request || locked_request->open != open) return;
        open->rerouting = false;
        if (endpoint* engine = FindEndpoint(state, path.front().endpoint_id)) {
          ApplyReplyMetadata(state, *engine, state.wire.read_reply(reply.head));
        }
        const bool accepted = reply.end.failure == net::call_failure::kNone &&
                              (reply.status == 200 || reply.status == 202);
        log::Log(log::level::kInfo, "reroute order completed",
                 {{"request", locked_request->incoming.id},
                  {"attempt", open->number},
                  {"head", path.front().endpoint_id},
                  {"status", reply.status},
                  {"detail", reply.end.detail}});
        if (!accepted) {
          RecordAttemptPath(state, *locked_request, open->path);
          return OnRerouteRefused(state, locked_request, reply, callbacks);
        }
        open->reroutes = 0;
        open->last_progress = MonotonicNow();
        AdoptPath(state, *locked_request, path);
      },
      kShortReplyLimits);
  return true;
}

}  // namespace balsambay::gateway
