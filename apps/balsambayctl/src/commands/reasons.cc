// reasons: counters with a label "reason" from every daemon's /metrics.
#include <glib.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "json_text.h"
#include "metrics/prometheus.h"
#include "text_table.h"

namespace balsambay::ctl {
namespace {

using json = nlohmann::json;

struct reason_key {
  std::string metric;
  std::string reason;
  auto operator<=>(const reason_key&) const = default;  // NOLINT(modernize-use-nullptr)
};

// Summed over all other labels.
using reason_counts = std::map<reason_key, double>;

struct poll_result {
  std::vector<daemon_reply> replies;
  std::map<std::string, reason_counts> by_daemon;  // daemons that answered
};

void Add(reason_counts& counts, const metrics::sample& sample) {
  const auto reason = std::ranges::find(sample.labels, "reason", &metrics::label::name);
  if (reason == sample.labels.end() || sample.name.ends_with("_bucket")) return;
  counts[{sample.name, reason->value}] += sample.value;
}

// A body that is no metrics text turns the reply into a failure.
void ReadCounts(daemon_reply& reply, poll_result& out) {
  if (reply.code != kOk) return;
  const auto samples = metrics::ParsePrometheusText(reply.text);
  if (samples.has_error()) {
    reply.code = kFailure;
    reply.problem = samples.error().detail;
    return;
  }
  reason_counts& counts = out.by_daemon[reply.daemon];
  for (const metrics::sample& sample : samples.value()) Add(counts, sample);
}

poll_result Poll(const options& opts) {
  poll_result out;
  out.replies = CallAll(opts, {.path = "/metrics", .body = nullptr});
  for (daemon_reply& reply : out.replies) ReadCounts(reply, out);
  return out;
}

reason_counts Total(const poll_result& poll) {
  reason_counts total;
  for (const auto& [daemon, counts] : poll.by_daemon) {
    for (const auto& [key, value] : counts) total[key] += value;
  }
  return total;
}

void PrintTotals(context& ctx, const poll_result& poll) {
  json list = json::array();
  text_table table{.header = {"COUNTER", "REASON", "COUNT"}, .rows = {}};
  for (const auto& [key, value] : Total(poll)) {
    list.push_back({{"counter", key.metric}, {"reason", key.reason}, {"count", value}});
    table.rows.push_back({CellText(key.metric), CellText(key.reason), CellText(value)});
  }
  json errors = json::array();
  for (const daemon_reply& reply : poll.replies) {
    if (reply.code == kOk) continue;
    errors.push_back({{"daemon", reply.daemon}, {"error", reply.problem}});
    if (!ctx.opts.json) ctx.err << "daemon " << reply.daemon << ": " << reply.problem << "\n";
  }
  Print(ctx, {{"reasons", list}, {"errors", errors}}, FormatTable(table));
}

// A counter that went down belongs to a restarted daemon and counts from zero.
double Growth(const reason_counts& before, const reason_key& key, double now) {
  const auto it = before.find(key);
  return it == before.end() || now < it->second ? now : now - it->second;
}

void PrintGrowth(context& ctx, const std::string& daemon, const reason_key& key, double growth) {
  if (ctx.opts.json) {
    ctx.out << JsonText({{"daemon", daemon},
                         {"counter", key.metric},
                         {"reason", key.reason},
                         {"growth", growth}})
            << std::endl;
  } else {
    ctx.out << daemon << "  " << CellText(key.metric) << "  " << CellText(key.reason) << "  +"
            << CellText(growth) << std::endl;
  }
}

// Daemons that did not answer keep their earlier counts.
void PrintChanges(context& ctx, const poll_result& poll,
                  std::map<std::string, reason_counts>& before) {
  for (const auto& [daemon, counts] : poll.by_daemon) {
    const bool known = before.contains(daemon);
    for (const auto& [key, value] : counts) {
      const double growth = known ? Growth(before[daemon], key, value) : 0;
      if (growth > 0) PrintGrowth(ctx, daemon, key, growth);
    }
    before[daemon] = counts;
  }
}

}  // namespace

exit_code RunReasons(context& ctx) {
  poll_result poll = Poll(ctx.opts);
  const exit_code code = CombinedCode(poll.replies);
  PrintTotals(ctx, poll);
  if (!ctx.opts.follow || poll.by_daemon.empty()) return code;
  std::map<std::string, reason_counts> before = std::move(poll.by_daemon);
  for (int i = 0; ctx.opts.polls == 0 || i < ctx.opts.polls; ++i) {
    g_usleep(static_cast<gulong>(ctx.opts.interval.count()));
    PrintChanges(ctx, Poll(ctx.opts), before);
  }
  return code;
}

}  // namespace balsambay::ctl
