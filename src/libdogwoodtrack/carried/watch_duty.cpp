#include "watch_duty.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Unconfirmed for so long, a feed is watched by the next in the order.
constexpr milliseconds takeover_after{1'700};
/// Each further rank waits so much longer.
constexpr milliseconds takeover_step{150};
constexpr std::size_t takeover_ranks = 12;
/// Peers get this time to answer a balancer that has just started.
constexpr milliseconds peers_first{20};
/// When all start together nobody can answer, and they take turns.
constexpr std::uint64_t first_start_spread_ms = 400;
/// Changes are gathered for this time before the next watch.
constexpr milliseconds gather{200};
/// Shortest time between two calls, should the store not wait.
constexpr milliseconds calls_apart{20};
constexpr milliseconds retry_first{150};
constexpr milliseconds retry_longest{1'500};
constexpr unsigned retry_doublings = 4;
/// A list that is needed while peers can't help is tried more often.
constexpr milliseconds retry_without_state{400};

auto call_of(board &it, feed what) -> call_state & {
    return it.calls[static_cast<std::size_t>(what)];
}

auto start_delay(const board &it) -> milliseconds {
    if (!it.first_start)
        return it.peers_empty ? milliseconds{0} : peers_first;
    const auto spread = hash_pair(it.members.self.address, 2);
    return peers_first + milliseconds{static_cast<std::int64_t>(
                             spread % first_start_spread_ms)};
}

auto takeover_delay(std::size_t rank) -> milliseconds {
    const auto steps = std::min(rank, takeover_ranks);
    return takeover_after +
           takeover_step * static_cast<std::int64_t>(steps - watchers);
}

// A balancer that took over goes on until others confirm the feed again.
auto still_needed(const feed_version &own, const call_state &call) -> bool {
    return call.took_over && own.confirmed <= call.succeeded;
}

auto has_duty(board &it, feed what, time_point now) -> bool {
    const auto &own = version_of(it, what);
    auto &call = call_of(it, what);
    if (own.as_of == 0)
        return now - it.started >= start_delay(it);
    const auto rank = watch_rank(it.members, now);
    if (rank < watchers) {
        call.took_over = false;
        return true;
    }
    if (still_needed(own, call))
        return true;
    call.took_over = now - own.confirmed >= takeover_delay(rank);
    return call.took_over;
}

auto retry_delay(board &it, const call_state &call) -> milliseconds {
    const auto doublings = std::min(call.failures - 1, retry_doublings);
    auto delay = std::min(retry_first * (1 << doublings), retry_longest);
    if (!can_serve(it))
        delay = std::min(delay, retry_without_state);
    const auto jitter = it.members.random() % 50;
    return delay + delay * jitter / 100;
}

} // namespace

auto next_call(board &it, feed what, time_point now)
    -> std::optional<store_call> {
    auto &call = call_of(it, what);
    if (call.under_way || now < call.not_before || !has_duty(it, what, now))
        return std::nullopt;
    call.under_way = true;
    ++it.counters.store_calls;
    const auto &own = version_of(it, what);
    // State that came from peers is watched from where they stand.
    if (call.needs_list || own.as_of == 0)
        return store_call{.what = what, .list = true};
    return store_call{
        .what = what, .since = own.as_of, .wait = watch_wait};
}

auto plan_next_call(board &it, const store_answer &answer, time_point now)
    -> void {
    auto &call = call_of(it, answer.what);
    switch (answer.outcome) {
    case store_outcome::listed:
    case store_outcome::history_gone:
        call.not_before = now;
        return;
    case store_outcome::changed: {
        const auto changes = !answer.records.empty() || answer.settings;
        call.not_before = now + (changes ? gather : calls_apart);
        return;
    }
    case store_outcome::refused:
    case store_outcome::failed:
        call.not_before = now + retry_delay(it, call);
    }
}

} // namespace dogwoodtrack::carried
