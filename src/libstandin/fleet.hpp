#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform_standin.hpp"
#include "process.hpp"
#include "traffic.hpp"

namespace dogwoodtrack::standin {

/// Settings of a fleet of daemons on loopback.
struct fleet_options {
    std::string daemon; ///< path of dogwoodtrackd
    std::string log_folder;
    std::uint64_t seed = 1;
    std::vector<std::string> extra_arguments;
    std::size_t flows = 200'000; ///< flow table capacity of a daemon
};

/// One daemon of the fleet.
struct fleet_member {
    std::string name;
    std::string failure_domain;
    std::uint32_t address = 0;
    std::unique_ptr<process> daemon; ///< null before the first start
    bool listed = true;              ///< in the platform's list of balancers
    bool stopping = false;           ///< published as terminating
};

/// Largest control-plane usage of any daemon over a window.
struct control_cost {
    double bytes_per_second = 0;
    double cpu_fraction = 0;
    std::uint64_t rss_bytes = 0;
};

/// Runs the daemons of a trial and simulates their platform and traffic, on
/// loopback addresses that are free when the trial starts. Not thread safe.
/// Unless said otherwise, functions that take the name of a member require that
/// it was added. `stop_member`, `kill_member`, `pause_member` and
/// `resume_member` also require that its daemon was started.
class fleet {
public:
    /// Chooses free addresses and starts the platform and traffic simulations.
    /// Fails with `error_kind::socket_failed`.
    static auto open(const fleet_options &options)
        -> result<std::unique_ptr<fleet>>;
    ~fleet();

    /// Adds a member without starting it. Fails with
    /// `error_kind::scenario_invalid` if the name is taken.
    auto add_member(const std::string &name, const std::string &failure_domain)
        -> result<void>;
    /// The member of this name, null if there is none.
    auto member(const std::string &name) -> fleet_member *;
    auto names() const -> std::vector<std::string>;

    /// Starts the daemon of a member for the first time or after it has ended.
    auto start_member(const std::string &name) -> result<void>;
    /// Sends SIGTERM and marks the member as terminating. The fabric continues
    /// to send to it until `set_fabric_target`.
    auto stop_member(const std::string &name) -> void;
    auto kill_member(const std::string &name) -> void;
    auto pause_member(const std::string &name) -> void;
    auto resume_member(const std::string &name) -> void;
    /// Sets whether the fabric sends to a member, and with which weight.
    auto set_fabric_target(const std::string &name, bool receives,
                           double weight) -> void;

    /// Partitions the running daemons: cuts `group` off from all others, and
    /// with `platform` also from the platform.
    auto cut(const std::set<std::string> &group, bool platform) -> void;
    /// Ends a partition.
    auto heal() -> void;

    /// Publishes the members as the platform's list of balancers.
    auto publish_balancers() -> void;
    /// Publishes the platform's list of upstreams of a service.
    auto publish_upstreams(const std::string &service,
                           const std::vector<upstream_profile> &upstreams,
                           const std::set<std::string> &terminating) -> void;

    /// Body of a GET from the operator port of a daemon; empty if it is unknown
    /// or not running, or does not answer with 200.
    auto http_get(const std::string &name, const std::string &path) const
        -> std::string;

    auto platform() -> platform_standin &;
    auto network() -> traffic &;
    auto platform_address() const -> endpoint;

    /// Starts the measurement window of `cost`.
    auto start_cost_window() -> void;
    /// Largest usage of any daemon that answered at both ends of the window.
    auto cost() -> control_cost;

private:
    struct state;
    explicit fleet(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack::standin
