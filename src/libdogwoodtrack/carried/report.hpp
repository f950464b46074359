#pragma once

#include <string>

#include "carried/blackboard.hpp"
#include "dogwoodtrack/metrics.hpp"

namespace dogwoodtrack::carried {

/// Counters, gauges and histograms in the Prometheus text format. Apart from
/// the bounds of histogram buckets, the only labels are reasons, outcomes,
/// priorities, names of feeds, services with a load plan and failure domains
/// that receive a spill share. Their number is bounded, so that of series is.
auto metrics_text(const blackboard &it, const metric_set &metrics,
                  time_point now) -> std::string;

/// State of this balancer as one JSON object: version and age of each feed,
/// number of live members, and each upstream with its state and statistics.
auto status_json(const blackboard &it, const std::string &instance,
                 time_point now) -> std::string;

} // namespace dogwoodtrack::carried
