#pragma once

#include "carried/load/load_tracker.hpp"

namespace dogwoodtrack::carried {

/// Largest number of datagrams that a load report is split into.
inline constexpr std::uint32_t max_report_parts = 64;

/// One datagram of a load report. The items of all parts together are the
/// report.
struct load_report_message {
    load_report report;
    /// Openings that upstreams left unanswered during the interval.
    std::vector<unanswered_openings> unanswered;
    std::uint32_t part = 0; ///< index of this part
};

/// Loads that the load coordinator of a failure domain tells that of another.
struct domain_loads_message {
    std::uint32_t sequence = 0; ///< rises with each message of an incarnation
    /// Clock of the sender in microseconds, never 0.
    std::uint64_t sent_us = 0;
    /// Latest `sent_us` that the sender received from the receiver, 0 if none,
    /// and for how long the sender has had it. The receiver derives the round
    /// trip from them.
    std::uint64_t echo_us = 0;
    std::uint64_t held_us = 0;
    /// With the sender's failure domain: load of that domain. With that of the
    /// receiver: `in_flight` is what the sender's domain has under way at
    /// upstreams of the receiver's.
    std::vector<domain_load> loads;
};

/// Splits a report into as many messages as the datagram limit requires, at
/// least one and at most `max_report_parts`; items beyond are left out. Thread
/// safe.
auto split_report(const tracked_load &load) -> std::vector<load_report_message>;

/// Splits a plan into as many messages as the datagram limit requires, at least
/// one. All have the plan's sequence. A service with many upstreams is in
/// several messages, each with some of its upstreams and all other fields.
/// Thread safe.
auto split_plan(const load_plan &plan) -> std::vector<load_plan>;

/// Splits loads into as many messages as the datagram limit requires, at least
/// one. Thread safe.
auto split_domain_loads(const domain_loads_message &whole)
    -> std::vector<domain_loads_message>;

} // namespace dogwoodtrack::carried
