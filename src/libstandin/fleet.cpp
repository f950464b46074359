#include "fleet.hpp"

#include <thread>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace dogwoodtrack::standin {

namespace {

using nlohmann::json;

constexpr std::uint16_t link_port = 6081;
constexpr std::uint16_t control_port = 7001;
constexpr std::uint16_t operator_port = 7002;
constexpr std::uint16_t platform_port = 7003;
constexpr std::uint32_t loopback = 127U << 24;
constexpr int network_attempts = 200;
constexpr const char *fleet_key = "a key for trials on loopback only";

// Network of the given attempt. Each trial uses a /16 of 127.0.0.0/8 of its
// own, so that trials can run in parallel; a network is free if the sockets of
// the fabric and the platform can be bound there.
auto network_for(int attempt) -> std::uint32_t {
    const auto second =
        16 + (static_cast<std::uint32_t>(getpid()) + attempt) % 230;
    return loopback | (second << 16);
}

auto host_of(std::uint32_t address) -> std::string {
    const auto text = to_string(endpoint{.address = address, .port = 1});
    return text.substr(0, text.rfind(':'));
}

auto endpoint_entry(const std::string &name, const std::string &zone,
                    std::uint32_t address, bool ready, bool terminating)
    -> json {
    return {{"addresses", {host_of(address)}},
            {"zone", zone},
            {"targetRef", {{"name", name}}},
            {"conditions",
             {{"ready", ready && !terminating},
              {"serving", ready},
              {"terminating", terminating}}}};
}

struct cost_baseline {
    double cpu = 0;
    std::uint64_t bytes = 0;
    std::chrono::steady_clock::time_point when;
};

} // namespace

struct fleet::state {
    fleet_options options;
    std::uint32_t base = 0;
    std::unique_ptr<platform_standin> platform;
    std::unique_ptr<traffic> network;
    std::map<std::string, fleet_member> members;
    std::map<std::string, cost_baseline> baselines;
    std::map<std::string, int> start_counts;
    std::uint32_t next_host = 0;

    auto find(const std::string &name) -> fleet_member * {
        const auto it = members.find(name);
        return it == members.end() ? nullptr : &it->second;
    }

    auto target(const fleet_member &it) const -> balancer_target {
        return {.name = it.name,
                .failure_domain = it.failure_domain,
                .link = {.address = it.address, .port = link_port}};
    }

    auto arguments(const fleet_member &it) const -> std::vector<std::string> {
        const auto at = [&](std::uint32_t address, std::uint16_t port) {
            return to_string(endpoint{.address = address, .port = port});
        };
        std::vector<std::string> list{
            "--name",           it.name,
            "--failure-domain", it.failure_domain,
            "--link",           at(it.address, link_port),
            "--control",        at(it.address, control_port),
            "--operators",      at(it.address, operator_port),
            "--fabric",         at(base + 1, link_port),
            "--platform",       at(base + 2, platform_port),
            "--fleet-key",      fleet_key,
            "--flows",          std::to_string(options.flows),
            "--fault-injection"};
        for (const auto &[name, other] : members) {
            if (name != it.name)
                list.insert(list.end(),
                            {"--seed", at(other.address, control_port)});
        }
        list.insert(list.end(), options.extra_arguments.begin(),
                    options.extra_arguments.end());
        return list;
    }

    auto post_faults(const fleet_member &it,
                     const std::vector<std::string> &cut,
                     bool platform_cut) const -> void;
};

fleet::fleet(std::unique_ptr<state> s) : state_(std::move(s)) {}

fleet::~fleet() {
    // Stop the daemons first: they still use the platform.
    state_->members.clear();
}

auto fleet::open(const fleet_options &options)
    -> result<std::unique_ptr<fleet>> {
    auto s = std::make_unique<state>();
    s->options = options;
    error last_error{error_kind::socket_failed, "no free loopback network"};
    for (int i = 0; i < network_attempts; ++i) {
        const auto base = network_for(i);
        auto network = traffic::open({.address = base + 1, .port = link_port},
                                     options.seed);
        if (!network) {
            last_error = network.error();
            continue;
        }
        auto platform = platform_standin::open(
            {.address = base + 2, .port = platform_port});
        if (!platform) {
            last_error = platform.error();
            continue;
        }
        s->base = base;
        s->network = std::move(network.value());
        s->platform = std::move(platform.value());
        return std::unique_ptr<fleet>(new fleet(std::move(s)));
    }
    return last_error;
}

auto fleet::add_member(const std::string &name,
                       const std::string &failure_domain) -> result<void> {
    if (state_->members.contains(name))
        return error{error_kind::scenario_invalid,
                     "instance " + name + " is defined twice"};
    constexpr std::uint32_t first_host = 256;
    auto &it = state_->members[name];
    it.name = name;
    it.failure_domain = failure_domain;
    it.address = state_->base + first_host + ++state_->next_host;
    return boost::outcome_v2::success();
}

auto fleet::member(const std::string &name) -> fleet_member * {
    return state_->find(name);
}

auto fleet::names() const -> std::vector<std::string> {
    std::vector<std::string> names;
    for (const auto &[name, it] : state_->members)
        names.push_back(name);
    return names;
}

auto fleet::start_member(const std::string &name) -> result<void> {
    auto &it = *state_->find(name);
    const auto log = fmt::format("{}/{}.{}.log", state_->options.log_folder,
                                 name, ++state_->start_counts[name]);
    BOOST_OUTCOME_TRY(it.daemon, process::start(state_->options.daemon,
                                                state_->arguments(it), log));
    it.stopping = false;
    it.listed = true;
    return boost::outcome_v2::success();
}

