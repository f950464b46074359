#pragma once

#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "fleet.hpp"

namespace dogwoodtrack::carried {

/// Balancers ask each other for a sign of life. Those of the own failure
/// domain are asked by turn, a few at a time and more while some do not
/// answer; those of other domains only while a decision hangs on them.
/// Hearsay (`fleet.hpp`) takes seconds; this takes two turns.

/// Time between two turns.
inline constexpr milliseconds probe_interval{200};

/// What the last probes of one balancer showed.
struct probed_member {
    std::uint32_t failure_domain = 0;
    time_point asked{};
    time_point heard{};       ///< last message that came from it directly
    std::uint32_t missed = 0; ///< probes in a row without an answer
    bool serves = false;      ///< could be given packets
    bool withdrawn = false;   ///< has left rotation, see `rotation.hpp`
};

/// What a probe and its answer say of their sender.
struct probe_message {
    bool wants_answer = false;
    bool serves = false;
    bool withdrawn = false;
    /// Failure domains of which the sender's own flows hear nothing.
    std::vector<std::uint32_t> unheard_domains;
};

/// Probes of this balancer. One thread at a time.
struct probe_table {
    boost::unordered_flat_map<std::uint32_t, probed_member> members;
    time_point last_turn{};
    std::size_t next_near = 0;
    std::size_t near_known = 0; ///< balancers of the own domain, without this
    /// Other failure domains whose balancers are asked in each turn.
    std::vector<std::uint32_t> watched_domains;
    /// Failure domains of which neighbours hear nothing, and when they said so.
    boost::unordered_flat_map<std::uint32_t, time_point> reported_unheard;
};

/// The balancers of a failure domain, as far as probes of the last turns tell.
struct domain_reach {
    std::uint32_t asked = 0;
    std::uint32_t serving = 0;   ///< of those asked
    std::uint32_t withdrawn = 0; ///< of those asked
    std::uint32_t missed = 0;    ///< of those asked, their last probe
};

/// Whether a turn is due.
auto is_turn_due(const probe_table &it, time_point now) -> bool;

/// Ends a turn: probes without an answer count as missed, unless this process
/// was paused.
auto end_turn(probe_table &it, time_point now) -> void;

/// Balancers to be asked in the turn that began with `end_turn`. Takes note
/// that they are.
auto begin_turn(probe_table &it, const fleet &members)
    -> std::vector<std::uint32_t>;

/// Takes a probe or an answer of a balancer of this failure domain.
auto note_probe(probe_table &it, std::uint32_t from,
                std::uint32_t failure_domain, const probe_message &message,
                time_point now) -> void;

/// Takes what a neighbour says of other failure domains.
auto note_told_unheard(probe_table &it,
                       const std::vector<std::uint32_t> &domains,
                       time_point now) -> void;

/// Failure domains of which a neighbour heard nothing, as of the end of the
/// last turn.
auto reported_unheard(const probe_table &it) -> std::vector<std::uint32_t>;

/// What recent probes tell of a failure domain.
auto reach_of(const probe_table &it, std::uint32_t failure_domain,
              time_point now) -> domain_reach;

/// Whether balancers of the failure domain were asked several times in a row
/// and none of them was heard meanwhile.
auto is_out_of_reach(const probe_table &it, std::uint32_t failure_domain,
                     time_point now) -> bool;

} // namespace dogwoodtrack::carried
