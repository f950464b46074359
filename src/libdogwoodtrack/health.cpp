#include "health.hpp"

#include <algorithm>

namespace dogwoodtrack {

namespace {

// An upstream may be ejected only if at least this many openings have failed
// since the previous check.
constexpr std::uint32_t failures_to_eject = 3;
constexpr milliseconds ejection_time{10'000};
constexpr milliseconds slow_start_time{10'000};
// Fraction of the full weight with which the slow start begins.
constexpr double slow_start_initial_fraction = 0.1;
// Largest change of a weight at one check, and smallest weight of a slow
// upstream, in units of 1/`upstream_load::full_weight`.
constexpr std::uint32_t weight_step = 16;
constexpr std::uint32_t min_weight = 64;
// The weight of an upstream is reduced if its answer time exceeds this multiple
// of the median plus `ignored_delay_us`.
constexpr double max_slowdown = 2.0;
// Smaller differences are due to scheduling rather than to the upstream.
constexpr double ignored_delay_us = 20'000;
// Largest fraction of the capacity in service that may be ejected.
constexpr double max_ejected_fraction = 0.5;

// Observations of one upstream since the previous check.
struct upstream_sample {
    const upstream_route *upstream;
    health_state *health;
    std::uint32_t failures; ///< openings retransmitted or reset
    std::uint32_t answers;  ///< openings answered
};

auto take_sample(blackboard &board, const service_route &service,
                 const upstream_route &it) -> upstream_sample {
    auto &health = board.health[route_key(it.address, service.protocol)];
    const auto retransmitted = it.load->retransmitted.load();
    const auto reset = it.load->reset.load();
    const auto answered = it.load->answered.load();
    const upstream_sample sample{.upstream = &it,
                                 .health = &health,
                                 .failures =
                                     (retransmitted - health.retransmitted) +
                                     (reset - health.reset),
                                 .answers = answered - health.answered};
    health.retransmitted = retransmitted;
    health.reset = reset;
    health.answered = answered;
    return sample;
}

auto is_failing(const upstream_sample &it) -> bool {
    return it.failures >= failures_to_eject && it.failures > it.answers;
}

auto median_answer_us(const std::vector<upstream_sample> &samples) -> double {
    std::vector<std::uint32_t> times;
    for (const auto &it : samples) {
        if (const auto us = it.upstream->load->answer_us.load(); us > 0)
            times.push_back(us);
    }
    if (times.empty())
        return 0;
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

// Moves the weight towards `wanted` by at most `weight_step`.
auto step_weight(const upstream_route &it, std::uint32_t wanted) -> void {
    const auto current = it.load->weight.load();
    const auto low = current > weight_step ? current - weight_step : 1;
    it.load->weight.store(std::clamp(wanted, low, current + weight_step));
}

auto wanted_weight(const upstream_sample &it, double median) -> std::uint32_t {
    const double us = it.upstream->load->answer_us.load();
    const auto tolerated_us = median * max_slowdown + ignored_delay_us;
    if (median <= 0 || us <= tolerated_us)
        return upstream_load::full_weight;
    const auto fraction = tolerated_us / us;
    return std::max(min_weight, static_cast<std::uint32_t>(
                                    upstream_load::full_weight * fraction));
}

auto eject(blackboard &board, const upstream_sample &it, time_point now)
    -> void {
    it.health->ejected = true;
    it.health->ejected_until = now + ejection_time;
    it.upstream->load->weight.store(0);
    board.events->record(event_kind::upstream_ejected, it.upstream->name, 0,
                         std::to_string(it.failures) + " openings failed");
}

auto return_to_service(blackboard &board, const upstream_sample &it,
                       time_point now) -> void {
    it.health->ejected = false;
    it.health->returned_at = now;
    board.events->record(event_kind::upstream_returned, it.upstream->name);
}

// Whether the upstreams that would remain after an ejection of `excluded`
// suffice. These are the other upstreams that are in service and not ejected.
// The sum of their limits has to exceed the number of open flows at all
// upstreams in service, and their capacity has to be at least
// 1 - `max_ejected_fraction` of the capacity of all upstreams in service.
auto others_have_capacity(const std::vector<upstream_sample> &samples,
                          const upstream_sample &excluded) -> bool {
    double capacity = 0;
    double remaining_capacity = 0;
    std::uint64_t open = 0;
    std::uint64_t remaining_limit = 0;
    for (const auto &it : samples) {
        if (!it.upstream->in_service)
            continue;
        capacity += it.upstream->capacity;
        open += it.upstream->load->open.load();
        if (it.health->ejected || it.upstream == excluded.upstream)
            continue;
        remaining_capacity += it.upstream->capacity;
        remaining_limit += it.upstream->limit;
    }
    return remaining_capacity >= capacity * (1 - max_ejected_fraction) &&
           remaining_limit > open;
}

auto in_slow_start(const upstream_sample &it, time_point now) -> bool {
    return it.health->returned_at != time_point{} &&
           now - it.health->returned_at < slow_start_time;
}

// Raises the weight linearly with the time since the end of the ejection.
auto ramp_weight(const upstream_sample &it, time_point now) -> void {
    const std::chrono::duration<double> since = now - it.health->returned_at;
    const std::chrono::duration<double> total = slow_start_time;
    const auto fraction = slow_start_initial_fraction +
                          (1 - slow_start_initial_fraction) * (since / total);
    it.upstream->load->weight.store(
        static_cast<std::uint32_t>(upstream_load::full_weight * fraction));
}

auto update_upstreams(blackboard &board,
                      const std::vector<upstream_sample> &samples,
                      time_point now) -> void {
    const auto failing =
        std::count_if(samples.begin(), samples.end(), is_failing);
    const auto all_failing =
        failing == static_cast<std::ptrdiff_t>(samples.size());
    const auto median = median_answer_us(samples);
    for (const auto &it : samples) {
        if (it.health->ejected) {
            if (now >= it.health->ejected_until)
                return_to_service(board, it, now);
            continue;
        }
        if (is_failing(it) && !all_failing && others_have_capacity(samples, it))
            eject(board, it, now);
        else if (in_slow_start(it, now))
            ramp_weight(it, now);
        else
            step_weight(*it.upstream, wanted_weight(it, median));
    }
}

} // namespace

auto tick_health(blackboard &board, time_point now) -> void {
    const auto view = board.view;
    if (!view)
        return;
    for (const auto &service : view->services) {
        for (const auto &domain : service.domains) {
            if (domain.owner != board.self.id)
                continue;
            std::vector<upstream_sample> samples;
            for (const auto index : domain.upstreams)
                samples.push_back(
                    take_sample(board, service, view->upstreams[index]));
            update_upstreams(board, samples, now);
        }
    }
}

auto find_exhausted_services(const blackboard &board)
    -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> exhausted;
    if (!board.view)
        return exhausted;
    const auto has_room = [&](std::uint32_t index) {
        const auto &it = board.view->upstreams[index];
        return it.in_service && it.load->weight.load() > 0 &&
               it.load->open.load() < it.limit;
    };
    for (const auto &service : board.view->services) {
        for (const auto &domain : service.domains) {
            if (domain.owner == board.self.id &&
                std::none_of(domain.upstreams.begin(), domain.upstreams.end(),
                             has_room))
                exhausted.push_back(service.id);
        }
    }
    return exhausted;
}

} // namespace dogwoodtrack
