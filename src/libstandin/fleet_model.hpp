#pragma once

#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::model {

/// What goes wrong in a modelled fleet.
enum class fault_kind {
    kill_balancers,    ///< they lose all they know and start again after it
    freeze_balancers,  ///< of the first domain only: they stand still
    store_unreachable, ///< calls fail; entries of upstreams vanish meanwhile
    crash_upstreams,   ///< silent; their entries vanish after a while
    fail_upstreams,    ///< answer each request with an error at once
    hang_upstreams,    ///< take requests and never answer them
    drain_upstreams,   ///< say that they leave
    cut_domain,        ///< one failure domain reaches only itself and callers
    new_configuration
};

/// One fault. `share` of the balancers or upstreams are hit, the first ones.
struct fault {
    fault_kind kind{};
    milliseconds at{0};
    milliseconds duration{2'000};
    double share = 1.0;
};

/// A fleet of balancers, its callers, upstreams and store. Domains are alike.
struct model_options {
    std::uint64_t seed = 1;
    unsigned domains = 3;
    unsigned balancers = 3; ///< in each domain
    unsigned upstreams = 5; ///< in each domain
    unsigned slots = 3;
    unsigned queue = 12;
    double arrivals_per_second = 130; ///< in each domain
    milliseconds work{45};            ///< mean of an exponential distribution
    milliseconds target{200};
    milliseconds deadline{2'000};
    milliseconds length{15'000};
    milliseconds bound{3'000}; ///< changes are in force by then
    double loss = 0;           ///< of packets between balancers
    std::vector<fault> faults;
};

/// What callers and the store saw.
struct model_report {
    std::size_t asked = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::size_t failed = 0;
    std::size_t errors = 0; ///< answers of failing upstreams, retried or not
    std::size_t hung = 0;   ///< requests that an upstream never answered
    std::size_t shed = 0;   ///< requests that found an upstream's queue full
    std::size_t resets = 0; ///< of flows whose upstream lives, by balancers
    /// Resets of flows whose upstream was dead or beyond a cut.
    std::size_t freed = 0;
    std::size_t withdrawals = 0; ///< of balancers from rotation
    std::size_t store_calls = 0;
    std::size_t peer_messages = 0;
    std::size_t late_placements = 0; ///< on leaving upstreams, past the bound
    std::size_t old_configurations = 0; ///< balancers that went back
    std::size_t stale_balancers = 0;    ///< at the end behind the store
    double busiest_to_mean = 0;         ///< of upstreams, by requests
    std::vector<std::size_t> asked_by_second;
    std::vector<std::size_t> in_time_by_second;
};

/// Plays a fleet by the balancers' own decisions, without network, threads
/// or clock: the same options give the same report.
auto simulate(const model_options &options) -> model_report;

/// The report as JSON.
auto to_json(const model_report &report) -> std::string;

} // namespace dogwoodtrack::model
