#pragma once

#include "flows.hpp"

namespace dogwoodtrack::carried {

/// Flows at an upstream that is dead, or beyond a cut, would wait in silence
/// until their callers give up. A balancer that is sure resets them, so that
/// callers whose requests can be repeated try again at once.
///
/// An upstream is dead when a later incarnation took its place or its address,
/// when the store's entry is gone and nothing was answered since, or when
/// openings and requests of several flows are silent together while other
/// upstreams of the same failure domain answer; one silent flow alone is never
/// enough. A failure domain is cut off when none of its upstreams answers and
/// none of its balancers answers probes either, while other domains do.

/// What is known of failure domains besides what flows tell.
struct domain_reachability {
    std::uint32_t own = 0;
    /// Domains whose balancers do not answer, see `is_out_of_reach`.
    const std::vector<std::uint32_t> &unreachable_domains;
    /// Domains of which balancers of the own one hear nothing.
    const std::vector<std::uint32_t> &reported_unheard;
};

/// Marks upstreams that died or were cut off, and those that answered after
/// all. Call a few times a second; after a longer pause of this process
/// silence means nothing, and is counted anew. Returns the upstreams marked
/// since the last call.
auto find_dead_upstreams(upstream_table &table,
                         const domain_reachability &domains, time_point now)
    -> std::vector<upstream_index>;

/// Whether a flow at this upstream may be reset. `kind` is that of the flow's
/// route: a request that must not run twice waits as long as its upstream
/// could answer. A flow that waits for nothing stays when its upstream is only
/// cut off.
auto may_reset(const upstream &it, request_kind kind, bool awaits_response)
    -> bool;

} // namespace dogwoodtrack::carried
