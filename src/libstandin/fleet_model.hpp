#pragma once

#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::model {

/// Kind of fault injected into a simulated fleet.
enum class fault_kind {
    /// Balancers are killed, and restart without any state when the fault ends.
    kill_balancers,
    /// Balancers of the first failure domain do not run while the fault lasts,
    /// but keep their state.
    freeze_balancers,
    /// Store calls fail, and the store's entries of all upstreams expire. The
    /// upstreams write their entries again `entry_restore_delay` after the
    /// store recovers.
    store_unreachable,
    /// Upstreams crash, and restart when the fault ends. If an upstream has not
    /// restarted within `entry_ttl` of its crash, the store drops the
    /// upstream's entry.
    crash_upstreams,
    /// Upstreams answer each request with an error after 1 ms, without
    /// processing it.
    fail_upstreams,
    /// Upstreams accept requests and never answer them.
    hang_upstreams,
    /// Upstreams change to the state `draining` for the rest of the simulation.
    drain_upstreams,
    /// The first failure domain is cut off from the store and from the other
    /// failure domains. Callers still reach it.
    cut_domain,
    /// A new version of the configuration is written to the store.
    new_configuration,
    /// The first failure domain is evacuated: its entry is written to the
    /// store, and removed when the fault ends.
    evacuate_domain
};

/// One fault. `share`, between 0 and 1, is the fraction of the balancers or
/// upstreams that the fault affects, lowest index first. For
/// `freeze_balancers`, it is the fraction of the first failure domain's
/// balancers. `drain_upstreams` and `new_configuration` ignore `duration`.
struct fault {
    fault_kind kind{};
    milliseconds at{0}; ///< time from the start of the traffic to the fault
    milliseconds duration{2'000};
    double share = 1.0;
};

/// A fleet of balancers with its callers, upstreams and store. All failure
/// domains have the same size and load.
struct model_options {
    std::uint64_t seed = 1;
    unsigned domains = 3;
    unsigned balancers = 3; ///< in each domain
    unsigned upstreams = 5; ///< in each domain
    unsigned slots = 3;     ///< concurrent requests that an upstream processes
    /// Requests that may wait at one upstream for a free slot.
    unsigned queue_limit = 12;
    double arrivals_per_second = 130; ///< new requests in each domain
    /// Mean of the service times, which are distributed exponentially.
    milliseconds mean_service_time{45};
    /// Longest latency of a response that counts as in time.
    milliseconds target_latency{200};
    milliseconds deadline{2'000}; ///< time until a caller gives up a request
    milliseconds length{15'000};  ///< duration of the traffic
    /// Time within which every balancer has to apply a change.
    milliseconds apply_within{3'000};
    double loss = 0; ///< fraction of messages between balancers that is lost
    std::vector<fault> faults;
    /// Time within which an evacuation has to take effect on every balancer; 0:
    /// balancers do not read evacuations.
    milliseconds evacuate_within{0};
};

/// Results of a simulation, as seen by the callers and the store.
struct model_report {
    std::size_t asked = 0;   ///< requests that callers started
    std::size_t in_time = 0; ///< requests answered within the target latency
    /// Requests answered after the target latency, but before the deadline.
    std::size_t late = 0;
    /// Requests without a successful response before the deadline or after the
    /// last retry.
    std::size_t failed = 0;
    /// Error responses of failing upstreams, whether or not the caller retried.
    std::size_t errors = 0;
    std::size_t hung = 0; ///< requests that reached a hanging upstream
    std::size_t shed = 0; ///< requests refused by an upstream with a full queue
    /// Resets of flows whose upstream was running and reachable by the
    /// balancer.
    std::size_t resets = 0;
    /// Resets of flows whose upstream had crashed, or was partitioned from the
    /// balancer.
    std::size_t freed = 0;
    /// Times that balancers withdrew from rotation, counted for each balancer
    /// since its last start.
    std::size_t withdrawals = 0;
    std::size_t store_calls = 0;   ///< calls that balancers made to the store
    std::size_t peer_messages = 0; ///< messages sent between balancers
    /// Opening packets that balancers forwarded to an upstream more than
    /// `apply_within` after the upstream began to drain.
    std::size_t late_placements = 0;
    /// Times that a balancer went back to an older configuration.
    std::size_t old_configurations = 0;
    /// Balancers without the store's latest configuration at the end.
    std::size_t stale_balancers = 0;
    /// Number of requests that the busiest upstream served, divided by the mean
    /// over all upstreams.
    double busiest_to_mean = 0;
    /// For each second of the traffic: requests started in it.
    std::vector<std::size_t> asked_by_second;
    /// For each second of the traffic: requests started in it that were
    /// answered within the target latency.
    std::vector<std::size_t> in_time_by_second;
    /// Opening packets that balancers forwarded to an upstream more than
    /// `evacuate_within` after the evacuation of its failure domain began.
    std::size_t evacuated_placements = 0;
    /// Opening packets that balancers forwarded to the upstreams of the first
    /// failure domain in the last 2 s of the traffic.
    std::size_t final_placements_in_first_domain = 0;
};

/// Simulates a fleet with the production decision code, without network,
/// threads or real time: the same options give the same report. Preconditions:
/// there is at least one failure domain, and each has at least one balancer;
/// `arrivals_per_second` and `mean_service_time` are positive; `deadline` is at
/// most 4 s.
auto simulate(const model_options &options) -> model_report;

/// Formats a report as JSON, with one key for each field.
auto to_json(const model_report &report) -> std::string;

} // namespace dogwoodtrack::model
