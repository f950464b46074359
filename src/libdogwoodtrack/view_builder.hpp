#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Makes a new routing view from the contracts, members and health on the
/// blackboard, and records changes of owners on the time line.
auto rebuild_view(blackboard &board, time_point now) -> void;

} // namespace dogwoodtrack
