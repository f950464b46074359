#pragma once

#include "carried/load/load_types.hpp"

namespace dogwoodtrack::carried {

/// Another failure domain that may receive a part of a service's new flows.
struct spill_target {
    domain_load load;
    milliseconds age{0};        ///< since the other coordinator sent `load`
    milliseconds round_trip{0}; ///< between the two domains
    bool reachable = true;      ///< neither cut off nor suspected to be
    bool evacuated = false;     ///< must not receive new flows
};

/// What `compute_spill` decides from.
struct spill_input {
    domain_load own; ///< of the service in the own failure domain
    /// All other failure domains with upstreams of the service. One whose load
    /// was never received has a `load` with only its name and an `age` of at
    /// least `max_load_age`.
    std::vector<spill_target> others;
    std::vector<spill_share> previous; ///< shares in force
    /// Cost of one KiB that crosses to another domain, in milliseconds of a
    /// caller's waiting time.
    float price_ms_per_kib = 0;
    float request_kib = 0;          ///< mean size of a request, both directions
    milliseconds target_latency{0}; ///< 0 if unknown
    milliseconds interval{0};       ///< since the previous decision
};

/// A load that is this old allows no share.
inline constexpr milliseconds max_load_age{2'000};

/// Part of the service's new flows that each other failure domain receives,
/// without those that receive none. What the own domain lacks is spilled, less
/// the shortage that costs callers no more than leaving the domain does. Only
/// demands and limits decide, which do not depend on the shares, so there is no
/// feedback to oscillate. A share rises and falls by a bounded step, but falls
/// at once to what the other domain leaves free. Thread safe.
auto compute_spill(const spill_input &input) -> std::vector<spill_share>;

/// Cost of leaving the own domain for this one, in milliseconds of a caller's
/// waiting time: the round trip, the price of the bytes and the difference of
/// the response times. Thread safe.
auto leaving_cost_ms(const spill_input &input, const spill_target &target)
    -> float;

/// Part of the target's limit, in concurrent requests, that this domain may
/// use. Precondition: `target` is an element of `input.others`. Thread safe.
auto usable_capacity(const spill_input &input, const spill_target &target)
    -> float;

} // namespace dogwoodtrack::carried
