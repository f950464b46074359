#include "watch_duty.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Parts of the time in which changes have to be in force everywhere: a
/// feed unconfirmed for so long is watched by the next in the order,
constexpr int takeover_part = 50;
/// each further rank waits so much longer,
constexpr int step_part = 5;
/// those after these ranks at times of their own, so that a store that is
/// away is not asked by all of a large system at once,
constexpr std::size_t steps_max = 6;
/// changes are gathered before the next watch, all in percent.
constexpr int gather_part = 15;
/// A watch waits so long for a change.
constexpr int wait_part = 30;
/// A balancer that has just started knows too few peers to tell its rank, for
/// this part.
constexpr int rank_unknown_part = 30;
/// and longer when all start at once with a fresh list.
constexpr int rank_unknown_first_part = 85;
/// At the first start of the system the seeds read the store, and the others
/// get this time to hear from them.
constexpr milliseconds seeds_first{1'500};
constexpr std::uint64_t first_start_spread_ms = 1'500;
/// Shortest time between two calls, should the store not wait.
constexpr milliseconds calls_apart{20};
constexpr milliseconds retry_first{150};
constexpr milliseconds retry_longest{1'500};
constexpr milliseconds turn_longest{8'000};
constexpr unsigned retry_doublings = 4;
/// A list that is needed while peers can't help is tried more often.
constexpr milliseconds retry_without_state{400};

auto call_of(board &it, feed what) -> call_state & {
    return it.calls[static_cast<std::size_t>(what)];
}

auto is_seed(const board &it) -> bool {
    const auto &seeds = it.members.seeds;
    return std::find(seeds.begin(), seeds.end(), it.members.self.address) !=
           seeds.end();
}

auto start_delay(const board &it) -> milliseconds {
    if (!it.first_start || is_seed(it))
        return milliseconds{0};
    const auto spread = hash_pair(it.members.self.address, 2);
    return seeds_first + milliseconds{static_cast<std::int64_t>(
                             spread % first_start_spread_ms)};
}

auto takeover_delay(const board &it, std::size_t rank) -> milliseconds {
    const auto steps = std::min<std::size_t>(rank - watchers, steps_max);
    auto percent = takeover_part + step_part * static_cast<int>(steps);
    if (rank - watchers > steps_max)
        percent +=
            static_cast<int>(hash_pair(it.members.self.address, 3) % 100);
    return it.apply_within * percent / 100;
}

auto rank_unknown(const board &it) -> milliseconds {
    const auto part =
        it.first_start ? rank_unknown_first_part : rank_unknown_part;
    return it.apply_within * part / 100;
}

auto has_duty(board &it, feed what, time_point now) -> bool {
    const auto &own = version_of(it, what);
    auto &call = call_of(it, what);
    if (own.as_of == 0)
        return now - it.started >= start_delay(it);
    if (now - it.started < rank_unknown(it))
        return call.needs_list || (it.first_start && is_seed(it));
    const auto rank = watch_rank(it.members, now);
    if (rank < watchers) {
        call.took_over = false;
        return true;
    }
    // Until others confirm the feed again, see `on_store_answer`.
    if (call.took_over && call.failures == 0)
        return true;
    const auto confirmed = std::max(own.confirmed, it.started);
    call.took_over = now - confirmed >= takeover_delay(it, rank);
    return call.took_over;
}

auto turn_length(const board &it, time_point now) -> milliseconds {
    const auto step = it.apply_within * step_part / 100;
    const auto turns =
        static_cast<std::int64_t>(count_live(it.members, now)) + 1;
    return std::min(step * turns, turn_longest);
}

// Those that should watch try again soon. The others take turns: all
// together they try once a step.
auto retry_delay(board &it, const call_state &call, time_point now)
    -> milliseconds {
    const auto doublings = std::min(call.failures - 1, retry_doublings);
    auto delay = std::min(retry_first * (1 << doublings), retry_longest);
    if (!can_serve(it))
        delay = std::min(delay, retry_without_state);
    else if (watch_rank(it.members, now) >= watchers)
        delay = std::max(delay, turn_length(it, now));
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
    // What a balancer has when it starts may be old: the watch that follows,
    // its own or a peer's, brings it up to date.
    if (own.as_of == 0)
        return store_call{
            .what = what, .list = true, .may_be_stale = !it.first_start};
    if (call.needs_list)
        return store_call{.what = what, .list = true};
    return store_call{.what = what,
                      .since = own.as_of,
                      .wait = it.apply_within * wait_part / 100};
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
        const auto gather = it.apply_within * gather_part / 100;
        call.not_before = now + (changes ? gather : calls_apart);
        return;
    }
    case store_outcome::refused:
    case store_outcome::failed:
        call.not_before = now + retry_delay(it, call, now);
    }
}

} // namespace dogwoodtrack::carried
