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
    endpoint link;      ///< receives Geneve packets of fabric and peers
    endpoint control;   ///< receives control messages of peers
    endpoint operators; ///< HTTP server for operators and metrics
    endpoint fabric;    ///< receives all packets to callers and upstreams
    endpoint platform;  ///< object API of the platform
    std::vector<endpoint> seeds; ///< control endpoints of peers for discovery
    std::string fleet_key;       ///< secret shared by all balancers
    std::size_t flow_capacity = 500'000; ///< of all workers together
    unsigned workers = 1;                ///< packet worker threads
    placement_mode placement = placement_mode::owner;
    /// Interval between refreshes of a flow at its owner, if that is another
    /// instance.
    milliseconds refresh_interval{60'000};
    milliseconds heartbeat{300};
    seconds stop_deadline{60};
    std::size_t sync_bytes_per_second = 2048;
    /// Sends whole documents to peers instead of versions, as a baseline for
    /// comparison.
    bool push_documents = false;
    bool fault_injection = false; ///< accepts POST /fault from tests
};

/// Exit codes of the daemon.
enum class exit_code : int {
    stopped = 0,       ///< planned stop complete, packets go to other instances
    bad_setting = 2,   ///< a flag or environment variable is invalid
    cannot_listen = 3, ///< an endpoint could not be bound
    deadline_missed = 4 ///< stop incomplete at its deadline
};

/// Validates the settings. Fails with `error_kind::bad_setting`. Thread safe.
auto check_options(const daemon_options &options) -> result<void>;

/// Runs a balancer until `stop` becomes true and the planned stop that this
/// starts is complete. Starts and joins its own threads and starts no
/// processes. Fails with `error_kind::bad_setting` or
/// `error_kind::socket_failed`.
auto run_daemon(const daemon_options &options, const std::atomic<bool> &stop)
    -> result<exit_code>;

} // namespace dogwoodtrack
