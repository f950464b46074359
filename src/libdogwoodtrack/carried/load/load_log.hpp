#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// Writes one log line for each belief about load that has changed since the
/// last call: which balancer is the coordinator, whether a limit binds, whether
/// plans have expired, and which failure domains' load is known.
auto log_load_changes(blackboard &board, time_point now) -> void;

} // namespace dogwoodtrack::carried
