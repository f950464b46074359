#include "carried/load/load_plan_state.hpp"

namespace dogwoodtrack::carried {

auto plan_for(const load_plan_state & /*state*/, service_key /*service*/,
              time_point /*now*/) -> const service_plan * {
    return nullptr;
}

} // namespace dogwoodtrack::carried
