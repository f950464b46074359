#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Updates the number of open flows in this failure domain, which the owners
/// of its services compare with other domains.
auto update_own_loads(blackboard &board) -> void;

/// Sends the loads of the services owned by this instance to the owners of
/// the same services in other domains, one message per owner, when due.
auto send_load_reports(blackboard &board, time_point now,
                       control_actions &actions) -> void;

/// Stores the loads that an owner in another domain reports.
auto on_load_report(blackboard &board, const wire::LoadReport &report) -> void;

} // namespace dogwoodtrack
