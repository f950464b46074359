#pragma once

#include <boost/unordered/unordered_flat_map.hpp>

#include "carried/feeds/load_messages.hpp"

namespace dogwoodtrack::carried {

/// A report counts for this time after its arrival.
inline constexpr milliseconds report_lifetime{1'000};
/// Balancers whose reports are kept, this one included. The largest failure
/// domain of the design target has 395.
inline constexpr std::size_t max_reporters = 4'096;

/// Latest report of one balancer, put together from its datagrams.
struct received_report {
    load_report report;
    /// Bit n is set once the datagram with part n has arrived.
    std::uint64_t parts = 0;
    time_point received{};
};

/// Reports that a load coordinator has received. Not thread safe.
struct report_table {
    /// Latest report of each balancer, by address.
    boost::unordered_flat_map<std::uint32_t, received_report> latest;
    /// Answers and rejections of all reports since `sum_reports`, by binding
    /// code. `service_ms` is the sum over the answers.
    boost::unordered_flat_map<std::uint32_t, upstream_load> arrived;
    /// Unanswered openings of all reports since `sum_reports`, by binding code.
    boost::unordered_flat_map<std::uint32_t, std::uint32_t> unanswered;
};

/// Adds a datagram of the balancer `from`. A datagram that is doubled, or older
/// than the latest report (see `is_outdated`), is ignored. Returns whether the
/// datagram was added. Precondition: `message.part` is below
/// `max_report_parts`.
auto add_report(report_table &it, std::uint32_t from,
                const load_report_message &message, time_point now) -> bool;

/// Removes the reports that have expired.
auto expire_reports(report_table &it, time_point now) -> void;

/// Load of one service that callers of a failure domain ask for.
struct summed_service {
    /// New flows per millisecond by priority, admitted or not.
    std::array<float, priority_count> openings{};
    /// Requests on established flows per millisecond, by priority.
    std::array<float, priority_count> requests{};
    float in_flight = 0; ///< at upstreams of all failure domains
};

/// Load of a failure domain, summed up over the balancers that report.
struct summed_load {
    boost::unordered_flat_map<service_key, summed_service> services;
    /// Requests under way from the latest reports, answers and rejections since
    /// the previous sum; `service_ms` is the mean over the answers.
    boost::unordered_flat_map<std::uint32_t, upstream_load> upstreams;
    /// Unanswered openings since the previous sum, by binding code.
    boost::unordered_flat_map<std::uint32_t, std::uint32_t> unanswered;
};

/// Sums up the latest reports. Answers, rejections and unanswered openings are
/// counted once, although a report may be the latest for several sums.
auto sum_reports(report_table &it, time_point now) -> summed_load;

} // namespace dogwoodtrack::carried
