#pragma once

#include <memory>
#include <string>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// What the histograms measure.
enum class metric {
    decision_time, ///< one packet decision, nanoseconds
    batch_time,    ///< one batch of packets, microseconds
    batch_size,    ///< packets in one batch
    relay_hops,    ///< hops of relayed packets on arrival
    answer_time,   ///< request to first answer of an upstream, ms
    spread_time,   ///< contract acceptance after its write, milliseconds
    count
};

/// Histograms with logarithmic bins. Each thread fills its own set; a set
/// may be read while it is filled.
class metric_set {
public:
    metric_set();
    metric_set(metric_set &&) noexcept;
    ~metric_set();

    /// Adds one value, clamped to the axis.
    auto fill(metric what, double value) -> void;

    /// Adds all counts of `other`.
    auto merge(const metric_set &other) -> void;

    /// Prometheus text of all histograms.
    auto to_prometheus() const -> std::string;

    /// JSON: for each metric its count and 50th, 99th and 99.9th
    /// percentile.
    auto to_json() const -> std::string;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack
