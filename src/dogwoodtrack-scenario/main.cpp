#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "fleet_model.hpp"
#include "script.hpp"

namespace {

using namespace dogwoodtrack;
using namespace dogwoodtrack::scenario;

struct run_settings {
    std::vector<std::string> paths;
    std::string daemon;
    std::string folder = "results";
    std::string report;
    std::uint64_t seed = 1;
    std::vector<std::string> daemon_arguments;
};

auto default_daemon(const char *self) -> std::string {
    const auto folder = std::filesystem::path(self).parent_path();
    return (folder / "../dogwoodtrackd/dogwoodtrackd").string();
}

auto script_of(const std::string &path) -> std::string {
    return std::filesystem::is_directory(path) ? path + "/run.lua" : path;
}

auto case_name(const std::string &path) -> std::string {
    const std::filesystem::path script(script_of(path));
    return script.filename() == "run.lua"
               ? script.parent_path().filename().string()
               : script.stem().string();
}

auto write_file(const std::string &path, const std::string &text) -> void {
    std::ofstream(path) << text << '\n';
}

auto run_one(const run_settings &settings, const std::string &path) -> bool {
    const auto name = case_name(path);
    const auto folder = settings.folder + "/" + name;
    std::filesystem::create_directories(folder);
    script_outcome outcome;
    try {
        outcome = run_script(
            script_of(path),
            {.fleet = {.daemon = settings.daemon,
                       .log_folder = folder,
                       .seed = settings.seed,
                       .extra_arguments = settings.daemon_arguments}});
    } catch (const scenario_problem &problem) {
        outcome.failures.push_back(problem.detail);
    }
    outcome.report["case"] = name;
    outcome.report["seed"] = settings.seed;
    outcome.report["passed"] = outcome.passed;
    outcome.report["failures"] = outcome.failures;
    const auto report =
        settings.report.empty() ? folder + "/report.json" : settings.report;
    write_file(report, outcome.report.dump(2));
    if (!outcome.passed)
        write_file(folder + "/timeline.json", outcome.timeline.dump(1));
    fmt::print("{} {}\n", outcome.passed ? "passed" : "FAILED", name);
    for (const auto &it : outcome.failures)
        fmt::print("    {}\n", it);
    std::fflush(stdout);
    return outcome.passed;
}

// `kind@seconds`, `kind@seconds+lasts` or `kind@seconds+lasts*share`.
auto parse_fault(const std::string &text) -> model::fault {
    static const std::map<std::string, model::fault_kind> kinds{
        {"kill", model::fault_kind::kill_balancers},
        {"freeze", model::fault_kind::freeze_balancers},
        {"store", model::fault_kind::store_unreachable},
        {"crash", model::fault_kind::crash_upstreams},
        {"hang", model::fault_kind::hang_upstreams},
        {"errors", model::fault_kind::fail_upstreams},
        {"drain", model::fault_kind::drain_upstreams},
        {"cut", model::fault_kind::cut_domain},
        {"configuration", model::fault_kind::new_configuration}};
    const auto at = text.find('@');
    const auto kind = kinds.find(text.substr(0, at));
    if (at == std::string::npos || kind == kinds.end())
        throw CLI::ValidationError("--fault", "'" + text +
                                                  "' is no fault, write for "
                                                  "example store@4+3*1");
    double begins = 0;
    double lasts = 2;
    double part = 1;
    std::sscanf(text.c_str() + at, "@%lf+%lf*%lf", &begins, &lasts, &part);
    constexpr double thousand = 1'000;
    return {.kind = kind->second,
            .at = milliseconds{static_cast<int>(begins * thousand)},
            .duration = milliseconds{static_cast<int>(lasts * thousand)},
            .share = part};
}

struct model_settings {
    model::model_options options;
    std::int64_t length_s = 15;
    std::vector<std::string> faults;
    std::vector<unsigned> balancers;
};

auto add_model(CLI::App &app, model_settings &it) -> CLI::App * {
    auto *play = app.add_subcommand(
        "model", "Play a fleet on a link that carries bindings, in memory");
    play->add_option("--seed", it.options.seed, "Seed of all randomness")
        ->capture_default_str();
    play->add_option("--balancers", it.balancers,
                     "Balancers in each of three failure domains; several "
                     "numbers make a table")
        ->delimiter(',');
    play->add_option("--upstreams", it.options.upstreams,
                     "Upstreams in each failure domain")
        ->capture_default_str();
    play->add_option("--arrivals", it.options.arrivals_per_second,
                     "Requests a second in each failure domain")
        ->capture_default_str();
    play->add_option("--loss", it.options.loss,
                     "Share of lost messages between balancers")
        ->capture_default_str();
    play->add_option("--length", it.length_s, "Seconds of traffic")
        ->capture_default_str();
    play->add_option("--fault", it.faults,
                     "kill, freeze, store, crash, errors, hang, drain, cut or "
                     "configuration, as KIND@SECOND+LASTS*SHARE");
    return play;
}

auto play_model(model_settings &it) -> void {
    it.options.length = seconds{it.length_s};
    for (const auto &fault : it.faults)
        it.options.faults.push_back(parse_fault(fault));
    if (it.balancers.size() < 2) {
        if (!it.balancers.empty())
            it.options.balancers = it.balancers.front();
        return fmt::print("{}\n", to_json(model::simulate(it.options)));
    }
    fmt::print("balancers,asked,in_time,late,failed,store_calls,"
               "peer_messages,busiest_to_mean\n");
    for (const auto n : it.balancers) {
        it.options.balancers = n;
        const auto report = model::simulate(it.options);
        fmt::print("{},{},{},{},{},{},{},{:.2f}\n", n * it.options.domains,
                   report.asked, report.in_time, report.late, report.failed,
                   report.store_calls, report.peer_messages,
                   report.busiest_to_mean);
    }
}

} // namespace

auto main(int argc, char **argv) -> int {
    CLI::App app("dogwoodtrack-scenario: runs scripted trials with real "
                 "daemons on loopback. docs/SCENARIOS.md lists the words.");
    app.require_subcommand(1);
    run_settings settings;
    settings.daemon = default_daemon(argv[0]);
    auto *run = app.add_subcommand("run", "Run scripts or case folders");
    run->add_option("paths", settings.paths, "Scripts or case folders")
        ->required();
    run->add_option("--seed", settings.seed, "Seed of all randomness")
        ->capture_default_str();
    run->add_option("--report", settings.report,
                    "File for the report of a single case");
    run->add_option("--folder", settings.folder,
                    "Folder for reports, logs and time lines")
        ->capture_default_str();
    run->add_option("--daemon", settings.daemon, "Path of dogwoodtrackd")
        ->capture_default_str();
    run->add_option("--daemon-argument", settings.daemon_arguments,
                    "Further argument for every daemon");
    model_settings played;
    const auto *model = add_model(app, played);
    try {
        app.parse(argc, argv);
        if (model->parsed()) {
            play_model(played);
            return 0;
        }
    } catch (const CLI::ParseError &problem) {
        return app.exit(problem);
    }
    std::size_t passed = 0;
    for (const auto &path : settings.paths) {
        if (!std::filesystem::exists(script_of(path))) {
            fmt::print(stderr, "there is no script {}\n", path);
            return 2;
        }
        passed += run_one(settings, path) ? 1 : 0;
    }
    fmt::print("{} passed, {} failed\n", passed,
               settings.paths.size() - passed);
    return passed == settings.paths.size() ? 0 : 1;
}
