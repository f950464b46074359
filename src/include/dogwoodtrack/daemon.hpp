#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack {

/// Settings of one balancer.
struct daemon_options {
    std::string name;
    std::string failure_domain;
    endpoint link;      ///< Geneve packets from the fabric and from peers
    endpoint control;   ///< control messages from peers
    endpoint operators; ///< HTTP for operators and metrics
    endpoint fabric;    ///< where packets are sent to
    endpoint platform;  ///< the platform's object API
    std::vector<endpoint> seeds; ///< control endpoints of some peers
    std::string fleet_key;
    std::size_t flow_capacity = 500'000;
    unsigned workers = 1;
    placement_mode placement = placement_mode::owner;
    milliseconds refresh_interval{60'000};
    milliseconds heartbeat{300};
    seconds stop_deadline{60};
    std::size_t sync_bytes_per_second = 2048;
    bool push_documents = false; ///< for comparison, see DESIGN
    bool fault_injection = false;
};

/// Exit codes of the daemon.
enum class exit_code : int {
    stopped = 0,        ///< planned stop, nothing depended on it any more
    bad_setting = 2,    ///< a flag or environment variable is wrong
    cannot_listen = 3,  ///< an address or port cannot be used
    deadline_missed = 4 ///< stopped at the deadline with flows left
};

/// Checks the settings. Fails with `error_kind::bad_setting`.
auto check_options(const daemon_options &options) -> result<void>;

/// Runs a balancer until `stop` becomes true and the planned stop is done.
/// Starts threads of its own, no processes.
auto run_daemon(const daemon_options &options, const std::atomic<bool> &stop)
    -> result<exit_code>;

} // namespace dogwoodtrack
