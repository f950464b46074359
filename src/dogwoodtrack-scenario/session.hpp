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

/// A service that the script defined, with its upstreams.
struct scenario_service {
    std::string customer;
    std::string name;
    std::size_t index = 0; ///< index of the service in `standin::traffic`
    json spec;             ///< the service's part of the contract
    std::vector<upstream_profile> upstreams;
    /// Upstreams that the platform's list shows as terminating.
    std::set<std::string> terminating;
};

/// An action to carry out at the time `when` while the script runs.
struct scheduled_action {
    std::chrono::steady_clock::time_point when;
    std::function<void()> action;
};

/// A comparison of a measure with a bound that the script expects to hold, and
/// the result of the comparison.
struct expectation {
    std::string measure;
    std::string relation; ///< `==`, `<=` or `>=`
    double bound = 0;
    double value = 0; ///< of the measure; left operand of `relation`
    bool met = false; ///< whether the comparison holds
    int line = 0;     ///< line of the Lua code that calls `expect`
};

/// Thrown when a script makes a call that is invalid or cannot be carried out.
struct scenario_error {
    std::string detail;
};

/// State of one running script: the fleet, the services and the results.
/// Durations and timeouts are in seconds. Methods throw `scenario_error` if the
/// script's call is invalid or cannot be carried out. Not thread safe.
class session {
public:
    /// Opens the fleet. Throws `scenario_error` if that fails.
    explicit session(session_options options);

    auto add_instance(const std::string &name, const std::string &domain)
        -> void;
    auto add_service(const json &arguments) -> void;
    auto add_upstreams(const json &arguments) -> void;
    /// Writes the contracts, starts all instances and waits until they are
    /// ready.
    auto start() -> void;
    /// Lets the traffic run for `duration`, and carries out the scheduled
    /// actions that come due.
    auto run(double duration) -> void;
    /// Waits until `condition` holds, at most `duration`, and carries out the
    /// scheduled actions that come due. Returns whether the condition holds.
    auto wait_for(double duration, const std::function<bool()> &condition)
        -> bool;
    /// Records the cost of the control plane, stops opening flows, and waits
    /// until all flows are closed, at most `duration`.
    auto drain(double duration) -> void;

    auto stop_instance(const std::string &name) -> void;
    auto kill_instance(const std::string &name) -> void;
    /// Pauses an instance, or resumes it if `paused` is false.
    auto pause_instance(const std::string &name, bool paused) -> void;
    /// Starts an instance that is not running.
    auto join_instance(const std::string &name) -> void;
    auto has_stopped(const std::string &name) -> bool;
    auto exit_code_of(const std::string &name) -> int;

    auto add_flows(const json &arguments) -> void;
    /// Replaces the faults of the platform.
    auto set_store(const json &faults) -> void;
    /// Replaces the faults of the fabric, and sets the weights of the instances
    /// named in `faults`. The weights of other instances stay.
    auto set_fabric(const json &faults) -> void;
    /// Changes a simulated upstream immediately, except for `connections`. A
    /// new `capacity` or `connections` also becomes part of the contract the
    /// next time that the contract is written.
    auto set_upstream(const json &change) -> void;
    /// Makes an upstream leave, by the contract or by the platform's list. With
    /// `undo`, makes an upstream that left by the contract return.
    auto leave(const json &arguments) -> void;
    /// Cuts a failure domain or single instances off from all others, and with
    /// `platform` also from the platform.
    auto cut(const json &arguments) -> void;
    auto heal() -> void;
    /// Starts new measurements of the imbalance of a service, of the relayed
    /// packets and of the cost of the control plane.
    auto measure(const std::string &service) -> void;

    /// Writes the customer's contract as defined now and waits until `in_force`
    /// holds, at most `timeout`. Records the time from the write to the end of
    /// the wait in `contract_in_force_ms_max` if it is the longest so far; if
    /// `in_force` does not hold in time, records at least `timeout`.
    auto apply(const std::string &customer, double timeout) -> void;
    /// Writes the contract concurrently from two threads, both on condition
    /// that the version read before is still the latest. Returns how many of
    /// the two writes the platform accepted.
    auto race(const std::string &customer) -> int;
    /// Whether every instance that runs, is not paused and is not cut off from
    /// the platform by `cut` reports the contract that was written last.
    auto in_force(const std::string &customer) -> bool;
    /// Name of the instance of `domain` that reports itself as owner of an
    /// upstream of the service; empty if there is none.
    auto owner_of(const std::string &service, const std::string &domain)
        -> std::string;
    /// Number of open flows of an upstream as counted by its owner; -1 if no
    /// instance reports itself as owner.
    auto counted_at(const std::string &upstream) -> int;
    auto status_of(const std::string &name) -> json;
    /// Number of events of a kind in the timelines of all instances.
    auto count_events(const std::string &kind) -> int;

    /// Compares the value of a measure with `bound` and records the result.
    auto expect(const std::string &measure, const std::string &relation,
                double bound, int line) -> bool;
    auto value_of(const std::string &measure) -> double;
    auto report() -> json;
    auto timeline() -> json;
    /// Sets the delay in seconds after which a change takes effect: in the
    /// platform's lists if `which` is "live", in the fabric for any other
    /// value.
    auto set_lag(const std::string &which, double lag) -> void;
    auto network() -> standin::traffic &;

private:
    auto find_service(const std::string &name) -> scenario_service &;
    auto find_upstream(const std::string &name)
        -> std::pair<scenario_service *, upstream_profile *>;
    auto contract_spec(const std::string &customer) -> std::string;
    /// Writes the customer's contract and returns its new generation.
    auto write_contract(const std::string &customer) -> std::uint64_t;
    auto publish_lists() -> void;
    /// Whether every instance knows an owner of every upstream and places
    /// flows.
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
    std::map<std::string, std::string> domains_; ///< by name of instance
    std::vector<scheduled_action> pending_;      ///< in order of scheduling
    std::vector<expectation> expectations_;
    /// Generation of the contract written last, by customer.
    std::map<std::string, std::uint64_t> written_generations_;
    /// Generation of the contract reported last, by instance and customer.
    std::map<std::string, std::map<std::string, std::uint64_t>>
        seen_generations_;
    std::set<std::string> paused_; ///< names of paused instances
    /// Names of the instances that `cut` has cut off from the platform.
    std::set<std::string> platform_cut_;
    /// Timeline events by time stamp and instance.
    std::map<std::string, json> events_;
    /// Seconds until a change shows in the platform's lists.
    double list_lag_ = 0;
    double fabric_lag_ = 0.5; ///< seconds until the fabric reacts to a change
    double in_force_ms_max_ = 0;
    /// Times that an instance reported an older contract than before.
    std::uint64_t reverts_ = 0;
    std::uint32_t next_upstream_ = 0;
    standin::control_cost control_cost_;
    std::chrono::steady_clock::time_point next_generation_check_{};
};

} // namespace dogwoodtrack::scenario
