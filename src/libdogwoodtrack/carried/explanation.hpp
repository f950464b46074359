#pragma once

#include <array>
#include <optional>
#include <vector>

#include "carried/flows/steering.hpp"

namespace dogwoodtrack::carried {

/// Why an upstream was not chosen for a new flow: the first of the rules below
/// that applies.
enum class ruled_out : std::uint8_t {
    chosen, ///< not ruled out
    evacuated,
    draining,
    removed, ///< its entry is gone, or of an earlier incarnation
    /// An older upstream has the same binding code.
    code_in_use,
    cut_off,           ///< its failure domain is out of reach
    cold_over_quota,   ///< cold, and this balancer's share is used up
    cold_other_domain, ///< cold, left to the balancers of its failure domain
    ejected,
    on_probation,
    silent,           ///< left openings unanswered
    at_planned_limit, ///< see `is_at_planned_limit`
    undecided,        ///< no rule applies, but the flow is not placed now
    trial,            ///< the flow is a trial of the chosen upstream
    other_domain,     ///< not in the failure domain that the flow is sent to
    higher_load,
    /// As good as the chosen one: the load plan spreads flows over them, or the
    /// chosen one comes first in the order of this balancer.
    not_in_turn,
    count ///< number of values above
};

/// Name of a reason in JSON, for example `higher_load`. Precondition: `why` is
/// not `count`. Thread safe.
auto to_string(ruled_out why) -> std::string_view;

/// Rule by which an upstream was chosen.
enum class selection_rule : std::uint8_t {
    none,        ///< no upstream was chosen
    load_plan,   ///< `choose_planned_upstream`
    lowest_load, ///< lowest load of all upstreams
    trial,       ///< it is on probation and its trial flow is due
    last_resort  ///< no upstream is a candidate, see `choose_upstream`
};

/// Name of a rule in JSON, for example `lowest_load`. Thread safe.
auto to_string(selection_rule rule) -> std::string_view;

/// An upstream of the service, as seen by the decision.
struct explained_upstream {
    std::string id;
    endpoint address;
    std::uint32_t failure_domain = 0;
    std::uint32_t open = 0; ///< open flows of this balancer
    std::uint16_t slots = 1;
    float load = 0; ///< see `compared_load` or, by a load plan, `planned_load`
    ruled_out why = ruled_out::chosen;
};

/// Origin of the plan by which new flows are admitted, see `plan_for`.
enum class plan_origin : std::uint8_t { none, coordinator, derived };

/// Name of an origin in JSON, for example `coordinator`. Thread safe.
auto to_string(plan_origin origin) -> std::string_view;

/// What the admission does with new flows of the route.
struct explained_admission {
    bool enabled = false; ///< setting `admission`
    plan_origin origin = plan_origin::none;
    /// Since the coordinator's latest plan for the service; none if none came.
    std::optional<milliseconds> plan_age;
    float fraction = 1; ///< of this priority's new flows, see `admit_fraction`
    float limit = 0;    ///< see `service_plan`, as the two below
    float in_flight = 0;
    float demand = 0;
    /// Of an opening that arrives now.
    admission_decision now = admission_decision::admit;
    /// Of an opening that is not admitted on arrival; `admit` if all are.
    admission_decision otherwise = admission_decision::admit;
    /// Of most openings: `admit` if the fraction is at least a half, else
    /// `otherwise`.
    admission_decision on_average = admission_decision::admit;
};

/// Largest number of upstreams in an explanation.
inline constexpr std::size_t max_explained_upstreams = 50;

/// Where a new flow would go now, and why.
struct flow_explanation {
    flow_endpoints endpoints;
    std::uint32_t failure_domain = 0; ///< of this balancer
    bool configuration_known = false;
    bool configuration_current = false; ///< see `is_configuration_current`
    bool upstreams_known = false;
    bool evacuations_known = false;
    std::optional<route_spec> route;
    service_key service = 0; ///< the route's service that the flow is for
    std::optional<explained_admission> admission; ///< with a route
    /// What `steer` decides about the opening packet. `verdict::to` is not
    /// valid outside of the explanation.
    verdict_kind decision = verdict_kind::drop;
    refusal refused = refusal::none;
    /// How the upstream was chosen that the flow goes to, or goes to once it is
    /// admitted.
    selection_rule rule = selection_rule::none;
    /// The chosen upstream, then those of this balancer's failure domain, then
    /// the others, each ordered by identifier; at most
    /// `max_explained_upstreams`.
    std::vector<explained_upstream> upstreams;
    std::size_t left_out = 0; ///< upstreams beyond that number
    /// Numbers of upstreams by reason, those left out included.
    std::array<std::size_t, static_cast<std::size_t>(ruled_out::count)>
        reasons{};
};

/// Explains what happens to a new flow with these endpoints that is opened now.
/// The flow counts as new also if it is known. If the caller's endpoint is not
/// set, the flow is that of a caller without a history, for one of the route's
/// services. Changes no state: the functions that decide work on a copy of the
/// state of the service. Takes time in proportion to the number of upstreams.
/// Not thread safe.
auto explain_new_flow(const steering_state &state,
                      const flow_endpoints &endpoints, time_point now)
    -> flow_explanation;

} // namespace dogwoodtrack::carried
