#include <atomic>
#include <csignal>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "dogwoodtrack/daemon.hpp"
#include "dogwoodtrack/timeline.hpp"

namespace {

using namespace dogwoodtrack;

std::atomic<bool> stop_requested{false};

auto on_signal(int) -> void {
    stop_requested = true;
}

// Values of the flags that are converted or evaluated after parsing.
struct raw_settings {
    std::string link;
    std::string control;
    std::string operators;
    std::string fabric;
    std::string platform = "127.0.0.1:8001";
    std::vector<std::string> seeds;
    std::string placement = "owner";
    std::int64_t refresh_ms = 60'000;
    std::int64_t heartbeat_ms = 300;
    std::int64_t stop_deadline_s = 60;
    bool check = false;
};

auto add_flags(CLI::App &app, raw_settings &raw, daemon_options &options)
    -> void {
    const auto add = [&](const char *flag, auto &value, const char *variable,
                         const char *help) {
        return app.add_option(flag, value, help)
            ->envname(std::string("DOGWOODTRACK_") + variable);
    };
    add("--name", options.name, "NAME", "Name of this instance")->required();
    add("--failure-domain", options.failure_domain, "FAILURE_DOMAIN",
        "Failure domain this instance is in")
        ->required();
    add("--link", raw.link, "LINK", "Endpoint for Geneve packets, a.b.c.d:port")
        ->required();
    add("--control", raw.control, "CONTROL",
        "Endpoint for control messages from peers")
        ->required();
    add("--operators", raw.operators, "OPERATORS",
        "Endpoint of the HTTP server for operators and metrics")
        ->required();
    add("--fabric", raw.fabric, "FABRIC",
        "Endpoint of the fabric, which delivers packets to callers and "
        "upstreams")
        ->required();
    add("--platform", raw.platform, "PLATFORM",
        "Endpoint of the platform's object API")
        ->capture_default_str();
    add("--seed", raw.seeds, "SEEDS",
        "Control endpoints of peers, separated by commas, to join the fleet "
        "without the platform")
        ->delimiter(',');
    add("--fleet-key", options.fleet_key, "FLEET_KEY",
        "Secret shared by all balancers, at least 16 characters")
        ->required();
    add("--flows", options.flow_capacity, "FLOWS",
        "Capacity of the flow tables of all workers together, in flows")
        ->capture_default_str();
    add("--workers", options.workers, "WORKERS",
        "Number of packet worker threads")
        ->capture_default_str();
    add("--placement", raw.placement, "PLACEMENT",
        "How new flows are assigned to upstreams: `owner`, or `hash` as a "
        "baseline for comparison")
        ->check(CLI::IsMember({"owner", "hash"}))
        ->capture_default_str();
    add("--refresh-ms", raw.refresh_ms, "REFRESH_MS",
        "Interval at which a flow's owner is told that the flow is still in "
        "use, in milliseconds")
        ->check(CLI::Range(100, 3'600'000))
        ->capture_default_str();
    add("--heartbeat-ms", raw.heartbeat_ms, "HEARTBEAT_MS",
        "Interval between heartbeats to peers, in milliseconds")
        ->check(CLI::Range(50, 400))
        ->capture_default_str();
    add("--stop-deadline", raw.stop_deadline_s, "STOP_DEADLINE",
        "Maximum duration of a planned stop, in seconds")
        ->check(CLI::Range(1, 86'400))
        ->capture_default_str();
    add("--sync-bytes", options.sync_bytes_per_second, "SYNC_BYTES",
        "Bandwidth limit for copying flow records to peers, in bytes per "
        "second")
        ->check(CLI::Range(128, 1 << 30))
        ->capture_default_str();
    app.add_flag("--push-documents", options.push_documents,
                 "Send whole documents to peers instead of only their "
                 "versions, as a baseline for comparison");
    app.add_flag("--fault-injection", options.fault_injection,
                 "Let tests simulate network partitions (POST /fault)");
    app.add_flag("--check", raw.check, "Print the settings in effect and exit");
}

auto read_endpoints(const raw_settings &raw, daemon_options &options)
    -> result<void> {
    BOOST_OUTCOME_TRY(options.link, parse_endpoint(raw.link));
    BOOST_OUTCOME_TRY(options.control, parse_endpoint(raw.control));
    BOOST_OUTCOME_TRY(options.operators, parse_endpoint(raw.operators));
    BOOST_OUTCOME_TRY(options.fabric, parse_endpoint(raw.fabric));
    BOOST_OUTCOME_TRY(options.platform, parse_endpoint(raw.platform));
    for (const auto &it : raw.seeds) {
        BOOST_OUTCOME_TRY(auto seed, parse_endpoint(it));
        options.seeds.push_back(seed);
    }
    return boost::outcome_v2::success();
}

auto print_settings(const CLI::App &app) -> void {
    for (const auto *it : app.get_options()) {
        const auto name = it->get_name();
        if (name == "--help" || name == "--check")
            continue;
        const auto secret = name == "--fleet-key";
        const auto values =
            it->count() > 0 ? it->results()
                            : std::vector<std::string>{it->get_default_str()};
        fmt::print("{} = {}\n", name.substr(2),
                   secret ? "(set)"
                          : fmt::format("{}", fmt::join(values, ",")));
    }
}

auto report_failure(const error &reason, exit_code code) -> int {
    write_log(log_level::failure, "", to_string(reason.kind), "",
              reason.message());
    return static_cast<int>(code);
}

} // namespace

auto main(int argc, char **argv) -> int {
    CLI::App app("dogwoodtrackd: one layer-4 balancer. Every flag that takes "
                 "a value can also be set by the environment variable "
                 "DOGWOODTRACK_<NAME> that its help names. SIGTERM starts a "
                 "planned stop. Exit codes: 0 stopped, 2 wrong setting, 3 "
                 "cannot listen, 4 stop deadline missed.");
    raw_settings raw;
    daemon_options options;
    add_flags(app, raw, options);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &problem) {
        const auto code = app.exit(problem);
        return code == 0 ? 0 : static_cast<int>(exit_code::bad_setting);
    }
    if (const auto read = read_endpoints(raw, options); !read)
        return report_failure(read.error(), exit_code::bad_setting);
    options.placement =
        raw.placement == "hash" ? placement_mode::hash : placement_mode::owner;
    options.refresh_interval = milliseconds(raw.refresh_ms);
    options.heartbeat = milliseconds(raw.heartbeat_ms);
    options.stop_deadline = seconds(raw.stop_deadline_s);
    if (const auto valid = check_options(options); !valid)
        return report_failure(valid.error(), exit_code::bad_setting);
    if (raw.check) {
        print_settings(app);
        return 0;
    }
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    const auto run_outcome = run_daemon(options, stop_requested);
    if (!run_outcome)
        return report_failure(run_outcome.error(),
                              run_outcome.error().kind ==
                                      error_kind::bad_setting
                                  ? exit_code::bad_setting
                                  : exit_code::cannot_listen);
    return static_cast<int>(run_outcome.value());
}
