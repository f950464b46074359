#include "carried/admission/allocation.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace dogwoodtrack::carried {

namespace {

using quantities = std::array<float, priority_count>;

auto quantity_or_zero(float value) -> float {
    return std::isfinite(value) ? std::max(0.0F, value) : 0.0F;
}

auto sanitize(quantities values) -> quantities {
    std::transform(values.begin(), values.end(), values.begin(),
                   quantity_or_zero);
    return values;
}

auto sum(const quantities &values) -> float {
    return std::accumulate(values.begin(), values.end(), 0.0F);
}

// Room for the new flows of each priority before the order of priority applies.
auto guaranteed_room(const allocation_input &input, const quantities &demand,
                     const quantities &established, float room) -> quantities {
    const auto min_share = sanitize(input.min_share);
    const auto shares = std::max(1.0F, sum(min_share));
    quantities guaranteed{};
    for (std::size_t i = 0; i < priority_count; ++i) {
        const auto share = room * min_share[i] / shares;
        guaranteed[i] = std::clamp(share - established[i], 0.0F, demand[i]);
    }
    return guaranteed;
}

} // namespace

auto allocate_admission(const allocation_input &input) -> quantities {
    quantities admit{1, 1, 1, 1};
    const auto limit = quantity_or_zero(input.limit);
    if (limit == 0)
        return admit;
    const auto room = limit + quantity_or_zero(input.spilled);
    const auto demand = sanitize(input.demand);
    const auto established = sanitize(input.established);
    const auto guaranteed = guaranteed_room(input, demand, established, room);
    auto left = room - sum(guaranteed);
    // Established flows stay in the domain, so they take nothing of `spilled`.
    auto left_for_established = limit;
    for (std::size_t i = 0; i < priority_count; ++i) {
        const auto taken = std::min(established[i], left_for_established);
        left_for_established -= taken;
        left = std::max(0.0F, left - taken);
        if (demand[i] == 0) {
            admit[i] = left > 0 ? 1 : 0;
            continue;
        }
        const auto missing = demand[i] - guaranteed[i];
        if (missing > left)
            admit[i] = std::min(1.0F, (guaranteed[i] + left) / demand[i]);
        left -= std::min(left, missing);
    }
    return admit;
}

} // namespace dogwoodtrack::carried
