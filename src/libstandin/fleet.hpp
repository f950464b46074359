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
    std::string daemon;     ///< path of dogwoodtrackd
    std::string log_folder; ///< folder for the logs of the daemons
    std::uint64_t seed = 1;
    /// Additional arguments for every daemon.
    std::vector<std::string> extra_arguments;
    std::size_t flows = 200'000; ///< flow table capacity of a daemon
};

/// One daemon of the fleet.
struct fleet_member {
    std::string name;
    std::string failure_domain;
    std::uint32_t address = 0;
    std::unique_ptr<process> daemon; ///< null before the first start
    /// Whether `publish_balancers` includes the member.
    bool listed = true;
    /// Whether `publish_balancers` marks the member as terminating.
    bool stopping = false;
};

/// Resource usage of the control plane in a measurement. Each value is the
/// largest of any daemon.
struct control_cost {
    double bytes_per_second = 0; ///< control traffic sent and received
    /// CPU time outside packet workers, divided by the time measured.
    double cpu_fraction = 0;
    std::uint64_t rss_bytes = 0; ///< memory at the end of the measurement
};

/// Runs the daemons of one scenario and simulates their platform and traffic,
/// on loopback addresses that are free when the fleet is opened. Not thread
/// safe. Unless said otherwise, functions that take the name of a member
/// require that this member was added. `stop_member`, `kill_member`,
/// `pause_member` and `resume_member` also require that the member was started.
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
    /// The member called `name`, null if there is none.
    auto member(const std::string &name) -> fleet_member *;
    /// Names of all members, started or not.
    auto names() const -> std::vector<std::string>;

    /// Starts the daemon of a member, for the first time or after an earlier
    /// daemon of this member has ended.
    auto start_member(const std::string &name) -> result<void>;
    /// Sends SIGTERM and marks the member as terminating. The fabric continues
    /// to send to it until `set_fabric_target` is called with `receives` false.
    auto stop_member(const std::string &name) -> void;
    auto kill_member(const std::string &name) -> void;
    auto pause_member(const std::string &name) -> void;
    auto resume_member(const std::string &name) -> void;
    /// Sets whether the fabric sends packets to a member. `weight` is relative
    /// to the weights of the other members.
    auto set_fabric_target(const std::string &name, bool receives,
                           double weight) -> void;

    /// Partitions the running daemons: cuts the members in `group` off from all
    /// others, and if `platform` is set also from the platform.
    auto cut(const std::set<std::string> &group, bool platform) -> void;
    /// Ends the partition that `cut` set.
    auto heal() -> void;

    /// Publishes the listed members as the platform's list of balancers.
    auto publish_balancers() -> void;
    /// Publishes the platform's list of upstreams of a service. Upstreams named
    /// in `terminating` are marked as terminating.
    auto publish_upstreams(const std::string &service,
                           const std::vector<upstream_profile> &upstreams,
                           const std::set<std::string> &terminating) -> void;

    /// Body of the response to a GET at the operator port of a daemon; empty if
    /// the daemon is unknown, does not run or does not answer with 200.
    auto http_get(const std::string &name, const std::string &path) const
        -> std::string;

    auto platform() -> platform_standin &;
    auto network() -> traffic &;
    auto platform_address() const -> endpoint;

    /// Starts the measurement whose result `control_cost_since_start` returns.
    /// Discards the previous measurement.
    auto start_control_cost_measurement() -> void;
    /// Control-plane usage since the measurement started. Only daemons that
    /// answer now and answered at the start are included.
    auto control_cost_since_start() -> control_cost;

private:
    struct state;
    explicit fleet(std::unique_ptr<state> new_state);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack::standin
