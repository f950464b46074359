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
    endpoint link;      ///< receives Geneve packets from fabric and peers
    endpoint control;   ///< receives control messages from peers
    endpoint operators; ///< HTTP server for operators and metrics
    endpoint fabric;    ///< where packets to callers and upstreams are sent
    endpoint platform;  ///< object API of the platform
    std::vector<endpoint> seeds; ///< control endpoints of peers for discovery
    std::string fleet_key;       ///< secret shared by all balancers
    /// Maximum number of flows in the tables of all workers together.
    std::size_t flow_capacity = 500'000;
    unsigned workers = 1; ///< packet worker threads
    placement_mode placement = placement_mode::owner;
    /// Interval at which this instance, while it forwards the packets of a flow
    /// owned by another instance, tells the owner that the flow is in use.
    milliseconds refresh_interval{60'000};
    milliseconds heartbeat{300}; ///< interval between heartbeats to peers
    seconds stop_deadline{60};   ///< maximum duration of a planned stop
    /// Bandwidth limit for copying flow records to peers.
    std::size_t sync_bytes_per_second = 2048;
    /// Sends new documents to peers as a whole, instead of only the names and
    /// versions of the documents, as a baseline for comparison.
    bool push_documents = false;
    bool fault_injection = false; ///< lets tests simulate faults by POST /fault
};

/// Exit codes of the daemon.
enum class exit_code : int {
    stopped = 0,       ///< planned stop complete, packets go to other instances
    bad_setting = 2,   ///< a flag or environment variable is invalid
    cannot_listen = 3, ///< an endpoint could not be bound
    deadline_missed = 4 ///< planned stop incomplete at `stop_deadline`
};

/// Validates the settings. Fails with `error_kind::bad_setting`. Thread safe.
auto check_options(const daemon_options &options) -> result<void>;

/// Runs a balancer. When `stop` becomes true, makes a planned stop and returns
/// once it is complete or its deadline has passed. Starts and joins its own
/// threads and starts no processes. Fails with `error_kind::bad_setting` or
/// `error_kind::socket_failed`.
auto run_daemon(const daemon_options &options, const std::atomic<bool> &stop)
    -> result<exit_code>;

} // namespace dogwoodtrack
