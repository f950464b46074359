#include <atomic>
#include <csignal>
#include <cstdlib>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "carried/balancer.hpp"
#include "dogwoodtrack/event_log.hpp"
#include "packet_codec.hpp"
#include "readiness_port.hpp"
#include "store_client.hpp"

namespace {

using namespace dogwoodtrack;

/// Time left of the stop deadline for the end of the process itself.
constexpr milliseconds stop_margin{700};
constexpr int exit_bad_setting = 2;
constexpr int exit_cannot_listen = 3;

std::atomic<bool> stop_requested{false};

auto on_signal(int) -> void {
    stop_requested = true;
}

struct raw_settings {
    std::string link;
    std::string peers;
    std::string ready;
    std::string store;
    std::vector<std::string> seeds;
    std::string log_level = "info";
    std::int64_t stop_deadline_s = 6;
    std::int64_t flow_lifetime_s = 60;
    std::int64_t apply_within_ms = 3'000;
    std::int64_t drain_within_ms = 3'000;
    bool check = false;
};

struct settings {
    carried::balancer_options balancer;
    endpoint ready;
    endpoint store;
};

auto add_flags(CLI::App &app, raw_settings &raw, settings &it) -> void {
    const auto add = [&](const char *flag, auto &value, const char *variable,
                         const char *help) {
        return app.add_option(flag, value, help)
            ->envname(std::string("DOGWOODTRACK_") + variable);
    };
    add("--name", it.balancer.name, "NAME", "Name of this instance")
        ->required();
    add("--failure-domain", it.balancer.failure_domain, "FAILURE_DOMAIN",
        "Failure domain this instance is in")
        ->required();
    add("--link", raw.link, "LINK", "Endpoint for callers' packets (UDP)")
        ->required();
    add("--peers", raw.peers, "PEERS",
        "Endpoint for messages of other balancers (UDP)")
        ->required();
    add("--ready", raw.ready, "READY", "Endpoint for readiness checks (HTTP)")
        ->required();
    add("--store", raw.store, "STORE", "Endpoint of the platform's store")
        ->required();
    add("--seed", raw.seeds, "SEEDS", "Any endpoint of some other balancers")
        ->delimiter(',');
    add("--cores", it.balancer.cores, "CORES",
        "Share of a processor that this instance has")
        ->check(CLI::Range(0.001, 1024.0))
        ->capture_default_str();
    add("--flows", it.balancer.flow_capacity, "FLOWS",
        "Flows this instance counts at most")
        ->check(CLI::Range(16, 50'000'000))
        ->capture_default_str();
    add("--first-start", it.balancer.first_start, "FIRST_START",
        "Whether the whole system starts for the first time")
        ->capture_default_str();
    add("--stop-deadline", raw.stop_deadline_s, "STOP_DEADLINE",
        "Seconds after which a planned stop is cut short")
        ->check(CLI::Range(1, 86'400))
        ->capture_default_str();
    add("--flow-lifetime", raw.flow_lifetime_s, "FLOW_LIFETIME",
        "Seconds a flow may last")
        ->check(CLI::Range(1, 86'400))
        ->capture_default_str();
    add("--apply-within-ms", raw.apply_within_ms, "APPLY_WITHIN_MS",
        "Milliseconds after which a new configuration is in force")
        ->check(CLI::Range(100, 3'600'000))
        ->capture_default_str();
    add("--drain-within-ms", raw.drain_within_ms, "DRAIN_WITHIN_MS",
        "Milliseconds after which an upstream that leaves gets no new flows")
        ->check(CLI::Range(100, 3'600'000))
        ->capture_default_str();
    add("--log-level", raw.log_level, "LOG_LEVEL", "Least severity logged")
        ->check(CLI::IsMember({"debug", "info", "warning", "error"}))
        ->capture_default_str();
    app.add_flag("--check", raw.check, "Print the settings in effect and exit")
        ->configurable(false);
    const auto *file = std::getenv("DOGWOODTRACK_SETTINGS");
    app.set_config("--settings", file == nullptr ? "" : file,
                   "File with settings, named like the flags; also "
                   "DOGWOODTRACK_SETTINGS");
    app.allow_config_extras(CLI::config_extras_mode::error);
}

auto read_settings(const raw_settings &raw, settings &it) -> result<void> {
    BOOST_OUTCOME_TRY(it.balancer.link, parse_endpoint(raw.link));
    BOOST_OUTCOME_TRY(it.balancer.peers, parse_endpoint(raw.peers));
    BOOST_OUTCOME_TRY(it.ready, parse_endpoint(raw.ready));
    BOOST_OUTCOME_TRY(it.store, parse_endpoint(raw.store));
    for (const auto &seed : raw.seeds) {
        if (seed.empty())
            continue;
        BOOST_OUTCOME_TRY(auto parsed, parse_endpoint(seed));
        it.balancer.seeds.push_back(parsed);
    }
    it.balancer.stop_deadline = milliseconds{seconds{raw.stop_deadline_s}};
    if (it.balancer.stop_deadline > 2 * stop_margin)
        it.balancer.stop_deadline -= stop_margin;
    it.balancer.in_force_within =
        milliseconds{std::min(raw.apply_within_ms, raw.drain_within_ms)};
    it.balancer.flow_lifetime = seconds{raw.flow_lifetime_s};
    return boost::outcome_v2::success();
}

auto fail(const error &why, int code) -> int {
    log_event(severity::failure, to_string(why.kind),
              {{"message", why.message()}});
    return code;
}

auto run(const settings &it) -> result<void> {
    carried::event_loop loop;
    std::atomic<bool> ready{false};
    const auto store = platform::make_store_client(it.store, loop);
    BOOST_OUTCOME_TRY(auto port,
                      platform::readiness_port::open(it.ready, loop, ready));
    return carried::run_balancer(it.balancer, platform::packet_codec(), *store,
                                 loop, stop_requested, ready);
}

} // namespace

auto main(int argc, char **argv) -> int {
    CLI::App app("dogwoodtrackd-carried: one layer-4 balancer for a link "
                 "whose packets carry their bindings. Every flag can also be "
                 "set in the settings file or by the environment variable "
                 "DOGWOODTRACK_<FLAG>. SIGTERM starts a planned stop. Exit "
                 "codes: 0 stopped, 2 wrong setting, 3 cannot listen.");
    raw_settings raw;
    settings it;
    add_flags(app, raw, it);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &problem) {
        const auto code = app.exit(problem);
        return code == 0 ? 0 : exit_bad_setting;
    }
    open_log(
        {.instance = it.balancer.name, .least = parse_severity(raw.log_level)});
    if (const auto read = read_settings(raw, it); !read)
        return fail(read.error(), exit_bad_setting);
    if (raw.check) {
        fmt::print("{}", app.config_to_str(true, false));
        return 0;
    }
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    std::signal(SIGHUP, SIG_IGN);
    if (const auto ended = run(it); !ended)
        return fail(ended.error(), exit_cannot_listen);
    return 0;
}
