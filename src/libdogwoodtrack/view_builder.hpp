#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Builds a new routing view from the contracts, the members and the platform's
/// lists of instances, and records changes of owners in this failure domain as
/// events.
auto rebuild_view(blackboard &board, time_point now) -> void;

} // namespace dogwoodtrack
