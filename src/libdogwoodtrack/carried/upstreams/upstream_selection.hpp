#pragma once

#include "carried/upstreams/upstreams.hpp"

namespace dogwoodtrack::carried {

/// Position of this instance among the balancers of its failure domain.
/// Among equally loaded upstreams, balancers at different positions prefer
/// different ones, so that each balancer knows from its own flows the load of
/// the upstreams that it prefers.
struct domain_position {
    std::uint32_t failure_domain = 0;
    std::uint32_t rank = 0;  ///< of this instance in the domain, from 0
    std::uint32_t count = 1; ///< number of balancers in the domain
};

/// Number of consecutive unanswered openings after which an upstream is avoided
/// for a while, see `choose_upstream`.
inline constexpr std::uint32_t unanswered_threshold = 2;

/// Requirements of a new flow on its upstream.
struct new_flow {
    service_key service = 0;
    request_kind kind = request_kind::idempotent;
    upstream_index excluded = no_upstream; ///< chosen only as a last resort
    /// Load plan of the service, or null: see `choose_planned_upstream`.
    const service_plan *plan = nullptr;
};

/// Chooses an upstream for a new flow: the one with the lowest load relative to
/// its speed. With a load plan, `choose_planned_upstream` chooses, and the
/// rules below apply only if it finds no candidate; then the plan's speeds and
/// limits replace those that this balancer has observed. The load of upstreams
/// in other failure domains counts as higher than it is, so that the own domain
/// is preferred. An upstream that left openings unanswered, is ejected (see
/// `is_ejected`) or is on probation (see `is_on_probation`) is avoided: unless
/// it is ejected, it now and then gets a single flow as a trial of whether it
/// answers again. On probation it gets trial flows only from the balancer that
/// ejected it, and none with non-idempotent requests. If every upstream is
/// excluded, cut off, or avoided and may get no trial flow now, the one with
/// the lowest load is chosen all the same. Updates `upstream_stats::last_trial`
/// of an avoided upstream that is chosen. A cold upstream that `admit_cold`
/// does not admit is passed over in any case. Returns `no_upstream` if the
/// service has no upstream that may get new flows.
auto choose_upstream(upstream_table &table, const new_flow &wanted,
                     const domain_position &position, time_point now)
    -> upstream_index;

/// Whether the upstream is avoided because it left openings unanswered, is
/// ejected or is on probation, see `choose_upstream`.
auto is_avoided(const upstream &it, time_point now) -> bool;

/// Whether the upstream at `index` is neither excluded, cut off, nor avoided.
/// An avoided upstream is a candidate if it may get a trial flow now.
auto is_candidate(const upstream &it, upstream_index index,
                  const new_flow &wanted, time_point now) -> bool;

/// Whether this balancer's flows alone reach the limit that the load plan sets
/// for the upstream.
inline auto is_at_planned_limit(const upstream &it) -> bool {
    return it.planned_limit > 0 && it.stats.open >= it.planned_limit;
}

/// Mean service time of the upstreams in milliseconds, each weighted by its
/// number of responses, at most 8; 0 without responses.
auto mean_service_time(const upstream_table &table,
                       const std::vector<upstream_index> &list) -> float;

/// Load by which `choose_upstream` compares upstreams of all failure domains:
/// flows for each slot with the new flow included, relative to the speed of the
/// upstream. `mean_ms` is the `mean_service_time` of the service's upstreams;
/// it is not used with a load plan, whose speeds apply. Thread safe.
auto compared_load(const upstream &it, const new_flow &wanted,
                   const domain_position &position, float mean_ms,
                   time_point now) -> float;

/// Load factor of an upstream that has just started and is therefore slower.
inline constexpr float cold_load_factor = 1.6F;

/// Records that an opening sent to this upstream was not answered in time.
auto record_unanswered(upstream &it, time_point now) -> void;

} // namespace dogwoodtrack::carried
