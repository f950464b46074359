#include "carried/admission/adaptive_limit.hpp"

#include <algorithm>
#include <cmath>

namespace dogwoodtrack::carried {

namespace {

/// Part of the target latency that requests may wait for a slot. The queue of
/// openings takes up to another quarter, so half remains for processing.
constexpr float queueing_fraction = 0.25F;
/// Concurrent requests per slot before anything is known: one is processed, and
/// every second slot has another waiting. With 2, upstreams rejected twice as
/// much at the beginning of a crowd.
constexpr float initial_room = 1.5F;
/// With less, slots would be idle while callers are refused.
constexpr float min_room = 1;
/// Larger queues at upstreams do not increase throughput.
constexpr float max_room = 4;
/// The bound that the target latency sets is at least this, because slots must
/// be kept busy.
constexpr float min_room_bound = 1.25F;
/// Part of the requests that upstreams may reject without a reduction. The
/// target is at most 5%.
constexpr float tolerated_rejections = 0.02F;
/// Bounds of a single reduction.
constexpr float min_cut = 0.05F;
constexpr float max_cut = 0.5F;
/// A queue that grew over several intervals asks for a small reduction only.
constexpr float max_delay_cut = 0.15F;
/// Overload that lasts for this time leads to a reduction. A limit shows in the
/// reports after two intervals of 250 ms, and rejections for as long again,
/// since upstreams reject requests after they have waited in a full queue.
constexpr milliseconds reduction_interval{1'000};
/// Samples with fewer outcomes are too noisy to judge by.
constexpr std::uint32_t min_outcomes = 10;
/// Rejections below this part of the slots or limit are failures, not overload.
constexpr float busy_fraction = 0.5F;
/// The limit counts as reached from this part of it on.
constexpr float reached_fraction = 0.7F;
/// The room returns quickly to this part of the ceiling and probes from there.
constexpr float safe_fraction = 0.95F;
/// Time constant of this return.
constexpr float recovery_s = 0.5F;
/// Growth of the room per second beyond the safe part of the ceiling. As in
/// CUBIC (RFC 9438) it accelerates: after t seconds without overload it is this
/// value times 1 + t^2.
constexpr float probing_per_s = 0.1F;
constexpr float max_acceleration_s = 3;
/// A room that was learned from overload is forgotten after the limit has not
/// been reached for this time.
constexpr milliseconds room_memory{2'000};
/// Time constant of the baseline's fall, and its relative rise per second. A
/// rise may come from queueing, a fall cannot.
constexpr float baseline_fall_s = 0.5F;
constexpr float baseline_rise_per_s = 0.05F;
/// A longer interval, for example after a pause of this process, counts as
/// this.
constexpr float max_interval_s = 2;

auto is_quantity(float value) -> bool {
    return std::isfinite(value) && value >= 0;
}

auto interval_s(const limit_sample &sample) -> float {
    const auto s = std::chrono::duration<float>(sample.interval).count();
    return std::clamp(s, 0.0F, max_interval_s);
}

auto has_outcomes(const limit_sample &sample) -> bool {
    return std::uint64_t{sample.answers} + sample.rejections >= min_outcomes;
}

auto rejected_part(const limit_sample &sample) -> float {
    const auto rejections = static_cast<float>(sample.rejections);
    const auto outcomes = static_cast<float>(sample.answers) + rejections;
    return outcomes > 0 ? rejections / outcomes : 0;
}

// Both the mean response time and the time that all slots together spend per
// answer are upper bounds of the service time: the first includes queueing, the
// second idle slots. The second one holds under overload, when every response
// has waited.
auto service_time_bound(const adaptive_limit &it, const limit_sample &sample)
    -> float {
    const auto slots = std::max(sample.slots, it.slots);
    const auto per_answer = slots *
                            static_cast<float>(sample.interval.count()) /
                            static_cast<float>(sample.answers);
    return per_answer > 0 ? std::min(sample.service_ms, per_answer)
                          : sample.service_ms;
}

auto update_baseline(adaptive_limit &it, const limit_sample &sample) -> void {
    if (sample.answers < min_outcomes || sample.service_ms <= 0)
        return;
    const auto bound = service_time_bound(it, sample);
    const auto s = interval_s(sample);
    // Rejections that have waited in a full queue pass for answers, so there
    // seem to be more answers than there are, and the bound is too low.
    const auto is_reliable = rejected_part(sample) <= tolerated_rejections;
    if (it.baseline_ms <= 0)
        it.baseline_ms = bound;
    else if (bound >= it.baseline_ms)
        it.baseline_ms =
            std::min(bound, it.baseline_ms * (1 + baseline_rise_per_s * s));
    else if (is_reliable)
        it.baseline_ms +=
            (bound - it.baseline_ms) * (1 - std::exp(-s / baseline_fall_s));
}

auto queueing_allowance_ms(const limit_sample &sample) -> float {
    return queueing_fraction *
           static_cast<float>(sample.target_latency.count());
}

auto room_bound(const adaptive_limit &it, const limit_sample &sample) -> float {
    if (it.baseline_ms <= 0 || sample.target_latency <= milliseconds{0})
        return initial_room;
    return std::clamp(1 + queueing_allowance_ms(sample) / it.baseline_ms,
                      min_room_bound, max_room);
}

// Part by which the room has to be reduced, 0 without signs of overload.
auto required_cut(const adaptive_limit &it, const limit_sample &sample,
                  float in_flight) -> float {
    if (!has_outcomes(sample) ||
        in_flight < busy_fraction * std::min(sample.slots, it.limit))
        return 0;
    const auto rejected = rejected_part(sample);
    if (rejected > tolerated_rejections)
        return std::clamp(rejected, min_cut, max_cut);
    const auto allowed_ms = it.baseline_ms + queueing_allowance_ms(sample);
    // Without a full set of slots, slow answers are not a sign of queueing.
    if (sample.target_latency <= milliseconds{0} || in_flight < sample.slots ||
        sample.service_ms <= allowed_ms)
        return 0;
    return std::clamp(1 - allowed_ms / sample.service_ms, min_cut,
                      max_delay_cut);
}

// Lower limit of the room. Requests on established flows cannot be refused, so
// their rejection does not show how many new flows the upstreams bear.
auto lowest_room(const limit_sample &sample) -> float {
    return std::max(min_room,
                    std::min(initial_room, sample.established / sample.slots));
}

auto reduce(adaptive_limit &it, const limit_sample &sample, float cut,
            float reached, time_point now) -> void {
    // The overload occurred at the concurrency reached, which may be far below
    // a limit that did not bind. Requests under way are counted at the end of
    // an interval, and there may have been more of them within it.
    constexpr float snapshot_margin = 1.1F;
    const auto base = std::min(it.room, reached * snapshot_margin);
    const auto lowest = lowest_room(sample);
    it.room = std::max(lowest, base * (1 - cut));
    it.ceiling = std::max(lowest, base * (1 - cut / 2));
    it.overloaded_since = now;
    it.probing_since = {};
}

// Growth of the room in this interval while the limit is reached.
auto probing_step(adaptive_limit &it, float interval, time_point now) -> float {
    if (it.probing_since == time_point{})
        it.probing_since = now;
    const auto t =
        std::min(max_acceleration_s,
                 std::chrono::duration<float>(now - it.probing_since).count());
    return probing_per_s * (1 + t * t) * interval;
}

// Without a crowd, the overload that was seen before says little about the next
// one: upstreams may have failed or been slow then.
auto forget_overload(adaptive_limit &it, time_point now) -> void {
    it.probing_since = {};
    if (it.unreached_since == time_point{})
        it.unreached_since = now;
    if (now - it.unreached_since < room_memory)
        return;
    it.room = std::max(it.room, initial_room);
    it.ceiling = 0;
}

auto grow(adaptive_limit &it, const limit_sample &sample, float in_flight,
          time_point now) -> void {
    const auto s = interval_s(sample);
    const auto safe = it.ceiling * safe_fraction;
    const auto recovery = (safe - it.room) * (1 - std::exp(-s / recovery_s));
    const auto is_reached = in_flight >= reached_fraction * it.limit;
    if (is_reached)
        it.unreached_since = {};
    else
        forget_overload(it, now);
    if (it.room < safe)
        it.room += std::max(probing_per_s * s, recovery);
    else if (is_reached)
        it.room += probing_step(it, s, now);
}

auto adapt_room(adaptive_limit &it, const limit_sample &sample, time_point now)
    -> void {
    const auto in_flight = std::max(sample.in_flight, it.in_flight);
    const auto cut = required_cut(it, sample, in_flight);
    if (cut == 0) {
        it.overloaded_since = {};
        if (has_outcomes(sample))
            grow(it, sample, in_flight, now);
        return;
    }
    it.probing_since = {};
    it.unreached_since = {};
    if (it.overloaded_since == time_point{})
        it.overloaded_since = now;
    if (now - it.overloaded_since >= reduction_interval)
        reduce(it, sample, cut, in_flight / sample.slots, now);
}

} // namespace

auto update_limit(adaptive_limit &it, const limit_sample &sample,
                  time_point now) -> float {
    if (!is_quantity(sample.slots) || !is_quantity(sample.in_flight) ||
        !is_quantity(sample.established) || !is_quantity(sample.service_ms))
        return it.limit;
    update_baseline(it, sample);
    if (it.room <= 0)
        it.room = initial_room;
    if (sample.slots > 0 && it.limit > 0)
        adapt_room(it, sample, now);
    it.room = std::min(it.room, room_bound(it, sample));
    it.limit = sample.slots * it.room;
    it.slots = sample.slots;
    it.in_flight = sample.in_flight;
    it.updated = now;
    return it.limit;
}

} // namespace dogwoodtrack::carried
