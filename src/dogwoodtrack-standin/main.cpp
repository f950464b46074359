#include <atomic>
#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "dogwoodtrack/contract.hpp"
#include "platform_standin.hpp"
#include "traffic.hpp"

namespace {

using namespace dogwoodtrack;
using namespace dogwoodtrack::standin;
using nlohmann::json;

std::atomic<bool> stop_requested{false};

struct standin_settings {
    std::string platform = "127.9.0.2:7003";
    std::string fabric = "127.9.0.1:6081";
    std::vector<std::string> contracts; ///< customer=file
    std::vector<std::string> balancers; ///< name,domain,link,control
    double rate = 50;        ///< new flows per second for each service
    double life = 2;         ///< duration of a flow in seconds
    double delay = 5;        ///< seconds before the first flow is opened
    double run_seconds = 10; ///< seconds for which flows are opened
    std::uint64_t seed = 1;
};

auto split(const std::string &text, char separator)
    -> std::vector<std::string> {
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);)
        parts.push_back(part);
    return parts;
}

auto read_contract(const std::string &setting) -> result<contract> {
    const auto parts = split(setting, '=');
    if (parts.size() != 2)
        return error{error_kind::bad_setting,
                     "--contract must have the form customer=file: " + setting};
    std::ifstream in(parts[1]);
    const std::string text(std::istreambuf_iterator<char>(in), {});
    return parse_contract(parts[0], 1, text);
}

// Simulates the upstreams of a service and opens flows to the service.
auto add_service_traffic(traffic &network, const contract &customer_contract,
                         const service_spec &spec,
                         const standin_settings &settings) -> void {
    const auto index =
        network.add_service({.customer = customer_contract.customer,
                             .name = spec.name,
                             .address = spec.address,
                             .protocol = spec.protocol});
    for (const auto &it : spec.upstreams)
        network.set_upstream({.name = it.name,
                              .address = it.address,
                              .customer = customer_contract.customer,
                              .service = index,
                              .capacity = it.capacity,
                              .limit = spec.limit == limit_kind::slots
                                           ? it.slots
                                           : it.connections});
    const std::chrono::duration<double> life(settings.life);
    network.add_flows({.service = index,
                       .rate = settings.rate,
                       .life = std::chrono::duration_cast<milliseconds>(life)});
}

// Adds the balancers to the fabric and to the platform's list of balancers.
auto publish_balancers(traffic &network, platform_standin &platform,
                       const standin_settings &settings) -> result<void> {
    json entries = json::array();
    std::uint16_t link_port = 0;
    std::uint16_t control_port = 0;
    for (const auto &it : settings.balancers) {
        const auto parts = split(it, ',');
        if (parts.size() != 4)
            return error{
                error_kind::bad_setting,
                "--balancer must have the form name,domain,link,control: " +
                    it};
        BOOST_OUTCOME_TRY(auto link, parse_endpoint(parts[2]));
        BOOST_OUTCOME_TRY(auto control, parse_endpoint(parts[3]));
        network.set_balancer(
            {.name = parts[0], .failure_domain = parts[1], .link = link});
        link_port = link.port;
        control_port = control.port;
        entries.push_back({{"addresses", {split(parts[2], ':')[0]}},
                           {"zone", parts[1]},
                           {"targetRef", {{"name", parts[0]}}},
                           {"conditions", {{"ready", true}}}});
    }
    platform.put_endpoint_slice(
        "dogwoodtrack", json{{"endpoints", entries},
                             {"ports",
                              {{{"name", "link"}, {"port", link_port}},
                               {{"name", "control"}, {"port", control_port}}}}}
                            .dump());
    return boost::outcome_v2::success();
}

