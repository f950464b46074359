#include <filesystem>
#include <fstream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

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
    CLI11_PARSE(app, argc, argv);
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
