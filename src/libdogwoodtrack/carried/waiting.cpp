#include "waiting.hpp"

#include <algorithm>
#include <array>

namespace dogwoodtrack::carried {

namespace {

/// A caller sends copies of its opening packet so long after the first.
constexpr std::array copy_delays{milliseconds{0}, milliseconds{200},
                                 milliseconds{600}};
/// Packets become late while they wait: their order is renewed so often.
constexpr milliseconds order_kept{25};
/// Part of the expected latency that is left for the work itself.
constexpr int work_share = 2;

auto can_be_in_time(const waiting_packet &it, time_point now) -> bool {
    return (now - it.began) * work_share < it.target;
}

struct waiting_order {
    time_point now;

    auto operator()(const waiting_packet &a, const waiting_packet &b) const
        -> bool {
        if (a.head.opens != b.head.opens)
            return b.head.opens;
        const auto a_timely = can_be_in_time(a, now);
        if (a_timely != can_be_in_time(b, now))
            return a_timely;
        if (a.priority != b.priority)
            return a.priority < b.priority;
        return a.began < b.began;
    }
};

auto sort_room(waiting_room &room, time_point now) -> void {
    room.sorted = now;
    std::stable_sort(room.all.begin(), room.all.end(), waiting_order{now});
}

auto is_copy(const waiting_packet &a, const waiting_packet &b) -> bool {
    return a.head.opens && b.head.opens && a.head.ends == b.head.ends;
}


} // namespace

auto attempt_began(std::uint32_t copy, time_point now) -> time_point {
    const auto index = std::min<std::size_t>(copy, copy_delays.size() - 1);
    return now - copy_delays[index];
}

auto add_waiting(waiting_room &room, waiting_packet packet, time_point now)
    -> void {
    const auto same = [&](const waiting_packet &it) {
        return is_copy(it, packet);
    };
    if (std::any_of(room.all.begin(), room.all.end(), same))
        return;
    if (room.all.size() >= room.limit) {
        sort_room(room, now);
        room.all.pop_back();
        ++room.overflowed;
    }
    const auto at = std::upper_bound(room.all.begin(), room.all.end(), packet,
                                     waiting_order{now});
    room.all.insert(at, std::move(packet));
}

auto try_waiting(waiting_room &room, time_point now,
                 const std::function<waiting_outcome(waiting_packet &)> &attempt)
    -> void {
    if (now - room.sorted >= order_kept)
        sort_room(room, now);
    std::vector<service_key> full;
    std::size_t kept = 0;
    auto blocked = false;
    for (auto &it : room.all) {
        const auto is_full = std::find(full.begin(), full.end(), it.service) !=
                             full.end();
        auto outcome = waiting_outcome::no_state;
        if (!blocked && !is_full)
            outcome = attempt(it);
        if (outcome == waiting_outcome::done)
            continue;
        blocked |= outcome == waiting_outcome::no_state && !is_full;
        if (outcome == waiting_outcome::no_room)
            full.push_back(it.service);
        if (&room.all[kept] != &it)
            room.all[kept] = std::move(it);
        ++kept;
    }
    room.all.resize(kept);
}

auto take_hopeless(waiting_room &room, time_point now)
    -> std::vector<waiting_packet> {
    const auto first = std::stable_partition(
        room.all.begin(), room.all.end(), [&](const waiting_packet &it) {
            return now - it.began < attempt_longest - opening_time;
        });
    std::vector<waiting_packet> hopeless(
        std::make_move_iterator(first),
        std::make_move_iterator(room.all.end()));
    room.all.erase(first, room.all.end());
    return hopeless;
}

} // namespace dogwoodtrack::carried
