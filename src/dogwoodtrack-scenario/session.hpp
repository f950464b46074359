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
    json terms; ///< as in the contract
    std::vector<upstream_profile> upstreams;
    std::set<std::string> terminating;
};

/// Something that happens later while the scenario runs.
struct later_action {
    std::chrono::steady_clock::time_point when;
    std::function<void()> action;
};

/// One comparison of a measure with a bound.
struct expectation {
    std::string measure;
    std::string relation;
    double bound = 0;
    double value = 0;
    bool met = false;
    int line = 0;
};

/// Thrown when a script asks for something that cannot be done.
struct scenario_problem {
    std::string detail;
};

/// The state behind one running script. One thread uses it.
class session {
public:
    explicit session(session_options options);

    auto add_instance(const std::string &name, const std::string &domain)
        -> void;
    auto add_service(const json &terms) -> void;
    auto add_upstreams(const json &terms) -> void;
    auto start() -> void;
    auto run(double duration) -> void;
    auto wait_for(double duration, const std::function<bool()> &ready) -> bool;
    auto drain(double duration) -> void;

    auto stop_instance(const std::string &name) -> void;
    auto kill_instance(const std::string &name) -> void;
    auto pause_instance(const std::string &name, bool paused) -> void;
    auto join_instance(const std::string &name) -> void;
    auto has_stopped(const std::string &name) -> bool;
    auto exit_code_of(const std::string &name) -> int;

    auto add_flows(const json &terms) -> void;
    auto set_store(const json &faults) -> void;
    auto set_fabric(const json &faults) -> void;
    auto set_upstream(const json &change) -> void;
    auto leave(const json &what) -> void;
    auto cut(const json &what) -> void;
    auto heal() -> void;
    auto measure(const std::string &service) -> void;

    /// Applies the customer's contract as it now stands; waits until it is
    /// in force everywhere reachable and notes how long it took.
    auto apply(const std::string &customer, double patience) -> void;
    /// Two operators write the same contract at once; returns how many of
    /// the writes were taken.
    auto race(const std::string &customer) -> int;
    /// Whether every running, reachable instance has the latest contract.
    auto in_force(const std::string &customer) -> bool;
    auto owner_of(const std::string &service, const std::string &domain)
        -> std::string;
    /// Open flows of an upstream as its owner counts them, -1 without owner.
    auto counted_at(const std::string &upstream) -> int;
    auto status_of(const std::string &name) -> json;
    auto events_named(const std::string &kind) -> int;

    auto expect(const std::string &measure, const std::string &relation,
                double bound, int line) -> bool;
    auto value_of(const std::string &measure) -> double;
    auto report() -> json;
    auto timeline() -> json;
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
    auto reachable_names() -> std::vector<std::string>;
    auto look_at_daemons() -> void;
    auto later(double delay, std::function<void()> action) -> void;
    auto do_due() -> void;
    auto need_instance(const std::string &name) -> standin::fleet_member &;
    auto collect_events() -> void;

    session_options options_;
    std::unique_ptr<standin::fleet> fleet_;
    std::vector<scenario_service> services_;
    std::map<std::string, std::string> domains_; ///< of instances
    std::vector<later_action> pending_;
    std::vector<expectation> expectations_;
    std::map<std::string, std::uint64_t> written_;
    std::map<std::string, std::map<std::string, std::uint64_t>> seen_;
    std::set<std::string> paused_;
    std::set<std::string> cut_off_;
    std::map<std::string, json> events_; ///< by stamp and instance
    double live_lag_ = 0;
    double fabric_lag_ = 0.5;
    double in_force_ms_max_ = 0;
    std::uint64_t reverts_ = 0;
    std::uint32_t next_upstream_ = 0;
    standin::control_cost cost_;
    std::chrono::steady_clock::time_point next_look_{};
};

} // namespace dogwoodtrack::scenario
