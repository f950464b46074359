#pragma once

#include <memory>

#include "choice.hpp"
#include "flows.hpp"

namespace dogwoodtrack::carried {

/// What to do with a caller's packet.
enum class verdict_kind : std::uint8_t {
    forward, ///< to `to`; an opening packet is written `code` first
    reject,  ///< tell the caller at once that nothing has run
    hold,    ///< nothing is known yet: decide again soon
    drop     ///< an answer could harm; the caller sends it again
};

/// Why a packet was not forwarded, for logs and metrics.
enum class refusal : std::uint8_t {
    none,
    no_configuration,
    no_route,
    no_upstream,
    unknown_binding,
    dead_upstream,
    count
};

/// Name of a refusal in logs and metrics, for example `no_route`.
auto to_string(refusal why) -> std::string_view;

/// A decision about one packet.
struct verdict {
    verdict_kind kind = verdict_kind::drop;
    refusal why = refusal::none;
    upstream_index to = no_upstream;
    std::uint32_t code = 0;
};

/// What packet decisions are made from. One thread at a time.
struct steering_state {
    std::shared_ptr<const configuration> in_force;
    upstream_table upstreams;
    flow_table flows;
    domain_position position;
    /// When the configuration was last known to be the store's latest: an
    /// unknown address is rejected only within `configuration_max_age` of it.
    time_point configuration_confirmed{};
    bool upstreams_known = false;
    /// Failure domains whose balancers do not answer.
    std::vector<std::uint32_t> unreachable_domains;
    /// Failure domains of which neighbours hear nothing.
    std::vector<std::uint32_t> reported_unheard;
};

/// Decides about one packet of a caller.
auto steer(steering_state &state, const packet_header &header, time_point now)
    -> verdict;

/// Decides about an opening packet that got no answer in `opening_retry_delay`:
/// the upstream to try besides, or `drop` when there is an answer by now.
auto steer_retry(steering_state &state, const flow_endpoints &endpoints,
                 time_point now) -> verdict;

/// A configuration confirmed within this time counts as current.
inline constexpr milliseconds configuration_max_age{3'000};

/// An upstream that died, and the flows that wait for it in vain.
struct dead_upstream {
    upstream_index index = no_upstream;
    std::vector<flow_to_reset> flows;
};

/// Upstreams that died since the last call, see `find_dead_upstreams`. Their
/// flows are closed here; the callers are to be told.
auto take_flows_to_reset(steering_state &state, time_point now)
    -> std::vector<dead_upstream>;

/// After this time without an answer an opening packet goes to a second
/// upstream.
inline constexpr milliseconds opening_retry_delay{45};

} // namespace dogwoodtrack::carried
