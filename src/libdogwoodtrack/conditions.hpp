#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// A change of a condition, to be written to the status of a customer.
struct condition_change {
    std::string customer;
    std::string service;
    bool set = false;
    std::string reason;
};

/// Evaluates the condition `CapacityExhausted` of every service. It is set
/// after 5 s without capacity and cleared after 10 s with capacity. Only the
/// elected reporter of the customer returns changes.
auto tick_conditions(blackboard &board, time_point now)
    -> std::vector<condition_change>;

/// Sends the services without free capacity in this failure domain to the
/// reporters of their customers.
auto announce_exhausted_services(const blackboard &board,
                                 control_actions &actions) -> void;

/// Returns whether this instance is the elected reporter of `customer`.
auto is_reporter(const blackboard &board, const std::string &customer) -> bool;

} // namespace dogwoodtrack
