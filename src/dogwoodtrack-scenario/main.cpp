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

auto script_path(const std::string &path) -> std::string {
    return std::filesystem::is_directory(path) ? path + "/run.lua" : path;
}

auto case_name(const std::string &path) -> std::string {
    const std::filesystem::path script(script_path(path));
    return script.filename() == "run.lua"
               ? script.parent_path().filename().string()
               : script.stem().string();
}

auto write_file(const std::string &path, const std::string &text) -> void {
    std::ofstream(path) << text << '\n';
}

auto run_case(const run_settings &settings, const std::string &path) -> bool {
    const auto name = case_name(path);
    const auto folder = settings.folder + "/" + name;
    std::filesystem::create_directories(folder);
    script_outcome outcome;
    try {
        outcome = run_script(
            script_path(path),
            {.fleet = {.daemon = settings.daemon,
                       .log_folder = folder,
                       .seed = settings.seed,
                       .extra_arguments = settings.daemon_arguments}});
    } catch (const scenario_error &failure) {
        outcome.failures.push_back(failure.detail);
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

// Parses `KIND@START`, `KIND@START+DURATION` or `KIND@START+DURATION*SHARE`
// with times in seconds. START counts from the start of the traffic. SHARE is
// the fraction of balancers or upstreams affected. The duration defaults to 2 s
// and the share to 1.
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
        throw CLI::ValidationError(
            "--fault", "'" + text +
                           "' is not KIND@START+DURATION*SHARE with a known "
                           "kind, for example store@4+3*1");
    double start_s = 0;
    double duration_s = 2;
    double share = 1;
    std::sscanf(text.c_str() + at, "@%lf+%lf*%lf", &start_s, &duration_s,
                &share);
    constexpr double ms_per_second = 1'000;
    return {.kind = kind->second,
            .at = milliseconds{static_cast<int>(start_s * ms_per_second)},
            .duration =
                milliseconds{static_cast<int>(duration_s * ms_per_second)},
            .share = share};
}

struct model_settings {
    model::model_options options;
    std::int64_t length_s = 15;
    std::vector<std::string> faults;
    std::vector<unsigned> balancers;
};

auto add_model_command(CLI::App &app, model_settings &settings) -> CLI::App * {
    auto *command = app.add_subcommand(
        "model",
        "Simulate a fleet of dogwoodtrackd-carried balancers in memory");
    command
        ->add_option("--seed", settings.options.seed,
                     "Seed of the random number generators")
        ->capture_default_str();
    command
        ->add_option("--balancers", settings.balancers,
                     "Balancers in each of three failure domains; several "
                     "numbers, separated by commas, print a table")
        ->delimiter(',');
    command
        ->add_option("--upstreams", settings.options.upstreams,
                     "Upstreams in each failure domain")
        ->capture_default_str();
    command
        ->add_option("--arrivals", settings.options.arrivals_per_second,
                     "Requests per second in each failure domain")
        ->capture_default_str();
    command
        ->add_option(
            "--loss", settings.options.loss,
            "Fraction of messages between balancers that is lost, 0 to 1")
        ->capture_default_str();
    command
        ->add_option("--length", settings.length_s,
                     "Duration of the traffic in seconds")
        ->capture_default_str();
    command->add_option(
        "--fault", settings.faults,
        "KIND@START+DURATION*SHARE: a fault, with times in seconds; KIND is "
        "kill, freeze, store, crash, errors, hang, drain, cut or "
        "configuration; may be repeated");
    return command;
}

auto run_model(model_settings &settings) -> void {
    settings.options.length = seconds{settings.length_s};
    for (const auto &fault : settings.faults)
        settings.options.faults.push_back(parse_fault(fault));
    if (settings.balancers.size() < 2) {
        if (!settings.balancers.empty())
            settings.options.balancers = settings.balancers.front();
        return fmt::print("{}\n", to_json(model::simulate(settings.options)));
    }
    fmt::print("balancers,asked,in_time,late,failed,store_calls,"
               "peer_messages,busiest_to_mean\n");
    for (const auto n : settings.balancers) {
        settings.options.balancers = n;
        const auto report = model::simulate(settings.options);
        fmt::print("{},{},{},{},{},{},{},{:.2f}\n",
                   n * settings.options.domains, report.asked, report.in_time,
                   report.late, report.failed, report.store_calls,
                   report.peer_messages, report.busiest_to_mean);
    }
}

} // namespace

auto main(int argc, char **argv) -> int {
    CLI::App app("dogwoodtrack-scenario: runs scripted tests with real "
                 "daemons on loopback. docs/SCENARIOS.md describes the script "
                 "functions.");
    app.require_subcommand(1);
    run_settings settings;
    settings.daemon = default_daemon(argv[0]);
    auto *run_command =
        app.add_subcommand("run", "Run scripts or case folders");
    run_command
        ->add_option("paths", settings.paths,
                     "Scripts, or folders that contain a run.lua")
        ->required();
    run_command
        ->add_option("--seed", settings.seed,
                     "Seed of the random number generators")
        ->capture_default_str();
    run_command->add_option(
        "--report", settings.report,
        "Report file, for a single case; default: FOLDER/CASE/report.json");
    run_command
        ->add_option("--folder", settings.folder,
                     "Folder for reports, logs and timelines")
        ->capture_default_str();
    run_command
        ->add_option("--daemon", settings.daemon,
                     "Path of the dogwoodtrackd executable")
        ->capture_default_str();
    run_command->add_option(
        "--daemon-argument", settings.daemon_arguments,
        "Additional argument for every daemon; may be repeated");
    model_settings simulation;
    const auto *model_command = add_model_command(app, simulation);
    try {
        app.parse(argc, argv);
        if (model_command->parsed()) {
            run_model(simulation);
            return 0;
        }
    } catch (const CLI::ParseError &failure) {
        return app.exit(failure);
    }
    std::size_t passed = 0;
    for (const auto &path : settings.paths) {
        if (!std::filesystem::exists(script_path(path))) {
            fmt::print(stderr, "script not found: {}\n", path);
            return 2;
        }
        passed += run_case(settings, path) ? 1 : 0;
    }
    fmt::print("{} passed, {} failed\n", passed,
               settings.paths.size() - passed);
    return passed == settings.paths.size() ? 0 : 1;
}
