#pragma once

#include "flows.hpp"

namespace dogwoodtrack::carried {

/// Flows at an upstream that is dead would wait in silence until their
/// callers give up. A balancer that is sure of the death resets them, so that
/// callers whose requests can be repeated try again at once.
///
/// It is sure when a later incarnation took the upstream's place or its
/// address, when the store's entry is gone and nothing was answered since, or
/// when openings and requests of several flows are silent together while
/// other upstreams of the same failure domain answer. One silent flow alone,
/// or the upstreams beyond a cut, are never enough.

/// Marks upstreams that died, and those that answered after all. Call a few
/// times a second; after a longer pause of this process silence means
/// nothing, and is counted anew. Returns the upstreams that died since the
/// last call.
auto find_dead_upstreams(upstream_table &table, time_point now)
    -> std::vector<upstream_index>;

/// Whether a flow at this upstream, of a route with requests of this kind, may
/// be reset. A request that must not run twice waits as long as its upstream
/// could answer.
auto may_reset(const upstream &it, request_kind kind) -> bool;

} // namespace dogwoodtrack::carried
