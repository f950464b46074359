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
    std::vector<std::string> instances; ///< their operators' endpoints
    bool json = false;
};

/// Exit codes of the tool.
enum class tool_exit : int {
    done = 0,
    failed = 1,   ///< an error was printed to standard error
    usage = 2,    ///< invalid command line
    conflict = 3, ///< the contract was changed since the edit started
    /// `status` found a problem, or after `contract apply --wait` the contract
    /// is not in force on every instance.
    unhealthy = 4
};

/// Prints `why` to standard error and returns `tool_exit::failed`. Thread
/// safe.
auto fail(const error &why) -> tool_exit;

/// Response of one instance; `body` is null if there was no valid response.
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
    /// Generation that the edit started from; empty for the latest.
    std::string base;
    bool wait = false;  ///< wait until it is in force on all instances
    bool force = false; ///< allow removal of upstreams in service
};

/// Validates a contract file without writing it; prints its warnings.
auto contract_check(const tool_settings &settings, const std::string &customer,
                    const std::string &file) -> tool_exit;
/// Checks a contract against those of the platform and writes it there, unless
/// the one there was changed meanwhile.
auto contract_apply(const tool_settings &settings, const apply_settings &apply)
    -> tool_exit;
/// Prints the contract of `customer`, or lists all contracts if it is empty.
auto contract_get(const tool_settings &settings, const std::string &customer)
    -> tool_exit;
/// Prints the difference from the contract on the platform to a file.
auto contract_diff(const tool_settings &settings, const std::string &customer,
                   const std::string &file) -> tool_exit;
/// Prints when each generation of a contract came into force on each instance.
auto contract_history(const tool_settings &settings,
                      const std::string &customer) -> tool_exit;

/// Prints the problems of the instances, or one line if there are none.
auto show_status(const tool_settings &settings) -> tool_exit;
/// Prints the state of the balancers as reported by each instance.
auto show_instances(const tool_settings &settings) -> tool_exit;
/// Prints open flows and limits of the upstreams, as reported by their owners.
auto show_upstreams(const tool_settings &settings) -> tool_exit;
/// Prints the flow counters of each instance.
auto show_flows(const tool_settings &settings) -> tool_exit;
/// Prints the Prometheus metrics of each instance.
auto show_metrics(const tool_settings &settings) -> tool_exit;
/// Prints the settings in effect on each instance, as JSON.
auto show_config(const tool_settings &settings) -> tool_exit;

/// Filters and output of `timeline`. An empty string or 0 matches all events.
struct timeline_settings {
    std::string subject;
    std::string instance;
    std::string kind;
    std::uint64_t generation = 0;
    std::string html;    ///< if set, write an HTML page to this file
    std::string file;    ///< if set, read the events from this file
    bool follow = false; ///< go on with new events
};

/// Prints the matching events of all instances, ordered by their stamps, or
/// writes them as an HTML page.
auto show_timeline(const tool_settings &settings,
                   const timeline_settings &filter) -> tool_exit;

/// Returns a self-contained HTML page with one lane for each instance.
/// Precondition: `events` is an array ordered by stamp. Thread safe.
auto timeline_page(const ordered_json &events) -> std::string;

} // namespace dogwoodtrack::tool
