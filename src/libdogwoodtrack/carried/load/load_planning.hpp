#pragma once

#include <span>

#include "carried/admission/adaptive_limit.hpp"
#include "carried/flows/flows.hpp"
#include "carried/load/domain_exchange.hpp"
#include "carried/load/load_coordinator.hpp"
#include "carried/upstreams/upstream_speeds.hpp"

namespace dogwoodtrack::carried {

/// State of the load coordinator for one service.
struct coordinated_service {
    adaptive_limit limit;
    speed_table speeds;
    /// Smoothed rates, as in `summed_service`.
    std::array<float, priority_count> openings{};
    std::array<float, priority_count> requests{};
    float service_ms = 0; ///< smoothed mean of the answers
    domain_load load;     ///< of the own domain
    service_plan plan;    ///< with all upstreams
    /// Spill shares of the last event `spill_changed`.
    std::vector<spill_share> logged_spill;
};

/// Openings that an upstream left unanswered since its last answer to any
/// balancer of the domain.
struct silent_upstream {
    std::uint32_t openings = 0;
    time_point last{}; ///< when the last of them was reported
};

/// Upstream entry as it was last sent in a plan.
struct sent_upstream {
    upstream_plan plan;
    time_point sent{};
};

/// State of the load coordinator besides the reports. Not thread safe.
struct load_planner {
    boost::unordered_flat_map<service_key, coordinated_service> services;
    /// By binding code.
    boost::unordered_flat_map<std::uint32_t, silent_upstream> silent;
    /// By binding code; upstreams that the last plan did not have are dropped.
    boost::unordered_flat_map<std::uint32_t, sent_upstream> sent;
    std::uint32_t sequence = 0; ///< of the last plan
    time_point last_planned{};
};

/// What plans are based on besides the reports.
struct planning_input {
    const configuration &in_force;
    const upstream_table &upstreams;
    /// Flows of this balancer, for the sizes of responses.
    const flow_table &flows;
    const domain_exchange &domains;
    std::uint32_t failure_domain = 0; ///< the own one
    /// Failure domains that are, or may be, cut off.
    std::span<const std::uint32_t> unreachable_domains;
    /// Part of each limit that is allocated to the balancers that report.
    float limit_part = 1;
    /// See `spill_input`.
    float price_ms_per_kib = 0;
    /// See `allocation_input`.
    std::array<float, priority_count> min_share{};
};

/// Computes `coordinated_service::load` and `plan` of each service that the
/// configuration names. Concurrent requests follow from rates and the service
/// time without queueing by Little's law. A plan admits all new flows while
/// limit or service time are unknown. If the domain has no upstream of the
/// service, the limit is this domain's part of what the others leave free.
auto compute_plans(load_planner &it, const summed_load &sum,
                   const planning_input &input, time_point now) -> void;

/// Whether a plan limits or redirects new flows: it admits only a part, spills,
/// or an upstream's speed differs much from the mean. Thread safe.
auto is_binding(const service_plan &plan) -> bool;
auto is_binding(const load_planner &it) -> bool;

/// Plan of all services, with all upstreams. Begins a new sequence number.
auto make_plan(load_planner &it) -> load_plan;

/// Reduces the upstreams of a plan to be sent to `max_sent_upstreams`: first
/// those whose speed has changed most since they were last sent, then those
/// that were sent the longest time ago.
auto select_upstreams(load_planner &it, load_plan &plan, time_point now)
    -> void;

/// Largest number of upstream entries in a plan that is sent. With it, a plan
/// of four services has about 500 bytes, of which a balancer receives up to
/// four a second.
inline constexpr std::size_t max_sent_upstreams = 16;

} // namespace dogwoodtrack::carried
