#include <iterator>
#include <map>

#include <fmt/format.h>

#include "commands.hpp"

namespace dogwoodtrack::tool {

namespace {

using texts = std::map<std::string, const char *, std::less<>>;

// Text for a name in an explanation; a name that this version of the tool does
// not know stands for itself.
auto find_text(const texts &known, const std::string &name) -> std::string {
    const auto found = known.find(name);
    return found == known.end() ? name : found->second;
}

auto reason_text(const std::string &name) -> std::string {
    static const texts known{
        {"chosen", "chosen"},
        {"evacuated", "its failure domain is evacuated"},
        {"draining", "draining"},
        {"removed", "its entry is gone from the store"},
        {"code_in_use", "an older upstream has its binding code"},
        {"cut_off", "its failure domain is out of reach"},
        {"cold_over_quota", "cold, and this balancer's quota is used up"},
        {"cold_other_domain", "cold, left to its own failure domain"},
        {"ejected", "ejected for failing requests"},
        {"on_probation", "on probation after an ejection"},
        {"silent", "did not answer openings"},
        {"at_planned_limit", "at the limit of the load plan"},
        {"undecided", "could get the flow"},
        {"trial", "the flow is a trial of the chosen upstream"},
        {"other_domain", "in another failure domain, not needed"},
        {"higher_load", "higher load"},
        {"not_in_turn", "as good, but not its turn"}};
    return find_text(known, name);
}

auto rule_text(const std::string &name) -> std::string {
    static const texts known{
        {"load_plan", "by the load plan"},
        {"lowest_load", "it has the lowest load"},
        {"trial", "its trial flow after an ejection is due"},
        {"last_resort", "every upstream should be avoided, and it has the "
                        "lowest load"}};
    return find_text(known, name);
}

auto refusal_text(const std::string &name) -> std::string {
    static const texts known{
        {"no_configuration", "no configuration or list of evacuations is "
                             "known yet"},
        {"no_route", "no route has this address"},
        {"no_upstream", "no upstream may get the flow"},
        {"evacuated", "all upstreams are in evacuated failure domains"},
        {"overload", "capacity is short"}};
    return find_text(known, name);
}

auto field(const ordered_json &object, const char *name) -> std::string {
    return object.value(name, std::string{});
}

auto yes_or_no(const ordered_json &object, const char *name) -> const char * {
    return object.value(name, false) ? "yes" : "no";
}

auto decision_line(const ordered_json &it) -> std::string {
    const auto decision = field(it, "decision");
    const auto refused = field(it, "refused");
    const auto chosen = it["chosen"].is_string()
                            ? fmt::format("{} at {}, {}", field(it, "chosen"),
                                          field(it["upstreams"][0], "address"),
                                          rule_text(field(it, "rule")))
                            : std::string("no upstream");
    if (decision == "forward")
        return "forwarded to " + chosen;
    if (decision == "queue")
        return "waits for admission; once admitted, forwarded to " + chosen;
    const texts known{
        {"reject", "rejected"}, {"hold", "held"}, {"drop", "dropped"}};
    auto line = fmt::format("{}: {}", find_text(known, decision),
                            refusal_text(refused));
    if (refused == "overload")
        line += "; once admitted, forwarded to " + chosen;
    return line;
}

auto route_line(const ordered_json &route) -> std::string {
    if (!route.is_object())
        return "none";
    auto line = fmt::format("{}, priority {}, target latency {} ms, service {}",
                            field(route, "kind"), route.value("priority", 0U),
                            route.value("target_latency_ms", 0U),
                            field(route, "service"));
    const auto n = route["services"].size();
    if (n > 1)
        line += fmt::format(" (one of {}, by the flow's hash)", n);
    return line;
}

// Loads and limits are null if they are no finite numbers.
auto number_text(const ordered_json &object, const char *name) -> std::string {
    const auto &it = object[name];
    return it.is_number() ? fmt::format("{:.1f}", it.get<double>()) : "?";
}

auto plan_text(const ordered_json &it) -> std::string {
    const auto origin = field(it, "plan");
    if (origin == "none")
        return "no load plan";
    const auto &age = it["plan_age_ms"];
    return fmt::format(
        "{} admits {:.1f}% of this priority (limit {}, in flight {}, demand "
        "{}; {})",
        origin == "coordinator" ? "the coordinator's plan" : "the derived plan",
        it.value("fraction", 0.0) * 100, number_text(it, "limit"),
        number_text(it, "in_flight"), number_text(it, "demand"),
        age.is_number()
            ? fmt::format("received {} ms ago", age.get<std::int64_t>())
            : std::string("never received"));
}

auto admission_line(const ordered_json &it) -> std::string {
    if (!it.is_object())
        return "not applied";
    const texts known{
        {"admit", "admitted"}, {"queue", "queued"}, {"reject", "rejected"}};
    const auto outcome = [&](const char *name) {
        return find_text(known, field(it, name));
    };
    if (!it.value("enabled", false))
        return "off, all flows are admitted; " + plan_text(it);
    return fmt::format("now {}, on average {}; {}", outcome("now"),
                       outcome("on_average"), plan_text(it));
}

auto write_upstreams(fmt::memory_buffer &out, const ordered_json &it) -> void {
    if (it["upstreams"].empty())
        return;
    fmt::format_to(std::back_inserter(out),
                   "  {:16} {:21} {:8} {:>5} {:>5} {:>7} {}\n", "UPSTREAM",
                   "ADDRESS", "DOMAIN", "OPEN", "SLOTS", "LOAD", "REASON");
    for (const auto &row : it["upstreams"])
        fmt::format_to(std::back_inserter(out),
                       "  {:16} {:21} {:8} {:>5} {:>5} {:>7} {}\n",
                       field(row, "id"), field(row, "address"),
                       row["failure_domain"] == it["failure_domain"]
                           ? std::string("own")
                           : field(row, "failure_domain"),
                       row.value("open", 0U), row.value("slots", 0U),
                       row["load"].is_number()
                           ? fmt::format("{:.2f}", row["load"].get<double>())
                           : std::string("?"),
                       reason_text(field(row, "why")));
    if (it.value("left_out", 0U) == 0)
        return;
    fmt::format_to(std::back_inserter(out), "  and {} more; of all:\n",
                   it.value("left_out", 0U));
    for (const auto &[why, n] : it["reasons"].items())
        fmt::format_to(std::back_inserter(out), "  {:>7} {}\n",
                       n.get<std::uint64_t>(), reason_text(why));
}

auto print_explanation(const ordered_json &it) -> void {
    fmt::memory_buffer out;
    const auto &known = it["known"];
    fmt::format_to(
        std::back_inserter(out),
        "{}: a new flow to {} from {}\n"
        "  decision:  {}\n"
        "  route:     {}\n"
        "  admission: {}\n"
        "  known:     configuration {} (current: {}), upstreams {}, "
        "evacuations {}\n",
        field(it, "instance"), field(it, "service"),
        it["caller"].is_string() ? field(it, "caller") : "an unknown caller",
        decision_line(it), route_line(it["route"]),
        admission_line(it["admission"]), yes_or_no(known, "configuration"),
        yes_or_no(known, "configuration_current"),
        yes_or_no(known, "upstreams"), yes_or_no(known, "evacuations"));
    write_upstreams(out, it);
    fmt::print("{}", fmt::to_string(out));
}

// Why there is no explanation; empty if there is one.
auto find_failure(const instance_reply &reply, const ordered_json &body)
    -> std::string {
    constexpr int not_found = 404;
    if (reply.status == 0)
        return "does not answer";
    if (reply.status == not_found)
        return "does not explain flows: it is older than version 0.5.0, or not "
               "dogwoodtrackd-carried";
    if (body.is_object() && body.contains("error"))
        return field(body, "error");
    return body.is_object() && body.contains("decision")
               ? ""
               : fmt::format("answers with status {} and no explanation",
                             reply.status);
}

auto wrong_flags(const error &why) -> tool_exit {
    fail(why);
    return tool_exit::usage;
}

} // namespace

auto explain_flow(const tool_settings &settings, const explain_settings &flow)
    -> tool_exit {
    for (const auto *it : {&flow.service, &flow.caller}) {
        if (it == &flow.caller && it->empty())
            continue;
        if (const auto parsed = parse_endpoint(*it); !parsed)
            return wrong_flags(parsed.error());
    }
    if (settings.instances.empty())
        return wrong_flags(
            {error_kind::bad_setting,
             "--instances is needed: the operators' endpoints of the "
             "balancers to ask"});
    auto path = "/explain?service=" + flow.service;
    if (!flow.caller.empty())
        path += "&caller=" + flow.caller;
    auto exit = tool_exit::done;
    ordered_json all;
    for (const auto &instance : settings.instances) {
        const auto reply = query_instance(instance, path);
        const auto body = ordered_json::parse(reply.body, nullptr, false);
        all[instance] = body.is_discarded() ? ordered_json() : body;
        const auto failure = find_failure(reply, body);
        if (!failure.empty()) {
            fmt::print(stderr, "{} {}\n", instance, failure);
            exit = tool_exit::failed;
        } else if (!settings.json) {
            print_explanation(body);
        }
    }
    if (settings.json)
        fmt::print("{}\n", all.dump());
    return exit;
}

} // namespace dogwoodtrack::tool
