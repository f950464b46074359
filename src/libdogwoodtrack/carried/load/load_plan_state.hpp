#pragma once

#include "carried/load/load_types.hpp"

namespace dogwoodtrack::carried {

/// The last load plan that this balancer received. Not thread safe.
struct load_plan_state {
    load_plan plan;
    time_point received{};
};

/// A plan is used for this time after its arrival.
inline constexpr milliseconds plan_lifetime{2'000};

/// Plan of the service, or null if there is none in use.
inline auto plan_for(const load_plan_state &state, service_key service,
                     time_point now) -> const service_plan * {
    if (state.received == time_point{} || now - state.received >= plan_lifetime)
        return nullptr;
    for (const auto &one : state.plan.services) {
        if (one.service == service)
            return &one;
    }
    return nullptr;
}

} // namespace dogwoodtrack::carried
