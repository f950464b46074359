#pragma once

#include <deque>
#include <string>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "configuration.hpp"

namespace dogwoodtrack::carried {

/// What the platform says of an upstream. Later values replace earlier ones
/// at the same revision.
enum class upstream_state : std::uint8_t {
    ready,
    draining, ///< keeps its flows, gets no new ones
    lapsed,   ///< its entry vanished while the store was away; may come back
    gone      ///< gets no new flows; packets of old flows still reach it
};

/// One upstream as the platform's store describes it.
struct upstream_record {
    std::string id;
    std::uint64_t delivery_id = 0; ///< names the receiver in each datagram
    std::uint64_t born = 0;        ///< start of this incarnation, Unix ms
    endpoint address;
    service_key service = 0;
    std::uint32_t failure_domain = 0; ///< `hash_name` of the domain
    std::uint16_t slots = 1;
    upstream_state state = upstream_state::ready;
    milliseconds cold_remaining{0};
    std::uint64_t revision = 0;   ///< of the entry's last change
    std::uint64_t changed_at = 0; ///< store revision that shows this state
};

struct endpoint_hash {
    auto operator()(const endpoint &it) const -> std::size_t;
};

/// How many requests an upstream failed and answered.
struct outcome_counts {
    std::uint32_t failures = 0; ///< errors, and requests that hang
    std::uint32_t answers = 0;
};

/// What the flows of this instance met at one upstream.
struct upstream_stats {
    std::uint32_t open = 0;       ///< flows opened here and not yet closed
    std::uint32_t unanswered = 0; ///< openings without an answer in a row
    float doubt = 0; ///< grows with failed requests, see `apply_outcomes`
    outcome_counts unreported;     ///< not yet told to the upstream's judge
    std::uint8_t ejections = 0;    ///< since it was last above doubt
    bool decided_remotely = false; ///< by its judge's word, not by own flows
    time_point ejected_until{};
    time_point avoid_until{}; ///< gets only single trial flows before
    time_point last_trial{};
    time_point last_response{}; ///< last sign of life
    time_point silent_since{};  ///< first request unanswered since, if later
    std::uint32_t silent_flows = 0; ///< whose requests wait since then
    float service_ms = 0;           ///< smoothed time from request to answer
    std::uint32_t served = 0;       ///< answers that `service_ms` stands on
};

/// Why an upstream counts as dead.
enum class upstream_death : std::uint8_t {
    none,
    silent,    ///< by what its flows tell, see `find_dead_upstreams`
    cut_off,   ///< its failure domain is out of reach from here
    superseded ///< a later incarnation has its place or its address
};

/// One incarnation of an upstream.
struct upstream {
    upstream_record record;
    std::uint32_t code = 0; ///< what packets of its flows carry
    bool placeable = false; ///< may get new flows
    upstream_death death = upstream_death::none;
    time_point state_since{};
    time_point warm_at{};
    upstream_stats stats;
};

/// Position of an upstream in `upstream_table::all`; stays valid until the
/// upstream is forgotten.
using upstream_index = std::uint32_t;
inline constexpr upstream_index no_upstream = ~upstream_index{0};

/// All upstreams known, those that left included. One thread at a time.
struct upstream_table {
    std::deque<upstream> all;
    std::vector<upstream_index> free;
    boost::unordered_flat_map<std::string, upstream_index> by_id;
    boost::unordered_flat_map<std::uint32_t, upstream_index> by_code;
    /// Upstreams that may get new flows, ordered by identifier.
    boost::unordered_flat_map<service_key, std::vector<upstream_index>>
        placeable;
    /// Latest incarnation at each address.
    boost::unordered_flat_map<endpoint, upstream_index, endpoint_hash>
        by_address;
    std::uint64_t content = 0; ///< highest `changed_at` taken
    /// Upstreams with failures that their judge was not yet told.
    std::vector<upstream_index> unreported_failures;
    /// Upstreams ejected, or trusted again, since the list was last taken.
    std::vector<upstream_index> ejection_changes;
    /// Upstreams whose place or address a later incarnation took, since
    /// `find_dead_upstreams` last looked, and when it did.
    std::vector<upstream_index> superseded;
    time_point last_dead_scan{};
    /// Failure domains of which the flows here hear nothing.
    std::vector<std::uint32_t> unheard_domains;
    /// The same and those that neighbours tell of: their upstreams may be dead,
    /// or the domain may be cut off.
    std::vector<std::uint32_t> suspected_domains;
    /// Failure domains in which silent upstreams outnumber answering ones.
    std::vector<std::uint32_t> mostly_silent_domains;
};

/// Code of an incarnation, the same on every balancer, never 0.
auto binding_code(const upstream_record &record) -> std::uint32_t;

/// Takes a record unless a later one of the same upstream is known. A new
/// incarnation replaces the earlier one, which stays resolvable. Returns
/// whether anything changed.
auto apply_record(upstream_table &table, const upstream_record &record,
                  time_point now) -> bool;

/// Marks all upstreams whose identifier is not in `present`, and that are
/// not newer than `as_of`, as `state`; draining ones as gone. Precondition:
/// `present` is sorted.
auto retire_missing(upstream_table &table,
                    const std::vector<std::string> &present,
                    std::uint64_t as_of, upstream_state state, time_point now)
    -> void;

/// Turns lapsed upstreams into gone ones after `lapse_grace` and forgets
/// those that were gone for longer than `keep`.
auto expire_upstreams(upstream_table &table, milliseconds keep, time_point now)
    -> void;

/// Upstream that a packet's code names, or null if the code is unknown.
auto find_by_code(upstream_table &table, std::uint32_t code) -> upstream *;

/// Position of the upstream that a code names, or `no_upstream`.
auto index_by_code(const upstream_table &table, std::uint32_t code)
    -> upstream_index;

/// How long an entry that vanished while the store was away may take to
/// come back.
inline constexpr milliseconds lapse_grace{2'200};

} // namespace dogwoodtrack::carried
