#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Weighs the upstreams that this instance decides about by what their flows
/// met: openings that had to be repeated, resets, and the time to the first
/// answer. An upstream is ejected only while the others can carry its load,
/// and never when all look ill. Call about once a second.
auto tick_health(blackboard &board, time_point now) -> void;

/// Services of this instance's failure domain that have no room left,
/// judged as their owner.
auto troubled_services(const blackboard &board) -> std::vector<std::uint32_t>;

} // namespace dogwoodtrack
