#include "commands.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <thread>

#include <fmt/format.h>
#include <httplib.h>

namespace dogwoodtrack::tool {

namespace {

constexpr seconds request_timeout{2};
constexpr seconds follow_interval{1};

// Returns the body of the response, or an empty string if the instance did not
// respond with status 200.
auto query_body(const std::string &instance, const std::string &path)
    -> std::string {
    constexpr int ok = 200;
    auto reply = query_instance(instance, path);
    return reply.status == ok ? std::move(reply.body) : std::string{};
}

auto print_json(const std::vector<instance_response> &responses) -> tool_exit {
    ordered_json all;
    for (const auto &it : responses)
        all[it.instance] = it.body;
    fmt::print("{}\n", all.dump());
    return tool_exit::done;
}

// A feed (the configuration or the upstreams, as read from the platform's
// store) is reported as a problem if it was last confirmed to be current longer
// ago than this.
constexpr std::int64_t unconfirmed_limit_ms = 10'000;

// Adds the problems in the status of a `dogwoodtrackd-carried` instance.
auto add_carried_problems(const ordered_json &status,
                          std::vector<std::string> &lines) -> void {
    const auto instance = status.value("instance", std::string("an instance"));
    if (!status.value("can_serve", false))
        lines.push_back(instance +
                        " serves no flows: neither the platform nor a "
                        "peer has sent it the configuration and upstreams");
    for (const auto &[feed, version] : status["feeds"].items()) {
        const auto age = version.value("unconfirmed_ms", std::int64_t{-1});
        if (age > unconfirmed_limit_ms)
            lines.push_back(
                fmt::format("{}: {} last confirmed to be current {} ms ago; is "
                            "the platform reachable?",
                            instance, feed, age));
    }
    for (const auto &upstream : status["upstreams"]) {
        if (upstream.value("ejected", false))
            lines.push_back(
                fmt::format("upstream {} at {} fails requests and is ejected",
                            upstream.value("id", std::string{}),
                            upstream.value("address", std::string{})));
    }
}

// Returns one line for each problem in the responses to `/status`, sorted.
auto find_problems(const std::vector<instance_response> &responses)
    -> std::vector<std::string> {
    std::vector<std::string> lines;
    std::map<std::string, std::uint64_t> latest_generations;
    for (const auto &it : responses) {
        if (!it.body.is_object()) {
            lines.push_back(it.instance + " does not answer");
            continue;
        }
        if (it.body.contains("can_serve")) {
            add_carried_problems(it.body, lines);
            continue;
        }
        for (const auto &condition : it.body["conditions"])
            lines.push_back(
                fmt::format("{}: {}", condition["service"].get<std::string>(),
                            condition["reason"].get<std::string>()));
        if (!it.body["placing"].get<bool>())
            lines.push_back(
                fmt::format("{} places no flows: it is not in contact with a "
                            "majority of {}",
                            it.body["instance"].get<std::string>(),
                            it.body["failure_domain"].get<std::string>()));
        for (const auto &[customer, generation] : it.body["contracts"].items())
            latest_generations[customer] = std::max(
                latest_generations[customer], generation.get<std::uint64_t>());
    }
    for (const auto &it : responses) {
        if (!it.body.is_object() || !it.body.contains("contracts"))
            continue;
        for (const auto &[customer, generation] : latest_generations) {
            if (it.body["contracts"].value(customer, std::uint64_t{0}) <
                generation)
                lines.push_back(
                    fmt::format("{} lacks generation {} of {}",
                                it.body["instance"].get<std::string>(),
                                generation, customer));
        }
    }
    std::sort(lines.begin(), lines.end());
    lines.erase(std::unique(lines.begin(), lines.end()), lines.end());
    return lines;
}

auto read_events(const tool_settings &settings, const timeline_settings &filter)
    -> ordered_json {
    ordered_json events = ordered_json::array();
    if (!filter.file.empty()) {
        std::ifstream in(filter.file);
        const auto list = ordered_json::parse(in, nullptr, false);
        return list.is_array() ? list : events;
    }
    for (const auto &it : query_instances(settings, "/timeline")) {
        if (it.body.is_array())
            events.insert(events.end(), it.body.begin(), it.body.end());
    }
    return events;
}

auto field_contains(const ordered_json &event, const char *field,
                    const std::string &wanted) -> bool {
    return wanted.empty() ||
           event[field].get<std::string>().find(wanted) != std::string::npos;
}

auto matches(const ordered_json &event, const timeline_settings &filter)
    -> bool {
    return (field_contains(event, "subject", filter.subject) ||
            field_contains(event, "detail", filter.subject)) &&
           field_contains(event, "instance", filter.instance) &&
           field_contains(event, "kind", filter.kind) &&
           (filter.generation == 0 || event["generation"] == filter.generation);
}

auto matching_events(const tool_settings &settings,
                     const timeline_settings &filter) -> ordered_json {
    ordered_json matching = ordered_json::array();
    for (const auto &it : read_events(settings, filter)) {
        if (matches(it, filter))
            matching.push_back(it);
    }
    std::sort(matching.begin(), matching.end(),
              [](const ordered_json &left, const ordered_json &right) {
                  return left["stamp"].get<std::uint64_t>() <
                         right["stamp"].get<std::uint64_t>();
              });
    return matching;
}

// Prints an event. Its stamp is printed as Unix time in milliseconds and, after
// the dot, the counter.
auto print_event(const ordered_json &it) -> void {
    const auto stamp = it["stamp"].get<std::uint64_t>();
    fmt::print("{}.{:04} {:16} {:20} {} {}\n", stamp >> 16, stamp & 0xffff,
               it["instance"].get<std::string>(), it["kind"].get<std::string>(),
               it["subject"].get<std::string>(),
               it["detail"].get<std::string>());
}

} // namespace

auto fail(const error &why) -> tool_exit {
    fmt::print(stderr, "{}\n", why.message());
    return tool_exit::failed;
}

auto query_instance(const std::string &instance, const std::string &path)
    -> instance_reply {
    auto address = parse_endpoint(instance);
    if (!address)
        return {};
    httplib::Client client(instance.substr(0, instance.rfind(':')),
                           address.value().port);
    client.set_connection_timeout(request_timeout);
    client.set_read_timeout(request_timeout);
    const auto response = client.Get(path);
    if (!response)
        return {};
    return {.status = response->status, .body = response->body};
}

auto query_instances(const tool_settings &settings, const std::string &path)
    -> std::vector<instance_response> {
    std::vector<instance_response> responses;
    for (const auto &it : settings.instances) {
        const auto body =
            ordered_json::parse(query_body(it, path), nullptr, false);
        responses.push_back(
            {.instance = it,
             .body = body.is_discarded() ? ordered_json() : body});
    }
    return responses;
}

auto show_status(const tool_settings &settings) -> tool_exit {
    const auto responses = query_instances(settings, "/status");
    const auto problems = find_problems(responses);
    if (settings.json) {
        print_json(responses);
        return problems.empty() ? tool_exit::done : tool_exit::unhealthy;
    }
    if (problems.empty()) {
        std::uint64_t flows = 0;
        for (const auto &it : responses)
            flows += it.body["flows"].get<std::uint64_t>();
        fmt::print("nothing to worry about: {} balancers, {} flow records\n",
                   responses.size(), flows);
        return tool_exit::done;
    }
    for (const auto &it : problems)
        fmt::print("{}\n", it);
    return tool_exit::unhealthy;
}

auto show_instances(const tool_settings &settings) -> tool_exit {
    const auto responses = query_instances(settings, "/instances");
    if (settings.json)
        return print_json(responses);
    fmt::print("{:24} {:16} {:8} {}\n", "SEEN BY", "INSTANCE", "STATUS",
               "LAST HEARD (MS AGO)");
    for (const auto &it : responses) {
        if (!it.body.is_array())
            continue;
        for (const auto &row : it.body)
            fmt::print("{:24} {:16} {:8} {}\n", it.instance,
                       row["name"].get<std::string>(),
                       row["status"].get<std::string>(),
                       row["heard_ms"].get<std::int64_t>());
    }
    return tool_exit::done;
}

auto show_upstreams(const tool_settings &settings) -> tool_exit {
    const auto responses = query_instances(settings, "/upstreams");
    if (settings.json)
        return print_json(responses);
    fmt::print("{:24} {:16} {:>8} {:>8} {:>7} {}\n", "SERVICE", "UPSTREAM",
               "OPEN", "LIMIT", "WEIGHT", "OWNER");
    for (const auto &it : responses) {
        if (!it.body.is_array())
            continue;
        for (const auto &row : it.body) {
            if (!row["mine"].get<bool>())
                continue;
            fmt::print("{:24} {:16} {:>8} {:>8} {:>7} {}{}\n",
                       row["service"].get<std::string>(),
                       row["name"].get<std::string>(),
                       row["open"].get<std::uint64_t>(),
                       row["limit"].get<std::uint64_t>(),
                       row["weight"].get<std::uint64_t>(),
                       row["owner"].get<std::string>(),
                       row["in_service"].get<bool>() ? "" : " (leaving)");
        }
    }
    return tool_exit::done;
}

auto show_flows(const tool_settings &settings) -> tool_exit {
    const auto responses = query_instances(settings, "/status");
    if (settings.json)
        return print_json(responses);
    fmt::print("{:16} {:>8} {:>10} {:>10} {:>8} {:>8}\n", "INSTANCE", "FLOWS",
               "PLACED", "FORWARDED", "REFUSED", "LEARNED");
    for (const auto &it : responses) {
        if (!it.body.is_object())
            continue;
        const auto &counters = it.body["counters"];
        const auto number = [&](const char *name) {
            return counters[name].get<std::uint64_t>();
        };
        fmt::print("{:16} {:>8} {:>10} {:>10} {:>8} {:>8}\n",
                   it.body["instance"].get<std::string>(),
                   it.body["flows"].get<std::uint64_t>(), number("placed"),
                   number("forwarded"), number("refused"), number("learned"));
    }
    return tool_exit::done;
}

auto show_metrics(const tool_settings &settings) -> tool_exit {
    for (const auto &it : settings.instances)
        fmt::print("{}", query_body(it, "/metrics"));
    return tool_exit::done;
}

auto show_config(const tool_settings &settings) -> tool_exit {
    return print_json(query_instances(settings, "/config"));
}

auto show_timeline(const tool_settings &settings,
                   const timeline_settings &filter) -> tool_exit {
    const auto events = matching_events(settings, filter);
    if (!filter.html.empty()) {
        std::ofstream(filter.html) << timeline_page(events);
        fmt::print("{} events in {}\n", events.size(), filter.html);
        return tool_exit::done;
    }
    if (settings.json) {
        fmt::print("{}\n", events.dump());
        return tool_exit::done;
    }
    std::uint64_t last = 0;
    for (auto list = events;; list = matching_events(settings, filter)) {
        for (const auto &it : list) {
            if (it["stamp"].get<std::uint64_t>() <= last)
                continue;
            last = it["stamp"].get<std::uint64_t>();
            print_event(it);
        }
        if (!filter.follow)
            return tool_exit::done;
        std::fflush(stdout);
        std::this_thread::sleep_for(follow_interval);
    }
}

} // namespace dogwoodtrack::tool
