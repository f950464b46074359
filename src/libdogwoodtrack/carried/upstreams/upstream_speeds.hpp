#pragma once

#include <vector>

#include "carried/load/load_types.hpp"

namespace dogwoodtrack::carried {

/// State of the speeds of the upstreams of one service.
struct speed_table {};

/// Relative speeds and limits of the upstreams of one service, from the answers
/// that all balancers of the failure domain saw during `interval`. Not
/// implemented yet: returns an empty list.
inline auto compute_speeds(speed_table & /*table*/,
                           const std::vector<upstream_load> & /*summed*/,
                           milliseconds /*interval*/)
    -> std::vector<upstream_plan> {
    return {};
}

} // namespace dogwoodtrack::carried
