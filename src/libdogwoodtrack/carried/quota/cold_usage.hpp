#pragma once

#include <vector>

#include "carried/feeds/configuration.hpp"
#include "carried/quota/quota_share.hpp"

namespace dogwoodtrack::carried {

/// Requests that this balancer has sent to one upstream while it was cold, see
/// `cold_quota.hpp`.
struct cold_usage {
    /// When this incarnation of the upstream became known.
    time_point known_since{};
    /// Flows of this balancer that are bound to the upstream. Each stands for
    /// its last request, or for the one that it may send next.
    std::uint32_t held = 0;
    /// Times of requests of the last `cold_window` that no flow stands for:
    /// their flows have ended or have sent another request since.
    std::vector<time_point> released;
    std::uint32_t share = 0; ///< of this balancer in the upstream's quota
    /// `quota_members::generation` that `share` was computed with.
    std::uint32_t share_generation = 0;
};

/// Limit for each cold upstream of a service.
struct cold_limit {
    /// Requests that all balancers together may send it in any second.
    std::uint32_t quota = 0;
    milliseconds cold_start{0}; ///< longest time that it is cold; 0: not known
};

/// Settings for limits of cold upstreams. A cold upstream may get at most
/// `cold_per_s` of its service times `overage` plus `slack` requests in any
/// second. There are no limits if `overage` is 0.
struct cold_bounds {
    double overage = 0;
    double slack = 0;

    auto operator==(const cold_bounds &) const -> bool = default;
};

/// Counters of this balancer for cold upstreams with a limit, for metrics.
struct cold_counters {
    std::uint64_t openings = 0; ///< opening packets sent to them
    std::uint64_t requests = 0; ///< requests sent to them on established flows
    /// Requests on established flows beyond the share of this balancer. They
    /// cannot be refused.
    std::uint64_t requests_over_share = 0;
    /// Searches for an upstream that passed over at least one cold upstream
    /// because the share of this balancer was used up.
    std::uint64_t over_share = 0;
    /// Searches that passed over at least one in another failure domain.
    std::uint64_t other_domain = 0;
    /// Searches without result in which an upstream was passed over.
    std::uint64_t without_result = 0;
};

/// Limits of cold upstreams and the balancers that share them. Not thread safe.
struct cold_quota {
    cold_bounds bounds;
    /// Only services with a limit.
    boost::unordered_flat_map<service_key, cold_limit> limits;
    quota_members members;
    cold_counters counters;
};

} // namespace dogwoodtrack::carried
