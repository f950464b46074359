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
    explain_settings explain;
    std::string customer;
    std::string file;
    std::function<tool_exit()> command;
};

auto add_contract(CLI::App &app, arguments &args) -> void {
    auto *contract = app.add_subcommand(
        "contract", "Check, write and show the contracts of customers");
    contract->require_subcommand(1);
    auto *check = contract->add_subcommand(
        "check", "Check a file without writing it: contract check brunner "
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
                      "Generation that your edit started from; fails if the "
                      "contract has another one by now");
    apply->add_flag(
        "--wait", args.apply.wait,
        "Wait until the contract is in force and print on how many balancers");
    apply->add_flag("--force", args.apply.force,
                    "Allow the removal of upstreams that are still in service");
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
        "diff", "Show what a file would change: contract diff brunner "
                "brunner.json");
    diff->add_option("customer", args.customer, "Customer")->required();
    diff->add_option("file", args.file, "Contract as JSON")->required();
    diff->callback([&] {
        args.command = [&] {
            return contract_diff(args.settings, args.customer, args.file);
        };
    });
    auto *history = contract->add_subcommand(
        "history",
        "Show when each generation came into force on each instance");
    history->add_option("customer", args.customer, "Customer")->required();
    history->callback([&] {
        args.command = [&] {
            return contract_history(args.settings, args.customer);
        };
    });
}

auto add_show_command(CLI::App &app, arguments &args, const char *name,
                      const char *help,
                      tool_exit (*show)(const tool_settings &)) -> void {
    app.add_subcommand(name, help)->callback([&args, show] {
        args.command = [&args, show] { return show(args.settings); };
    });
}

auto add_timeline(CLI::App &app, arguments &args) -> void {
    auto *command = app.add_subcommand(
        "timeline",
        "Show the events of all instances, ordered by stamp: timeline "
        "--subject brunner/ordering --html evening.html");
    command->add_option("--subject", args.timeline.subject,
                        "Only events about this service, upstream, instance "
                        "or customer");
    command->add_option("--instance", args.timeline.instance,
                        "Only events of this instance");
    command->add_option("--kind", args.timeline.kind,
                        "Only events of this kind, for example owner_changed");
    command->add_option("--generation", args.timeline.generation,
                        "Only events about this generation of a contract");
    command->add_option(
        "--html", args.timeline.html,
        "Write an HTML page with one line per instance to this file");
    command->add_option(
        "--file", args.timeline.file,
        "Read the events from this file instead of the instances");
    command->add_flag("--follow", args.timeline.follow,
                      "Print new events as they arrive");
    command->callback([&] {
        args.command = [&] {
            return show_timeline(args.settings, args.timeline);
        };
    });
}

auto add_explain(CLI::App &app, arguments &args) -> void {
    auto *command = app.add_subcommand(
        "explain",
        "Show where a new flow to a service address would go now, and why, "
        "without sending anything: explain 198.18.0.1:443 --caller "
        "100.64.0.7:40000 --instances 10.0.0.1:4002");
    command->fallthrough(); // --json and --instances may follow the address
    command
        ->add_option("service", args.explain.service,
                     "Address and port of the service, a.b.c.d:port")
        ->required();
    command->add_option("--caller", args.explain.caller,
                        "Address and port of the caller, a.b.c.d:port; a "
                        "caller without a history if not given");
    command->callback([&] {
        args.command = [&] {
            return explain_flow(args.settings, args.explain);
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
        "on every balancer.");
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
    add_show_command(app, args, "status",
                     "Show problems, or one line if there are none",
                     show_status);
    add_show_command(app, args, "instances",
                     "Show the balancers as each one sees the others",
                     show_instances);
    add_show_command(
        app, args, "upstreams",
        "Show the open flows and the limit of each upstream, as reported by "
        "the balancer that owns the service in the upstream's failure domain",
        show_upstreams);
    add_show_command(app, args, "flows",
                     "Show the flow counters of each balancer", show_flows);
    add_show_command(app, args, "metrics",
                     "Show the Prometheus metrics of each balancer",
                     show_metrics);
    add_show_command(app, args, "config",
                     "Show the settings in effect on each balancer",
                     show_config);
    add_timeline(app, args);
    add_explain(app, args);
    app.add_subcommand("completions",
                       "Print a command that sets up completion in bash")
        ->callback(
            [&] { args.command = [&] { return print_completions(app); }; });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &problem) {
        return app.exit(problem) == 0 ? 0 : static_cast<int>(tool_exit::usage);
    }
    return static_cast<int>(args.command());
}