auto fleet::stop_member(const std::string &name) -> void {
    auto &it = *state_->find(name);
    it.stopping = true;
    it.daemon->terminate();
}

auto fleet::kill_member(const std::string &name) -> void {
    state_->find(name)->daemon->kill();
}

auto fleet::pause_member(const std::string &name) -> void {
    state_->find(name)->daemon->pause();
}

auto fleet::resume_member(const std::string &name) -> void {
    state_->find(name)->daemon->resume();
}

auto fleet::set_fabric_target(const std::string &name, bool receives,
                              double weight) -> void {
    auto target = state_->target(*state_->find(name));
    target.receives = receives;
    target.weight = weight;
    state_->network->set_balancer(target);
}

auto fleet::state::post_faults(const fleet_member &it,
                               const std::vector<std::string> &cut,
                               bool platform_cut) const -> void {
    httplib::Client client(host_of(it.address), operator_port);
    client.set_connection_timeout(seconds{2});
    client.Post("/fault", json{{"cut", cut}, {"platform", platform_cut}}.dump(),
                "application/json");
}

auto fleet::cut(const std::set<std::string> &group, bool platform) -> void {
    for (const auto &[name, it] : state_->members) {
        if (!it.daemon || !it.daemon->running())
            continue;
        const auto inside = group.contains(name);
        std::vector<std::string> others;
        for (const auto &[other, target] : state_->members) {
            if (group.contains(other) != inside)
                others.push_back(host_of(target.address));
        }
        state_->post_faults(it, others, platform && inside);
    }
}

auto fleet::heal() -> void {
    for (const auto &[name, it] : state_->members) {
        if (it.daemon && it.daemon->running())
            state_->post_faults(it, {}, false);
    }
}

auto fleet::publish_balancers() -> void {
    json endpoint_list = json::array();
    for (const auto &[name, it] : state_->members) {
        const auto alive = it.daemon && it.daemon->running();
        if (it.listed)
            endpoint_list.push_back(endpoint_entry(
                name, it.failure_domain, it.address, alive, it.stopping));
    }
    state_->platform->put_endpoint_slice(
        "dogwoodtrack", json{{"addressType", "IPv4"},
                             {"endpoints", endpoint_list},
                             {"ports",
                              {{{"name", "link"}, {"port", link_port}},
                               {{"name", "control"}, {"port", control_port}}}}}
                            .dump());
}

auto fleet::publish_upstreams(const std::string &service,
                              const std::vector<upstream_profile> &upstreams,
                              const std::set<std::string> &terminating)
    -> void {
    json endpoint_list = json::array();
    std::uint16_t port = 0;
    for (const auto &it : upstreams) {
        port = it.address.port;
        endpoint_list.push_back(endpoint_entry(it.name, "", it.address.address,
                                               !it.down,
                                               terminating.contains(it.name)));
    }
    state_->platform->put_endpoint_slice(
        service, json{{"addressType", "IPv4"},
                      {"endpoints", endpoint_list},
                      {"ports", {{{"name", "service"}, {"port", port}}}}}
                     .dump());
}

auto fleet::http_get(const std::string &name, const std::string &path) const
    -> std::string {
    const auto *it = state_->find(name);
    if (it == nullptr || !it->daemon || !it->daemon->running())
        return {};
    httplib::Client client(host_of(it->address), operator_port);
    client.set_connection_timeout(seconds{1});
    client.set_read_timeout(seconds{2});
    const auto answer = client.Get(path);
    return answer && answer->status == 200 ? answer->body : std::string{};
}

auto fleet::platform() -> platform_standin & {
    return *state_->platform;
}

auto fleet::network() -> traffic & {
    return *state_->network;
}

auto fleet::platform_address() const -> endpoint {
    return {.address = state_->base + 2, .port = platform_port};
}

auto fleet::start_cost_window() -> void {
    state_->baselines.clear();
    for (const auto &[name, it] : state_->members) {
        const auto status =
            json::parse(http_get(name, "/status"), nullptr, false);
        if (!status.is_object())
            continue;
        state_->baselines[name] = {
            .cpu = it.daemon->usage().control_seconds,
            .bytes = status["control"]["sent_bytes"].get<std::uint64_t>() +
                     status["control"]["received_bytes"].get<std::uint64_t>(),
            .when = std::chrono::steady_clock::now()};
    }
}

auto fleet::cost() -> control_cost {
    control_cost largest;
    for (const auto &[name, baseline] : state_->baselines) {
        const auto status =
            json::parse(http_get(name, "/status"), nullptr, false);
        if (!status.is_object())
            continue;
        const auto usage = state_->members[name].daemon->usage();
        const std::chrono::duration<double> window =
            std::chrono::steady_clock::now() - baseline.when;
        const auto bytes =
            status["control"]["sent_bytes"].get<std::uint64_t>() +
            status["control"]["received_bytes"].get<std::uint64_t>();
        largest.bytes_per_second = std::max(
            largest.bytes_per_second,
            static_cast<double>(bytes - baseline.bytes) / window.count());
        largest.cpu_fraction =
            std::max(largest.cpu_fraction,
                     (usage.control_seconds - baseline.cpu) / window.count());
        largest.rss_bytes = std::max(largest.rss_bytes, usage.rss_bytes);
    }
    return largest;
}

} // namespace dogwoodtrack::standin
