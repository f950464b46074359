#pragma once

#include <algorithm>

#include "carried/load/load_types.hpp"

namespace dogwoodtrack::carried {

/// The last plan that this balancer received. Not thread safe.
struct load_plan_state {
    load_plan last;
};

/// The plan for a service that is in use at `now`, or null.
inline auto plan_for(const load_plan_state &state, service_key service,
                     time_point /*now*/) -> const service_plan * {
    const auto &all = state.last.services;
    const auto found =
        std::find_if(all.begin(), all.end(), [service](const service_plan &it) {
            return it.service == service;
        });
    return found == all.end() ? nullptr : &*found;
}

} // namespace dogwoodtrack::carried
