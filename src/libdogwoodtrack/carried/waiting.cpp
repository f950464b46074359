#include "waiting.hpp"

#include <algorithm>
#include <array>

namespace dogwoodtrack::carried {

namespace {

/// A caller sends copies of its opening packet so long after the first.
constexpr std::array copy_delays{milliseconds{0}, milliseconds{200},
                                 milliseconds{600}};

auto goes_before(const waiting_packet &a, const waiting_packet &b) -> bool {
    if (a.head.opens != b.head.opens)
        return b.head.opens;
    return a.began > b.began;
}

auto is_copy(const waiting_packet &a, const waiting_packet &b) -> bool {
    return a.head.opens && b.head.opens && a.head.ends == b.head.ends;
}

} // namespace

auto attempt_began(std::uint32_t copy, time_point now) -> time_point {
    const auto index = std::min<std::size_t>(copy, copy_delays.size() - 1);
    return now - copy_delays[index];
}

auto add_waiting(waiting_room &room, waiting_packet packet) -> void {
    const auto same = [&](const waiting_packet &it) {
        return is_copy(it, packet);
    };
    if (std::any_of(room.all.begin(), room.all.end(), same))
        return;
    if (room.all.size() >= room.limit) {
        room.all.pop_back();
        ++room.overflowed;
    }
    const auto at =
        std::upper_bound(room.all.begin(), room.all.end(), packet, goes_before);
    room.all.insert(at, std::move(packet));
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
