#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Counts the open flows of each service in this failure domain. Owners compare
/// them with the open flows of other domains to choose a domain for a new flow.
auto update_own_loads(blackboard &board) -> void;

/// If a load report is due, sends the numbers of open flows of the services
/// owned by this instance to the owners of the same services in other domains,
/// one message per owner.
auto send_load_reports(blackboard &board, time_point now,
                       control_actions &actions) -> void;

/// Stores the numbers of open flows that an owner in another domain reports.
auto on_load_report(blackboard &board, const wire::LoadReport &report) -> void;

} // namespace dogwoodtrack
