#include "carried/admission/allocation.hpp"

namespace dogwoodtrack::carried {

auto allocate_admission(const allocation_input & /*input*/)
    -> std::array<float, priority_count> {
    return {1, 1, 1, 1};
}

} // namespace dogwoodtrack::carried
