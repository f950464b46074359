#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::tool {

using ordered_json = nlohmann::ordered_json;

/// Settings common to all commands.
struct tool_settings {
    std::string platform = "127.0.0.1:8001";
    /// Operators' endpoints (HTTP) of the balancers to ask.
    std::vector<std::string> instances;
    bool json = false; ///< print JSON instead of text
};

/// Exit codes of the tool.
enum class tool_exit : int {
    done = 0,
    failed = 1,   ///< an error was printed to standard error
    usage = 2,    ///< invalid command line
    conflict = 3, ///< another operator has changed the contract meanwhile
    /// `status` found a problem, or `contract apply --wait` timed out before
    /// the contract was in force on (accepted by) every instance.
    unhealthy = 4
};

/// Prints `why` to standard error and returns `tool_exit::failed`. Thread
/// safe.
auto fail(const error &why) -> tool_exit;

/// Response of one instance to an HTTP request.
struct instance_reply {
    int status = 0; ///< 0 if the instance did not respond
    std::string body;
};

/// Sends GET `path` to the operators' endpoint `instance`. Takes at most two
/// seconds to connect and two to wait for the response. Thread safe.
auto query_instance(const std::string &instance, const std::string &path)
    -> instance_reply;

/// Response of one instance. `body` is null if the instance did not respond or
/// its response was not JSON.
struct instance_response {
    std::string instance;
    ordered_json body;
};

/// Sends GET `path` to every instance of the settings, one after the other, and
/// returns the responses in that order. Thread safe.
auto query_instances(const tool_settings &settings, const std::string &path)
    -> std::vector<instance_response>;

/// Flags of `contract apply`.
struct apply_settings {
    std::string customer;
    std::string file;
    /// Generation of the contract that the file was edited from. If the
    /// platform has another generation, the contract is not written. Empty: no
    /// check.
    std::string base;
    bool wait = false;  ///< wait until the contract is in force everywhere
    bool force = false; ///< allow removal of upstreams in service
};

/// Validates a contract file without writing it to the platform, and prints
/// warnings about availability risks.
auto contract_check(const tool_settings &settings, const std::string &customer,
                    const std::string &file) -> tool_exit;
/// Checks a contract against all contracts on the platform and writes it to the
/// platform. Does not write it if the customer's contract on the platform has
/// another generation than `base` (unless that is empty), or is changed by
/// another operator while this function runs.
auto contract_apply(const tool_settings &settings, const apply_settings &apply)
    -> tool_exit;
/// Prints the contract of `customer`, or lists all contracts if it is empty.
auto contract_get(const tool_settings &settings, const std::string &customer)
    -> tool_exit;
/// Prints the changes that a file would make to the contract on the platform.
auto contract_diff(const tool_settings &settings, const std::string &customer,
                   const std::string &file) -> tool_exit;
/// Prints when each generation of a contract came into force on each instance.
auto contract_history(const tool_settings &settings,
                      const std::string &customer) -> tool_exit;

/// Prints the problems of the instances, or one line if there are none.
auto show_status(const tool_settings &settings) -> tool_exit;
/// Prints, for each instance, the status of every balancer that it knows and
/// when it last heard from that balancer.
auto show_instances(const tool_settings &settings) -> tool_exit;
/// Prints the number of open flows and the limit of each upstream, as reported
/// by the instance that owns the upstream's service in the upstream's failure
/// domain.
auto show_upstreams(const tool_settings &settings) -> tool_exit;
/// Prints the flow counters of each instance.
auto show_flows(const tool_settings &settings) -> tool_exit;
/// Prints the Prometheus metrics of each instance.
auto show_metrics(const tool_settings &settings) -> tool_exit;
/// Prints the settings in effect on each instance, as JSON.
auto show_config(const tool_settings &settings) -> tool_exit;

/// Filters and output options of the command `timeline`. A filter that is empty
/// or 0 matches all events.
struct timeline_settings {
    std::string subject;
    std::string instance;
    std::string kind;
    std::uint64_t generation = 0;
    std::string html;    ///< if set, write an HTML page to this file
    std::string file;    ///< if set, read the events from this file
    bool follow = false; ///< continue with new events as they are recorded
};

/// Prints the matching events of all instances, ordered by their stamps, or
/// writes them as an HTML page.
auto show_timeline(const tool_settings &settings,
                   const timeline_settings &filter) -> tool_exit;

/// The flow that the command `explain` asks about.
struct explain_settings {
    std::string service; ///< endpoint that callers open flows to
    std::string caller;  ///< empty: a caller without a history
};

/// Prints, for each instance, where a new flow would go now, and why. No packet
/// is sent to an upstream. Returns `tool_exit::usage` if an endpoint is
/// malformed or no instance is given, and `tool_exit::failed` if an instance
/// did not explain.
auto explain_flow(const tool_settings &settings, const explain_settings &flow)
    -> tool_exit;

/// Returns a self-contained HTML page that shows the events, with one
/// horizontal line for each instance. Precondition: `events` is an array
/// ordered by stamp. Thread safe.
auto timeline_page(const ordered_json &events) -> std::string;

} // namespace dogwoodtrack::tool
