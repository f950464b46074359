#pragma once

#include "carried/load/load_types.hpp"

namespace dogwoodtrack::carried {

/// Room of a service and the demand for it. All quantities but `min_share` are
/// concurrent requests.
struct allocation_input {
    float limit = 0; ///< of the service in this failure domain
    /// Demand of requests on established flows by priority. They cannot be
    /// refused.
    std::array<float, priority_count> established{};
    /// Demand of new flows by priority, admitted or not.
    std::array<float, priority_count> demand{};
    /// Part of the demand that other failure domains take over.
    float spilled = 0;
    /// Part of `limit` and `spilled` that each priority gets at least, if it
    /// asks for it. Its established flows count.
    std::array<float, priority_count> min_share{};
};

/// Part of the new flows of each priority to admit, from 0 to 1. After each
/// priority got its `min_share`, the limit and `spilled` are filled in the
/// order of priority, with the established flows of a priority before its new
/// ones. So established flows of less urgent priorities take no room from new
/// flows that are more urgent. They go on while these are admitted; upstreams
/// then reject more, until the callers that are rejected have to open new
/// flows. A priority without demand gets 1 if room is left when its turn comes,
/// else 0. All priorities get 1 if the limit is 0, that is, unknown. Negative
/// and non-finite quantities count as 0; shares whose sum exceeds 1 are scaled
/// down. Thread safe.
auto allocate_admission(const allocation_input &input)
    -> std::array<float, priority_count>;

} // namespace dogwoodtrack::carried
