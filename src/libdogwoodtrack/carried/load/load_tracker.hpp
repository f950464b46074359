#pragma once

#include <boost/unordered/unordered_flat_map.hpp>

#include "carried/load/load_types.hpp"

namespace dogwoodtrack::carried {

/// Openings to one upstream that stayed unanswered in an interval.
struct unanswered_openings {
    std::uint32_t code = 0; ///< binding code of the upstream
    std::uint32_t count = 0;
};

/// Report of one interval, and what it says about silent upstreams.
struct tracked_load {
    load_report report;
    std::vector<unanswered_openings> unanswered;
};

/// Load of one upstream since the last report.
struct tracked_upstream {
    service_key service = 0;
    std::uint32_t unanswered = 0; ///< openings
    /// `service_ms` is the sum over the answers until the report is taken.
    upstream_load load;
};

/// Counts the load that this balancer sees, from the events of its flows. Does
/// nothing unless `enabled`. Not thread safe.
struct load_tracker {
    bool enabled = false; ///< setting `load-plans`
    std::uint32_t sequence = 0;
    time_point last_taken{};
    /// `service_ms` is the sum over the answers until the report is taken.
    boost::unordered_flat_map<service_key, service_load> services;
    /// Upstreams with load, by binding code.
    boost::unordered_flat_map<std::uint32_t, tracked_upstream> upstreams;
};

/// Number of services that are counted. Openings of further ones are not.
inline constexpr std::size_t max_tracked_services = 256;

/// Counts a new flow. Not to be called for retransmissions of its opening
/// packet, nor while it is held because state is missing
/// (`verdict_kind::hold`). A flow that is queued for admission counts when it
/// is queued, as not admitted until `count_admission`. `priority` is an index,
/// see `priority_index`.
auto count_opening(load_tracker &it, service_key service, std::size_t priority,
                   bool admitted) -> void;

/// Counts as admitted a new flow that `count_opening` has counted as not
/// admitted, since the decision about it was deferred. The flow may be part of
/// an earlier report.
auto count_admission(load_tracker &it, service_key service,
                     std::size_t priority) -> void;

/// A request that is sent to an upstream.
struct tracked_request {
    service_key service = 0;
    std::uint32_t code = 0;   ///< binding code of the upstream
    std::size_t priority = 0; ///< see `priority_index`
    /// Not the request that the flow was opened for. That one is part of the
    /// load that `count_opening` counts.
    bool follows_up = false;
};

/// Counts a request as under way until `end_request`.
auto begin_request(load_tracker &it, const tracked_request &request) -> void;

/// Ends a request that `begin_request` has counted at the upstream `code`.
auto end_request(load_tracker &it, std::uint32_t code) -> void;

/// Counts an answer that took `ms` milliseconds, network excluded.
auto count_answer(load_tracker &it, service_key service, std::uint32_t code,
                  float ms) -> void;

/// Counts a request that the upstream `code` rejected.
auto count_rejection(load_tracker &it, service_key service, std::uint32_t code)
    -> void;

/// Counts an opening that the upstream `code` did not answer in time.
auto count_unanswered(load_tracker &it, service_key service, std::uint32_t code)
    -> void;

/// Report of the time since the previous call. The counts begin anew, except
/// for the requests under way.
auto take_report(load_tracker &it, time_point now) -> tracked_load;

/// Whether the report has any load. Thread safe.
auto has_traffic(const load_report &report) -> bool;

} // namespace dogwoodtrack::carried
