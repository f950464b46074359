#include "health.hpp"

#include <algorithm>

namespace dogwoodtrack {

namespace {

constexpr std::uint32_t failures_to_eject = 3;
constexpr milliseconds ejection{10'000};
constexpr milliseconds slow_start{10'000};
constexpr double slow_start_floor = 0.1;
constexpr std::uint32_t weight_step = 16;
constexpr std::uint32_t weight_floor = 64;
// Multiple of the median answer time above which the weight is reduced.
constexpr double tolerated_slowness = 2.0;
// Smaller differences are due to scheduling rather than to the upstream.
constexpr double tolerated_delay_us = 20'000;
constexpr double ejected_share_max = 0.5;

struct observation {
    const upstream_route *upstream;
    health_state *health;
    std::uint32_t failures;
    std::uint32_t answers;
};

auto observe(blackboard &board, const service_route &service,
             const upstream_route &it) -> observation {
    auto &health = board.health[route_key(it.address, service.protocol)];
    const auto retried = it.load->retried.load();
    const auto reset = it.load->reset.load();
    const auto answered = it.load->answered.load();
    const observation seen{.upstream = &it,
                           .health = &health,
                           .failures = (retried - health.retried) +
                                       (reset - health.reset),
                           .answers = answered - health.answered};
    health.retried = retried;
    health.reset = reset;
    health.answered = answered;
    return seen;
}

auto looks_ill(const observation &it) -> bool {
    return it.failures >= failures_to_eject && it.failures > it.answers;
}

auto median_answer(const std::vector<observation> &all) -> double {
    std::vector<std::uint32_t> times;
    for (const auto &it : all) {
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

// Moves the weight towards the wanted one by at most one step.
auto step_weight(const upstream_route &it, std::uint32_t wanted) -> void {
    const auto now = it.load->weight.load();
    const auto low = now > weight_step ? now - weight_step : 1;
    it.load->weight.store(std::clamp(wanted, low, now + weight_step));
}

auto wanted_weight(const observation &it, double median) -> std::uint32_t {
    const double us = it.upstream->load->answer_us.load();
    const auto tolerated = median * tolerated_slowness + tolerated_delay_us;
    if (median <= 0 || us <= tolerated)
        return upstream_load::full_weight;
    const auto share = tolerated / us;
    return std::max(weight_floor, static_cast<std::uint32_t>(
                                      upstream_load::full_weight * share));
}

auto eject(blackboard &board, const observation &it, time_point now) -> void {
    it.health->ejected = true;
    it.health->ejected_until = now + ejection;
    it.upstream->load->weight.store(0);
    board.events->record(event_kind::upstream_ejected, it.upstream->name, 0,
                         std::to_string(it.failures) + " openings failed");
}

auto bring_back(blackboard &board, const observation &it, time_point now)
    -> void {
    it.health->ejected = false;
    it.health->returned = now;
    board.events->record(event_kind::upstream_returned, it.upstream->name);
}

// Whether the other upstreams have capacity for all open flows.
auto rest_suffices(const std::vector<observation> &all,
                   const observation &without) -> bool {
    double capacity = 0;
    double kept = 0;
    std::uint64_t open = 0;
    std::uint64_t room = 0;
    for (const auto &it : all) {
        if (!it.upstream->in_service)
            continue;
        capacity += it.upstream->capacity;
        open += it.upstream->load->open.load();
        if (it.health->ejected || it.upstream == without.upstream)
            continue;
        kept += it.upstream->capacity;
        room += it.upstream->limit;
    }
    return kept >= capacity * (1 - ejected_share_max) && room > open;
}

auto starts_slowly(const observation &it, time_point now) -> bool {
    return it.health->returned != time_point{} &&
           now - it.health->returned < slow_start;
}

auto ramp(const observation &it, time_point now) -> void {
    const std::chrono::duration<double> since = now - it.health->returned;
    const std::chrono::duration<double> whole = slow_start;
    const auto share =
        slow_start_floor + (1 - slow_start_floor) * (since / whole);
    it.upstream->load->weight.store(
        static_cast<std::uint32_t>(upstream_load::full_weight * share));
}

auto judge(blackboard &board, const std::vector<observation> &all,
           time_point now) -> void {
    const auto ill = std::count_if(all.begin(), all.end(), looks_ill);
    const auto all_ill = ill == static_cast<std::ptrdiff_t>(all.size());
    const auto median = median_answer(all);
    for (const auto &it : all) {
        if (it.health->ejected) {
            if (now >= it.health->ejected_until)
                bring_back(board, it, now);
            continue;
        }
        if (looks_ill(it) && !all_ill && rest_suffices(all, it))
            eject(board, it, now);
        else if (starts_slowly(it, now))
            ramp(it, now);
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
            std::vector<observation> all;
            for (const auto index : domain.upstreams)
                all.push_back(observe(board, service, view->upstreams[index]));
            judge(board, all, now);
        }
    }
}

auto find_exhausted_services(const blackboard &board)
    -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> troubled;
    if (!board.view)
        return troubled;
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
                troubled.push_back(service.id);
        }
    }
    return troubled;
}

} // namespace dogwoodtrack
