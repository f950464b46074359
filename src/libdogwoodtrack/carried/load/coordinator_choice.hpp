#pragma once

#include <boost/unordered/unordered_flat_map.hpp>

#include "carried/members/fleet.hpp"

namespace dogwoodtrack::carried {

/// Argument `purpose` of `domain_leader` for the election of the load
/// coordinator.
inline constexpr std::uint64_t load_purpose = 3;
/// A coordinator that sends no plan for this time, although it was sent
/// reports, counts as silent.
inline constexpr milliseconds coordinator_silence{1'000};
/// A silent coordinator is not elected for this time.
inline constexpr milliseconds coordinator_skip_time{10'000};

/// Which balancer of the own failure domain this one takes for the load
/// coordinator. Not thread safe.
struct coordinator_choice {
    std::uint32_t elected = 0; ///< address; 0 before the first election
    /// Reports sent to `elected` since its last plan. Counted besides the time,
    /// since a pause of this process is no silence of the coordinator.
    std::uint32_t unanswered_reports = 0;
    /// Arrival of the last plan of `elected`, or the first report to it if
    /// there was none.
    time_point waiting_since{};
    /// Time from one plan of `elected` to its next.
    milliseconds plan_interval{0};
    /// Silent coordinators, and until when they are skipped.
    boost::unordered_flat_map<std::uint32_t, time_point> skipped;
};

/// Whether the elected coordinator counts as silent.
auto is_coordinator_silent(const coordinator_choice &it, time_point now)
    -> bool;

/// Elects the coordinator: the first balancer in the order of `domain_leader`
/// that is not skipped. The elected one is skipped first if it is silent.
/// Returns its address.
auto elect_coordinator(coordinator_choice &it, const fleet &members,
                       time_point now) -> std::uint32_t;

/// Records that a report was sent to the elected coordinator.
auto record_report_sent(coordinator_choice &it, time_point now) -> void;

/// Records a plan of the elected coordinator. The next one is expected within
/// `interval`.
auto record_plan(coordinator_choice &it, milliseconds interval, time_point now)
    -> void;

} // namespace dogwoodtrack::carried
