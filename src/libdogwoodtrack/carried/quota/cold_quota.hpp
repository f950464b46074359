#pragma once

#include <optional>

#include "carried/upstreams/upstreams.hpp"

namespace dogwoodtrack::carried {

/// Derives the limits from the configuration in force, null if there is none,
/// and from the settings. Called after each change of one of them.
auto update_cold_limits(cold_quota &quota, const configuration *in_force,
                        const cold_bounds &bounds) -> void;

/// Limit of an upstream that is cold, or null if it is warm or its service has
/// no limit.
auto find_cold_limit(const cold_quota &quota, const upstream &it,
                     time_point now) -> const cold_limit *;

/// Whether a cold upstream may get a new flow from this balancer.
enum class cold_admission : std::uint8_t {
    admitted,
    over_share,  ///< the share of this balancer is used up
    other_domain ///< only balancers of its failure domain may place flows on it
};

/// Decides whether the upstream may get a new flow, at once and with the
/// request that this flow will send. Upstreams that are warm or have no limit
/// may. `own_domain` is the failure domain of this balancer.
auto admit_cold(cold_quota &quota, upstream &it, std::uint32_t own_domain,
                time_point now) -> cold_admission;

/// Requests that count towards the share of this balancer now: one for each
/// flow bound to the upstream, and the other requests of the last
/// `cold_window`.
auto count_cold_requests(const cold_usage &usage, time_point now)
    -> std::uint32_t;

/// Adds a request that was sent at `at` and that no flow stands for any more.
/// Removes those that were older than `cold_window` at that time.
auto add_released(cold_usage &usage, time_point at) -> void;

/// Number of upstreams that may get new flows and are cold, with a limit.
auto count_cold_upstreams(const upstream_table &table, time_point now)
    -> std::size_t;

/// How quotas are divided at a time, for logs.
struct cold_division {
    std::size_t services = 0;  ///< services with a limit
    std::uint32_t divisor = 0; ///< see `quota_divisor`
    std::uint32_t silent = 0;  ///< balancers that count but are not live
    milliseconds oldest{0};    ///< longest silence of a balancer that counts
    bool small_share = false;  ///< see `takes_small_share`
};

/// Describes the division at `now`. `known` are the members from which `quota`
/// was updated.
auto describe_division(const cold_quota &quota, const fleet &known,
                       time_point now) -> cold_division;

/// Time in which requests are counted: the second of the limit, and a margin
/// for requests that are delayed differently on their way to the upstream.
inline constexpr milliseconds cold_window{1'050};

/// Largest quota, in requests per second.
inline constexpr std::uint32_t max_cold_quota = 1'000'000;

} // namespace dogwoodtrack::carried
