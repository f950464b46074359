#include "membership.hpp"

#include <algorithm>

namespace dogwoodtrack {

namespace {

struct member_description {
    const member &info;
    const std::string &domain_name;
    std::uint64_t incarnation;
    std::uint64_t version;
};

auto describe(const member_description &it) -> wire::MemberState {
    wire::MemberState state;
    state.set_name(it.info.name);
    state.set_failure_domain(it.domain_name);
    state.set_address(it.info.link.address);
    state.set_link_port(it.info.link.port);
    state.set_control_port(it.info.control.port);
    state.set_incarnation(it.incarnation);
    state.set_version(it.version);
    state.set_status(static_cast<std::uint32_t>(it.info.status));
    for (const auto service : it.info.synced)
        state.add_synced(service);
    return state;
}

auto describe_self(const blackboard &board) -> wire::MemberState {
    return describe({.info = board.self,
                     .domain_name = board.domain_name,
                     .incarnation = board.incarnation,
                     .version = board.version});
}

auto describe_peer(const peer_state &peer) -> wire::MemberState {
    return describe({.info = peer.info,
                     .domain_name = peer.domain_name,
                     .incarnation = peer.incarnation,
                     .version = peer.version});
}

auto member_digest(std::uint32_t id, std::uint64_t incarnation,
                   std::uint64_t version) -> std::uint64_t {
    return hash_pair(hash_pair(id, incarnation), version);
}

// Digest of the versions of all members. `peers_digest` is updated with each
// change of a peer; this instance's own version, which changes rarely, is added
// here.
auto members_digest(const blackboard &board) -> std::uint32_t {
    return static_cast<std::uint32_t>(
        board.peers_digest ^
        member_digest(board.self.id, board.incarnation, board.version));
}

// Adds the peer's version to `peers_digest` or, if it is already included,
// removes it: XOR does both.
auto toggle_peer_digest(blackboard &board, const peer_state &peer) -> void {
    if (peer.incarnation != 0)
        board.peers_digest ^=
            member_digest(peer.info.id, peer.incarnation, peer.version);
}

auto make_heartbeat(const blackboard &board) -> wire::Envelope {
    wire::Envelope message;
    auto &heartbeat = *message.mutable_heartbeat();
    heartbeat.set_incarnation(board.incarnation);
    heartbeat.set_version(board.version);
    heartbeat.set_documents_digest(documents_digest(board));
    heartbeat.set_members_digest(members_digest(board));
    return message;
}

// Adds the states of all members, for a receiver that may lack some of them.
auto add_all_states(const blackboard &board, wire::Heartbeat &heartbeat)
    -> void {
    *heartbeat.add_states() = describe_self(board);
    for (const auto &[id, it] : board.peers) {
        if (it.incarnation != 0)
            *heartbeat.add_states() = describe_peer(it);
    }
}

auto send_state_to_neighbours(blackboard &board, const wire::MemberState &state,
                              std::uint32_t except, control_actions &actions)
    -> void {
    for (const auto *peer : neighbours_of(board)) {
        if (peer->info.id == except)
            continue;
        auto message = make_heartbeat(board);
        *message.mutable_heartbeat()->add_states() = state;
        send_to(actions, *peer, message);
    }
}

auto send_state_to_domains(blackboard &board, const wire::MemberState &state,
                           control_actions &actions) -> void {
    for (const auto *peer : domain_contacts(board)) {
        auto message = make_heartbeat(board);
        *message.mutable_heartbeat()->add_states() = state;
        send_to(actions, *peer, message);
    }
}

auto record_status(blackboard &board, const peer_state &peer,
                   member_status before) -> void {
    if (peer.info.status == before)
        return;
    auto kind = event_kind::member_dead;
    if (peer.info.status == member_status::live)
        kind = event_kind::member_joined;
    else if (peer.info.status == member_status::leaving)
        kind = event_kind::member_leaving;
    board.events->record(kind, peer.info.name, 0, peer.domain_name);
}

auto is_newer(const wire::MemberState &state, const peer_state &peer) -> bool {
    if (state.incarnation() != peer.incarnation)
        return state.incarnation() > peer.incarnation;
    return state.version() > peer.version;
}

auto apply_state(peer_state &peer, const wire::MemberState &state) -> void {
    peer.info.id = hash_name(state.name());
    peer.info.name = state.name();
    peer.domain_name = state.failure_domain();
    peer.info.failure_domain = hash_name(state.failure_domain());
    peer.info.link = {.address = state.address(),
                      .port = static_cast<std::uint16_t>(state.link_port())};
    peer.info.control = {.address = state.address(),
                         .port =
                             static_cast<std::uint16_t>(state.control_port())};
    peer.incarnation = state.incarnation();
    peer.version = state.version();
    peer.info.status = static_cast<member_status>(state.status());
    peer.info.synced.assign(state.synced().begin(), state.synced().end());
    peer.graceful = peer.info.status == member_status::leaving;
}

// Refutes a peer's claim that this instance has another status, such as dead,
// by announcing the state of this instance with a higher version.
auto refute(blackboard &board, const wire::MemberState &state, time_point now,
            control_actions &actions) -> void {
    if (state.incarnation() != board.incarnation ||
        state.version() < board.version ||
        static_cast<member_status>(state.status()) == board.self.status)
        return;
    board.version = state.version() + 1;
    announce_self(board, now, actions);
}

auto merge_state(blackboard &board, const wire::MemberState &state,
                 std::uint32_t from, time_point now, control_actions &actions)
    -> void {
    if (state.status() > static_cast<std::uint32_t>(member_status::dead) ||
        state.name().empty())
        return;
    const auto id = hash_name(state.name());
    if (id == board.self.id)
        return refute(board, state, now, actions);
    auto &peer = board.peers[id];
    if (!is_newer(state, peer))
        return;
    // Recent direct contact takes precedence over a report that a peer died.
    const auto claims_dead =
        static_cast<member_status>(state.status()) == member_status::dead;
    if (claims_dead && from != id &&
        now - peer.last_heard < board.options.dead_after)
        return;
    const auto before =
        peer.incarnation == 0 ? member_status::dead : peer.info.status;
    toggle_peer_digest(board, peer);
    apply_state(peer, state);
    toggle_peer_digest(board, peer);
    if (before == member_status::dead)
        board.indexed_peers = 0;
    // A peer that is reported live again has the full timeout, from now, to
    // send a message.
    const auto revived = peer.info.status == member_status::live &&
                         before == member_status::dead;
    if (from == id || revived)
        peer.last_heard = now;
    record_status(board, peer, before);
    board.view_stale = true;
    send_state_to_neighbours(board, state, from, actions);
    if (peer.info.failure_domain == board.self.failure_domain && from == id)
        send_state_to_domains(board, state, actions);
}

auto declare_dead(blackboard &board, peer_state &peer, time_point now,
                  control_actions &actions) -> void {
    const auto before = peer.info.status;
    peer.info.status = member_status::dead;
    peer.dead_since = now;
    toggle_peer_digest(board, peer);
    ++peer.version;
    toggle_peer_digest(board, peer);
    record_status(board, peer, before);
    board.view_stale = true;
    const auto state = describe_peer(peer);
    send_state_to_neighbours(board, state, peer.info.id, actions);
    send_state_to_domains(board, state, actions);
}

// Returns the peers of this failure domain in the order of the ring, which is
// that of their identifiers, starting with the successor of this instance.
// Peers that left gracefully are excluded; those that timed out are included
// because they may return.
auto ring_successors(blackboard &board) -> std::vector<peer_state *> {
    index_peers(board);
    std::vector<peer_state *> ring;
    std::vector<peer_state *> lower_ids;
    for (auto *it : board.peers_by_domain[board.self.failure_domain]) {
        if (it->info.status == member_status::dead && it->graceful)
            continue;
        (it->info.id > board.self.id ? ring : lower_ids).push_back(it);
    }
    ring.insert(ring.end(), lower_ids.begin(), lower_ids.end());
    return ring;
}

// Monitors the last peers in the order of the ring: they are the predecessors
// of this instance, which send their heartbeats to it.
auto update_monitored(blackboard &board, time_point now) -> void {
    const auto ring = ring_successors(board);
    const auto first =
        ring.size() - std::min(ring.size(), board.options.neighbours);
    for (std::size_t i = 0; i < ring.size(); ++i) {
        auto &peer = *ring[i];
        const auto monitored = i >= first;
        if (monitored && !peer.monitored)
            peer.monitored_since = now;
        peer.monitored = monitored;
    }
}

auto detect_dead_peers(blackboard &board, time_point now,
                       control_actions &actions) -> void {
    update_monitored(board, now);
    for (auto *peer : board.peers_by_domain[board.self.failure_domain]) {
        const auto last_heard =
            std::max(peer->last_heard, peer->monitored_since);
        if (peer->monitored && peer->info.status != member_status::dead &&
            peer->incarnation != 0 &&
            now - last_heard > board.options.dead_after)
            declare_dead(board, *peer, now, actions);
    }
}

// Factor by which the heartbeat interval between failure domains, and the
// timeout after which a domain counts as cut off, are lengthened. It is 1 with
// up to two other domains and grows with their number, so that the traffic
// stays within its budget with any number of domains.
auto domain_interval_factor(const blackboard &board) -> int {
    constexpr std::size_t domains_at_full_rate = 2;
    const auto others =
        std::max<std::size_t>(board.peers_by_domain.size(), 1) - 1;
    return static_cast<int>(
        std::max<std::size_t>(1, (others + 1) / domains_at_full_rate));
}

auto detect_cut_domains(blackboard &board, time_point now) -> void {
    for (const auto &[domain, last_heard] : board.domain_last_heard) {
        const auto cut = now - last_heard > board.options.domain_cut_after *
                                                domain_interval_factor(board);
        const auto was_cut = board.cut_domains.contains(domain);
        if (cut == was_cut)
            continue;
        std::string name;
        for (const auto &[id, it] : board.peers) {
            if (it.info.failure_domain == domain)
                name = it.domain_name;
        }
        if (cut)
            board.cut_domains.insert(domain);
        else
            board.cut_domains.erase(domain);
        board.events->record(
            cut ? event_kind::domain_cut : event_kind::domain_healed, name);
        board.view_stale = true;
    }
}

// Whether the peer's failure domain has more members than this one.
auto is_in_larger_domain(const blackboard &board, const peer_state &peer)
    -> bool {
    const auto size = [&](std::uint32_t domain) {
        const auto it = board.peers_by_domain.find(domain);
        return it == board.peers_by_domain.end() ? 0 : it->second.size();
    };
    return size(board.self.failure_domain) + 1 < size(peer.info.failure_domain);
}

auto send_heartbeats(blackboard &board, time_point now,
                     control_actions &actions) -> void {
    if (now >= board.next_heartbeat) {
        board.next_heartbeat = now + board.options.heartbeat;
        const auto heartbeat = make_heartbeat(board);
        auto heartbeat_with_state = heartbeat;
        *heartbeat_with_state.mutable_heartbeat()->add_states() =
            describe_self(board);
        heartbeat_with_state.mutable_heartbeat()->set_want_state(true);
        for (const auto *peer : neighbours_of(board))
            send_to(actions, *peer,
                    peer->info.status == member_status::dead
                        ? heartbeat_with_state
                        : heartbeat);
    }
    if (now < board.next_domain_heartbeat)
        return;
    board.next_domain_heartbeat =
        now + board.options.domain_heartbeat * domain_interval_factor(board);
    ++board.domain_rotation;
    auto heartbeat = make_heartbeat(board);
    for (const auto *peer : domain_contacts(board)) {
        auto message = heartbeat;
        // Each member of a larger failure domain rarely receives a heartbeat
        // from this domain, so it is asked for a reply.
        message.mutable_heartbeat()->set_want_state(
            peer->incarnation == 0 || is_in_larger_domain(board, *peer));
        if (peer->incarnation == 0)
            *message.mutable_heartbeat()->add_states() = describe_self(board);
        send_to(actions, *peer, message);
    }
    if (!board.peers.empty())
        return;
    add_all_states(board, *heartbeat.mutable_heartbeat());
    for (const auto &it : board.seeds)
        actions.messages.push_back({it, heartbeat});
}

// A peer with incarnation 0 counts as dead, but only because its state has not
// been received yet.
auto may_contact(const peer_state &peer) -> bool {
    return peer.info.status != member_status::dead || peer.incarnation == 0;
}

} // namespace

auto index_peers(blackboard &board) -> void {
    if (board.indexed_peers == board.peers.size())
        return;
    board.peers_by_domain.clear();
    for (auto &[id, it] : board.peers)
        board.peers_by_domain[it.info.failure_domain].push_back(&it);
    board.indexed_peers = board.peers.size();
}

auto domain_contacts(blackboard &board) -> std::vector<const peer_state *> {
    index_peers(board);
    // Each member of this domain starts at a different position in the list of
    // the other domain's members. In one round, the members of this domain
    // therefore contact different members of the other domain, and all of those
    // unless this domain is the smaller one.
    std::size_t own_rank = 0;
    for (const auto *it : board.peers_by_domain[board.self.failure_domain])
        own_rank += it->info.id < board.self.id ? 1 : 0;
    std::vector<const peer_state *> contacts;
    contacts.reserve(board.peers_by_domain.size());
    for (const auto &[domain, list] : board.peers_by_domain) {
        if (domain == board.self.failure_domain)
            continue;
        for (std::size_t i = 0; i < list.size(); ++i) {
            const auto at = board.domain_rotation + own_rank + i;
            const auto *peer = list[at % list.size()];
            if (!may_contact(*peer))
                continue;
            contacts.push_back(peer);
            break;
        }
    }
    return contacts;
}

auto documents_digest(const blackboard &board) -> std::uint32_t {
    return static_cast<std::uint32_t>(board.documents_digest);
}

auto neighbours_of(blackboard &board) -> std::vector<const peer_state *> {
    const auto ring = ring_successors(board);
    const auto n = std::min(ring.size(), board.options.neighbours);
    return {ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(n)};
}

auto update_last_heard(blackboard &board, std::uint32_t from, time_point now)
    -> void {
    const auto it = board.peers.find(from);
    if (it == board.peers.end())
        return;
    it->second.last_heard = now;
    board.domain_last_heard[it->second.info.failure_domain] = now;
}

auto on_heartbeat(blackboard &board, const wire::Envelope &message,
                  time_point now, control_actions &actions) -> void {
    const auto &heartbeat = message.heartbeat();
    const auto from = message.from();
    for (const auto &it : heartbeat.states())
        merge_state(board, it, from, now, actions);
    const auto it = board.peers.find(from);
    if (it == board.peers.end() || it->second.incarnation == 0)
        return;
    auto &peer = it->second;
    update_last_heard(board, from, now);
    for (const auto service : heartbeat.troubled())
        board.exhausted_services[{service, peer.info.failure_domain}] = now;
    // Whether this instance considers the peer dead or does not have the peer's
    // latest state.
    const auto outdated = heartbeat.incarnation() != peer.incarnation ||
                          heartbeat.version() > peer.version ||
                          peer.info.status == member_status::dead;
    const auto views_differ =
        heartbeat.members_digest() != members_digest(board);
    if (!heartbeat.want_state() && !outdated && !views_differ)
        return;
    if (!heartbeat.want_state() && now < board.next_anti_entropy && !outdated)
        return;
    board.next_anti_entropy = now + 2 * board.options.heartbeat;
    auto reply = make_heartbeat(board);
    if (outdated || views_differ)
        add_all_states(board, *reply.mutable_heartbeat());
    // Asks for a state only if the heartbeat did not ask for one: otherwise two
    // instances could reply to each other's replies without end.
    reply.mutable_heartbeat()->set_want_state(outdated &&
                                              !heartbeat.want_state());
    send_to(actions, peer, reply);
}

auto tick_membership(blackboard &board, time_point now,
                     control_actions &actions) -> void {
    detect_dead_peers(board, now, actions);
    detect_cut_domains(board, now);
    send_heartbeats(board, now, actions);
}

auto on_balancers_listed(blackboard &board, time_point now) -> void {
    board.listed_in_domain.clear();
    for (const auto &[name, it] : board.balancers) {
        const auto id = hash_name(name);
        if (it.state.ready && id != board.self.id &&
            it.failure_domain == board.domain_name)
            board.listed_in_domain.push_back(id);
        if (id == board.self.id || board.peers.contains(id) || !it.state.ready)
            continue;
        auto &peer = board.peers[id];
        peer.info.id = id;
        peer.info.name = name;
        peer.domain_name = it.failure_domain;
        peer.info.failure_domain = hash_name(it.failure_domain);
        peer.info.link = it.link;
        peer.info.control = it.control;
        peer.info.status = member_status::dead;
        peer.dead_since = now;
    }
}

auto announce_self(blackboard &board, time_point now, control_actions &actions)
    -> void {
    board.view_stale = true;
    board.next_heartbeat = now + board.options.heartbeat;
    const auto state = describe_self(board);
    send_state_to_neighbours(board, state, 0, actions);
    send_state_to_domains(board, state, actions);
}

} // namespace dogwoodtrack
