#pragma once

#include <memory>
#include <string>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// The quantities that have a histogram.
enum class metric {
    decision_time, ///< mean decision time of a batch's packets, nanoseconds
    batch_time,    ///< from receiving to sending a batch, microseconds
    batch_size,    ///< packets in a batch
    relay_hops,    ///< hops of a relayed packet on arrival
    answer_time,   ///< request to first answer of an upstream, milliseconds
    spread_time,   ///< write to acceptance of a contract, milliseconds
    count
};

/// Histograms with logarithmic bins. One thread fills a set; any thread may
/// read it meanwhile.
class metric_set {
public:
    metric_set();
    metric_set(metric_set &&) noexcept;
    ~metric_set();

    /// Adds one value. Values outside the axis are counted in its underflow
    /// or overflow bin.
    auto fill(metric what, double value) -> void;

    /// Adds all counts of `other`.
    auto merge(const metric_set &other) -> void;

    /// Returns all histograms in the Prometheus text format.
    auto to_prometheus() const -> std::string;

    /// Returns a JSON object with the count and the 50th, 99th and 99.9th
    /// percentile of each metric.
    auto to_json() const -> std::string;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack
