#include <functional>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "commands.hpp"

namespace {

using namespace dogwoodtrack;
using namespace dogwoodtrack::tool;

struct arguments {
    tool_settings settings;
    apply_settings apply;
    timeline_settings timeline;
    std::string customer;
    std::string file;
    std::function<tool_exit()> chosen;
};

auto add_contract(CLI::App &app, arguments &it) -> void {
    auto *contract = app.add_subcommand("contract", "Contracts of customers");
    contract->require_subcommand(1);
    auto *check = contract->add_subcommand(
        "check", "Check a file without writing: contract check brunner "
                 "brunner.json");
    check->add_option("customer", it.customer, "Customer")->required();
    check->add_option("file", it.file, "Contract as JSON")->required();
    check->callback([&] {
        it.chosen = [&] {
            return contract_check(it.settings, it.customer, it.file);
        };
    });
    auto *apply = contract->add_subcommand(
        "apply", "Write a contract: contract apply brunner brunner.json "
                 "--base 7 --wait");
    apply->add_option("customer", it.apply.customer, "Customer")->required();
    apply->add_option("file", it.apply.file, "Contract as JSON")->required();
    apply->add_option("--base", it.apply.base,
                      "Generation your edit started from; a newer one makes "
                      "the write fail");
    apply->add_flag("--wait", it.apply.wait,
                    "Wait until it is in force and report where");
    apply->add_flag("--force", it.apply.force,
                    "Remove upstreams that are still in service");
    apply->callback([&] {
        it.chosen = [&] { return contract_apply(it.settings, it.apply); };
    });
    auto *get = contract->add_subcommand("get", "Show one contract or list "
                                                "them all");
    get->add_option("customer", it.customer, "Customer");
    get->callback([&] {
        it.chosen = [&] { return contract_get(it.settings, it.customer); };
    });
    auto *diff = contract->add_subcommand(
        "diff", "What a file would change: contract diff brunner "
                "brunner.json");
    diff->add_option("customer", it.customer, "Customer")->required();
    diff->add_option("file", it.file, "Contract as JSON")->required();
    diff->callback([&] {
        it.chosen = [&] {
            return contract_diff(it.settings, it.customer, it.file);
        };
    });
    auto *history = contract->add_subcommand(
        "history", "When each generation came into force, by instance");
    history->add_option("customer", it.customer, "Customer")->required();
    history->callback([&] {
        it.chosen = [&] { return contract_history(it.settings, it.customer); };
    });
}

auto add_view(CLI::App &app, arguments &it, const char *name, const char *help,
              tool_exit (*show)(const tool_settings &)) -> void {
    app.add_subcommand(name, help)->callback([&it, show] {
        it.chosen = [&it, show] { return show(it.settings); };
    });
}

auto add_timeline(CLI::App &app, arguments &it) -> void {
    auto *command = app.add_subcommand(
        "timeline", "Events of all instances in one order: timeline "
                    "--subject brunner/ordering --html evening.html");
    command->add_option("--subject", it.timeline.subject,
                        "Only events about this service, upstream, instance "
                        "or customer");
    command->add_option("--instance", it.timeline.instance,
                        "Only events of this instance");
    command->add_option("--kind", it.timeline.kind, "Only this kind");
    command->add_option("--generation", it.timeline.generation,
                        "Only this contract generation");
    command->add_option("--html", it.timeline.html,
                        "Write a page with one lane a process");
    command->add_option("--file", it.timeline.file,
                        "Read a saved time line instead");
    command->add_flag("--follow", it.timeline.follow, "Go on as they come");
    command->callback([&] {
        it.chosen = [&] { return show_timeline(it.settings, it.timeline); };
    });
}

auto print_completions(const CLI::App &app) -> tool_exit {
    std::string words;
    for (const auto *it : app.get_subcommands({}))
        words += it->get_name() + " ";
    fmt::print("complete -W \"{}\" dogwoodtrack\n", words);
    return tool_exit::done;
}

} // namespace

auto main(int argc, char **argv) -> int {
    CLI::App app("dogwoodtrack: the operators' tool. Exit codes: 0 done, 1 "
                 "failed, 2 wrong flags, 3 another operator changed the "
                 "contract, 4 a promise is broken.");
    app.require_subcommand(1);
    arguments it;
    app.add_option("--platform", it.settings.platform,
                   "Endpoint of the platform's object API")
        ->envname("DOGWOODTRACK_PLATFORM")
        ->capture_default_str();
    app.add_option("--instances", it.settings.instances,
                   "Operators' endpoints of the balancers to ask")
        ->envname("DOGWOODTRACK_INSTANCES")
        ->delimiter(',');
    app.add_flag("--json", it.settings.json, "Print JSON instead of text");
    add_contract(app, it);
    add_view(app, it, "status", "One line if all promises hold", show_status);
    add_view(app, it, "instances", "Balancers as each one sees the others",
             show_instances);
    add_view(app, it, "upstreams", "Open flows and limits, by owner",
             show_upstreams);
    add_view(app, it, "flows", "Flow counts of each balancer", show_flows);
    add_view(app, it, "metrics", "Prometheus text of each balancer",
             show_metrics);
    add_view(app, it, "config", "Settings in effect on each balancer",
             show_config);
    add_timeline(app, it);
    app.add_subcommand("completions", "Completions for bash")->callback([&] {
        it.chosen = [&] { return print_completions(app); };
    });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &problem) {
        return app.exit(problem) == 0 ? 0 : static_cast<int>(tool_exit::usage);
    }
    return static_cast<int>(it.chosen());
}
