#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>

#include <nlohmann/json.hpp>

#include "fleet.hpp"

namespace dogwoodtrack::scenario {

using nlohmann::json;
using standin::upstream_profile;

/// Settings of one run of a scenario.
struct session_options {
    standin::fleet_options fleet;
    bool verbose = false;
};

/// One service of the scenario with its upstreams.
struct scenario_service {
    std::string customer;
    std::string name;
    std::size_t index = 0;
    json spec; ///< the service's part of the contract
    std::vector<upstream_profile> upstreams;
    /// Upstreams that the platform's list shows as terminating.
    std::set<std::string> terminating;
};

/// An action that is due at a point in time while the scenario runs.
struct scheduled_action {
    std::chrono::steady_clock::time_point when;
    std::function<void()> action;
};

/// A comparison of a measure with a bound, and its result.
struct expectation {
    std::string measure;
    std::string relation;
    double bound = 0;
    double value = 0;
    bool met = false;
    int line = 0; ///< of the script
};

/// Thrown when a script makes a call that is invalid or cannot be carried out.
struct scenario_error {
    std::string detail;
};

/// The state of one running script: the fleet, its services and what was
/// measured. Durations are in seconds. Methods throw `scenario_error` where the
/// script's call is invalid or cannot be carried out. Not thread safe.
class session {
public:
    /// Opens the fleet. Throws `scenario_error` if that fails.
    explicit session(session_options options);

    auto add_instance(const std::string &name, const std::string &domain)
        -> void;
    auto add_service(const json &arguments) -> void;
    auto add_upstreams(const json &arguments) -> void;
    auto start() -> void;
    auto run(double duration) -> void;
    auto wait_for(double duration, const std::function<bool()> &condition)
        -> bool;
    auto drain(double duration) -> void;

    auto stop_instance(const std::string &name) -> void;
    auto kill_instance(const std::string &name) -> void;
    auto pause_instance(const std::string &name, bool paused) -> void;
    auto join_instance(const std::string &name) -> void;
    auto has_stopped(const std::string &name) -> bool;
    auto exit_code_of(const std::string &name) -> int;

    auto add_flows(const json &arguments) -> void;
    auto set_store(const json &faults) -> void;
    auto set_fabric(const json &faults) -> void;
    auto set_upstream(const json &change) -> void;
    auto leave(const json &arguments) -> void;
    auto cut(const json &arguments) -> void;
    auto heal() -> void;
    auto measure(const std::string &service) -> void;

    /// Writes the customer's current contract and waits until `in_force` holds.
    /// Records the time taken; after a timeout, records at least `timeout`.
    auto apply(const std::string &customer, double timeout) -> void;
    /// Writes the same version of the contract from two threads at once.
    /// Returns how many of the writes the platform accepted.
    auto race(const std::string &customer) -> int;
    /// Whether every instance that runs, is not paused and reaches the platform
    /// has the latest contract.
    auto in_force(const std::string &customer) -> bool;
    /// The instance of `domain` that reports itself as owner of an upstream of
    /// the service; empty if there is none.
    auto owner_of(const std::string &service, const std::string &domain)
        -> std::string;
    /// Open flows of an upstream as counted by its owner; -1 if no instance
    /// reports itself as owner.
    auto counted_at(const std::string &upstream) -> int;
    auto status_of(const std::string &name) -> json;
    auto count_events(const std::string &kind) -> int;

    auto expect(const std::string &measure, const std::string &relation,
                double bound, int line) -> bool;
    auto value_of(const std::string &measure) -> double;
    auto report() -> json;
    auto timeline() -> json;
    /// Sets the lag of the platform's lists ("live") or else of the fabric.
    auto set_lag(const std::string &which, double lag) -> void;
    auto network() -> standin::traffic &;

private:
    auto find_service(const std::string &name) -> scenario_service &;
    auto find_upstream(const std::string &name)
        -> std::pair<scenario_service *, upstream_profile *>;
    auto contract_spec(const std::string &customer) -> std::string;
    auto write_contract(const std::string &customer) -> std::uint64_t;
    auto publish_lists() -> void;
    auto all_ready() -> bool;
    /// Instances whose daemon runs and is not paused.
    auto responsive_instances() -> std::vector<std::string>;
    auto check_contract_generations() -> void;
    auto schedule(double delay, std::function<void()> action) -> void;
    auto run_due_actions() -> void;
    auto find_instance(const std::string &name) -> standin::fleet_member &;
    auto collect_events() -> void;

    session_options options_;
    std::unique_ptr<standin::fleet> fleet_;
    std::vector<scenario_service> services_;
    std::map<std::string, std::string> domains_; ///< by instance
    std::vector<scheduled_action> pending_;
    std::vector<expectation> expectations_;
    std::map<std::string, std::uint64_t> written_generations_;
    std::map<std::string, std::map<std::string, std::uint64_t>>
        seen_generations_;
    std::set<std::string> paused_;
    std::set<std::string> platform_cut_; ///< instances without platform
    std::map<std::string, json> events_; ///< by time stamp and instance
    double live_lag_ = 0;                ///< of the platform's lists
    double fabric_lag_ = 0.5; ///< until the fabric reacts to a change
    double in_force_ms_max_ = 0;
    std::uint64_t reverts_ = 0;
    std::uint32_t next_upstream_ = 0;
    standin::control_cost cost_;
    std::chrono::steady_clock::time_point next_generation_check_{};
};

} // namespace dogwoodtrack::scenario
