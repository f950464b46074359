#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Builds a new routing view from the contracts, the members and the lists of
/// the platform, and records changes of owners on the time line.
auto rebuild_view(blackboard &board, time_point now) -> void;

} // namespace dogwoodtrack
