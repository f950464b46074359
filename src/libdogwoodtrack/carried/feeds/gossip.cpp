#include "carried/feeds/gossip.hpp"

#include <algorithm>

#include "carried/feeds/confirmations.hpp"
#include "carried/feeds/evacuations.hpp"
#include "carried/feeds/gossip_sending.hpp"
#include "carried/feeds/restored_store.hpp"
#include "carried/load/load_exchange.hpp"
#include "carried/members/rotation.hpp"
#include "carried/quota/cold_quota.hpp"
#include "carried/upstreams/outlier_detection.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Number of random peers to which `send_digests` sends a digest.
constexpr std::size_t digest_peers = 3;
constexpr std::size_t digest_member_limit = 12;
/// Time after its start for which a balancer waits for the store's answer
/// before it requests the state from its peers. Peers push a small state to the
/// balancer without a request.
constexpr milliseconds startup_store_wait{300};
/// Time after the start in which the complete state is requested only from
/// peers of the own failure domain, if any are known.
constexpr milliseconds startup_own_domain_wait{1'200};
/// If no part of the requested state arrives for this time, the request is
/// repeated.
constexpr milliseconds pull_retry_delay{150};
/// Number of times that a request is repeated without another digest of a peer
/// that has the state.
constexpr unsigned max_pull_repeats = 4;
/// Largest state, in upstreams and routes together, that is pushed to a
/// starting balancer. A larger state has to be requested, or read from the
/// store.
constexpr std::size_t max_pushed_state_entries = 500;
/// Shortest time between two pushes of the complete state to one starting
/// balancer.
constexpr milliseconds bootstrap_interval{400};

// ---- digests

auto has_own_domain_peer(const fleet &members, time_point now) -> bool {
    return std::any_of(
        members.others.begin(), members.others.end(), [&](const auto &entry) {
            return is_active_in_own_domain(members, entry.second, now);
        });
}

auto is_in_other_domain(const fleet &members, std::uint32_t peer) -> bool {
    const auto found = members.others.find(peer);
    return found != members.others.end() &&
           found->second.failure_domain != members.self.failure_domain;
}

// Whether the complete state must not be requested from `from`, but from the
// own failure domain: traffic between failure domains is expensive, and a
// complete state is large.
auto defers_to_own_domain(const blackboard &board, std::uint32_t from,
                          time_point now) -> bool {
    return now - board.started < startup_own_domain_wait &&
           is_in_other_domain(board.members, from) &&
           has_own_domain_peer(board.members, now);
}

auto make_pull(const blackboard &board, feed what, time_point now)
    -> pull_message {
    return {
        .what = what, .since = version_of(board, what).as_of, .asked_at = now};
}

auto pull(blackboard &board, std::uint32_t from, feed what, time_point now,
          std::vector<outgoing_message> &out) -> void {
    auto &last_pulled = board.last_pulled[static_cast<std::size_t>(what)];
    // A balancer that has just started waits for the answer to its own call to
    // the store first, unless a call has failed.
    const auto awaits_store =
        !version_of(board, what).complete &&
        board.calls[static_cast<std::size_t>(what)].failures == 0 &&
        now - board.started < startup_store_wait;
    if (awaits_store || now - last_pulled < pull_retry_delay)
        return;
    if (!version_of(board, what).complete &&
        defers_to_own_domain(board, from, now))
        return;
    last_pulled = now;
    auto &progress = board.progress[static_cast<std::size_t>(what)];
    progress.asked_peer = from;
    progress.repeats_left = max_pull_repeats;
    out.push_back({.to = from, .message = make_pull(board, what, now)});
}

// Requests the set of evacuated failure domains if that of the peer is newer,
// and adopts the store's confirmation if both have the same set.
auto compare_evacuations(blackboard &board, std::uint32_t from,
                         const reported_version &reported, time_point now,
                         std::vector<outgoing_message> &out) -> void {
    const auto &own_version = version_of(board, feed::evacuations);
    if (!is_enabled(board, feed::evacuations) ||
        !is_believable(board.store_era, reported))
        return;
    if (is_newer_set(own_version, reported)) {
        note_reported_content(board, feed::evacuations, reported.content, now);
        return pull(board, from, feed::evacuations, now, out);
    }
    if (is_same_set(own_version, reported))
        adopt_confirmation(board, feed::evacuations, reported, now);
}

// Compares the version of a feed that a peer reports with the own one. Requests
// the feed if it is not complete here or the peer's content is newer, and
// adopts the store's confirmation if both have the same content.
auto compare_version(blackboard &board, std::uint32_t from, feed what,
                     const reported_version &reported, time_point now,
                     std::vector<outgoing_message> &out) -> void {
    if (what == feed::evacuations)
        return compare_evacuations(board, from, reported, now, out);
    auto &own_version = version_of(board, what);
    if (!is_believable(board.store_era, reported))
        return;
    // The feed was empty at store revision `reported.as_of`: the peer read this
    // from the store itself or learned it from another balancer.
    if (!reported.complete && reported.as_of != store_revision{} &&
        !own_version.complete)
        return adopt_confirmation(board, what, reported, now);
    if (!reported.complete)
        return;
    note_reported_content(board, what, reported.content, now);
    // The peer may not know of a removal that is not known here either.
    if (own_version.complete && own_version.as_of < reported.removals_since)
        return pull(board, from, what, now, out);
    if (own_version.complete && reported.content == own_version.content)
        return adopt_confirmation(board, what, reported, now);
    if (!own_version.complete || reported.content > own_version.content)
        pull(board, from, what, now, out);
}

auto is_state_small(const blackboard &board) -> bool {
    const auto &steering = board.steering;
    const auto routes =
        steering.in_force ? steering.in_force->routes.size() : 0;
    return steering.upstreams.by_id.size() + routes <= max_pushed_state_entries;
}

// Pushes to a starting balancer the feeds that it lacks, which saves it a round
// trip, or sends it a digest if the state is large.
auto bootstrap_peer(blackboard &board, std::uint32_t to,
                    const digest_message &message, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    auto &last_sent = board.bootstrapped_peers[to];
    if (!can_serve(board) ||
        (last_sent != time_point{} && now - last_sent < bootstrap_interval))
        return;
    last_sent = now;
    if (!is_state_small(board)) {
        out.push_back(
            {.to = to,
             .message = make_digest(board, 0, message.asked_at, now)});
        return;
    }
    for (std::size_t i = 0; i < feed_count; ++i) {
        if (!message.versions[i].complete)
            send_state(board, to, static_cast<feed>(i), {}, message.asked_at,
                       now, out);
    }
}

auto handle_message(blackboard &board, std::uint32_t from,
                    const digest_message &message, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    const auto arrived = earliest_arrival(board, now);
    auto sender = message.sender;
    sender.address = from;
    sender.last_heard = arrived;
    update_member(board.members, sender);
    on_limit_flag(board, sender, message.limit_binds, now);
    for (const auto &entry : message.members) {
        auto member = entry.member;
        member.last_heard = arrived - entry.age;
        if (now - member.last_heard < member_retention(board.members))
            update_member(board.members, member);
    }
    const auto unconfirmed = feeds_to_forward(board, now);
    for (std::size_t i = 0; i < feed_count; ++i)
        compare_version(board, from, static_cast<feed>(i), message.versions[i],
                        now, out);
    if ((unconfirmed & ~feeds_to_forward(board, now)).any())
        advertise(board, from, now, out);
    if (message.wants_state)
        bootstrap_peer(board, from, message, now, out);
    answer_question(board, from, message, now, out);
    for (std::size_t i = 0; i < feed_count; ++i)
        ask_for_confirmation(board, from, static_cast<feed>(i),
                             message.versions[i], now, out);
}

auto handle_message(blackboard &board, std::uint32_t from,
                    const pull_message &message, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    send_state(board, from, message.what, message.since, message.asked_at, now,
               out);
}

// ---- records

// Retires the upstreams that are missing from a peer's complete set of records,
// and records since when removals are known. Returns whether any upstream was
// changed.
auto adopt_complete_set(blackboard &board, const std::vector<std::string> &ids,
                        const reported_version &reported, time_point now)
    -> bool {
    auto &own_version = version_of(board, feed::upstreams);
    const auto retired =
        retire_missing(board.steering.upstreams, ids, reported.as_of,
                       missing_state(own_version, reported), now);
    if (retired)
        own_version.content = std::max(own_version.content, reported.as_of);
    if (!own_version.complete || own_version.as_of < reported.removals_since)
        own_version.removals_since = reported.removals_since;
    return retired;
}

auto handle_message(blackboard &board, std::uint32_t from,
                    const records_message &message, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    auto &own_version = version_of(board, feed::upstreams);
    if (!is_believable(board.store_era, message))
        return;
    const auto previous_as_of = own_version.as_of;
    auto changed = false;
    std::vector<upstream_record> corrections;
    for (const auto &record : message.records) {
        if (!apply_record(board.steering.upstreams, record, now))
            continue;
        changed = true;
        add_correction(board.steering.upstreams, record, previous_as_of,
                       corrections);
    }
    send_corrections(board, from, corrections, now, out);
    const auto is_contiguous = own_version.complete
                                   ? message.from <= previous_as_of
                                   : message.from == store_revision{};
    if (!is_contiguous)
        return pull(board, from, feed::upstreams, now, out);
    board.last_pulled[static_cast<std::size_t>(feed::upstreams)] = now;
    const auto ids = add_records_part(board.incoming_records, from, message);
    if (!ids)
        return;
    const auto initial = !own_version.complete;
    if (message.from == store_revision{})
        changed |= adopt_complete_set(board, *ids, message.version, now);
    adopt_version(board, feed::upstreams, message.version, now);
    board.steering.upstreams_known = true;
    board.last_pulled[static_cast<std::size_t>(feed::upstreams)] = {};
    ask_for_confirmation(board, from, feed::upstreams, message.version, now,
                         out);
    if (changed && !initial)
        forward_records(board, previous_as_of, from, now, out);
}

// ---- configurations

// Whether a peer's configuration may be used and supersedes the one in force.
auto is_wanted(const blackboard &board, const configuration &head,
               const reported_version &version) -> bool {
    const auto &current = board.steering.in_force;
    return is_believable(board.store_era, version) &&
           is_believable(board.store_era, head.revision.era) &&
           (!version_of(board, feed::configuration).complete || !current ||
            head.revision > current->revision || supersedes(head, *current));
}

// Puts a peer's configuration in force, unless it is null or was superseded
// while it was under way.
auto adopt_configuration(blackboard &board, std::uint32_t from,
                         std::shared_ptr<configuration> complete,
                         const reported_version &version, time_point now,
                         std::vector<outgoing_message> &out) -> void {
    if (!complete)
        return;
    const auto initial = !version_of(board, feed::configuration).complete;
    const auto revision = complete->revision;
    if (!activate_configuration(board, std::move(complete)) &&
        board.steering.in_force->revision != revision)
        return;
    adopt_version(board, feed::configuration, version, now);
    board.last_pulled[static_cast<std::size_t>(feed::configuration)] = {};
    if (!initial)
        advertise(board, from, now, out);
}

auto handle_message(blackboard &board, std::uint32_t from,
                    const routes_message &message, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    if (is_wanted(board, message.whole, message.version))
        adopt_configuration(board, from,
                            std::make_shared<configuration>(message.whole),
                            message.version, now, out);
}

// The blocks in force are of use for what is received.
auto cut_in_force(blackboard &board) -> void {
    if (board.steering.in_force)
        blocks_in_force(board.served, board.steering.in_force);
}

auto handle_message(blackboard &board, std::uint32_t from,
                    const outline_message &message, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    if (!is_wanted(board, message.outline.head, message.version))
        return;
    cut_in_force(board);
    board.last_pulled[static_cast<std::size_t>(feed::configuration)] = now;
    adopt_configuration(board, from,
                        begin_transfer(board.incoming_configuration,
                                       board.served, from, message, now, out),
                        message.version, now, out);
}

auto handle_message(blackboard &board, std::uint32_t from,
                    const block_request_message &message, time_point /*now*/,
                    std::vector<outgoing_message> &out) -> void {
    cut_in_force(board);
    for (const auto name : message.names) {
        if (const auto *block = find_block(board.served, name))
            out.push_back(
                {.to = from, .message = block_message{.block = *block}});
    }
}

auto handle_message(blackboard &board, std::uint32_t from,
                    const block_message &message, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    auto &transfer = board.incoming_configuration;
    if (!is_active(transfer))
        return;
    board.last_pulled[static_cast<std::size_t>(feed::configuration)] = now;
    const auto version = transfer.version;
    adopt_configuration(
        board, from, add_block(transfer, board.served, message.block, now, out),
        version, now, out);
}

// ---- evacuations

auto handle_message(blackboard &board, std::uint32_t from,
                    const evacuations_message &message, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    const auto &own_version = version_of(board, feed::evacuations);
    if (!is_enabled(board, feed::evacuations) ||
        !is_believable(board.store_era, message.version) ||
        !is_newer_set(own_version, message.version))
        return;
    auto &last_pulled =
        board.last_pulled[static_cast<std::size_t>(feed::evacuations)];
    last_pulled = now;
    auto whole =
        add_evacuations_part(board.incoming_evacuations, from, message);
    const auto initial = !own_version.complete;
    if (!whole || !adopt_evacuations(board, std::move(*whole), message.version))
        return;
    // A range that ends before it begins would be newer than itself.
    auto version = message.version;
    version.as_of = std::max(version.as_of, version.content);
    adopt_version(board, feed::evacuations, version, now);
    last_pulled = {};
    if (!initial)
        advertise(board, from, now, out);
}

auto handle_message(blackboard &board, std::uint32_t /*from*/,
                    const outcomes_message &message, time_point now,
                    std::vector<outgoing_message> & /*out*/) -> void {
    apply_reported_outcomes(board, message, now);
}

auto handle_message(blackboard &board, std::uint32_t /*from*/,
                    const judgements_message &message, time_point now,
                    std::vector<outgoing_message> & /*out*/) -> void {
    apply_ejection_statuses(board, message, now);
}

auto handle_message(blackboard &board, std::uint32_t from,
                    const probe_message &message, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    handle_probe(board, from, message, now, out);
}

auto handle_message(blackboard &board, std::uint32_t from,
                    const load_report_message &message, time_point now,
                    std::vector<outgoing_message> & /*out*/) -> void {
    on_load_report(board, from, message, now);
}

auto handle_message(blackboard &board, std::uint32_t from,
                    const load_plan &message, time_point now,
                    std::vector<outgoing_message> & /*out*/) -> void {
    on_load_plan(board, from, message, now);
}

auto handle_message(blackboard &board, std::uint32_t from,
                    const domain_loads_message &message, time_point now,
                    std::vector<outgoing_message> & /*out*/) -> void {
    on_domain_loads(board, from, message, now);
}

} // namespace

