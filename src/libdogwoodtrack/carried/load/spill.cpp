#include "carried/load/spill.hpp"

namespace dogwoodtrack::carried {

auto compute_spill(const spill_input & /*input*/) -> std::vector<spill_share> {
    return {};
}

} // namespace dogwoodtrack::carried
