#pragma once

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::carried {

/// What the balancers of a failure domain saw of one service in an interval.
struct limit_sample {
    /// Slots of the domain's upstreams that may get new flows.
    float slots = 0;
    /// Requests under way at these upstreams at the end of the interval. Those
    /// that hang at upstreams without slots in `slots` would use up the limit.
    float in_flight = 0;
    /// Concurrent requests on established flows, from their rate.
    float established = 0;
    std::uint32_t answers = 0;
    std::uint32_t rejections = 0; ///< requests that upstreams rejected
    float service_ms = 0;         ///< mean of the answers
    milliseconds target_latency{0};
    milliseconds interval{0};
};

/// State of the concurrency limit of one service in one failure domain.
struct adaptive_limit {
    float limit = 0;       ///< concurrent requests; 0 while unknown
    float baseline_ms = 0; ///< service time without queueing; 0 while unknown
    float slots = 0;       ///< of the previous sample
    time_point updated{};
    float room = 0;      ///< concurrent requests per slot; 0 while unknown
    float ceiling = 0;   ///< `room` at which overload was last seen; 0 if never
    float in_flight = 0; ///< of the previous sample
    /// When the present overload began, or was last answered by a reduction; 0
    /// if there is none.
    time_point overloaded_since{};
    /// Since when the limit is reached without overload; 0 if it is not.
    time_point probing_since{};
    /// Since when the limit is not reached; 0 if it is, or is exceeded.
    time_point unreached_since{};
};

/// Updates the limit with a sample and returns the limit, which is the number
/// of slots times `adaptive_limit::room`. The room covers the request that a
/// slot processes and those that wait for it. It is bounded by the target
/// latency, shrinks when upstreams reject requests or queueing takes too long,
/// and grows while the limit is reached without these signs. It does not shrink
/// below the requests on established flows, at most one and a half for each
/// slot. An interval with fewer than ten answers and rejections does not change
/// the room; the limit still follows the slots. Without slots the limit is 0. A
/// sample with a negative or non-finite value is ignored. Not thread safe.
auto update_limit(adaptive_limit &it, const limit_sample &sample,
                  time_point now) -> float;

} // namespace dogwoodtrack::carried
