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

/// Settings of a fleet of real daemons on loopback.
struct fleet_options {
    std::string daemon; ///< path of dogwoodtrackd
    std::string log_folder;
    std::uint64_t seed = 1;
    std::vector<std::string> extra_arguments;
    std::size_t flows = 200'000;
};

/// One daemon of the fleet.
struct fleet_member {
    std::string name;
    std::string failure_domain;
    std::uint32_t address = 0;
    std::unique_ptr<process> daemon;
    bool listed = true;
    bool stopping = false;
};

/// Largest cost of control of any daemon over a window.
struct control_cost {
    double bytes_per_second = 0;
    double cpu_fraction = 0;
    std::uint64_t rss_bytes = 0;
};

/// Daemons, platform and traffic of one trial, each address on loopback and
/// free when the trial starts. One thread uses a fleet.
class fleet {
public:
    /// Chooses free addresses and starts platform and traffic.
    static auto open(const fleet_options &options)
        -> result<std::unique_ptr<fleet>>;
    ~fleet();

    auto add_member(const std::string &name, const std::string &failure_domain)
        -> result<void>;
    auto member(const std::string &name) -> fleet_member *;
    auto names() const -> std::vector<std::string>;

    /// Starts a daemon that was added or has ended.
    auto start_member(const std::string &name) -> result<void>;
    /// Planned stop: SIGTERM; the fabric sends nothing more after `lag`.
    auto stop_member(const std::string &name) -> void;
    auto kill_member(const std::string &name) -> void;
    auto pause_member(const std::string &name) -> void;
    auto resume_member(const std::string &name) -> void;
    auto set_fabric_target(const std::string &name, bool receives,
                           double weight) -> void;

    /// Cuts `group` off from all other daemons, and from the platform too if
    /// `platform`.
    auto cut(const std::set<std::string> &group, bool platform) -> void;
    auto heal() -> void;

    /// Writes the platform's list of balancers.
    auto publish_balancers() -> void;
    /// Writes the platform's list of upstreams of a service.
    auto publish_upstreams(const std::string &service,
                           const std::vector<upstream_profile> &upstreams,
                           const std::set<std::string> &terminating) -> void;

    /// GET from a daemon's operators' port; empty if it does not answer.
    auto http_get(const std::string &name, const std::string &path) const
        -> std::string;

    auto platform() -> platform_standin &;
    auto network() -> traffic &;
    auto platform_address() const -> endpoint;

    /// Starts the window of `cost`.
    auto start_cost_window() -> void;
    auto cost() -> control_cost;

private:
    struct state;
    explicit fleet(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack::standin
