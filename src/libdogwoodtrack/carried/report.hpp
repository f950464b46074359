#pragma once

#include <string>

#include "carried/blackboard.hpp"
#include "dogwoodtrack/metrics.hpp"

namespace dogwoodtrack::carried {

/// Counters, gauges and histograms in the Prometheus text format. Apart from
/// the bounds of histogram buckets, the only labels are reasons of refusals,
/// names of feeds and failure domains that receive a spill share, so the number
/// of series is bounded.
auto metrics_text(const blackboard &it, const metric_set &metrics,
                  time_point now) -> std::string;

/// State of this balancer as one JSON object: version and age of each feed,
/// number of live members, and each upstream with its state and statistics.
auto status_json(const blackboard &it, const std::string &instance,
                 time_point now) -> std::string;

} // namespace dogwoodtrack::carried
