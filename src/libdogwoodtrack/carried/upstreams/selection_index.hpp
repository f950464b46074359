#pragma once

#include <array>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::carried {

struct service_plan;

/// An upstream on the capacity line of its failure domain: it covers the part
/// from the end of its predecessor to `end`.
struct indexed_upstream {
    std::uint32_t index = 0; ///< `upstream_index`
    float end = 0;           ///< sum of `weight` up to this upstream
    /// Slots x speed, divided by `cold_load_factor` while it is cold.
    float weight = 0;
};

/// Upstreams of one service in one failure domain.
struct indexed_domain {
    std::uint32_t failure_domain = 0;
    std::vector<indexed_upstream> upstreams; ///< ordered by identifier
};

/// Index from which `choose_planned_upstream` samples candidates for new flows
/// of one service. Not thread safe.
struct selection_index {
    std::vector<indexed_domain> domains;
    std::vector<std::uint32_t> on_probation; ///< `upstream_index`
    std::uint32_t next_trial = 0; ///< element of `on_probation` to examine next
    std::uint32_t flows = 0;      ///< new flows placed so far
    std::size_t placeable = 0;    ///< number of upstreams when it was built
    /// The plan that it was built by; compared, never dereferenced.
    const service_plan *plan = nullptr;
    /// Limit, requests under way and demand of that plan. They tell a new plan
    /// from that one, since hardly any two agree in all of them.
    std::array<float, 3> plan_loads{};
    time_point built{};
};

} // namespace dogwoodtrack::carried
