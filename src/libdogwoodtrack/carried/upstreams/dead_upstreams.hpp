#pragma once

#include "carried/flows/flows.hpp"

namespace dogwoodtrack::carried {

/// Flows to an upstream that is dead or cut off by a network partition would
/// get no answer until their callers time out. Once a balancer has detected
/// the failure it resets these flows, so that callers with idempotent requests
/// retry immediately.
///
/// An upstream is dead when its state is `gone` and a request to it stays
/// unanswered, when another one has its place (see `has_successor`) and it is
/// `gone` or leaves a request unanswered, or when openings and requests of
/// several flows to it stay unanswered while other upstreams of the same
/// failure domain answer. A single unanswered flow is never enough while the
/// store lists the upstream. A failure domain is cut off when none of its
/// upstreams answers and none of its balancers answers probes, while other
/// domains do.

/// Reachability of failure domains as known from probes and peers.
struct domain_reachability {
    std::uint32_t own = 0; ///< failure domain of this balancer
    /// Domains whose balancers do not answer probes, see
    /// `is_domain_unreachable`.
    const std::vector<std::uint32_t> &unreachable_domains;
    /// Domains whose upstreams do not answer the flows of other balancers in
    /// this balancer's domain, as those balancers report.
    const std::vector<std::uint32_t> &reported_unresponsive;
};

/// Updates `upstream::death` of all upstreams, and returns those newly found
/// dead or cut off since the last call. To be called several times a second: a
/// longer time between two calls counts as a pause of this process, after which
/// missing answers prove nothing, so the silence timers
/// (`upstream_stats::silent_since`) restart.
/// `in_force` is the configuration in force, or null.
auto find_dead_upstreams(upstream_table &table,
                         const domain_reachability &domains,
                         const configuration *in_force, time_point now)
    -> std::vector<upstream_index>;

/// Whether a flow to this upstream may be reset. `kind` is the request kind of
/// the flow's route: flows with non-idempotent requests are reset only if their
/// upstream was superseded, since an upstream that is silent or cut off could
/// still answer. If the upstream is cut off, only flows that await a response
/// are reset.
auto may_reset(const upstream &it, request_kind kind, bool awaits_response)
    -> bool;

} // namespace dogwoodtrack::carried