auto activate_configuration(blackboard &board,
                            std::shared_ptr<configuration> next) -> bool {
    auto &current = board.steering.in_force;
    if (current && !supersedes(*next, *current)) {
        keep_in_force(board.steering, next->revision);
        return false;
    }
    sort_routes(*next);
    if (current)
        next->revision = std::max(next->revision, current->revision);
    current = std::move(next);
    auto &incoming = board.incoming_configuration;
    if (is_active(incoming) && !supersedes(incoming.target.head, *current))
        end_transfer(incoming);
    auto &cold = board.steering.upstreams.cold;
    update_cold_limits(cold, current.get(), cold.bounds);
    return true;
}

auto send_digests(blackboard &board, time_point now,
                  std::vector<outgoing_message> &out) -> void {
    expire_members(board.members, now);
    boost::unordered::erase_if(
        board.bootstrapped_peers, [&](const auto &entry) {
            return now - entry.second >= bootstrap_interval;
        });
    auto digest = make_digest(board, digest_member_limit, {}, now);
    digest.asked_at = now;
    const auto peers = random_peers(board.members, digest_peers, 2, now);
    for (const auto to : peers)
        out.push_back({.to = to, .message = digest});
}

auto repeat_requests(blackboard &board, time_point now,
                     std::vector<outgoing_message> &out) -> void {
    repeat_block_requests(board.incoming_configuration, now, out);
    for (std::size_t i = 0; i < feed_count; ++i) {
        const auto what = static_cast<feed>(i);
        auto &progress = board.progress[i];
        auto &last_pulled = board.last_pulled[i];
        const auto due = last_pulled != time_point{} &&
                         now - last_pulled >= pull_retry_delay;
        if (progress.repeats_left == 0 || !due || !lacks_content(board, what))
            continue;
        --progress.repeats_left;
        last_pulled = now;
        out.push_back({.to = progress.asked_peer,
                       .message = make_pull(board, what, now)});
    }
}

auto on_peer_message(blackboard &board, std::uint32_t from,
                     const peer_message &message, time_point now,
                     std::vector<outgoing_message> &out) -> void {
    ++board.counters.peer_messages;
    if (from == board.members.self.address)
        return;
    const auto known = board.members.others.find(from);
    const auto is_new_member = known == board.members.others.end() ||
                               !is_live(board.members, known->second, now);
    if (known != board.members.others.end())
        known->second.last_heard =
            std::max(known->second.last_heard, earliest_arrival(board, now));
    std::visit(
        [&](const auto &body) { handle_message(board, from, body, now, out); },
        message);
    // Since few balancers know a new member yet, it receives few digests.
    // Therefore it is immediately sent a digest with a list of members.
    if (is_new_member && std::holds_alternative<digest_message>(message))
        out.push_back(
            {.to = from,
             .message = make_digest(board, digest_member_limit, {}, now)});
}

} // namespace dogwoodtrack::carried
