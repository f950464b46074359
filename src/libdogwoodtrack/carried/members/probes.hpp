#pragma once

#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "carried/members/fleet.hpp"

namespace dogwoodtrack::carried {

/// Balancers probe each other to detect failures sooner than gossip
/// (`fleet.hpp`) does: probing takes two rounds, gossip takes seconds. The
/// other balancers of the own failure domain, the neighbours, are probed
/// round-robin, a few in each round and more while some do not answer.
/// Balancers of other domains are probed only while a decision depends on the
/// result.

/// Time between two probe rounds.
inline constexpr milliseconds probe_interval{200};

/// What is known about one balancer from the probes sent to it and from the
/// probes and answers received from it.
struct probed_member {
    std::uint32_t failure_domain = 0;
    time_point last_probed{};
    time_point last_heard{}; ///< last probe or answer received from it
    /// Consecutive rounds in which it was probed, but neither answered nor sent
    /// a probe itself.
    std::uint32_t missed = 0;
    /// Can serve new flows and is not leaving, according to its last probe or
    /// answer.
    bool serves = false;
    /// Has left rotation, according to its last probe or answer, see
    /// `rotation.hpp`.
    bool withdrawn = false;
};

/// What a probe or its answer reports about the sender.
struct probe_message {
    bool wants_answer = false;
    bool serves = false;    ///< can serve new flows and is not leaving
    bool withdrawn = false; ///< has left rotation, see `rotation.hpp`
    /// Failure domains from which the sender's flows get no answers, see
    /// `upstream_table::unresponsive_domains`.
    std::vector<std::uint32_t> unresponsive_domains;
};

/// Probes sent by this balancer, and their results. Not thread safe.
struct probe_table {
    /// Probed balancers by address.
    boost::unordered_flat_map<std::uint32_t, probed_member> members;
    time_point last_round{}; ///< start of the latest round
    /// Round-robin position in the list of candidates.
    std::size_t next_candidate = 0;
    /// Number of neighbours that may be probed.
    std::size_t own_domain_peers = 0;
    /// Other failure domains whose balancers are probed in each round.
    std::vector<std::uint32_t> probed_domains;
    /// Failure domains from which flows of neighbours get no answers, and when
    /// a neighbour last reported this.
    boost::unordered_flat_map<std::uint32_t, time_point> reported_unresponsive;
};

/// Balancers of a failure domain, counted by the results of recent probes.
struct domain_probe_summary {
    std::uint32_t probed = 0; ///< this balancer probed them recently
    /// Probed, can serve new flows and answered the last probe.
    std::uint32_t serving = 0;
    std::uint32_t withdrawn = 0; ///< probed and have left rotation
    std::uint32_t missed = 0;    ///< probed and did not answer the last probe
};

/// Whether a probe round is due.
auto is_round_due(const probe_table &probes, time_point now) -> bool;

/// Ends the previous round: its probes without an answer count as missed,
/// unless this process was paused. Sets the start of the next round to `now`.
auto end_round(probe_table &probes, time_point now) -> void;

/// Selects the balancers to probe in the round that starts, records them as
/// probed and returns their addresses. Precondition: `end_round` was called for
/// the previous round.
auto begin_round(probe_table &probes, const fleet &members)
    -> std::vector<std::uint32_t>;

/// Records a probe or an answer received from the balancer `from` in
/// `failure_domain`.
auto record_probe(probe_table &probes, std::uint32_t from,
                  std::uint32_t failure_domain, const probe_message &message,
                  time_point now) -> void;

/// Records the failure domains from which a neighbour's flows get no answers,
/// as reported by the neighbour.
auto record_reported_unresponsive(probe_table &probes,
                                  const std::vector<std::uint32_t> &domains,
                                  time_point now) -> void;

/// Failure domains from which the flows of at least one neighbour get no
/// answers, as that neighbour reported. Expired reports count until `end_round`
/// removes them.
auto reported_unresponsive(const probe_table &probes)
    -> std::vector<std::uint32_t>;

/// Counts the balancers of a failure domain by the results of recent probes.
auto summarize_probes(const probe_table &probes, std::uint32_t failure_domain,
                      time_point now) -> domain_probe_summary;

/// Whether no balancer of the failure domain can be reached: no probe or answer
/// arrived from any of them for a while, none of those probed recently answered
/// the last probe sent to it, and at least one left several in a row
/// unanswered.
auto is_domain_unreachable(const probe_table &probes,
                           std::uint32_t failure_domain, time_point now)
    -> bool;

} // namespace dogwoodtrack::carried
