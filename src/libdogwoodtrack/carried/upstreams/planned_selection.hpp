#pragma once

#include "carried/load/load_types.hpp"
#include "carried/upstreams/upstream_selection.hpp"

namespace dogwoodtrack::carried {

/// Chooses an upstream for a new flow by a load plan. Of the new flows, the
/// plan's spill shares go to the other failure domains and the rest stays in
/// the own one; a share that no upstream there can take stays, too. Within a
/// failure domain the flows are spread in proportion to slots x speed: a few
/// candidates are examined, beginning in the part of the domain's capacity that
/// belongs to this balancer's rank, and the first one without a flow of this
/// balancer is taken, or else the one with the lowest load. Upstreams that the
/// plan does not list count with speed 1 and no limit. An upstream on probation
/// whose trial flow is due is preferred, as in `choose_upstream`. Returns
/// `no_upstream` if no candidate was found, which does not mean that there is
/// none, or if this balancer's own flows fill the slots or reach the limits of
/// all examined ones: the plan is older than these flows, so the upstreams of
/// all failure domains are to be compared. Not thread safe.
auto choose_planned_upstream(upstream_table &table, const new_flow &wanted,
                             const service_plan &plan,
                             const domain_position &position, time_point now)
    -> upstream_index;

/// Capacity of the upstream on the line of its failure domain: slots x speed by
/// the latest plan that `choose_planned_upstream` has applied, less while the
/// upstream is cold. Thread safe.
auto planned_weight(const upstream &it, time_point now) -> float;

/// Load by which `choose_planned_upstream` compares upstreams, with the new
/// flow included, in flows for each slot. Free slots are taken evenly, so that
/// the work done is in proportion to the speed; flows that have to wait are
/// weighted by the speed. `weight` is the upstream's `planned_weight`. Thread
/// safe.
auto planned_load(const upstream &it, float weight) -> float;

/// Candidates that are examined for one new flow in one failure domain.
inline constexpr std::size_t max_examined = 32;

/// An index is built again after this time, so that new upstreams are found
/// although the plan stays. Removed ones are recognised at once.
inline constexpr milliseconds max_index_age{250};

} // namespace dogwoodtrack::carried
