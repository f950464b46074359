#pragma once

#include "carried/load/coordinator_choice.hpp"
#include "carried/load/load_planning.hpp"

namespace dogwoodtrack::carried {

/// Counters since the start of this balancer, for metrics.
struct load_exchange_counters {
    std::uint64_t reports_sent = 0;      ///< datagrams
    std::uint64_t plans_sent = 0;        ///< datagrams
    std::uint64_t domain_loads_sent = 0; ///< datagrams
    /// Messages that were not used: late, doubled, or from a balancer that this
    /// one does not follow or that is not known as a member of the domain.
    std::uint64_t ignored = 0;
};

/// Beliefs as they were last logged, see `log_load_changes`.
struct logged_load_state {
    std::uint32_t coordinator = 0;
    bool coordinates = false;
    /// Services whose plan admitted only a part of the new flows.
    std::vector<service_key> limited;
    /// Services without a current plan of the coordinator.
    std::vector<service_key> expired;
    /// Other failure domains whose load was known.
    std::vector<std::uint32_t> known_domains;
};

/// State of the load exchange of one balancer, besides the tracker
/// (`flow_table::load`) and the plans (`steering_state::plans`). Not thread
/// safe.
struct load_exchange_state {
    /// Setting `domain-traffic-price`, in milliseconds of waiting per KiB.
    float price_ms_per_kib = 0;
    /// Setting `min-share`, for each priority.
    std::array<float, priority_count> min_share{};
    coordinator_choice choice;
    /// Other active balancers of the own failure domain, and the coordinators
    /// that other domains elect, as of `members_updated`. Kept, since finding
    /// them takes a walk over all members.
    std::vector<std::uint32_t> neighbours;
    std::vector<elected_member> other_domains;
    time_point members_updated{};
    report_table reports;
    load_planner planner;
    domain_exchange domains;
    load_report own; ///< latest report of this balancer
    /// This balancer computes plans.
    bool coordinates = false;
    /// A balancer whose report had not been known sent one since the last plan.
    bool new_reporter = false;
    bool was_binding = false; ///< the last plan that was sent
    time_point next_step{};
    time_point last_plan_sent{};
    /// When a plan of a balancer other than the elected one last arrived.
    time_point foreign_plan{};
    load_exchange_counters counters;
    logged_load_state logged;
};

} // namespace dogwoodtrack::carried
