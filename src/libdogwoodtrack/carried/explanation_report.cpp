#include "carried/explanation_report.hpp"

#include <cmath>

#include <boost/url/parse.hpp>
#include <boost/url/src.hpp>
#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace dogwoodtrack::carried {

namespace {

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

auto write_text(json_writer &out, std::string_view text) -> void {
    out.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

auto write_key(json_writer &out, std::string_view name) -> void {
    out.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
}

auto write_member(json_writer &out, std::string_view name,
                  std::string_view value) -> void {
    write_key(out, name);
    write_text(out, value);
}

auto write_member(json_writer &out, std::string_view name, bool value) -> void {
    write_key(out, name);
    out.Bool(value);
}

auto write_member(json_writer &out, std::string_view name, std::uint64_t value)
    -> void {
    write_key(out, name);
    out.Uint64(value);
}

// Rounds to three decimals. Values that are no finite number, which JSON cannot
// express, become null.
auto write_member(json_writer &out, std::string_view name, float value)
    -> void {
    write_key(out, name);
    constexpr double scale = 1'000;
    if (std::isfinite(value))
        out.Double(std::round(double{value} * scale) / scale);
    else
        out.Null();
}

auto hex(std::uint64_t hash) -> std::string {
    return fmt::format("{:016x}", hash);
}

auto hex(std::uint32_t hash) -> std::string {
    return fmt::format("{:08x}", hash);
}

auto to_string(request_kind kind) -> std::string_view {
    static constexpr std::array names{"idempotent", "non_idempotent",
                                      "download"};
    return names[static_cast<std::size_t>(kind)];
}

auto to_string(verdict_kind kind) -> std::string_view {
    static constexpr std::array names{"forward", "reject", "hold", "drop",
                                      "queue"};
    return names[static_cast<std::size_t>(kind)];
}

auto to_string(admission_decision decision) -> std::string_view {
    static constexpr std::array names{"admit", "queue", "reject"};
    return names[static_cast<std::size_t>(decision)];
}

auto write_known(json_writer &out, const flow_explanation &it) -> void {
    out.Key("known");
    out.StartObject();
    write_member(out, "configuration", it.configuration_known);
    write_member(out, "configuration_current", it.configuration_current);
    write_member(out, "upstreams", it.upstreams_known);
    write_member(out, "evacuations", it.evacuations_known);
    out.EndObject();
}

auto write_route(json_writer &out, const flow_explanation &it) -> void {
    out.Key("route");
    if (!it.route) {
        out.Null();
        return;
    }
    out.StartObject();
    write_member(out, "service", hex(it.service));
    out.Key("services");
    out.StartArray();
    for (const auto &one : it.route->services) {
        out.StartObject();
        write_member(out, "service", hex(one.service));
        write_member(out, "weight", std::uint64_t{one.weight});
        out.EndObject();
    }
    out.EndArray();
    write_member(out, "kind", to_string(it.route->kind));
    write_member(out, "priority", std::uint64_t{it.route->priority});
    write_member(out, "target_latency_ms",
                 static_cast<std::uint64_t>(it.route->target_latency.count()));
    out.EndObject();
}

auto write_admission(json_writer &out, const flow_explanation &it) -> void {
    out.Key("admission");
    if (!it.admission) {
        out.Null();
        return;
    }
    const auto &admission = *it.admission;
    out.StartObject();
    write_member(out, "enabled", admission.enabled);
    write_member(out, "plan", to_string(admission.origin));
    out.Key("plan_age_ms");
    if (admission.plan_age)
        out.Int64(admission.plan_age->count());
    else
        out.Null();
    write_member(out, "fraction", admission.fraction);
    write_member(out, "limit", admission.limit);
    write_member(out, "in_flight", admission.in_flight);
    write_member(out, "demand", admission.demand);
    write_member(out, "now", to_string(admission.now));
    write_member(out, "if_not_admitted", to_string(admission.otherwise));
    write_member(out, "on_average", to_string(admission.on_average));
    out.EndObject();
}

auto write_upstream(json_writer &out, const explained_upstream &it) -> void {
    out.StartObject();
    write_member(out, "id", it.id);
    write_member(out, "address", to_string(it.address));
    write_member(out, "failure_domain", hex(it.failure_domain));
    write_member(out, "open", std::uint64_t{it.open});
    write_member(out, "slots", std::uint64_t{it.slots});
    write_member(out, "load", it.load);
    write_member(out, "why", to_string(it.why));
    out.EndObject();
}

auto write_upstreams(json_writer &out, const flow_explanation &it) -> void {
    out.Key("chosen");
    if (it.rule == selection_rule::none || it.upstreams.empty())
        out.Null();
    else
        write_text(out, it.upstreams.front().id);
    write_member(out, "rule", to_string(it.rule));
    out.Key("upstreams");
    out.StartArray();
    for (const auto &one : it.upstreams)
        write_upstream(out, one);
    out.EndArray();
    write_member(out, "left_out", std::uint64_t{it.left_out});
    out.Key("reasons");
    out.StartObject();
    for (std::size_t i = 0; i < it.reasons.size(); ++i) {
        if (it.reasons[i] > 0)
            write_member(out, to_string(static_cast<ruled_out>(i)),
                         std::uint64_t{it.reasons[i]});
    }
    out.EndObject();
}

auto bad_target(const std::string &detail) -> error {
    return {error_kind::bad_endpoint, detail};
}

auto error_reply(const error &why) -> http_reply {
    constexpr unsigned bad_request = 400;
    rapidjson::StringBuffer buf;
    json_writer out(buf);
    out.StartObject();
    write_member(out, "error", why.message());
    out.EndObject();
    return {.status = bad_request,
            .body = std::string(buf.GetString(), buf.GetSize()) + "\n",
            .type = "application/json"};
}

} // namespace

auto parse_explain_target(std::string_view target) -> result<flow_endpoints> {
    const auto url =
        boost::urls::parse_origin_form({target.data(), target.size()});
    if (!url)
        return bad_target("the request is not a valid path with parameters");
    flow_endpoints it;
    for (const auto &param : url->params()) {
        const std::string name(param.key);
        auto *value = name == "service"  ? &it.service
                      : name == "caller" ? &it.caller
                                         : nullptr;
        if (value == nullptr)
            return bad_target(
                fmt::format("'{}' is not service or caller", name));
        if (value->port != 0)
            return bad_target(fmt::format("{} is given twice", name));
        const auto parsed = parse_endpoint(std::string(param.value));
        if (!parsed)
            return bad_target(
                fmt::format("{}: {}", name, parsed.error().detail));
        *value = parsed.value();
    }
    if (it.service.port == 0)
        return bad_target("service is missing");
    return it;
}

auto explanation_json(const flow_explanation &it, const std::string &instance)
    -> std::string {
    rapidjson::StringBuffer buf;
    json_writer out(buf);
    out.StartObject();
    write_member(out, "instance", instance);
    write_member(out, "failure_domain", hex(it.failure_domain));
    write_member(out, "service", to_string(it.endpoints.service));
    out.Key("caller");
    if (it.endpoints.caller.port == 0)
        out.Null();
    else
        write_text(out, to_string(it.endpoints.caller));
    write_known(out, it);
    write_route(out, it);
    write_admission(out, it);
    write_member(out, "decision", to_string(it.decision));
    write_member(out, "refused", to_string(it.refused));
    write_upstreams(out, it);
    out.EndObject();
    return std::string(buf.GetString(), buf.GetSize()) + "\n";
}

auto explain_reply(const steering_state &state, const std::string &instance,
                   std::string_view target, time_point now) -> http_reply {
    const auto endpoints = parse_explain_target(target);
    if (!endpoints)
        return error_reply(endpoints.error());
    return {.body = explanation_json(
                explain_new_flow(state, endpoints.value(), now), instance),
            .type = "application/json"};
}

} // namespace dogwoodtrack::carried
