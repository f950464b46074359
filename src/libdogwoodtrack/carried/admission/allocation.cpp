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

// Room that each priority gets before the order of priority applies.
auto guaranteed_room(const quantities &demand, const quantities &min_share,
                     float room) -> quantities {
    const auto shares = std::max(1.0F, sum(min_share));
    quantities guaranteed{};
    for (std::size_t i = 0; i < priority_count; ++i)
        guaranteed[i] = std::min(demand[i], room * min_share[i] / shares);
    return guaranteed;
}

} // namespace

auto allocate_admission(const allocation_input &input) -> quantities {
    quantities admit{1, 1, 1, 1};
    const auto limit = quantity_or_zero(input.limit);
    if (limit == 0)
        return admit;
    const auto room =
        std::max(0.0F, limit - quantity_or_zero(input.established)) +
        quantity_or_zero(input.spilled);
    const auto demand = sanitize(input.demand);
    const auto guaranteed =
        guaranteed_room(demand, sanitize(input.min_share), room);
    auto left = std::max(0.0F, room - sum(guaranteed));
    for (std::size_t i = 0; i < priority_count; ++i) {
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
