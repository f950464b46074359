#pragma once

#include <memory>

#include "carried/admission/admission.hpp"
#include "carried/flows/flows.hpp"
#include "carried/load/load_plan_state.hpp"
#include "carried/upstreams/upstream_selection.hpp"

namespace dogwoodtrack::carried {

/// Action for a caller's packet.
enum class verdict_kind : std::uint8_t {
    /// Send the packet to `verdict::to`. If it carries another binding code
    /// than `verdict::code`, first write that one into it: an opening packet
    /// carries none, and a later one may carry the code of an upstream whose
    /// late answer to the opening was not used. An upstream returns the code
    /// that it received last, so the caller learns the right one again.
    forward,
    /// Reset the flow immediately. If the packet opens the flow, no request has
    /// been sent yet, so the caller may retry safely.
    reject,
    /// Keep the packet until the configuration and upstreams needed to decide
    /// about it are known.
    hold,
    drop, ///< send no answer, as a reset could be wrong; the caller retransmits
    /// Store the opening packet in `steering_state::admission` (see
    /// `store_queued_packet`). It waits there for admission.
    queue
};

/// Reason why a packet was not forwarded, for logs and metrics.
enum class refusal : std::uint8_t {
    none,
    no_configuration,
    no_route,
    no_upstream,
    unknown_binding, ///< no upstream has the packet's binding code
    dead_upstream,
    evacuated, ///< all upstreams are in evacuated failure domains
    overload,  ///< capacity is short, see `decide_opening`
    count      ///< number of values above
};

/// Name of a refusal in logs and metrics, for example `no_route`.
/// Precondition: `why` is not `count`.
auto to_string(refusal why) -> std::string_view;

/// Decision about one packet.
struct verdict {
    verdict_kind kind = verdict_kind::drop;
    refusal why = refusal::none;
    upstream_index to = no_upstream;
    std::uint32_t code = 0; ///< binding code of the upstream `to`
};

/// State that packet decisions are based on. Not thread safe.
struct steering_state {
    /// Configuration in force; null until one is known.
    std::shared_ptr<const configuration> in_force;
    upstream_table upstreams;
    flow_table flows;
    domain_position position;
    /// When the configuration was last confirmed to be the store's latest. An
    /// opening packet to an unknown address is rejected only within
    /// `configuration_max_age` of this time; after that, it is dropped.
    time_point configuration_confirmed{};
    /// Whether a complete list of the upstreams was received.
    bool upstreams_known = false;
    /// Failure domains whose balancers do not answer probes.
    std::vector<std::uint32_t> unreachable_domains;
    /// Failure domains from which the flows of other balancers of the own
    /// domain get no answers, as those balancers report.
    std::vector<std::uint32_t> reported_unresponsive;
    /// Whether the evacuated failure domains are known, or not used. No flow is
    /// placed before.
    bool evacuations_known = true;
    /// Plans of the load coordinator, see `plan_for`.
    load_plan_state plans;
    admission_state admission;
};

/// Requirements of a new flow of the route on its upstream. The plan is the
/// load coordinator's, or null: a plan that this balancer has derived itself
/// does not say where flows go. Valid until the plans change.
auto make_new_flow(const steering_state &state, const route_spec &route,
                   service_key service, time_point now) -> new_flow;

/// Whether the configuration counts as current. Evaluated anew for each
/// decision that depends on it, since a periodic check may be late after a
/// pause of the process.
auto is_configuration_current(const steering_state &state, time_point now)
    -> bool;

/// Decides about one packet of a caller and updates the packet's flow.
auto steer(steering_state &state, const packet_header &header, time_point now)
    -> verdict;

/// Decides about an opening packet that `take_due_openings` has admitted: it is
/// not subject to admission again. Precondition: `header.opens`.
auto steer_admitted(steering_state &state, const packet_header &header,
                    time_point now) -> verdict;

/// Decides about an opening packet that was not answered within
/// `opening_retry_delay`: forwards it to a second upstream as well. Returns
/// `drop` if the flow is unknown, is established by now, has been retried
/// before, or if there is no other upstream for it. If the flow is still
/// opening and has not been retried before, also records the unanswered opening
/// at its first upstream (see `record_unanswered`), unless that upstream has
/// answered another flow since. With admission enabled, no second upstream is
/// chosen while the plan limits new flows of the service, since every opening
/// takes up a slot.
auto steer_retry(steering_state &state, const flow_endpoints &endpoints,
                 time_point now) -> verdict;

/// A configuration counts as current for this time after it was last confirmed
/// to be the store's latest.
inline constexpr milliseconds configuration_max_age{3'000};

/// An upstream found dead or cut off, and those of its flows to be reset.
struct dead_upstream {
    upstream_index index = no_upstream;
    std::vector<flow_to_reset> flows;
};

/// Upstreams found dead or cut off since the last call (see
/// `find_dead_upstreams`), with their established flows that may be reset (see
/// `may_reset`). The listed flows are marked as closed; the caller of this
/// function sends the resets.
auto take_flows_to_reset(steering_state &state, time_point now)
    -> std::vector<dead_upstream>;

/// An opening packet that is unanswered after this time is also sent to a
/// second upstream.
inline constexpr milliseconds opening_retry_delay{45};

} // namespace dogwoodtrack::carried
