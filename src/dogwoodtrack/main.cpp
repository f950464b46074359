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
    std::function<tool_exit()> command;
};

auto add_contract(CLI::App &app, arguments &args) -> void {
    auto *contract = app.add_subcommand("contract", "Contracts of customers");
    contract->require_subcommand(1);
    auto *check = contract->add_subcommand(
        "check", "Check a file without writing: contract check brunner "
                 "brunner.json");
    check->add_option("customer", args.customer, "Customer")->required();
    check->add_option("file", args.file, "Contract as JSON")->required();
    check->callback([&] {
        args.command = [&] {
            return contract_check(args.settings, args.customer, args.file);
        };
    });
    auto *apply = contract->add_subcommand(
        "apply", "Write a contract: contract apply brunner brunner.json "
                 "--base 7 --wait");
    apply->add_option("customer", args.apply.customer, "Customer")->required();
    apply->add_option("file", args.apply.file, "Contract as JSON")->required();
    apply->add_option("--base", args.apply.base,
                      "Generation your edit started from; a newer one makes "
                      "the write fail");
    apply->add_flag(
        "--wait", args.apply.wait,
        "Wait until it is in force and report on how many balancers");
    apply->add_flag("--force", args.apply.force,
                    "Remove upstreams that are still in service");
    apply->callback([&] {
        args.command = [&] {
            return contract_apply(args.settings, args.apply);
        };
    });
    auto *get = contract->add_subcommand("get", "Show one contract or list "
                                                "them all");
    get->add_option("customer", args.customer, "Customer");
    get->callback([&] {
        args.command = [&] {
            return contract_get(args.settings, args.customer);
        };
    });
    auto *diff = contract->add_subcommand(
        "diff", "What a file would change: contract diff brunner "
                "brunner.json");
    diff->add_option("customer", args.customer, "Customer")->required();
    diff->add_option("file", args.file, "Contract as JSON")->required();
    diff->callback([&] {
        args.command = [&] {
            return contract_diff(args.settings, args.customer, args.file);
        };
    });
    auto *history = contract->add_subcommand(
        "history", "When each generation came into force, by instance");
    history->add_option("customer", args.customer, "Customer")->required();
    history->callback([&] {
        args.command = [&] {
            return contract_history(args.settings, args.customer);
        };
    });
}

auto add_view(CLI::App &app, arguments &args, const char *name,
              const char *help, tool_exit (*show)(const tool_settings &))
    -> void {
    app.add_subcommand(name, help)->callback([&args, show] {
        args.command = [&args, show] { return show(args.settings); };
    });
}

auto add_timeline(CLI::App &app, arguments &args) -> void {
    auto *command = app.add_subcommand(
        "timeline", "Events of all instances, ordered by stamp: timeline "
                    "--subject brunner/ordering --html evening.html");
    command->add_option("--subject", args.timeline.subject,
                        "Only events about this service, upstream, instance "
                        "or customer");
    command->add_option("--instance", args.timeline.instance,
                        "Only events of this instance");
    command->add_option("--kind", args.timeline.kind, "Only this kind");
    command->add_option("--generation", args.timeline.generation,
                        "Only this contract generation");
    command->add_option("--html", args.timeline.html,
                        "Write an HTML page with one lane per instance");
    command->add_option(
        "--file", args.timeline.file,
        "Read a saved time line instead of asking the instances");
    command->add_flag("--follow", args.timeline.follow,
                      "Print new events as they arrive");
    command->callback([&] {
        args.command = [&] {
            return show_timeline(args.settings, args.timeline);
        };
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
    CLI::App app(
        "dogwoodtrack: the operators' tool. Exit codes: 0 done, 1 "
        "failed, 2 wrong flags, 3 another operator changed the "
        "contract, 4 a problem was found or the contract is not in force "
        "everywhere.");
    app.require_subcommand(1);
    arguments args;
    app.add_option("--platform", args.settings.platform,
                   "Endpoint of the platform's object API")
        ->envname("DOGWOODTRACK_PLATFORM")
        ->capture_default_str();
    app.add_option("--instances", args.settings.instances,
                   "Operators' endpoints of the balancers to ask")
        ->envname("DOGWOODTRACK_INSTANCES")
        ->delimiter(',');
    app.add_flag("--json", args.settings.json, "Print JSON instead of text");
    add_contract(app, args);
    add_view(app, args, "status",
             "Problems found, or one line if there are none", show_status);
    add_view(app, args, "instances", "Balancers as each one sees the others",
             show_instances);
    add_view(app, args, "upstreams", "Open flows and limits, by owner",
             show_upstreams);
    add_view(app, args, "flows", "Flow counts of each balancer", show_flows);
    add_view(app, args, "metrics", "Prometheus text of each balancer",
             show_metrics);
    add_view(app, args, "config", "Settings in effect on each balancer",
             show_config);
    add_timeline(app, args);
    app.add_subcommand("completions", "Completions for bash")->callback([&] {
        args.command = [&] { return print_completions(app); };
    });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &problem) {
        return app.exit(problem) == 0 ? 0 : static_cast<int>(tool_exit::usage);
    }
    return static_cast<int>(args.command());
}
