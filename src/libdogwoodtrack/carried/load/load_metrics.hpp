#pragma once

#include <string>

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// Metrics of the load exchange in the Prometheus text format; empty while the
/// exchange is off.
auto load_metrics_text(const blackboard &it, time_point now) -> std::string;

} // namespace dogwoodtrack::carried
