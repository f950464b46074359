#pragma once

#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::model {

/// Kind of fault injected into a simulated fleet.
enum class fault_kind {
    /// Balancers lose all state and restart when the fault ends.
    kill_balancers,
    /// Balancers of the first failure domain stop running, but keep their
    /// state.
    freeze_balancers,
    /// Store calls fail. All entries of upstreams expire, and are written again
    /// some time after the store recovers.
    store_unreachable,
    /// Upstreams stop answering. Their entries expire some time later.
    crash_upstreams,
    /// Upstreams answer each request with an error at once.
    fail_upstreams,
    /// Upstreams accept requests and never answer them.
    hang_upstreams,
    /// Upstreams change to the state `draining`, for the rest of the run.
    drain_upstreams,
    /// The first failure domain reaches only itself and the callers.
    cut_domain,
    /// The store gets a new configuration.
    new_configuration
};

/// One fault. It affects the first `share` of the balancers or upstreams, where
/// `share` is between 0 and 1.
struct fault {
    fault_kind kind{};
    milliseconds at{0}; ///< since the first arrival
    milliseconds duration{2'000};
    double share = 1.0;
};

/// A fleet of balancers with its callers, upstreams and store. All failure
/// domains have the same size and load.
struct model_options {
    std::uint64_t seed = 1;
    unsigned domains = 3;
    unsigned balancers = 3;    ///< in each domain
    unsigned upstreams = 5;    ///< in each domain
    unsigned slots = 3;        ///< requests processed at once by one upstream
    unsigned queue_limit = 12; ///< requests waiting at one upstream
    double arrivals_per_second = 130;   ///< in each domain
    milliseconds mean_service_time{45}; ///< of an exponential distribution
    milliseconds target_latency{200};   ///< of a response that is in time
    milliseconds deadline{2'000};       ///< the caller gives up after this time
    milliseconds length{15'000};        ///< of the traffic
    milliseconds apply_within{3'000};   ///< time to apply a change everywhere
    double loss = 0; ///< share of lost messages between balancers
    std::vector<fault> faults;
};

/// Results of a simulation, as seen by the callers and the store. Counts are of
/// requests unless noted otherwise.
struct model_report {
    std::size_t asked = 0;
    std::size_t in_time = 0; ///< answered within the target latency
    std::size_t late = 0;    ///< answered after it, before the deadline
    std::size_t failed = 0;  ///< not answered by the deadline or the last retry
    std::size_t errors = 0;  ///< errors of failing upstreams, retried or not
    std::size_t hung = 0;    ///< requests taken by hanging upstreams
    std::size_t shed = 0;    ///< requests refused by a full upstream queue
    std::size_t resets = 0;  ///< of flows whose upstream was available
    /// Resets of flows whose upstream was dead or in a domain that is cut off.
    std::size_t freed = 0;
    std::size_t withdrawals = 0; ///< of balancers from rotation
    std::size_t store_calls = 0;
    std::size_t peer_messages = 0;
    /// Openings forwarded to draining upstreams after `apply_within`.
    std::size_t late_placements = 0;
    /// Times that a balancer went back to an older configuration.
    std::size_t old_configurations = 0;
    /// Balancers without the store's latest configuration at the end.
    std::size_t stale_balancers = 0;
    /// Requests served by the busiest upstream, relative to the mean.
    double busiest_to_mean = 0;
    std::vector<std::size_t> asked_by_second;
    std::vector<std::size_t> in_time_by_second;
};

/// Simulates a fleet with the production decision code, without network,
/// threads or clock: the same options give the same report. Preconditions: each
/// failure domain has at least one balancer; `arrivals_per_second` and
/// `mean_service_time` are positive.
auto simulate(const model_options &options) -> model_report;

/// Formats a report as JSON, with one key for each field.
auto to_json(const model_report &report) -> std::string;

} // namespace dogwoodtrack::model
