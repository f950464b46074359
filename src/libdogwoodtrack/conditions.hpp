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
/// after 5 s without free capacity and cleared after 10 s with free capacity.
/// Returns the changes for the customers of which this instance is the elected
/// reporter, the one balancer that writes the customer's status.
auto tick_conditions(blackboard &board, time_point now)
    -> std::vector<condition_change>;

/// For each service that this instance owns and that has no free capacity in
/// this failure domain, notifies the elected reporter of the service's
/// customer. Sends nothing if this instance itself is the reporter.
auto announce_exhausted_services(const blackboard &board,
                                 control_actions &actions) -> void;

/// Returns whether this instance is the elected reporter of `customer`.
auto is_reporter(const blackboard &board, const std::string &customer) -> bool;

} // namespace dogwoodtrack
