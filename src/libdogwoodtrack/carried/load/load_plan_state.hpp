#pragma once

#include <optional>

#include "carried/load/load_types.hpp"

namespace dogwoodtrack::carried {

/// A plan is used for this time after its arrival.
inline constexpr milliseconds plan_lifetime{2'000};
/// Time over which the admit fractions of an expired plan rise to 1 while
/// upstreams reject no requests of this balancer.
inline constexpr milliseconds plan_recovery_time{5'000};

/// What a balancer knows of one service from the load coordinator.
struct known_service_plan {
    /// Plan of the coordinator, with the upstream entries of earlier datagrams.
    service_plan plan;
    time_point received{}; ///< arrival of the latest datagram with this service
    /// When each element of `plan.upstreams` was last received.
    std::vector<time_point> upstreams_received;
    /// Replaces `plan` after `plan_lifetime`: this balancer's own part of the
    /// last limit. It has neither spill shares nor upstreams.
    service_plan own_share;
    /// From 0 to 1: how far the fractions of `own_share` have risen from those
    /// that the limit allows to 1.
    float recovery = 0;
    /// Smoothed time from request to response that this balancer saw, network
    /// excluded; 0 while unknown.
    float service_ms = 0;
};

/// Plans that this balancer follows. Not thread safe.
struct load_plan_state {
    bool enabled = false;          ///< setting `load-plans`
    std::uint32_t coordinator = 0; ///< address of the sender of the plans
    std::uint32_t sequence = 0;    ///< of the latest plan of `coordinator`
    time_point received{};         ///< arrival of the latest plan
    std::vector<known_service_plan> services;
    /// Plans that a balancer without a plan follows while peers report that a
    /// limit binds.
    std::vector<service_plan> cautious;
    /// When a peer of the own failure domain last reported that a limit binds.
    time_point limit_reported{};
};

/// Plan for new flows of a service, or null if nothing limits them:
/// - the coordinator's plan for `plan_lifetime` after its arrival;
/// - then this balancer's own share of the last limit, until its fractions
///   have risen to 1;
/// - without any plan, a cautious one while peers report that a limit binds.
/// Only the first has spill shares and upstreams, see `is_coordinated`. An
/// upstream that is missing from a plan has the speed 1 and no limit. The
/// pointer is valid until the state changes. A cautious plan is valid only for
/// services that the configuration names.
auto plan_for(const load_plan_state &state, service_key service, time_point now)
    -> const service_plan *;

/// Whether `plan_for` returns the plan of the coordinator, not one that this
/// balancer has derived. If not, spill shares are unknown.
auto is_coordinated(const load_plan_state &state, service_key service,
                    time_point now) -> bool;

/// Whether a limit binds by what this balancer knows from the coordinator: the
/// plan of at least one service admits only a part of the new flows. A cautious
/// plan does not count, or balancers would confirm it to each other.
auto limit_binds(const load_plan_state &state, time_point now) -> bool;

/// Applies a datagram of a plan. Datagrams of a plan older than the latest one
/// from `from` are ignored, see `is_outdated`. Returns whether the datagram was
/// applied. Precondition: this balancer elects `from` as its coordinator.
auto apply_plan(load_plan_state &state, std::uint32_t from,
                const load_plan &plan, time_point now) -> bool;

/// What `update_own_shares` looks at.
struct own_share_input {
    load_report own;             ///< latest report of this balancer
    std::uint32_t balancers = 1; ///< live ones in the failure domain
    std::array<float, priority_count> min_share{};
};

/// Updates the plans that replace an expired one, and forgets those whose
/// fractions have risen to 1. Called with each report of this balancer.
auto update_own_shares(load_plan_state &state, const own_share_input &input,
                       time_point now) -> void;

/// Derives `load_plan_state::cautious` from the configuration: for each
/// service, half of the new flows of the last priority of its routes.
auto update_cautious_plans(load_plan_state &state,
                           const configuration *in_force) -> void;

} // namespace dogwoodtrack::carried
