#include "dogwoodtrack/metrics.hpp"

#include <array>
#include <vector>

#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dogwoodtrack {

namespace {

namespace bh = boost::histogram;

constexpr unsigned bin_count = 48;
constexpr auto metric_count = static_cast<std::size_t>(metric::count);

struct metric_axis {
    const char *name;
    double low;
    double high;
};

constexpr std::array<metric_axis, metric_count> axes{
    metric_axis{"decision_time_ns", 10, 1e7},
    metric_axis{"batch_time_us", 1, 1e6},
    metric_axis{"batch_size", 1, 128},
    metric_axis{"relay_hops", 1, 16},
    metric_axis{"answer_time_ms", 0.1, 1e5},
    metric_axis{"spread_time_ms", 0.1, 1e5}};

using axis_type = bh::axis::regular<double, bh::axis::transform::log>;
using storage_type = bh::dense_storage<bh::accumulators::count<double, true>>;
using histogram_type = bh::histogram<std::tuple<axis_type>, storage_type>;

auto make_histogram(const metric_axis &axis) -> histogram_type {
    return {std::make_tuple(axis_type(bin_count, axis.low, axis.high)),
            storage_type{}};
}

auto total_count(const histogram_type &it) -> double {
    double sum = 0;
    for (auto &&cell : bh::indexed(it, bh::coverage::all))
        sum += cell->value();
    return sum;
}

auto percentile(const histogram_type &it, double fraction) -> double {
    const auto target_count = total_count(it) * fraction;
    double sum = 0;
    double value = 0;
    for (auto &&cell : bh::indexed(it, bh::coverage::all)) {
        sum += cell->value();
        value = cell.bin().lower();
        if (sum >= target_count)
            break;
    }
    return value;
}

} // namespace

struct metric_set::state {
    std::vector<histogram_type> histograms;
};

metric_set::metric_set() : state_(std::make_unique<state>()) {
    for (const auto &it : axes)
        state_->histograms.push_back(make_histogram(it));
}

metric_set::metric_set(metric_set &&) noexcept = default;
metric_set::~metric_set() = default;

auto metric_set::fill(metric what, double value) -> void {
    state_->histograms[static_cast<std::size_t>(what)](value);
}

auto metric_set::merge(const metric_set &other) -> void {
    for (std::size_t i = 0; i < metric_count; ++i)
        state_->histograms[i] += other.state_->histograms[i];
}

auto metric_set::to_prometheus() const -> std::string {
    std::string out;
    for (std::size_t i = 0; i < metric_count; ++i) {
        const std::string name = std::string("dogwoodtrack_") + axes[i].name;
        out += fmt::format("# TYPE {} histogram\n", name);
        double sum = 0;
        for (auto &&cell :
             bh::indexed(state_->histograms[i], bh::coverage::all)) {
            sum += cell->value();
            if (cell.index() < static_cast<int>(bin_count))
                out += fmt::format("{}_bucket{{le=\"{:.4g}\"}} {}\n", name,
                                   cell.bin().upper(), sum);
        }
        out += fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_count {1}\n",
                           name, sum);
    }
    return out;
}

auto metric_set::to_json() const -> std::string {
    nlohmann::ordered_json root;
    for (std::size_t i = 0; i < metric_count; ++i) {
        const auto &it = state_->histograms[i];
        root[axes[i].name] = {{"count", total_count(it)},
                              {"p50", percentile(it, 0.5)},
                              {"p99", percentile(it, 0.99)},
                              {"p999", percentile(it, 0.999)}};
    }
    return root.dump();
}

} // namespace dogwoodtrack
