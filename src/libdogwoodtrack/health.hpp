#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Updates the weights of this failure domain's upstreams, for all services
/// that this instance owns, from passive health checks: retransmitted openings,
/// openings answered with a reset, and the time to the first answer. An
/// upstream is ejected only if the remaining ones can take all open flows and
/// have at least half of the capacity, and never when all are failing. Call
/// about once per second.
auto tick_health(blackboard &board, time_point now) -> void;

/// Returns the ids of the services that this instance owns and whose upstreams
/// in this failure domain are all at their limits, ejected or out of service.
auto find_exhausted_services(const blackboard &board)
    -> std::vector<std::uint32_t>;

} // namespace dogwoodtrack
