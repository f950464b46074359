#pragma once

#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "fleet.hpp"

namespace dogwoodtrack::carried {

/// Balancers probe each other to detect failures sooner than gossip
/// (`fleet.hpp`) does: probing takes two rounds, gossip takes seconds. Members
/// of the own failure domain are probed round-robin, a few in each round and
/// more while some do not answer. Those of other domains are probed only while
/// a decision depends on them.

/// Time between two probe rounds.
inline constexpr milliseconds probe_interval{200};

/// Results of the latest probes of one balancer.
struct probed_member {
    std::uint32_t failure_domain = 0;
    time_point last_probed{};
    time_point last_heard{};  ///< last message received directly from it
    std::uint32_t missed = 0; ///< consecutive probes without an answer
    bool serves = false;      ///< can be given packets
    bool withdrawn = false;   ///< has left rotation, see `rotation.hpp`
};

/// What a probe or its answer reports about the sender.
struct probe_message {
    bool wants_answer = false;
    bool serves = false;
    bool withdrawn = false;
    /// Failure domains from which the sender's own flows receive nothing.
    std::vector<std::uint32_t> unheard_domains;
};

/// Probes sent by this balancer, and their results. Not thread safe.
struct probe_table {
    boost::unordered_flat_map<std::uint32_t, probed_member> members;
    time_point last_round{};
    std::size_t next_candidate = 0;   ///< round-robin position
    std::size_t own_domain_peers = 0; ///< other balancers of the own domain
    /// Other failure domains whose balancers are probed in each round.
    std::vector<std::uint32_t> probed_domains;
    /// Failure domains from which neighbours receive nothing, and when they
    /// last reported so.
    boost::unordered_flat_map<std::uint32_t, time_point> reported_unheard;
};

/// Summary of the recent probes of the balancers of a failure domain.
struct domain_probe_summary {
    std::uint32_t probed = 0;
    std::uint32_t serving = 0;   ///< of those probed
    std::uint32_t withdrawn = 0; ///< of those probed
    std::uint32_t missed = 0;    ///< of those probed, last probe unanswered
};

/// Whether a probe round is due.
auto is_round_due(const probe_table &probes, time_point now) -> bool;

/// Ends a round: probes without an answer count as missed, unless this process
/// was paused.
auto end_round(probe_table &probes, time_point now) -> void;

/// Selects the balancers to probe in the round that starts, and records them as
/// probed. Precondition: `end_round` was called for the previous round.
auto begin_round(probe_table &probes, const fleet &members)
    -> std::vector<std::uint32_t>;

/// Records a probe or an answer from a balancer of this failure domain.
auto record_probe(probe_table &probes, std::uint32_t from,
                  std::uint32_t failure_domain, const probe_message &message,
                  time_point now) -> void;

/// Records the failure domains from which a neighbour receives nothing.
auto record_reported_unheard(probe_table &probes,
                             const std::vector<std::uint32_t> &domains,
                             time_point now) -> void;

/// Failure domains from which a neighbour receives nothing, as of the end of
/// the last round.
auto reported_unheard(const probe_table &probes) -> std::vector<std::uint32_t>;

/// Summary of the recent probes of a failure domain.
auto summarize_probes(const probe_table &probes, std::uint32_t failure_domain,
                      time_point now) -> domain_probe_summary;

/// Whether balancers of the failure domain were probed several times in a row
/// and nothing was received from any of them meanwhile.
auto is_domain_unreachable(const probe_table &probes,
                           std::uint32_t failure_domain, time_point now)
    -> bool;

} // namespace dogwoodtrack::carried
