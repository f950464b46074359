#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// A condition that has to be written to the status of a customer.
struct condition_change {
    std::string customer;
    std::string service;
    bool set = false;
    std::string reason;
};

/// Judges which promises are broken. A condition is set after it has been
/// broken for a while and cleared after it has been kept for longer. Only
/// the elected reporter of the customer returns changes.
auto tick_conditions(blackboard &board, time_point now)
    -> std::vector<condition_change>;

/// Tells the other balancers which services have no room here.
auto announce_trouble(const blackboard &board, control_actions &actions)
    -> void;

/// Whether this instance reports for `customer`.
auto is_reporter(const blackboard &board, const std::string &customer) -> bool;

} // namespace dogwoodtrack
