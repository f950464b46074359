#include "carried/feeds/store_watch.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

// The constants in percent are parts of the feed's time bound (`time_bound`),
// the time in which a change has to be in force on every balancer. The
// preferred watchers are the first `store_watcher_count` balancers by
// `watch_rank`.

/// If a feed is unconfirmed for this part of the time bound, the next balancer
/// by rank after the preferred watchers takes over watching it.
constexpr int takeover_percent = 50;
/// Each further place in the ranking adds this part of the time bound to the
/// time that a balancer waits before it takes over.
constexpr int takeover_step_percent = 2;
/// Maximum number of times that `takeover_step_percent` is added to
/// `takeover_percent`.
constexpr std::size_t max_takeover_steps = 6;
/// Balancers still further down the ranking take over after a time between
/// these parts of the time bound, derived from a hash of the address, so that
/// not all balancers of a large system call an unreachable store at once. The
/// rest of the bound is for the call. A balancer waits no longer whatever its
/// peers know, so that it needs none of them to be in time.
constexpr int last_takeover_percent = 65;
constexpr int max_takeover_percent = 75;
/// Balancers that take turns call the store about once per this part of the
/// time bound, see `turn_interval`.
constexpr int turn_percent = 5;
/// After an answer with changes, the next watch starts only after this part of
/// `apply_within`, so that further changes are batched.
constexpr int batching_percent = 10;
/// A watch call waits at most this part of the time bound for the store to
/// report a change.
constexpr int watch_wait_percent = 30;
/// A watch call waits at least this part of the time bound.
constexpr int min_watch_wait_percent = 5;
/// A watch call waits until the last confirmation is this part of the time
/// bound old. It is older than that of a watch without changes after an answer
/// with changes, which confirms the state as of the start of its call only.
constexpr int confirmation_age_percent = 40;
/// For this part of the time bound after its start, a balancer knows too few
/// peers to determine its rank.
constexpr int rank_unknown_percent = 30;
/// Replaces `rank_unknown_percent` at the first start of the system, when all
/// balancers start at the same time with state from a list that is not stale.
constexpr int rank_unknown_first_start_percent = 85;
/// At the first start of the system the seeds read the store first. The other
/// balancers wait this long for the state from the seeds before they read the
/// store themselves.
constexpr milliseconds seed_head_start{1'500};
/// At the first start of the system, each balancer that is not a seed waits for
/// a time below this limit, by hash of its address, in addition to
/// `seed_head_start`.
constexpr std::uint64_t first_start_jitter_ms = 1'500;
/// Shortest time between a watch without changes and the next one, in case the
/// store answers immediately.
constexpr milliseconds min_call_interval{20};
constexpr milliseconds retry_base_delay{150};
constexpr milliseconds max_retry_delay{1'500};
/// Longest time, before jitter, between two calls of a balancer that takes
/// turns with others, see `turn_interval`.
constexpr milliseconds max_turn_interval{8'000};
constexpr unsigned max_retry_doublings = 4;
/// Time after an answer whose era was not believed until the next call. Two
/// watchers of three feeds stay at 15 calls a second meanwhile.
constexpr milliseconds ignored_answer_delay{400};
/// Longest retry delay, before jitter, of a balancer that has got complete
/// state neither from the store nor from its peers.
constexpr milliseconds max_retry_delay_without_state{400};

auto call_state_of(blackboard &board, feed what) -> store_call_state & {
    return board.calls[static_cast<std::size_t>(what)];
}

auto is_seed(const blackboard &board) -> bool {
    const auto &seeds = board.members.seeds;
    return std::find(seeds.begin(), seeds.end(), board.members.self.address) !=
           seeds.end();
}

auto start_delay(const blackboard &board) -> milliseconds {
    if (!board.first_start || is_seed(board))
        return milliseconds{0};
    const auto jitter_hash = hash_pair(board.members.self.address, 2);
    return seed_head_start + milliseconds{static_cast<std::int64_t>(
                                 jitter_hash % first_start_jitter_ms)};
}

auto takeover_delay(const blackboard &board, feed what, std::size_t rank)
    -> milliseconds {
    const auto place = rank - store_watcher_count;
    if (place > max_takeover_steps) {
        constexpr int range = max_takeover_percent - last_takeover_percent;
        const auto bound = time_bound(board, what);
        return bound * last_takeover_percent / 100 +
               milliseconds{static_cast<std::int64_t>(
                   hash_pair(board.members.self.address, 3) %
                   static_cast<std::uint64_t>(bound.count() * range / 100 +
                                              1))};
    }
    return time_bound(board, what) *
           (takeover_percent +
            takeover_step_percent * static_cast<int>(place)) /
           100;
}

auto rank_unknown_time(const blackboard &board, feed what) -> milliseconds {
    const auto part = board.first_start ? rank_unknown_first_start_percent
                                        : rank_unknown_percent;
    return time_bound(board, what) * part / 100;
}

// Time between two calls of a balancer that takes turns with the others.
// Together they call the store about once per `turn_percent` of the time bound,
// or more often in a fleet so large that `max_turn_interval` limits the time
// between the calls of each.
auto turn_interval(const blackboard &board, feed what, time_point now)
    -> milliseconds {
    const auto step = time_bound(board, what) * turn_percent / 100;
    const auto turns =
        static_cast<std::int64_t>(count_live_members(board.members, now)) + 1;
    return std::min(step * turns, max_turn_interval);
}

// Whether a balancer that is no preferred watcher waits for its turn, as its
// last call was refused or failed. Depends on how many members count as live
// now: one that hears of no other waits for nobody, nor does one that knows of
// content that it lacks, since the store has answered somebody.
auto waits_for_turn(const blackboard &board, feed what, time_point now)
    -> bool {
    const auto &call = board.calls[static_cast<std::size_t>(what)];
    if (call.failures == 0 || !can_serve(board) || lacks_content(board, what))
        return false;
    const auto turn = turn_interval(board, what, now);
    return now - call.last_failure <
           turn + turn * call.turn_jitter_percent / 100;
}

// Decides whether to call the store for a feed now, and updates
// `store_call_state::taken_over` accordingly.
auto decide_store_call(blackboard &board, feed what, time_point now) -> bool {
    const auto &own_version = version_of(board, what);
    auto &call = call_state_of(board, what);
    if (own_version.as_of == store_revision{})
        return now - board.started >= start_delay(board);
    if (now - board.started < rank_unknown_time(board, what))
        return call.needs_list || (board.first_start && is_seed(board));
    const auto rank = watch_rank(board.members, now);
    if (rank < store_watcher_count) {
        call.taken_over = false;
        return true;
    }
    // Keeps watching until peers report later confirmations of the feed, see
    // `on_store_answer`.
    if (call.taken_over && call.failures == 0)
        return true;
    if (waits_for_turn(board, what, now))
        return false;
    const auto confirmed = std::max(own_version.confirmed, board.started);
    call.taken_over = now - confirmed >= takeover_delay(board, what, rank);
    return call.taken_over;
}

auto watch_wait(const blackboard &board, feed what, time_point now)
    -> milliseconds {
    const auto bound = time_bound(board, what);
    const auto age = std::chrono::duration_cast<milliseconds>(
        now - version_of(board, what).confirmed);
    return std::clamp(bound * confirmation_age_percent / 100 - age,
                      bound * min_watch_wait_percent / 100,
                      bound * watch_wait_percent / 100);
}

/// Largest random addition to the time between calls, in percent.
constexpr unsigned max_jitter_percent = 50;

// Time after a refused or failed call until the next one, apart from the turns
// that balancers take which are no preferred watchers.
auto retry_delay(blackboard &board, feed what) -> milliseconds {
    const auto &call = call_state_of(board, what);
    const auto doublings = std::min(call.failures - 1, max_retry_doublings);
    auto delay = std::min(retry_base_delay * (1 << doublings), max_retry_delay);
    if (!can_serve(board))
        delay = std::min(delay, max_retry_delay_without_state);
    return delay + delay * call.turn_jitter_percent / 100;
}

} // namespace

auto next_store_call(blackboard &board, feed what, time_point now)
    -> std::optional<store_call> {
    auto &call = call_state_of(board, what);
    if (!is_enabled(board, what) || call.in_flight || now < call.not_before ||
        !decide_store_call(board, what, now))
        return std::nullopt;
    call.in_flight = true;
    call.started = now;
    call.wait = milliseconds{0};
    ++board.counters.store_calls;
    const auto &own_version = version_of(board, what);
    // Except at the first start of the system, a cheaper list, possibly stale,
    // is enough: the watch that follows, by this balancer or a peer, brings the
    // state up to date. Not so for evacuations: flows would be placed on a
    // domain whose evacuation is older than the list, after a restart of all
    // balancers for longer than the time bound.
    if (own_version.as_of == store_revision{})
        return store_call{.what = what,
                          .list = true,
                          .may_be_stale =
                              !board.first_start && what != feed::evacuations};
    // Revisions of another era are of no use for a watch.
    if (call.needs_list || own_version.as_of.era != board.store_era.era)
        return store_call{.what = what, .list = true};
    call.since = call.went_back_to != store_revision{} ? call.went_back_to
                                                       : own_version.as_of;
    call.wait = watch_wait(board, what, now);
    return store_call{.what = what, .since = call.since, .wait = call.wait};
}

auto schedule_next_call(blackboard &board, const store_answer &answer,
                        time_point now) -> void {
    auto &call = call_state_of(board, answer.what);
    if (call.ignored) {
        call.not_before = now + ignored_answer_delay;
        return;
    }
    switch (answer.outcome) {
    case store_outcome::listed:
    case store_outcome::history_gone:
    case store_outcome::too_large:
        call.not_before = now;
        return;
    case store_outcome::changed: {
        if (call.needs_list) {
            call.not_before = now;
            return;
        }
        // Evacuations are rare and not batched, so that a further one is known
        // here even if the store fails soon after it.
        const auto changes =
            !answer.records.empty() || answer.latest_configuration;
        const auto batching_delay =
            time_bound(board, answer.what) * batching_percent / 100;
        call.not_before = now + (changes ? batching_delay : min_call_interval);
        return;
    }
    case store_outcome::refused:
    case store_outcome::failed:
        call.last_failure = now;
        call.turn_jitter_percent =
            static_cast<int>(board.members.random() % max_jitter_percent);
        call.not_before = now + retry_delay(board, answer.what);
    }
}

} // namespace dogwoodtrack::carried
