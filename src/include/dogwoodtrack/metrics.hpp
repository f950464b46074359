#pragma once

#include <memory>
#include <string>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// The quantities that have a histogram.
enum class metric {
    /// Nanoseconds to parse and route one packet, as the mean over a batch.
    decision_time,
    /// Microseconds from receiving a batch until the resulting packets are
    /// sent.
    batch_time,
    batch_size, ///< packets received in one batch
    /// Number of times that a packet was relayed before it arrived here. Filled
    /// for relayed packets only.
    relay_hops,
    answer_time, ///< milliseconds from a request to the upstream's first answer
    /// Milliseconds from a contract's write to its acceptance. Currently never
    /// filled.
    spread_time,
    count
};

/// One histogram with logarithmic bins for each metric. One thread fills a set;
/// any thread may read it meanwhile.
class metric_set {
public:
    metric_set();
    metric_set(metric_set &&) noexcept;
    ~metric_set();

    /// Adds one value to the histogram of a metric. Values outside the axis are
    /// counted in the underflow or overflow bin.
    auto fill(metric quantity, double value) -> void;

    /// Adds the counts of all histograms of `other` to those of this set.
    auto merge(const metric_set &other) -> void;

    /// Returns all histograms in the Prometheus text format.
    auto to_prometheus() const -> std::string;

    /// Returns a JSON object with the count and the 50th, 99th and 99.9th
    /// percentile of each metric.
    auto to_json() const -> std::string;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dogwoodtrack
