#include "carried/admission/adaptive_limit.hpp"

namespace dogwoodtrack::carried {

auto update_limit(adaptive_limit &it, const limit_sample &sample,
                  time_point now) -> float {
    it.limit = sample.slots;
    it.slots = sample.slots;
    it.updated = now;
    return it.limit;
}

} // namespace dogwoodtrack::carried
