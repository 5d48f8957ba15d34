// Parsers of the sections; see the header. Bounds are far above the size the system is designed for
// (10,000 engines, 46 M tokens/s), so that they only catch slips such as a wrong unit.
#include "details/sections.h"

#include <algorithm>

#include "details/address.h"

namespace balsambay::inventory::details {
namespace {

using json = nlohmann::json;

constexpr auto kRequired = presence::kRequired;
constexpr auto kOptional = presence::kOptional;
constexpr int kMaxLayers = 10000;
constexpr integer_range kCount{.min = 1, .max = 1000000};
constexpr integer_range kTokens{.min = 1, .max = 2000000000};
constexpr number_range kRate{.min = 0, .max = 1e9, .positive = true};
constexpr size_t kDigestLength = 64;

std::string AnyId(std::string_view) { return ""; }

// A slash would make paths and table keys such as record/SHARD/WORKSPACE/KEY ambiguous, and ">"
// separates the ends of a link.
std::string PlainId(std::string_view id) {
  return id.find_first_of("/>") == std::string_view::npos ? "" : "must not contain '/' or '>'";
}

void ReadLayerRange(object_reader& reader, layer_range& out) {
  const json* value = Find(reader, "layers", kRequired);
  if (value == nullptr) return;
  const auto is_layer = [](const json& bound) {
    return bound.is_number_integer() && bound >= 0 && bound <= kMaxLayers;
  };
  if (!value->is_array() || value->size() != 2 || !std::ranges::all_of(*value, is_layer)) {
    return Report(reader, "layers", "must be [first, end] with integers from 0 to 10000");
  }
  const layer_range range{(*value)[0].get<int>(), (*value)[1].get<int>()};
  if (range.first >= range.end) return Report(reader, "layers", "first must be below end");
  out = range;
}

void ReadAddress(object_reader& reader, endpoint& out) {
  const size_t errors_before = reader.errors.size();
  ReadName(reader, "address", kRequired, out.address);
  if (reader.errors.size() != errors_before) return;
  if (!CanonicalAddress(out.address).empty()) return;
  Report(reader, "address", "must be IP:PORT, for example 10.0.0.1:8000 or [fd00::1]:8000");
}

void ReadKind(object_reader& reader, endpoint& out) {
  std::string kind;
  ReadName(reader, "kind", kRequired, kind);
  if (kind == "service") out.kind = endpoint_kind::kService;
  if (kind.empty() || kind == "service" || kind == "engine") return;
  Report(reader, "kind", "must be \"engine\" or \"service\"");
}

void ReadEngine(object_reader& reader, endpoint& out) {
  ReadName(reader, "accelerator", kRequired, out.accelerator);
  ReadInteger(reader, "accelerator_count", kOptional, kCount, out.accelerator_count);
  ReadName(reader, "model", kRequired, out.model);
  ReadLayerRange(reader, out.layers);
  ReadNumber(reader, "tokens_per_second", kRequired, kRate, out.tokens_per_second);
  ReadNumber(reader, "prefill_tokens_per_second", kRequired, kRate, out.prefill_tokens_per_second);
}

void ReadEndpoint(object_reader& reader, endpoint& out) {
  ReadKind(reader, out);
  ReadName(reader, "vm", kRequired, out.vm);
  ReadAddress(reader, out);
  ReadInteger(reader, "max_runs", kOptional, kCount, out.max_runs);
  ReadBool(reader, "checks_fencing", kOptional, out.checks_fencing);
  ReadBool(reader, "drained", kOptional, out.drained);
  if (out.kind == endpoint_kind::kEngine) {
    ReadEngine(reader, out);
  } else {
    ReadName(reader, "service", kRequired, out.service);
  }
}

bool IsDigest(const json& value) {
  if (!value.is_string()) return false;
  const auto& text = value.get_ref<const std::string&>();
  return text.size() == kDigestLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void ReadDigests(object_reader& reader, std::vector<std::string>& out) {
  const json* value = Find(reader, "token_digests", kOptional);
  if (value == nullptr) return;
  if (!value->is_array()) return Report(reader, "token_digests", "must be an array");
  const std::string base = JoinPath(reader.path, "token_digests");
  for (size_t i = 0; i < value->size(); ++i) {
    const json& digest = (*value)[i];
    if (IsDigest(digest)) {
      out.push_back(digest.get<std::string>());
    } else {
      reader.errors.push_back({JoinPath(base, std::to_string(i)),
                               "must be 64 lower-case hexadecimal digits (SHA-256)"});
    }
  }
}

void ReadWorkspace(object_reader& reader, workspace& out) {
  ReadInteger(reader, "priority", kOptional, {.min = -1000, .max = 1000}, out.priority);
  ReadNumber(reader, "share", kOptional, {.min = 0, .max = 1e6, .positive = true}, out.share);
  ReadInteger(reader, "max_requests", kOptional, kCount, out.max_requests);
  ReadInteger(reader, "max_tokens", kOptional, kTokens, out.max_tokens);
  ReadDigests(reader, out.token_digests);
}

// An absent or empty field matches anything.
void ReadPattern(object_reader& reader, std::string_view name, std::string& out) {
  const auto it = reader.json.find(name);
  const bool present = it != reader.json.end();
  if (present && it->is_string() && it->get_ref<const std::string&>().empty()) {
    reader.known.push_back(name);
    return;
  }
  ReadName(reader, name, kOptional, out);
}

never_repeat_rule ReadNeverRepeatRule(object_reader& reader) {
  never_repeat_rule rule;
  ReadPattern(reader, "workspace", rule.workspace);
  ReadPattern(reader, "model", rule.model);
  ReadPattern(reader, "service", rule.service);
  ReportUnknown(reader);
  return rule;
}

void ReadNeverRepeat(object_reader& reader, std::vector<never_repeat_rule>& out) {
  const json* value = Find(reader, "never_repeat", kOptional);
  if (value == nullptr) return;
  if (!value->is_array()) return Report(reader, "never_repeat", "must be an array");
  const std::string base = JoinPath(reader.path, "never_repeat");
  for (size_t i = 0; i < value->size(); ++i) {
    const std::string path = JoinPath(base, std::to_string(i));
    out.emplace_back();  // also for a faulty rule, so that positions equal those of the document
    if (!(*value)[i].is_object()) {
      reader.errors.push_back({path, "must be an object"});
      continue;
    }
    object_reader rule{(*value)[i], path, reader.errors, {}};
    out.back() = ReadNeverRepeatRule(rule);
  }
}

std::string LinkIdError(std::string_view id) {
  const size_t arrow = id.find('>');
  const bool ok = arrow != std::string_view::npos && arrow > 0 && arrow + 1 < id.size() &&
                  id.find('>', arrow + 1) == std::string_view::npos;
  return ok ? "" : "must be FROM>TO";
}

void ReadLink(const std::string& id, object_reader& reader, std::vector<link>& out) {
  link value;
  ReadNumber(reader, "latency_us", kRequired, {.min = 0, .max = 1e7}, value.latency_us);
  ReadNumber(reader, "megabytes_per_second", kRequired, {.min = 0, .max = 1e7, .positive = true},
             value.megabytes_per_second);
  if (!LinkIdError(id).empty()) return;
  const size_t arrow = id.find('>');
  value.from = id.substr(0, arrow);
  value.to = id.substr(arrow + 1);
  out.push_back(value);
}

void ReadRuleMembers(object_reader& reader, rules& out) {
  ReadNumber(reader, "retry_budget_ratio", kOptional, {.min = 0, .max = 1}, out.retry_budget_ratio);
  ReadInteger(reader, "quarantine_endpoint_losses", kOptional, {.min = 1, .max = 100},
              out.quarantine_endpoint_losses);
  ReadInteger(reader, "default_timeout_ms", kOptional, {.min = 1, .max = 86400000},
              out.default_timeout_ms);
  ReadInteger(reader, "max_queue_per_workspace", kOptional, kCount, out.max_queue_per_workspace);
  ReadInteger(reader, "record_lifetime_s", kOptional, {.min = 1, .max = 315360000},
              out.record_lifetime_s);
  ReadNeverRepeat(reader, out.never_repeat);
}

}  // namespace

void ReadFormat(object_reader& root) {
  int64_t format = 0;
  ReadInteger(root, "format", kRequired, {.min = 1, .max = 1}, format);
}

void ReadZones(object_reader& root, configuration& config) {
  ReadCollection(root, "zones", kRequired, PlainId, [&](const std::string& id, object_reader& m) {
    ReadName(m, "region", kRequired, config.zones[id].region);
  });
}

void ReadVms(object_reader& root, configuration& config) {
  ReadCollection(root, "vms", kRequired, PlainId, [&](const std::string& id, object_reader& m) {
    ReadName(m, "zone", kRequired, config.vms[id].zone);
  });
}

void ReadModels(object_reader& root, configuration& config) {
  ReadCollection(root, "models", kRequired, AnyId, [&](const std::string& id, object_reader& m) {
    model& out = config.models[id];
    ReadInteger(m, "layers", kRequired, {.min = 1, .max = kMaxLayers}, out.layers);
    ReadInteger(m, "hidden_bytes_per_token", kOptional, {.min = 1, .max = 1 << 24},
                out.hidden_bytes_per_token);
    ReadInteger(m, "max_context_tokens", kOptional, {.min = 1, .max = 100000000},
                out.max_context_tokens);
  });
}

void ReadEndpoints(object_reader& root, configuration& config) {
  ReadCollection(root, "endpoints", kRequired, PlainId,
                 [&](const std::string& id, object_reader& m) {
                   endpoint& out = config.endpoints[id];
                   out.id = id;
                   ReadEndpoint(m, out);
                 });
}

void ReadServices(object_reader& root, configuration& config) {
  ReadCollection(root, "services", kRequired, PlainId,
                 [&](const std::string& id, object_reader& m) {
                   ReadBool(m, "repeatable", kOptional, config.services[id].repeatable);
                 });
}

void ReadWorkspaces(object_reader& root, configuration& config) {
  ReadCollection(
      root, "workspaces", kRequired, PlainId,
      [&](const std::string& id, object_reader& m) { ReadWorkspace(m, config.workspaces[id]); });
}

void ReadLinks(object_reader& root, configuration& config) {
  ReadCollection(root, "links", kOptional, LinkIdError,
                 [&](const std::string& id, object_reader& m) { ReadLink(id, m, config.links); });
}

void ReadRules(object_reader& root, configuration& config) {
  const json* value = Find(root, "rules", kOptional);
  if (value == nullptr) return;
  if (!value->is_object()) return Report(root, "rules", "must be an object");
  object_reader reader{*value, JoinPath(root.path, "rules"), root.errors, {}};
  ReadRuleMembers(reader, config.policy);
  ReportUnknown(reader);
}

}  // namespace balsambay::inventory::details
