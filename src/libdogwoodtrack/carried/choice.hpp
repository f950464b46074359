#pragma once

#include "upstreams.hpp"

namespace dogwoodtrack::carried {

/// Where this instance stands among the balancers of its failure domain.
/// Each prefers other upstreams, so that it knows the load of those it
/// prefers from its own flows.
struct domain_position {
    std::uint32_t failure_domain = 0;
    std::uint32_t rank = 0;  ///< among the balancers of the domain
    std::uint32_t count = 1; ///< of balancers in the domain
};

/// Openings without an answer in a row after which an upstream gets only
/// single trial flows.
inline constexpr std::uint32_t unanswered_threshold = 2;

/// What an upstream is chosen for.
struct new_flow {
    service_key service = 0;
    request_kind kind = request_kind::idempotent;
    upstream_index excluded = no_upstream; ///< left out where there is another
};

/// Chooses an upstream for a new flow: the least loaded for its speed, in the
/// own failure domain as long as that is not slower. An upstream on probation
/// is tried by whoever ejected it, and only with requests that can be repeated.
/// Returns `no_upstream` if none may be used.
auto choose_upstream(upstream_table &table, const new_flow &wanted,
                     const domain_position &position, time_point now)
    -> upstream_index;

/// An opening sent to this upstream got no answer in time.
auto record_unanswered(upstream &it, time_point now) -> void;

} // namespace dogwoodtrack::carried
