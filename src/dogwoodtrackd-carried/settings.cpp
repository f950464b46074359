#include "settings.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <sys/stat.h>

#include <CLI/CLI.hpp>

namespace dogwoodtrack {

namespace {

/// Part of the stop deadline that is reserved for the exit of the process after
/// the planned stop.
constexpr milliseconds exit_margin{700};

/// Settings as given, before they are parsed and validated.
struct raw_settings {
    std::string link;
    std::string peers;
    std::string ready;
    std::string operators;
    std::string store;
    std::vector<std::string> seeds;
    std::string log_level = "info";
    double stop_deadline_s = 6;
    double flow_lifetime_s = 60;
    double apply_within_ms = 3'000;
    double drain_within_ms = 3'000;
    double evacuate_within_ms = 0;
};

/// Format of the settings file. A setting without a value, or with an empty
/// list, counts as not given: the platform's template leaves out what it does
/// not know.
struct settings_format : CLI::ConfigBase {
    auto from_config(std::istream &input) const
        -> std::vector<CLI::ConfigItem> override {
        auto items = ConfigBase::from_config(input);
        std::erase_if(items, [](const CLI::ConfigItem &it) {
            return std::all_of(
                it.inputs.begin(), it.inputs.end(),
                [](const std::string &value) { return value.empty(); });
        });
        return items;
    }
};

auto add_endpoint_settings(CLI::App &app, raw_settings &raw) -> void {
    const auto add = [&](const char *flag, auto &value, const char *variable,
                         const char *help) {
        return app.add_option(flag, value, help)
            ->envname(std::string("DOGWOODTRACK_") + variable);
    };
    add("--link", raw.link, "LINK", "Endpoint for callers' packets (UDP)")
        ->required();
    add("--peers", raw.peers, "PEERS",
        "Endpoint for messages from other balancers (UDP)")
        ->required();
    add("--ready", raw.ready, "READY", "Endpoint for readiness checks (HTTP)")
        ->required();
    add("--operators", raw.operators, "OPERATORS",
        "Endpoint for /metrics, /status and /explain (HTTP); none if empty");
    add("--store", raw.store, "STORE", "Endpoint of the platform's store")
        ->required();
    add("--seed", raw.seeds, "SEEDS", "Endpoints of some other balancers")
        ->delimiter(',');
}

auto add_instance_settings(CLI::App &app, raw_settings &raw,
                           carried_settings &it) -> void {
    const auto add = [&](const char *flag, auto &value, const char *variable,
                         const char *help) {
        return app.add_option(flag, value, help)
            ->envname(std::string("DOGWOODTRACK_") + variable)
            ->capture_default_str();
    };
    add("--name", it.balancer.name, "NAME", "Name of this instance")
        ->required();
    add("--failure-domain", it.balancer.failure_domain, "FAILURE_DOMAIN",
        "Failure domain this instance is in")
        ->required();
    add("--cores", it.balancer.cores, "CORES",
        "CPU cores available to this instance")
        ->check(CLI::Range(0.001, 1024.0));
    add("--flows", it.balancer.flow_capacity, "FLOWS",
        "Maximum number of flows that this instance tracks")
        ->check(CLI::Range(16, 50'000'000));
    add("--first-start", it.balancer.first_start, "FIRST_START",
        "Whether the whole system is starting for the first time");
    add("--stop-deadline", raw.stop_deadline_s, "STOP_DEADLINE",
        "Seconds after which a planned stop ends in any case")
        ->check(CLI::Range(0.0, 86'400.0));
    add("--flow-lifetime", raw.flow_lifetime_s, "FLOW_LIFETIME",
        "Maximum duration of a flow in seconds")
        ->check(CLI::Range(0.1, 86'400.0));
    add("--apply-within-ms", raw.apply_within_ms, "APPLY_WITHIN_MS",
        "Milliseconds within which a new configuration must be in force")
        ->check(CLI::Range(100.0, 3'600'000.0));
    add("--drain-within-ms", raw.drain_within_ms, "DRAIN_WITHIN_MS",
        "Milliseconds within which an upstream that leaves must stop "
        "receiving new flows")
        ->check(CLI::Range(100.0, 3'600'000.0));
    add("--evacuate-within-ms", raw.evacuate_within_ms, "EVACUATE_WITHIN_MS",
        "Milliseconds within which a failure domain that is evacuated must "
        "stop receiving new flows; 0 to ignore evacuations")
        ->check(CLI::Range(0.0, 0.0) | CLI::Range(100.0, 3'600'000.0));
    add("--cold-overage", it.balancer.cold.overage, "COLD_OVERAGE",
        "Requests per second that all balancers together may send a cold "
        "upstream, as a multiple of what it can handle; 0: no limit")
        ->check(CLI::Range(0.0, 1'000.0));
    add("--cold-slack", it.balancer.cold.slack, "COLD_SLACK",
        "Requests that a cold upstream may get per second in addition")
        ->check(CLI::Range(0.0, 1'000'000.0));
    add("--load-plans", it.balancer.load_plans, "LOAD_PLANS",
        "Whether balancers exchange their load and follow common plans");
    add("--domain-traffic-price", it.balancer.domain_traffic_price,
        "DOMAIN_TRAFFIC_PRICE",
        "Cost of one KiB that crosses between failure domains, in milliseconds "
        "of a caller's waiting time; 0 if it costs nothing")
        ->check(CLI::Range(0.0, 1'000'000.0));
    add("--admission", it.balancer.admission, "ADMISSION",
        "Whether new flows are limited when capacity is short; requires "
        "load-plans");
    add("--min-share", it.balancer.min_share, "MIN_SHARE",
        "Part of the room for new flows that each priority gets at least")
        ->check(CLI::Range(0.0, 0.25));
    add("--log-level", raw.log_level, "LOG_LEVEL",
        "Lowest severity that is logged")
        ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
    app.add_flag("--check", it.check_only,
                 "Print the settings in effect and exit")
        ->configurable(false);
}

auto parse_endpoints(const raw_settings &raw, carried_settings &it)
    -> result<void> {
    BOOST_OUTCOME_TRY(it.balancer.link, parse_endpoint(raw.link));
    BOOST_OUTCOME_TRY(it.balancer.peers, parse_endpoint(raw.peers));
    BOOST_OUTCOME_TRY(it.ready, parse_endpoint(raw.ready));
    BOOST_OUTCOME_TRY(it.store, parse_endpoint(raw.store));
    if (!raw.operators.empty()) {
        BOOST_OUTCOME_TRY(it.balancer.operators, parse_endpoint(raw.operators));
    }
    for (const auto &seed : raw.seeds) {
        if (seed.empty())
            continue;
        BOOST_OUTCOME_TRY(auto parsed, parse_endpoint(seed));
        it.balancer.seeds.push_back(parsed);
    }
    return boost::outcome_v2::success();
}

auto to_milliseconds(double ms) -> milliseconds {
    return milliseconds{std::llround(ms)};
}

auto apply_times(const raw_settings &raw, carried_settings &it) -> void {
    constexpr double ms_per_second = 1'000;
    it.balancer.stop_deadline =
        to_milliseconds(raw.stop_deadline_s * ms_per_second);
    if (it.balancer.stop_deadline > 2 * exit_margin)
        it.balancer.stop_deadline -= exit_margin;
    it.balancer.apply_within =
        to_milliseconds(std::min(raw.apply_within_ms, raw.drain_within_ms));
    it.balancer.evacuate_within = to_milliseconds(raw.evacuate_within_ms);
    it.balancer.flow_lifetime =
        to_milliseconds(raw.flow_lifetime_s * ms_per_second);
    it.min_severity = parse_severity(raw.log_level);
}

auto settings_file() -> std::string {
    const auto *file = std::getenv("DOGWOODTRACK_SETTINGS");
    return file == nullptr ? "" : file;
}

} // namespace

auto read_settings(int argc, char **argv) -> result<carried_settings> {
    CLI::App app("dogwoodtrackd-carried: layer-4 load balancer for a link "
                 "whose packets carry their bindings. Every flag can also be "
                 "set in the settings file or by the environment variable "
                 "DOGWOODTRACK_<FLAG>. SIGTERM starts a planned stop, SIGHUP "
                 "or a change of the file reloads the settings. Exit codes: 0 "
                 "stopped, 2 wrong setting, 3 cannot listen.");
    raw_settings raw;
    carried_settings it;
    add_endpoint_settings(app, raw);
    add_instance_settings(app, raw, it);
    auto *file = app.set_config("--settings", settings_file(),
                                "File with settings, named like the flags; "
                                "also DOGWOODTRACK_SETTINGS");
    app.config_formatter(std::make_shared<settings_format>());
    app.allow_config_extras(CLI::config_extras_mode::error);
    try {
        app.parse(argc, argv);
    } catch (const CLI::Success &request) {
        std::exit(app.exit(request));
    } catch (const CLI::ParseError &problem) {
        return error{error_kind::bad_setting, problem.what()};
    }
    BOOST_OUTCOME_TRYV(parse_endpoints(raw, it));
    apply_times(raw, it);
    it.file = file->as<std::string>();
    if (it.check_only)
        it.effective_settings = app.config_to_str(true, false);
    return it;
}

settings_file_watch::settings_file_watch(std::string file)
    : file_(std::move(file)) {
    changed();
}

auto settings_file_watch::changed() -> bool {
    constexpr std::int64_t ns_per_second = 1'000'000'000;
    struct stat status {};
    if (file_.empty() || stat(file_.c_str(), &status) != 0)
        return false;
    const auto modified_ns =
        status.st_mtim.tv_sec * ns_per_second + status.st_mtim.tv_nsec;
    if (modified_ns == modified_ns_ && status.st_size == size_)
        return false;
    modified_ns_ = modified_ns;
    size_ = status.st_size;
    return true;
}

} // namespace dogwoodtrack
