#pragma once

#include "upstreams.hpp"

namespace dogwoodtrack::carried {

/// Where this instance stands among the balancers of its failure domain.
/// Each prefers other upstreams, so that it knows the load of those it
/// prefers from its own flows.
struct choice_position {
    std::uint32_t failure_domain = 0;
    std::uint32_t rank = 0;  ///< among the balancers of the domain
    std::uint32_t count = 1; ///< of balancers in the domain
};

/// Openings without an answer in a row after which an upstream gets only
/// single trial flows.
inline constexpr std::uint32_t unanswered_limit = 2;

/// Chooses an upstream for a new flow of `service`: the least loaded for its
/// speed, in the own failure domain as long as that is not slower. `except`
/// is left out where there is another. Returns `no_upstream` if none may be
/// used.
auto choose_upstream(upstream_table &table, service_key service,
                     const choice_position &position, upstream_index except,
                     time_point now) -> upstream_index;

/// An opening sent to this upstream got no answer in time.
auto note_unanswered(upstream &it, time_point now) -> void;

} // namespace dogwoodtrack::carried
