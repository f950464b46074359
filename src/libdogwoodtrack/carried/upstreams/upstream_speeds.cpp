#include "carried/upstreams/upstream_speeds.hpp"

#include <algorithm>
#include <cmath>

namespace dogwoodtrack::carried {

namespace {

/// Interval that the step bounds below refer to.
constexpr float step_interval_ms = 250;
constexpr float max_fall = 0.5F;
/// An upstream that is fast again gets more only as its answers confirm it: at
/// this pace it takes four seconds to regain six times its work.
constexpr float max_rise = 1.1F;
constexpr float min_speed = 0.1F;
constexpr float max_speed = 4;
/// Answers at speed 1 that are added to those of each upstream.
constexpr float prior_answers = 6;
/// Weight of an upstream in the mean is its number of answers, at most this.
constexpr float max_weight = 8;
constexpr float recent_half_life_ms = 500;
constexpr float earlier_half_life_ms = 3'000;
/// `recent` replaces `earlier` when they differ by this many standard
/// deviations. With response times distributed exponentially, a smaller value
/// found changes of speed in noise.
constexpr float change_threshold = 3.5F;
/// Part of the target latency that a request may spend at the upstream.
constexpr float latency_share = 0.5F;
/// More requests waiting for each slot would keep it no busier.
constexpr float max_room = 2;
constexpr float room_after_rejection = 0.8F;
constexpr float room_growth = 1.05F;

auto decay(float half_life_ms, float elapsed_ms) -> float {
    return std::exp2(-elapsed_ms / half_life_ms);
}

auto mean_of(const response_sum &it) -> float {
    return it.answers > 0 ? it.ms / it.answers : 0;
}

// Moves the aged part of `recent` to `earlier`.
auto age_answers(upstream_speed &it, float elapsed_ms) -> void {
    const auto kept = decay(recent_half_life_ms, elapsed_ms);
    const auto kept_earlier = decay(earlier_half_life_ms, elapsed_ms);
    it.earlier.answers =
        it.earlier.answers * kept_earlier + it.recent.answers * (1 - kept);
    it.earlier.ms = it.earlier.ms * kept_earlier + it.recent.ms * (1 - kept);
    it.recent.answers *= kept;
    it.recent.ms *= kept;
}

// Requests that were already under way at the end of the previous interval and
// none of which was answered since: what they have waited counts, although the
// time to their answer is not known yet.
auto count_unanswered(upstream_speed &it, const upstream_load &load,
                      float elapsed_ms) -> void {
    if (load.answers > 0 || load.in_flight == 0)
        it.unanswered_ms = 0;
    else
        it.unanswered_ms +=
            elapsed_ms *
            static_cast<float>(std::min(load.in_flight, it.in_flight));
    it.in_flight = load.in_flight;
}

auto add_load(upstream_speed &it, const upstream_load &load, float elapsed_ms)
    -> void {
    count_unanswered(it, load, elapsed_ms);
    const auto answers = static_cast<float>(load.answers);
    if (load.service_ms > 0 && std::isfinite(load.service_ms)) {
        it.recent.answers += answers;
        it.recent.ms += answers * load.service_ms;
    }
    if (load.rejections > 0)
        it.room = std::max(1.0F, it.room * room_after_rejection);
    else
        it.room = std::min(max_room, it.room * room_growth);
}

// Forgets the earlier answers if the recent ones show another speed.
auto detect_change(upstream_speed &it) -> void {
    const auto recent_ms = mean_of(
        {.answers = it.recent.answers, .ms = it.recent.ms + it.unanswered_ms});
    const auto earlier_ms = mean_of(it.earlier);
    if (recent_ms <= 0 || earlier_ms <= 0)
        return;
    // The logarithm of the mean of n such times has a variance of about 1 / n.
    const auto variance = 1 / it.recent.answers + 1 / it.earlier.answers;
    const auto deviation =
        std::abs(std::log(recent_ms / earlier_ms)) / std::sqrt(variance);
    if (deviation >= change_threshold)
        it.earlier = {};
}

auto total_of(const upstream_speed &it) -> response_sum {
    return {.answers = it.recent.answers + it.earlier.answers,
            .ms = it.recent.ms + it.earlier.ms + it.unanswered_ms};
}

// Response time of an upstream with the mean speed. The mean is taken of the
// speeds, not of the times, so that it stays close to that of most upstreams
// when some are much slower.
auto mean_response_time(const speed_table &table) -> float {
    float speeds = 0;
    float weights = 0;
    for (const auto &[code, it] : table.all) {
        const auto total = total_of(it);
        if (total.answers < 1 || total.ms <= 0)
            continue;
        const auto weight = std::min(total.answers, max_weight);
        speeds += weight * total.answers / total.ms;
        weights += weight;
    }
    return speeds > 0 ? weights / speeds : 0;
}

auto update_speed(upstream_speed &it, float mean_ms, float elapsed_ms) -> void {
    if (mean_ms <= 0)
        return;
    const auto total = total_of(it);
    const auto expected_ms =
        (total.ms + mean_ms * prior_answers) / (total.answers + prior_answers);
    const auto steps = elapsed_ms / step_interval_ms;
    const auto speed =
        std::clamp(mean_ms / expected_ms, it.speed * std::pow(max_fall, steps),
                   it.speed * std::pow(max_rise, steps));
    it.speed = std::clamp(speed, min_speed, max_speed);
}

auto note_change(speed_table &table, std::uint32_t code, upstream_speed &it)
    -> void {
    const auto slow = it.speed < (it.slow ? recovered_speed : slow_speed);
    if (slow == it.slow)
        return;
    it.slow = slow;
    table.changes.push_back({.code = code,
                             .slow = slow,
                             .speed = it.speed,
                             .response_ms = mean_of(total_of(it)),
                             .mean_ms = table.mean_ms});
}

// Slots x speed x room. The slots of a slow upstream are all used as long as it
// answers in time, since capacity may be short; otherwise it gets at least one
// request at a time, which shows when it is faster.
auto limit_of(const speed_table &table, const upstream_speed &it)
    -> std::uint16_t {
    constexpr float largest = 60'000;
    const auto allowed_ms =
        latency_share * static_cast<float>(table.target_latency.count());
    const auto bounded = table.mean_ms > 0 && allowed_ms > 0;
    const auto room =
        bounded ? std::min(it.room, std::max(1.0F, allowed_ms / table.mean_ms))
                : it.room;
    const auto slots = static_cast<float>(it.slots);
    const auto in_time =
        !bounded || table.mean_ms / it.speed <= allowed_ms ? slots : 1.0F;
    const auto limit = std::round(slots * it.speed * room);
    return static_cast<std::uint16_t>(
        std::clamp(limit, std::max(1.0F, in_time), largest));
}

} // namespace

auto track_upstreams(speed_table &table, const upstream_table &upstreams,
                     service_key service) -> void {
    for (auto &[code, it] : table.all)
        it.tracked = false;
    const auto found = upstreams.placeable.find(service);
    if (found != upstreams.placeable.end()) {
        for (const auto index : found->second) {
            const auto &one = upstreams.all[index];
            auto &it = table.all[one.code];
            it.slots = std::max<std::uint16_t>(1, one.record.slots);
            it.room = it.room > 0 ? it.room : max_room;
            it.tracked = true;
        }
    }
    boost::unordered::erase_if(
        table.all, [](const auto &one) { return !one.second.tracked; });
}

auto compute_speeds(speed_table &table,
                    const std::vector<upstream_load> &summed,
                    milliseconds interval) -> std::vector<upstream_plan> {
    const auto elapsed_ms =
        static_cast<float>(std::max<std::int64_t>(1, interval.count()));
    boost::unordered_flat_map<std::uint32_t, const upstream_load *> loads;
    for (const auto &one : summed)
        loads.emplace(one.code, &one);
    const upstream_load idle;
    for (auto &[code, it] : table.all) {
        const auto found = loads.find(code);
        age_answers(it, elapsed_ms);
        add_load(it, found == loads.end() ? idle : *found->second, elapsed_ms);
        detect_change(it);
    }
    table.mean_ms = mean_response_time(table);
    std::vector<upstream_plan> plan;
    plan.reserve(table.all.size());
    for (auto &[code, it] : table.all) {
        update_speed(it, table.mean_ms, elapsed_ms);
        note_change(table, code, it);
        plan.push_back(
            {.code = code, .speed = it.speed, .limit = limit_of(table, it)});
    }
    std::sort(plan.begin(), plan.end(),
              [](const auto &a, const auto &b) { return a.code < b.code; });
    return plan;
}

} // namespace dogwoodtrack::carried