// Prints the report. Returns whether there were answers, no packet was
// misdelivered, no answers were mixed up and no flow broke.
auto print_report(const traffic &network) -> bool {
    const auto observed = network.report();
    fmt::print("flows opened          {}\nanswers complete      {} of {}\n"
               "packets misdelivered  {}\nanswers mixed up      {}\n"
               "flows broken          {}\nflows refused         {}\n"
               "flows unanswered      {}\n",
               observed.flows_opened, observed.answers, observed.requests,
               observed.packets_misdelivered, observed.answers_mixed,
               observed.flows_broken, observed.flows_refused,
               observed.flows_unanswered);
    return observed.packets_misdelivered == 0 && observed.answers_mixed == 0 &&
           observed.flows_broken == 0 && observed.answers > 0;
}

// Sleeps for `duration` seconds, or until SIGTERM or SIGINT is received.
auto sleep_for(double duration) -> void {
    const auto end = monotonic::now() + std::chrono::duration<double>(duration);
    while (monotonic::now() < end && !stop_requested)
        std::this_thread::sleep_for(milliseconds{20});
}

// Runs the simulation and returns the result of `print_report`.
auto run_simulation(const standin_settings &settings) -> result<bool> {
    BOOST_OUTCOME_TRY(auto platform_address, parse_endpoint(settings.platform));
    BOOST_OUTCOME_TRY(auto fabric_address, parse_endpoint(settings.fabric));
    BOOST_OUTCOME_TRY(auto platform, platform_standin::open(platform_address));
    BOOST_OUTCOME_TRY(auto network,
                      traffic::open(fabric_address, settings.seed));
    BOOST_OUTCOME_TRYV(publish_balancers(*network, *platform, settings));
    std::vector<contract> contracts;
    for (const auto &it : settings.contracts) {
        BOOST_OUTCOME_TRY(auto customer_contract, read_contract(it));
        contracts.push_back(std::move(customer_contract));
    }
    sleep_for(settings.delay);
    for (const auto &customer_contract : contracts) {
        for (const auto &spec : customer_contract.services)
            add_service_traffic(*network, customer_contract, spec, settings);
    }
    sleep_for(settings.run_seconds);
    network->stop_opening();
    sleep_for(settings.life + 2);
    const auto passed = print_report(*network);
    std::fflush(stdout);
    // Keeps the platform available to the operators' tool until SIGTERM or
    // SIGINT is received.
    while (!stop_requested)
        std::this_thread::sleep_for(milliseconds{20});
    return passed;
}

} // namespace

auto main(int argc, char **argv) -> int {
    CLI::App app(
        "dogwoodtrack-standin: simulates the platform, the fabric, "
        "callers and upstreams on loopback. Ends on SIGTERM or SIGINT; "
        "exit code 1 if a packet was misdelivered, answers were mixed up, "
        "a flow broke or nothing was answered, 2 on an error.");
    standin_settings settings;
    app.add_option("--platform", settings.platform,
                   "Endpoint on which the simulated platform listens")
        ->capture_default_str();
    app.add_option("--fabric", settings.fabric,
                   "Endpoint on which the simulated fabric listens")
        ->capture_default_str();
    app.add_option("--contract", settings.contracts,
                   "customer=file: a contract, whose upstreams and callers are "
                   "simulated; may be repeated");
    app.add_option("--balancer", settings.balancers,
                   "name,domain,link,control of a balancer; may be repeated");
    app.add_option("--rate", settings.rate,
                   "New flows per second for each service")
        ->capture_default_str();
    app.add_option("--life", settings.life, "Duration of a flow in seconds")
        ->capture_default_str();
    app.add_option("--delay", settings.delay,
                   "Seconds before the first flow is opened")
        ->capture_default_str();
    app.add_option("--seconds", settings.run_seconds,
                   "Seconds for which flows are opened")
        ->capture_default_str();
    app.add_option("--seed", settings.seed,
                   "Seed of the random number generator")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGTERM, [](int) { stop_requested = true; });
    std::signal(SIGINT, [](int) { stop_requested = true; });
    const auto outcome = run_simulation(settings);
    if (!outcome) {
        fmt::print(stderr, "{}\n", outcome.error().message());
        return 2;
    }
    return outcome.value() ? 0 : 1;
}
