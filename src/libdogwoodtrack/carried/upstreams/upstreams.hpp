#pragma once

#include <deque>
#include <string>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "carried/feeds/configuration.hpp"
#include "carried/feeds/store_revision.hpp"
#include "carried/quota/cold_usage.hpp"
#include "carried/upstreams/selection_index.hpp"

namespace dogwoodtrack::carried {

/// State of an upstream according to the platform's store. Of two records with
/// the same revision, the one whose state has the higher enumerator is newer.
enum class upstream_state : std::uint8_t {
    ready,
    draining, ///< keeps its flows, gets no new flows
    /// Entry missing from the store after an outage of the store; may come
    /// back. Gets new flows.
    lapsed,
    /// Entry removed or replaced by a new incarnation; gets no new flows, but
    /// packets of existing flows are still forwarded.
    gone
};

/// Upstream entry of the platform's store.
struct upstream_record {
    std::string id;
    /// Identifies the upstream in delivery headers.
    std::uint64_t delivery_id = 0;
    std::uint64_t born = 0; ///< start of this incarnation, Unix ms
    endpoint address;
    service_key service = 0;
    std::uint32_t failure_domain = 0; ///< `hash_name` of the domain
    std::uint16_t slots = 1; ///< number of requests processed in parallel
    upstream_state state = upstream_state::ready;
    milliseconds cold_remaining{0}; ///< time until the upstream is warmed up
    store_revision revision;        ///< of the entry's last change
    store_revision changed_at;      ///< first store revision that shows `state`
    /// The entry is known to have been written or removed in the era of
    /// `changed_at`, not only to be in, or missing from, the copy from which
    /// the store was restored at the start of that era. Not used in era 0.
    bool written_in_era = false;
};

struct endpoint_hash {
    auto operator()(const endpoint &it) const -> std::size_t;
};

/// Counts of failed and answered requests to an upstream.
struct outcome_counts {
    std::uint32_t failures = 0; ///< errors and timed-out requests
    std::uint32_t answers = 0;
};

/// Statistics of one upstream, from the flows of this instance and from the
/// request outcomes and ejection statuses that other balancers send.
struct upstream_stats {
    std::uint32_t open = 0;       ///< open flows of this instance
    std::uint32_t unanswered = 0; ///< consecutive unanswered openings
    float failure_score = 0;      ///< see `apply_outcomes`
    /// Outcomes not yet reported to the outlier detector.
    outcome_counts unreported;
    std::uint8_t ejections = 0; ///< consecutive; 0 once `failure_score` is 0
    /// Whether the ejection status was received from the outlier detector, not
    /// decided by this instance.
    bool decided_remotely = false;
    time_point ejected_until{};
    /// Until when the upstream is avoided because of unanswered openings.
    time_point avoid_until{};
    /// When `choose_upstream` last chose this upstream while it was avoided,
    /// usually for a trial flow.
    time_point last_trial{};
    /// Arrival of the last packet that proves the upstream alive.
    time_point last_response{};
    /// Start of the silence timer: when the first request after `last_response`
    /// was sent or, if later, when `find_dead_upstreams` last restarted the
    /// timer. Valid only while later than `last_response`.
    time_point silent_since{};
    /// Flows found to have an unanswered request, counted since `last_response`
    /// or the last restart of the silence timer, whichever is later.
    std::uint32_t silent_flows = 0;
    float service_ms = 0;     ///< smoothed time from request to response
    std::uint32_t served = 0; ///< responses that `service_ms` is based on
};

/// Reason why an upstream counts as dead.
enum class upstream_death : std::uint8_t {
    none,
    silent,  ///< its flows get no answers, see `find_dead_upstreams`
    cut_off, ///< its failure domain is unreachable
    /// A later incarnation has its place or another upstream its address, and
    /// its entry is gone or it leaves requests unanswered.
    superseded
};

/// One incarnation of an upstream.
struct upstream {
    upstream_record record;
    std::uint32_t code = 0; ///< binding code in the packets of its flows
    bool placeable = false; ///< may get new flows
    /// Gets no new flows only because its failure domain is evacuated.
    bool withheld = false;
    upstream_death death = upstream_death::none;
    time_point state_since{}; ///< last change of `record.state`
    time_point warm_at{};     ///< end of `record.cold_remaining`
    upstream_stats stats;
    cold_usage cold;
    /// Speed and limit of the load plan that flows were last placed by, see
    /// `upstream_plan`.
    float planned_speed = 1;
    std::uint16_t planned_limit = 0; ///< 0 if there is none
};

/// Index of an upstream in `upstream_table::all`; valid until the upstream is
/// removed.
using upstream_index = std::uint32_t;
inline constexpr upstream_index no_upstream = ~upstream_index{0};

/// All known upstreams, including those in state `gone`. Not thread safe.
struct upstream_table {
    std::deque<upstream> all;
    std::vector<upstream_index> free; ///< indices of unused elements of `all`
    /// Latest incarnation of each upstream.
    boost::unordered_flat_map<std::string, upstream_index> by_id;
    boost::unordered_flat_map<std::uint32_t, upstream_index> by_code;
    /// Upstreams that may get new flows, ordered by identifier.
    boost::unordered_flat_map<service_key, std::vector<upstream_index>>
        placeable;
    /// The upstream at each address that started last.
    boost::unordered_flat_map<endpoint, upstream_index, endpoint_hash>
        by_address;
    /// Highest `changed_at` of the upstreams that were removed from the table.
    store_revision forgotten;
    /// Upstreams with failures not yet reported to their outlier detector.
    std::vector<upstream_index> unreported_failures;
    /// Upstreams that this instance has ejected, or whose probation it has
    /// ended, since `share_outcomes` last took this list. Changes announced by
    /// another balancer are not included.
    std::vector<upstream_index> ejection_changes;
    /// Time of the last call of `find_dead_upstreams`.
    time_point last_dead_scan{};
    /// Failure domains from which the flows of this instance get no answers.
    std::vector<std::uint32_t> unresponsive_domains;
    /// Failure domains that may be cut off, or whose upstreams may be dead:
    /// - those in `unresponsive_domains`;
    /// - those that other balancers of the own domain report as unresponsive,
    ///   if a flow of this instance has an unanswered request there, too;
    /// - those that were suspected before and are still unreachable.
    std::vector<std::uint32_t> suspected_domains;
    /// Failure domains in which no upstream answers, or silent upstreams
    /// outnumber answering ones.
    std::vector<std::uint32_t> mostly_silent_domains;
    /// Evacuated failure domains, sorted; changed by `set_evacuated_domains`.
    std::vector<std::uint32_t> evacuated_domains;
    /// Number of upstreams of each service with `upstream::withheld`.
    boost::unordered_flat_map<service_key, std::uint32_t> withheld;
    cold_quota cold; ///< limits of cold upstreams
    /// Until when the upstreams of a service are expected to reject requests
    /// because they are full, see `is_overloaded`.
    boost::unordered_flat_map<service_key, time_point> overloaded_until;
    /// Used by `choose_planned_upstream`.
    boost::unordered_flat_map<service_key, selection_index> selection;
};

/// Binding code of an incarnation: the same on every balancer, never 0.
auto binding_code(const upstream_record &record) -> std::uint32_t;

/// Applies a record unless the same or a newer one of this upstream is known,
/// see `merge_record`. A new incarnation gets an element and a binding code of
/// its own; the element of the previous incarnation becomes `gone` and can
/// still be found by its code. If a record shows an incarnation that was
/// replaced before, because a write of it was carried out late or its entry was
/// overwritten for a while, its element is used again. Returns whether the
/// record was applied to an upstream.
auto apply_record(upstream_table &table, const upstream_record &record,
                  time_point now) -> bool;

/// Sorted identifiers of the records.
auto sorted_ids(const std::vector<upstream_record> &records)
    -> std::vector<std::string>;

/// Sets the state of all upstreams that are missing from a complete list: to
/// `gone` if the upstream was `draining`, else to `state`. `present` has the
/// identifiers in the list, and `as_of` is the store revision that the list
/// shows. Upstreams with a later revision, and those that are already `lapsed`
/// or `gone`, are not changed. Returns whether any upstream was changed.
/// Precondition: `present` is sorted.
auto retire_missing(upstream_table &table,
                    const std::vector<std::string> &present,
                    const store_revision &as_of, upstream_state state,
                    time_point now) -> bool;

/// Sets the state of upstreams that have been `lapsed` for `lapse_grace` to
/// `gone`, and removes those that have been `gone` for `retention`, except if
/// `is_gone_despite_entry` holds.
auto expire_upstreams(upstream_table &table, milliseconds retention,
                      time_point now) -> void;

/// Sets which failure domains are evacuated: their upstreams get no new flows.
/// Packets of existing flows are still forwarded. `domains` may be unsorted.
auto set_evacuated_domains(upstream_table &table,
                           std::vector<std::uint32_t> domains) -> void;

/// Whether the upstreams of a failure domain get no new flows because the
/// domain is evacuated.
auto is_evacuated(const upstream_table &table, std::uint32_t domain) -> bool;

/// Whether the service has upstreams that get no new flows only because their
/// failure domains are evacuated.
auto has_withheld_upstreams(const upstream_table &table, service_key service)
    -> bool;

/// Whether the service's load exceeds the limit of its upstreams by the latest
/// load plans. Their rejections then say nothing about single upstreams.
auto is_overloaded(const upstream_table &table, service_key service,
                   time_point now) -> bool;

/// Whether an upstream of a service that `in_force` names has the place of
/// `table.all[index]`: a later incarnation has its identifier, or an upstream
/// that started later has its address. This alone does not prove that the
/// earlier one has ended: another writer's entry can name any address.
auto has_successor(const upstream_table &table, upstream_index index,
                   const configuration &in_force) -> bool;

/// Upstream with this binding code, or null if the code is unknown.
auto find_by_code(upstream_table &table, std::uint32_t code) -> upstream *;

/// Index of the upstream with this binding code, or `no_upstream`.
auto index_by_code(const upstream_table &table, std::uint32_t code)
    -> upstream_index;

/// Time after which a `lapsed` upstream is set to `gone`, unless its entry is
/// in the store again.
inline constexpr milliseconds lapse_grace{2'200};

} // namespace dogwoodtrack::carried
