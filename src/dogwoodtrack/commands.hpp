#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::tool {

using ordered_json = nlohmann::ordered_json;

/// Settings that all commands share.
struct tool_settings {
    std::string platform = "127.0.0.1:8001";
    std::vector<std::string> instances; ///< operators' endpoints
    bool json = false;
};

/// Exit codes of the tool.
enum class tool_exit : int {
    done = 0,
    failed = 1,   ///< the error is on standard error
    usage = 2,    ///< wrong flags
    conflict = 3, ///< another operator changed the contract
    trouble = 4   ///< `status`: a promise is broken or nobody answers
};

/// Prints a typed error to standard error.
auto fail(const error &why) -> tool_exit;

/// What one instance answered; `body` is null if it did not.
struct instance_answer {
    std::string instance;
    ordered_json body;
};

/// Asks every instance named by the settings.
auto ask_all(const tool_settings &settings, const std::string &path)
    -> std::vector<instance_answer>;

/// Flags of `contract apply`.
struct apply_settings {
    std::string customer;
    std::string file;
    std::string base; ///< generation the edit started from, empty: latest
    bool wait = false;
    bool force = false;
};

auto contract_check(const tool_settings &settings, const std::string &customer,
                    const std::string &file) -> tool_exit;
auto contract_apply(const tool_settings &settings, const apply_settings &apply)
    -> tool_exit;
auto contract_get(const tool_settings &settings, const std::string &customer)
    -> tool_exit;
auto contract_diff(const tool_settings &settings, const std::string &customer,
                   const std::string &file) -> tool_exit;
auto contract_history(const tool_settings &settings,
                      const std::string &customer) -> tool_exit;

auto show_status(const tool_settings &settings) -> tool_exit;
auto show_instances(const tool_settings &settings) -> tool_exit;
auto show_upstreams(const tool_settings &settings) -> tool_exit;
auto show_flows(const tool_settings &settings) -> tool_exit;
auto show_metrics(const tool_settings &settings) -> tool_exit;
auto show_config(const tool_settings &settings) -> tool_exit;

/// Filters of `timeline`.
struct timeline_settings {
    std::string subject;
    std::string instance;
    std::string kind;
    std::uint64_t generation = 0;
    std::string html; ///< file for a page with lanes
    std::string file; ///< read events from here instead of the instances
    bool follow = false;
};

auto show_timeline(const tool_settings &settings,
                   const timeline_settings &filter) -> tool_exit;

/// A self-contained page with one lane a process.
auto timeline_page(const ordered_json &events) -> std::string;

} // namespace dogwoodtrack::tool
