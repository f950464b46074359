#pragma once

#include <array>
#include <vector>

#include "carried/feeds/configuration.hpp"

namespace dogwoodtrack::carried {

/// Number of priorities that are told apart when load is reported and admitted.
/// A route with a higher `route_spec::priority` counts as the last of them.
inline constexpr std::size_t priority_count = 4;

/// Index of a route's priority in arrays of `priority_count` elements. Thread
/// safe.
constexpr auto priority_index(std::uint8_t priority) -> std::size_t {
    return priority < priority_count ? priority : priority_count - 1;
}

/// New flows and requests of one priority that a balancer saw in an interval.
struct priority_load {
    std::uint32_t openings = 0; ///< new flows, admitted or not
    /// New flows that were admitted, on arrival or later from the queue. A flow
    /// of the queue may have been counted in `openings` of an earlier interval.
    std::uint32_t admitted = 0;
    std::uint32_t requests = 0; ///< requests sent on established flows
};

/// Load of one service that a balancer saw in an interval.
struct service_load {
    service_key service = 0;
    std::array<priority_load, priority_count> priorities{};
    std::uint32_t in_flight = 0;  ///< requests under way at the end
    std::uint32_t answers = 0;    ///< requests that were answered
    std::uint32_t rejections = 0; ///< requests that upstreams rejected
    /// Mean time from request to response of the answers, network excluded.
    float service_ms = 0;
};

/// Load of one upstream that a balancer saw in an interval.
struct upstream_load {
    std::uint32_t code = 0; ///< binding code of the upstream
    std::uint32_t in_flight = 0;
    std::uint32_t answers = 0;
    std::uint32_t rejections = 0;
    float service_ms = 0; ///< as in `service_load`
};

/// What a balancer reports to the load coordinator of its failure domain.
struct load_report {
    std::uint32_t sequence = 0; ///< rises with each report of an incarnation
    milliseconds interval{0};   ///< time since the previous report
    std::vector<service_load> services;
    std::vector<upstream_load> upstreams;
};

/// Load of one service in a failure domain, as its load coordinator tells those
/// of the other domains.
struct domain_load {
    service_key service = 0;
    std::uint32_t failure_domain = 0;
    /// Requests that the domain's upstreams can process concurrently without
    /// exceeding the latency that callers expect; 0 without upstreams.
    float limit = 0;
    float in_flight = 0; ///< requests under way at the domain's upstreams
    /// Concurrent requests that the domain's own callers ask for, admitted or
    /// not.
    float demand = 0;
    float service_ms = 0; ///< mean time from request to response
};

/// Part of a service's new flows that goes to another failure domain.
struct spill_share {
    std::uint32_t failure_domain = 0;
    float share = 0; ///< from 0 to 1
};

/// What the load coordinator has found out about one upstream.
struct upstream_plan {
    std::uint32_t code = 0; ///< binding code of the upstream
    float speed = 1;        ///< relative to the mean of its service
    /// Requests that it should process at the same time, from all balancers.
    std::uint16_t limit = 0;
};

/// How the balancers of a failure domain treat new flows of one service.
struct service_plan {
    service_key service = 0;
    /// Part of the new flows of each priority that is admitted, from 0 to 1.
    std::array<float, priority_count> admit{1, 1, 1, 1};
    /// Part of the new flows that each other failure domain receives. The rest
    /// stays in the own domain.
    std::vector<spill_share> spill;
    std::vector<upstream_plan> upstreams;
    float limit = 0;     ///< see `domain_load::limit`
    float in_flight = 0; ///< see `domain_load::in_flight`
    float demand = 0;    ///< see `domain_load::demand`
};

/// Plan that the load coordinator sends to the balancers of its domain.
struct load_plan {
    std::uint32_t sequence = 0; ///< rises with each plan of an incarnation
    std::vector<service_plan> services;
};

} // namespace dogwoodtrack::carried
