#pragma once

#include "carried/load/load_types.hpp"
#include "carried/upstreams/upstreams.hpp"

namespace dogwoodtrack::carried {

/// Weighted sum of response times.
struct response_sum {
    float answers = 0;
    float ms = 0;
};

/// What the answers of one upstream say about its speed.
struct upstream_speed {
    std::uint16_t slots = 1;
    response_sum recent;  ///< mostly of the last second
    response_sum earlier; ///< passed on from `recent` as it ages
    /// Time that the requests under way have waited without any answer.
    float unanswered_ms = 0;
    std::uint32_t in_flight = 0; ///< at the end of the previous interval
    float speed = 1;             ///< see `upstream_plan::speed`
    /// Concurrent requests for each slot; lowered when the upstream rejects
    /// requests.
    float room = 0;
    bool slow = false;    ///< see `speed_change`
    bool tracked = false; ///< used by `track_upstreams`
};

/// An upstream that began or ceased to count as slow, that is, with less than
/// `slow_speed`. It ceases to be slow at `recovered_speed`.
struct speed_change {
    std::uint32_t code = 0;
    bool slow = false;
    float speed = 1;
    float response_ms = 0; ///< its mean time from request to response
    float mean_ms = 0;     ///< the same at speed 1
};

inline constexpr float slow_speed = 0.5F;
inline constexpr float recovered_speed = 0.75F;

/// Speeds of the upstreams of one service, as the load coordinator of a failure
/// domain finds them out. Not thread safe.
struct speed_table {
    milliseconds target_latency{0}; ///< of the service; 0 if unknown
    float mean_ms = 0; ///< response time at speed 1; 0 while unknown
    boost::unordered_flat_map<std::uint32_t, upstream_speed> all; ///< by code
    /// Changes since the caller last took this list; at most one for each
    /// upstream and interval.
    std::vector<speed_change> changes;
};

/// Makes the table contain the upstreams of the service that may get new flows,
/// and no others.
auto track_upstreams(speed_table &table, const upstream_table &upstreams,
                     service_key service) -> void;

/// Updates the speeds with the loads that all balancers of the failure domain
/// saw in an interval and returns speed and limit of each upstream, ordered by
/// code. Loads of upstreams that the table does not contain are ignored. An
/// upstream without a load in `summed` counts as idle. A speed falls to no less
/// than half and rises by no more than a tenth in 250 ms. Preconditions:
/// `track_upstreams` was called before, and `summed` has at most one element
/// for each upstream.
auto compute_speeds(speed_table &table,
                    const std::vector<upstream_load> &summed,
                    milliseconds interval) -> std::vector<upstream_plan>;

} // namespace dogwoodtrack::carried
