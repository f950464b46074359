#include "carried/flows/hold_queue.hpp"

#include <algorithm>
#include <array>

namespace dogwoodtrack::carried {

namespace {

/// Delay of each retransmission of an opening packet after the first packet of
/// the attempt, by the number of the retransmission (0 is the first packet).
constexpr std::array retransmission_delays{milliseconds{0}, milliseconds{200},
                                           milliseconds{600}};

auto has_priority(const held_packet &a, const held_packet &b) -> bool {
    if (a.header.opens != b.header.opens)
        return b.header.opens;
    return a.attempt_started > b.attempt_started;
}

auto is_same_opening(const held_packet &a, const held_packet &b) -> bool {
    return a.header.opens && b.header.opens &&
           a.header.endpoints == b.header.endpoints;
}

} // namespace

auto attempt_start(std::uint32_t retransmission, time_point now) -> time_point {
    const auto index =
        std::min<std::size_t>(retransmission, retransmission_delays.size() - 1);
    return now - retransmission_delays[index];
}

auto hold_packet(hold_queue &queue, held_packet packet) -> void {
    const auto same = [&](const held_packet &it) {
        return is_same_opening(it, packet);
    };
    if (std::any_of(queue.all.begin(), queue.all.end(), same))
        return;
    if (queue.all.size() >= queue.limit) {
        queue.all.pop_back();
        ++queue.overflowed;
    }
    const auto at = std::upper_bound(queue.all.begin(), queue.all.end(), packet,
                                     has_priority);
    queue.all.insert(at, std::move(packet));
}

auto take_expired(hold_queue &queue, time_point now)
    -> std::vector<held_packet> {
    const auto first = std::stable_partition(
        queue.all.begin(), queue.all.end(), [&](const held_packet &it) {
            return now - it.attempt_started <
                   connect_timeout - handshake_allowance;
        });
    std::vector<held_packet> expired(std::make_move_iterator(first),
                                     std::make_move_iterator(queue.all.end()));
    queue.all.erase(first, queue.all.end());
    return expired;
}

} // namespace dogwoodtrack::carried
