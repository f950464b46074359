#include "carried/admission/opening_queue.hpp"

#include <algorithm>
#include <utility>

namespace dogwoodtrack::carried {

namespace {

/// Callers send an opening again after 200 ms. The rest is for the way to the
/// upstream and back.
constexpr milliseconds max_queue_time{180};
constexpr int target_latency_divisor = 4;

/// Order in which openings are served.
struct serving_order {
    bool last_in_first_out = false;

    auto operator()(const queued_opening &a, const queued_opening &b) const
        -> bool {
        if (a.priority != b.priority)
            return a.priority < b.priority;
        if (last_in_first_out)
            return a.arrived > b.arrived;
        return a.due < b.due || (a.due == b.due && a.arrived < b.arrived);
    }
};

auto order_at(const opening_queue &queue, time_point now) -> serving_order {
    return {.last_in_first_out =
                !queue.all.empty() && now - queue.busy_since >= overload_time};
}

auto is_same_class(const queued_opening &a, const queued_opening &b) -> bool {
    return a.service == b.service && a.priority == b.priority;
}

auto is_same_caller(const queued_opening &a, const queued_opening &b) -> bool {
    return a.header.endpoints.caller.address ==
           b.header.endpoints.caller.address;
}

using opening_filter = std::function<bool(const queued_opening &)>;

// Queued opening that comes last in order among those that `competes` selects,
// or null.
auto find_last(opening_queue &queue, const opening_filter &competes,
               time_point now) -> queued_opening * {
    const auto order = order_at(queue, now);
    queued_opening *last = nullptr;
    for (auto &it : queue.all) {
        if (competes(it) && (last == nullptr || order(*last, it)))
            last = &it;
    }
    return last;
}

// Replaces the last opening in order among the new one and those that
// `competes` selects.
auto displace_last(opening_queue &queue, queued_opening &opening,
                   const opening_filter &competes, time_point now)
    -> queue_result {
    auto *last = find_last(queue, competes, now);
    if (last == nullptr || order_at(queue, now)(*last, opening))
        return {};
    return {.queued = true,
            .displaced = std::exchange(*last, std::move(opening))};
}

auto count_of_caller(const opening_queue &queue, const queued_opening &like)
    -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        queue.all.begin(), queue.all.end(), [&](const queued_opening &it) {
            return is_same_class(it, like) && is_same_caller(it, like);
        }));
}

// Displaces an opening of the same class: of the same caller if that has
// reached its number, else of one that exceeds it, else of any.
auto displace_in_class(opening_queue &queue, queued_opening &opening,
                       std::size_t same_caller, time_point now)
    -> queue_result {
    if (count_of_caller(queue, opening) >= same_caller) {
        auto result = displace_last(
            queue, opening,
            [&](const queued_opening &it) {
                return is_same_class(it, opening) &&
                       is_same_caller(it, opening);
            },
            now);
        result.caller_cap = true;
        return result;
    }
    auto *excess = find_last(
        queue,
        [&](const queued_opening &it) {
            return is_same_class(it, opening) &&
                   count_of_caller(queue, it) > same_caller;
        },
        now);
    if (excess != nullptr)
        return {.queued = true,
                .caller_cap = true,
                .displaced = std::exchange(*excess, std::move(opening))};
    return displace_last(
        queue, opening,
        [&](const queued_opening &it) { return is_same_class(it, opening); },
        now);
}

} // namespace

auto queue_time(milliseconds target_latency) -> milliseconds {
    if (target_latency <= milliseconds{0})
        return max_queue_time;
    return std::min(max_queue_time, target_latency / target_latency_divisor);
}

auto queue_opening(opening_queue &queue, queued_opening opening,
                   const queue_room &room, time_point now) -> queue_result {
    std::size_t in_class = 0;
    for (const auto &it : queue.all) {
        if (it.header.endpoints == opening.header.endpoints)
            return {.queued = true};
        in_class += is_same_class(it, opening) ? 1 : 0;
    }
    if (room.same_class == 0)
        return {};
    if (in_class >= room.same_class)
        return displace_in_class(queue, opening, room.same_caller, now);
    if (queue.all.size() >= queue.limit)
        return displace_last(
            queue, opening, [](const queued_opening &) { return true; }, now);
    if (queue.all.empty())
        queue.busy_since = now;
    queue.all.push_back(std::move(opening));
    return {.queued = true};
}

auto store_queued_packet(opening_queue &queue, const flow_endpoints &endpoints,
                         std::span<const std::uint8_t> packet) -> void {
    for (auto &it : queue.all) {
        if (it.header.endpoints == endpoints && it.bytes.empty())
            it.bytes.assign(packet.begin(), packet.end());
    }
}

auto serve_queue(opening_queue &queue,
                 const std::function<bool(queued_opening &)> &decide,
                 time_point now) -> void {
    std::sort(queue.all.begin(), queue.all.end(), order_at(queue, now));
    std::vector<queued_opening> kept;
    for (auto &it : queue.all) {
        if (!decide(it))
            kept.push_back(std::move(it));
    }
    queue.all = std::move(kept);
}

auto next_queue_deadline(const opening_queue &queue) -> time_point {
    auto next = time_point::max();
    for (const auto &it : queue.all)
        next = std::min(next, it.deadline);
    return next;
}

} // namespace dogwoodtrack::carried
