#include "carried/feeds/gossip_sending.hpp"

#include <algorithm>

#include "carried/feeds/gossip.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Largest number of peers to which changed upstream records are pushed, or a
/// digest is sent, after a change of state or a confirmation by the store.
constexpr std::size_t push_fanout = 5;
/// Largest number of changed records that are pushed. If there are more, peers
/// are sent a digest and request the records.
constexpr std::size_t max_pushed_records = 12;

// Store revision since which this balancer knows all removals of a feed.
auto removals_since(const blackboard &board, feed what) -> store_revision {
    if (what != feed::upstreams)
        return {};
    return std::max(version_of(board, what).removals_since,
                    board.steering.upstreams.forgotten);
}

// Version for a peer that asked at `asked_at` by its own clock, or did not.
auto make_reported_version(const blackboard &board, feed what,
                           time_point asked_at, time_point now)
    -> reported_version {
    if (!is_enabled(board, what))
        return {};
    const auto &it = version_of(board, what);
    return {.content = it.content,
            .as_of = it.as_of,
            .age = std::chrono::ceil<milliseconds>(now - it.confirmed),
            .complete = it.complete,
            .removals_since = removals_since(board, what),
            .asked_at = asked_at};
}

// The records have the warm-up time that remains now, not the one when the
// store's entry was written.
auto records_since(const blackboard &board, const store_revision &since,
                   time_point now) -> std::vector<upstream_record> {
    std::vector<upstream_record> records;
    for (const auto &upstream : board.steering.upstreams.all) {
        if (upstream.record.id.empty() || upstream.record.changed_at <= since)
            continue;
        records.push_back(upstream.record);
        records.back().cold_remaining =
            std::max(milliseconds{0},
                     std::chrono::ceil<milliseconds>(upstream.warm_at - now));
    }
    return records;
}

// Sends the records that changed after `since`, or all of them if a removal
// after `since` may be unknown here: the receiver then finds out what is
// missing.
auto send_records(const blackboard &board, std::uint32_t to,
                  store_revision since, time_point asked_at, time_point now,
                  std::vector<outgoing_message> &out) -> void {
    if (since < removals_since(board, feed::upstreams))
        since = {};
    const auto version =
        make_reported_version(board, feed::upstreams, asked_at, now);
    add_messages(
        to, split_records(records_since(board, since, now), since, version),
        out);
}

auto send_configuration(blackboard &board, std::uint32_t to,
                        time_point asked_at, time_point now,
                        std::vector<outgoing_message> &out) -> void {
    const auto &in_force = board.steering.in_force;
    if (!in_force)
        return;
    const auto version =
        make_reported_version(board, feed::configuration, asked_at, now);
    if (fits_one_datagram(*in_force))
        out.push_back({.to = to,
                       .message = routes_message{.whole = *in_force,
                                                 .version = version}});
    else
        out.push_back(
            {.to = to,
             .message = outline_message{
                 .outline = blocks_in_force(board.served, in_force).outline,
                 .version = version}});
}

auto send_evacuations(const blackboard &board, std::uint32_t to,
                      time_point asked_at, time_point now,
                      std::vector<outgoing_message> &out) -> void {
    const auto version =
        make_reported_version(board, feed::evacuations, asked_at, now);
    add_messages(to, split_evacuations(board.evacuations.domains, version),
                 out);
}

auto select_push_peers(blackboard &board, std::uint32_t except, time_point now)
    -> std::vector<std::uint32_t> {
    auto peers =
        random_peers(board.members, push_fanout, push_fanout / 2 + 1, now);
    std::erase(peers, except);
    return peers;
}

} // namespace

auto make_digest(blackboard &board, std::size_t member_limit,
                 time_point asked_at, time_point now) -> digest_message {
    digest_message digest;
    digest.sender = board.members.self;
    digest.sender.leaving = board.leaving;
    digest.wants_state = !can_serve(board);
    digest.limit_binds = limit_binds(board.steering.plans, now);
    for (std::size_t i = 0; i < feed_count; ++i)
        digest.versions[i] =
            make_reported_version(board, static_cast<feed>(i), asked_at, now);
    for (const auto &member :
         select_digest_members(board.members, member_limit, now))
        digest.members.push_back(
            {.member = member,
             .age = std::chrono::ceil<milliseconds>(now - member.last_heard)});
    return digest;
}

auto send_state(blackboard &board, std::uint32_t to, feed what,
                const store_revision &since, time_point asked_at,
                time_point now, std::vector<outgoing_message> &out) -> void {
    if (!version_of(board, what).complete)
        return;
    switch (what) {
    case feed::configuration:
        return send_configuration(board, to, asked_at, now, out);
    case feed::evacuations:
        return send_evacuations(board, to, asked_at, now, out);
    default:
        return send_records(board, to, since, asked_at, now, out);
    }
}

auto advertise(blackboard &board, std::uint32_t except, time_point now,
               std::vector<outgoing_message> &out) -> void {
    for (const auto to : select_push_peers(board, except, now))
        out.push_back({.to = to, .message = make_digest(board, 0, {}, now)});
}

auto forward_records(blackboard &board, const store_revision &since,
                     std::uint32_t except, time_point now,
                     std::vector<outgoing_message> &out) -> void {
    const auto records = records_since(board, since, now);
    if (records.size() > max_pushed_records)
        return advertise(board, except, now, out);
    const auto version = make_reported_version(board, feed::upstreams, {}, now);
    const auto parts = split_records(records, since, version);
    for (const auto to : select_push_peers(board, except, now))
        add_messages(to, parts, out);
}

auto send_corrections(blackboard &board, std::uint32_t from,
                      const std::vector<upstream_record> &corrections,
                      time_point now, std::vector<outgoing_message> &out)
    -> void {
    // Without `records_message::from` the receiver would take the records for a
    // complete set.
    const auto from_revision = version_of(board, feed::upstreams).as_of;
    if (corrections.empty() || from_revision == store_revision{})
        return;
    const auto version = make_reported_version(board, feed::upstreams, {}, now);
    const auto parts = split_records(corrections, from_revision, version);
    add_messages(from, parts, out);
    for (const auto to : select_push_peers(board, from, now))
        add_messages(to, parts, out);
}

} // namespace dogwoodtrack::carried
