#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Notes how many flows are open in this failure domain, for the owners of
/// its services to compare with other domains.
auto report_loads(blackboard &board) -> void;

/// Tells the owners of the same services in other domains, one message an
/// owner.
auto send_loads(blackboard &board, time_point now, control_actions &actions)
    -> void;

/// Takes note of what another domain's owner reports.
auto on_loads(blackboard &board, const wire::LoadReport &report) -> void;

} // namespace dogwoodtrack
