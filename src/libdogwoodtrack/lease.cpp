#include <algorithm>

#include "membership.hpp"

namespace dogwoodtrack {

namespace {

// Time after a pause of this process in which received messages are ignored, as
// they may have been queued before or during the pause.
constexpr milliseconds stale_message_window{300};

// Whether `renew_lease` may count the peer as a member of this failure domain.
// It does not count peers that are leaving or left gracefully, nor dead ones
// that the platform's list, once it is known, does not list as ready.
auto counts_towards_majority(const blackboard &board, const peer_state &peer)
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

auto mark_records_stale(blackboard &board, time_point since,
                        control_actions &actions) -> void {
    if (board.stale_services.empty())
        board.records_stale_since = since;
    board.stale_services.insert(board.self.synced.begin(),
                                board.self.synced.end());
    board.self.synced.clear();
    board.newly_synced.clear();
    board.syncs.clear();
    board.sync_jobs.clear();
    ++board.version;
    board.view_stale = true;
    actions.requests.push_back(
        {.operation = worker_request::kind::erase_unconfirmed,
         .records = {},
         .service = {}});
}

auto detect_pause(blackboard &board, time_point now, control_actions &actions)
    -> void {
    const auto previous_tick = board.last_tick;
    board.last_tick = now;
    if (previous_tick == time_point{} ||
        now - previous_tick < board.options.lease)
        return;
    board.ignore_messages_until = now + stale_message_window;
    board.lease->valid_until.store(0);
    mark_records_stale(board, previous_tick, actions);
    // Messages from before the pause say nothing about the present state of a
    // peer. An earlier `last_heard` is therefore set to one lease duration ago:
    // the peer then neither extends the lease nor counts as dead immediately.
    for (auto &[id, peer] : board.peers)
        peer.last_heard = std::max(peer.last_heard, now - board.options.lease);
    const auto pause =
        std::chrono::duration_cast<milliseconds>(now - previous_tick);
    board.events->record(event_kind::pause_noticed, board.self.name, 0,
                         std::to_string(pause.count()) + " ms");
}

auto renew_lease(blackboard &board, time_point now, control_actions &actions)
    -> void {
    std::vector<std::pair<time_point, std::uint32_t>> last_heard{
        {now, board.self.id}};
    index_peers(board);
    // Counts this instance and the peers for which `counts_towards_majority`
    // holds. In a domain with more than `options.neighbours` peers, live peers
    // are left out unless this instance monitors them: the monitored peers
    // represent the other live ones.
    const auto small_domain =
        board.peers_by_domain[board.self.failure_domain].size() <=
        board.options.neighbours;
    for (const auto *it : board.peers_by_domain[board.self.failure_domain]) {
        if (!counts_towards_majority(board, *it))
            continue;
        if (it->monitored || small_domain)
            last_heard.emplace_back(it->last_heard, it->info.id);
        else if (it->info.status == member_status::dead)
            last_heard.emplace_back(time_point{}, it->info.id);
    }
    for (const auto id : board.listed_in_domain) {
        if (!board.peers.contains(id))
            last_heard.emplace_back(time_point{}, id);
    }
    std::sort(last_heard.begin(), last_heard.end(), std::greater<>());
    const auto member_count = last_heard.size();
    // Of an even number of members, one half suffices if it contains the member
    // with the lowest id.
    auto majority = member_count / 2 + 1;
    const auto lowest_id =
        std::min_element(last_heard.begin(), last_heard.end(),
                         [](const auto &left, const auto &right) {
                             return left.second < right.second;
                         });
    if (member_count % 2 == 0 &&
        lowest_id - last_heard.begin() <
            static_cast<std::ptrdiff_t>(member_count / 2))
        majority = member_count / 2;
    const auto lease_end = last_heard[majority - 1].first + board.options.lease;
    board.lease->valid_until.store(lease_end.time_since_epoch().count(),
                                   std::memory_order_release);
    const auto holds_lease = now < lease_end;
    if (holds_lease != board.lease_was_held) {
        board.lease_was_held = holds_lease;
        // While this instance holds no lease, another member may become the
        // owner and place flows.
        if (!holds_lease)
            mark_records_stale(board, now - board.options.lease, actions);
        board.events->record(holds_lease ? event_kind::lease_held
                                         : event_kind::lease_lost,
                             board.self.name);
    }
}

} // namespace dogwoodtrack
