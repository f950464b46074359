#pragma once

#include <string>

#include "board.hpp"
#include "dogwoodtrack/metrics.hpp"

namespace dogwoodtrack::carried {

/// Counters, gauges and histograms as Prometheus text. Labels are the names
/// of refusals and feeds only, so their number is bounded.
auto metrics_text(const blackboard &it, const metric_set &metrics,
                  time_point now) -> std::string;

/// What this balancer knows, as one JSON object: versions and their age,
/// live members, and each upstream with its state and observations.
auto status_json(const blackboard &it, const std::string &instance,
                 time_point now) -> std::string;

} // namespace dogwoodtrack::carried
