#pragma once

#include "carried/load/load_types.hpp"

namespace dogwoodtrack::carried {

/// Another failure domain that may receive a part of a service's new flows.
struct spill_target {
    domain_load load;
    milliseconds age{0};        ///< since the other coordinator sent `load`
    milliseconds round_trip{0}; ///< between the two domains
    bool reachable = true;      ///< neither cut off nor suspected to be
};

struct spill_input {
    domain_load own;
    std::vector<spill_target> others;
    std::vector<spill_share> previous; ///< shares in force
    /// Cost of one KiB that crosses to another domain, in milliseconds of a
    /// caller's waiting time.
    float price_ms_per_kib = 0;
    float request_kib = 0; ///< mean size of a request, both directions
    milliseconds target_latency{0};
    milliseconds interval{0}; ///< since the previous decision
};

/// Part of the service's new flows that each other failure domain receives.
/// Thread safe.
auto compute_spill(const spill_input &input) -> std::vector<spill_share>;

} // namespace dogwoodtrack::carried
