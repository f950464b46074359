#pragma once

#include <cstdint>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::model {

/// What happens, again and again, to the balancers that read the store last.
enum class watcher_fault : std::uint8_t {
    none,
    /// They stand still and find on waking what has arrived meanwhile.
    freeze,
    cut_off, ///< from the store and from all other balancers
    kill     ///< they restart without any state
};

/// A fleet that follows the configuration in the store while it changes. The
/// first two balancers of each failure domain have a capacity of half a core
/// and a link of 200 Mbit/s.
struct spread_options {
    std::uint64_t seed = 1;
    unsigned domains = 3;
    unsigned balancers = 10; ///< in each domain
    std::size_t routes = 10;
    std::size_t changed_routes = 1; ///< changed by each version
    milliseconds change_interval{3'000};
    milliseconds length{20'000}; ///< time in which versions are written
    milliseconds apply_within{5'000};
    double loss = 0; ///< fraction of messages between balancers that is lost
    double link_mbps = 10; ///< of most balancers, in each direction
    watcher_fault fault = watcher_fault::none;
    milliseconds fault_interval{2'000};
    milliseconds fault_length{3'500};
    std::size_t faulted = 2; ///< balancers that each fault strikes
    /// Fraction of all balancers, chosen at random, that freezes in addition
    /// every `freeze_interval` for `fault_length`.
    double frozen_share = 0;
    milliseconds freeze_interval{800};
};

/// Results of a simulation.
struct spread_report {
    /// For each version and balancer, sorted: the time from the later of the
    /// store's acknowledgement and the end of the balancer's last fault until
    /// that version or a later one is in force on it, or until the end of the
    /// simulation. Versions that a balancer missed in a fault are included.
    std::vector<milliseconds> delays;
    milliseconds longest{0};     ///< the last of `delays`
    std::size_t regressions = 0; ///< times that an older version came back
    std::size_t corrupted = 0;   ///< configurations that the store never had
    std::size_t store_calls = 0; ///< for the configuration
    double bytes_per_second = 0; ///< sent by the mean balancer
    double busiest_bytes_per_second = 0; ///< sent by the busiest balancer
};

/// Simulates the fleet with the production code that decides what to read and
/// to send, without network, threads or real time: the same options give the
/// same report. Preconditions: there is at least one failure domain, and each
/// has at least one balancer; `change_interval` and `fault_interval` are
/// positive.
auto simulate_spread(const spread_options &options) -> spread_report;

} // namespace dogwoodtrack::model
