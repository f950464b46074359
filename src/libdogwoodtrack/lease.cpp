#include <algorithm>

#include "membership.hpp"

namespace dogwoodtrack {

namespace {

constexpr milliseconds drain_after_pause{300};

auto counts_in_majority(const blackboard &board, const peer_state &peer)
    -> bool {
    if (peer.info.failure_domain != board.self.failure_domain || peer.graceful)
        return false;
    if (peer.info.status != member_status::dead)
        return true;
    if (!board.balancers_known)
        return true;
    const auto it = board.balancers.find(peer.info.name);
    return it != board.balancers.end() && it->second.state.ready;
}

} // namespace

auto distrust_records(blackboard &board, time_point since,
                      control_actions &actions) -> void {
    if (board.outdated_services.empty())
        board.absent_since = since;
    board.outdated_services.insert(board.self.synced.begin(),
                                   board.self.synced.end());
    board.self.synced.clear();
    board.newly_synced.clear();
    board.syncs.clear();
    board.sync_jobs.clear();
    ++board.version;
    board.view_stale = true;
    actions.requests.push_back({.what = worker_request::kind::erase_unconfirmed,
                                .records = {},
                                .service = {}});
}

auto notice_pause(blackboard &board, time_point now, control_actions &actions)
    -> void {
    const auto last = board.last_tick;
    board.last_tick = now;
    if (last == time_point{} || now - last < board.options.lease)
        return;
    board.deaf_until = now + drain_after_pause;
    board.lease->valid_until.store(0);
    distrust_records(board, last, actions);
    // What was heard before the pause says nothing about now.
    for (auto &[id, peer] : board.peers)
        peer.heard = std::max(peer.heard, now - board.options.lease);
    const auto gap = std::chrono::duration_cast<milliseconds>(now - last);
    board.events->record(event_kind::pause_noticed, board.self.name, 0,
                         std::to_string(gap.count()) + " ms");
}

auto renew_lease(blackboard &board, time_point now, control_actions &actions)
    -> void {
    std::vector<std::pair<time_point, std::uint32_t>> heard{
        {now, board.self.id}};
    index_peers(board);
    // In a domain with more members than neighbours the ones heard directly
    // stand for the rest, together with all that are known to be silent.
    const auto small_domain =
        board.by_domain[board.self.failure_domain].size() <=
        board.options.neighbours;
    for (const auto *it : board.by_domain[board.self.failure_domain]) {
        if (!counts_in_majority(board, *it))
            continue;
        if (it->monitored || small_domain)
            heard.emplace_back(it->heard, it->info.id);
        else if (it->info.status == member_status::dead)
            heard.emplace_back(time_point{}, it->info.id);
    }
    for (const auto id : board.listed_here) {
        if (!board.peers.contains(id))
            heard.emplace_back(time_point{}, id);
    }
    std::sort(heard.begin(), heard.end(), std::greater<>());
    const auto n = heard.size();
    auto needed = n / 2 + 1;
    const auto lowest = std::min_element(
        heard.begin(), heard.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
    if (n % 2 == 0 &&
        lowest - heard.begin() < static_cast<std::ptrdiff_t>(n / 2))
        needed = n / 2;
    const auto until = heard[needed - 1].first + board.options.lease;
    board.lease->valid_until.store(until.time_since_epoch().count(),
                                   std::memory_order_release);
    const auto held = now < until;
    if (held != board.lease_was_held) {
        board.lease_was_held = held;
        // Others may place this domain's flows from now on.
        if (!held)
            distrust_records(board, now - board.options.lease, actions);
        board.events->record(held ? event_kind::lease_held
                                  : event_kind::lease_lost,
                             board.self.name);
    }
}

} // namespace dogwoodtrack
