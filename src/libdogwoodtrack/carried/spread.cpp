#include "spread.hpp"

#include <algorithm>

#include "rotation.hpp"
#include "shared_outcomes.hpp"

namespace dogwoodtrack::carried {

namespace {

constexpr std::size_t digest_peers = 3;
/// Peers that get new state, or hear at once that the store confirmed it.
constexpr std::size_t fanout = 5;
constexpr std::size_t digest_members = 12;
/// The store has this time to answer a balancer that has just started,
/// before it asks its peers for a state too large to be sent unasked.
constexpr milliseconds start_patience{300};
/// A whole state is asked of peers in other failure domains only after this
/// time since the start, if there are any in the own one.
constexpr milliseconds near_patience{1'200};
/// A pull is sent again when nothing of it arrived for this time.
constexpr milliseconds pull_patience{150};
/// A state with at most so many upstreams and routes is sent to a starting
/// balancer at once; it asks for a larger one, or takes it from the store.
constexpr std::size_t small_state = 500;
/// A starting balancer is sent the whole state once in this time.
constexpr milliseconds help_interval{400};
/// Larger sets of records are offered by a digest instead of being sent.
constexpr std::size_t pushed_records_max = 12;
/// Entries that vanish this soon after the store's return may come back.
constexpr milliseconds lapse_window{2'500};
/// A feed unconfirmed for this part, in percent, of the time in which changes
/// have to be in force was so because the store was away.
constexpr int away_part = 50;

auto tell(const feed_version &it, time_point now) -> reported_version {
    return {.content = it.content,
            .as_of = it.as_of,
            .age = std::chrono::ceil<milliseconds>(now - it.confirmed),
            .complete = it.complete};
}

auto make_digest(board &it, std::size_t members, time_point now)
    -> digest_message {
    digest_message digest;
    digest.sender = it.members.self;
    digest.sender.leaving = it.leaving;
    digest.wants_state = !can_serve(it);
    for (std::size_t i = 0; i < feed_count; ++i)
        digest.versions[i] = tell(it.versions[i], now);
    for (const auto &member : members_to_tell(it.members, members, now))
        digest.members.push_back(
            {.member = member,
             .age = std::chrono::ceil<milliseconds>(now - member.heard)});
    return digest;
}

auto confirm(board &it, feed what, const reported_version &told, time_point now)
    -> void {
    auto &own = version_of(it, what);
    auto &call = it.calls[static_cast<std::size_t>(what)];
    own.as_of = std::max(own.as_of, told.as_of);
    own.confirmed = std::max(own.confirmed, now - told.age);
    call.others_confirmed = std::max(call.others_confirmed, now - told.age);
}

// ---- sending state

auto records_since(const board &it, std::uint64_t since)
    -> std::vector<upstream_record> {
    std::vector<upstream_record> records;
    for (const auto &upstream : it.steering.upstreams.all) {
        if (!upstream.record.id.empty() && upstream.record.changed_at > since)
            records.push_back(upstream.record);
    }
    return records;
}

auto send_records(const board &it, std::uint32_t to, std::uint64_t since,
                  time_point now, std::vector<outgoing_message> &out) -> void {
    const auto version = tell(version_of(it, feed::upstreams), now);
    add_messages(to, split_records(records_since(it, since), since, version),
                 out);
}

auto send_routes(const board &it, std::uint32_t to, time_point now,
                 std::vector<outgoing_message> &out) -> void {
    if (!it.steering.in_force)
        return;
    const auto version = tell(version_of(it, feed::configuration), now);
    add_messages(to, split_routes(*it.steering.in_force, version), out);
}

auto send_state(const board &it, std::uint32_t to, feed what,
                std::uint64_t since, time_point now,
                std::vector<outgoing_message> &out) -> void {
    if (!version_of(it, what).complete)
        return;
    if (what == feed::configuration)
        send_routes(it, to, now, out);
    else
        send_records(it, to, since, now, out);
}

auto peers_for_news(board &it, std::uint32_t except, time_point now)
    -> std::vector<std::uint32_t> {
    auto peers = random_peers(it.members, fanout, fanout / 2 + 1, now);
    std::erase(peers, except);
    return peers;
}

auto offer(board &it, std::uint32_t except, time_point now,
           std::vector<outgoing_message> &out) -> void {
    for (const auto to : peers_for_news(it, except, now))
        out.push_back({.to = to, .message = make_digest(it, 0, now)});
}

// New records travel at once to a few peers, which pass them on.
auto pass_on_records(board &it, std::uint64_t since, std::uint32_t except,
                     time_point now, std::vector<outgoing_message> &out)
    -> void {
    const auto records = records_since(it, since);
    if (records.size() > pushed_records_max)
        return offer(it, except, now, out);
    const auto version = tell(version_of(it, feed::upstreams), now);
    const auto parts = split_records(records, since, version);
    for (const auto to : peers_for_news(it, except, now))
        add_messages(to, parts, out);
}

// ---- digests

auto has_near_peer(const fleet &it, time_point now) -> bool {
    return std::any_of(it.others.begin(), it.others.end(),
                       [&](const auto &entry) {
                           return serves_own_domain(it, entry.second, now);
                       });
}

auto is_far(const fleet &it, std::uint32_t peer) -> bool {
    const auto found = it.others.find(peer);
    return found != it.others.end() &&
           found->second.failure_domain != it.self.failure_domain;
}

// Bytes between failure domains are dear, and a whole state is large.
auto leaves_to_near_peers(const board &it, std::uint32_t from, time_point now)
    -> bool {
    return now - it.started < near_patience && is_far(it.members, from) &&
           has_near_peer(it.members, now);
}

auto pull(board &it, std::uint32_t from, feed what, time_point now,
          std::vector<outgoing_message> &out) -> void {
    auto &pulled = it.pulled[static_cast<std::size_t>(what)];
    // A balancer that has just started has asked the store already.
    const auto starts =
        !version_of(it, what).complete &&
        it.calls[static_cast<std::size_t>(what)].failures == 0 &&
        now - it.started < start_patience;
    if (starts || now - pulled < pull_patience)
        return;
    if (!version_of(it, what).complete && leaves_to_near_peers(it, from, now))
        return;
    pulled = now;
    out.push_back({.to = from,
                   .message = pull_message{
                       .what = what, .since = version_of(it, what).as_of}});
}

auto compare(board &it, std::uint32_t from, feed what,
             const reported_version &told, time_point now,
             std::vector<outgoing_message> &out) -> void {
    auto &own = version_of(it, what);
    // The peer knows that there is nothing yet.
    if (!told.complete && told.as_of > 0 && !own.complete)
        return confirm(it, what, told, now);
    if (!told.complete)
        return;
    if (own.complete && told.content == own.content)
        return confirm(it, what, told, now);
    if (!own.complete || told.content > own.content)
        pull(it, from, what, now, out);
}

auto is_small(const board &it) -> bool {
    const auto &steering = it.steering;
    const auto routes =
        steering.in_force ? steering.in_force->routes.size() : 0;
    return steering.upstreams.by_id.size() + routes <= small_state;
}

// A starting balancer that is sent a small state saves a turn.
auto help_start(board &it, std::uint32_t to, const digest_message &message,
                time_point now, std::vector<outgoing_message> &out) -> void {
    auto &helped = it.helped[to];
    if (!can_serve(it) ||
        (helped != time_point{} && now - helped < help_interval))
        return;
    helped = now;
    if (!is_small(it)) {
        out.push_back({.to = to, .message = make_digest(it, 0, now)});
        return;
    }
    for (std::size_t i = 0; i < feed_count; ++i) {
        if (!message.versions[i].complete)
            send_state(it, to, static_cast<feed>(i), 0, now, out);
    }
}

auto on_body(board &it, std::uint32_t from, const digest_message &message,
             time_point now, std::vector<outgoing_message> &out) -> void {
    auto sender = message.sender;
    sender.address = from;
    sender.heard = now;
    note_member(it.members, sender);
    for (const auto &told : message.members) {
        auto seen = told.member;
        seen.heard = now - told.age;
        if (now - seen.heard < known_for(it.members))
            note_member(it.members, seen);
    }
    for (std::size_t i = 0; i < feed_count; ++i)
        compare(it, from, static_cast<feed>(i), message.versions[i], now, out);
    if (message.wants_state)
        help_start(it, from, message, now, out);
}

auto on_body(board &it, std::uint32_t from, const pull_message &message,
             time_point now, std::vector<outgoing_message> &out) -> void {
    send_state(it, from, message.what, message.since, now, out);
}

// ---- records

auto adopt_version(board &it, feed what, const reported_version &told,
                   time_point now) -> void {
    auto &own = version_of(it, what);
    own.complete = true;
    own.content = std::max(own.content, told.content);
    confirm(it, what, told, now);
}

auto on_body(board &it, std::uint32_t from, const records_message &message,
             time_point now, std::vector<outgoing_message> &out) -> void {
    auto &own = version_of(it, feed::upstreams);
    const auto before = own.as_of;
    auto news = false;
    for (const auto &record : message.records)
        news |= apply_record(it.steering.upstreams, record, now);
    const auto fills =
        own.complete ? message.from <= before : message.from == 0;
    if (!fills)
        return pull(it, from, feed::upstreams, now, out);
    it.pulled[static_cast<std::size_t>(feed::upstreams)] = now;
    if (!note_part(it.arriving_records, from, message))
        return;
    const auto first = !own.complete;
    adopt_version(it, feed::upstreams, message.version, now);
    it.steering.upstreams_known = true;
    it.pulled[static_cast<std::size_t>(feed::upstreams)] = {};
    if (news && !first)
        pass_on_records(it, before, from, now, out);
}

// ---- configurations

auto put_in_force(board &it, std::shared_ptr<configuration> next) -> bool {
    auto &current = it.steering.in_force;
    if (current && next->revision <= current->revision)
        return false;
    index_routes(*next);
    current = std::move(next);
    return true;
}

auto on_body(board &it, std::uint32_t from, const routes_message &message,
             time_point now, std::vector<outgoing_message> &out) -> void {
    auto &own = version_of(it, feed::configuration);
    if (own.complete && message.settings.revision <= own.content)
        return;
    it.pulled[static_cast<std::size_t>(feed::configuration)] = now;
    auto whole = assemble(it.arriving_configuration, message);
    if (!whole)
        return;
    const auto first = !own.complete;
    if (!put_in_force(it, std::move(whole)))
        return;
    adopt_version(it, feed::configuration, message.version, now);
    it.pulled[static_cast<std::size_t>(feed::configuration)] = {};
    if (!first)
        offer(it, from, now, out);
}

auto on_body(board &it, std::uint32_t /*from*/, const outcomes_message &message,
             time_point now, std::vector<outgoing_message> & /*out*/) -> void {
    take_told_outcomes(it, message, now);
}

auto on_body(board &it, std::uint32_t /*from*/,
             const judgements_message &message, time_point now,
             std::vector<outgoing_message> & /*out*/) -> void {
    take_told_judgements(it, message, now);
}

auto on_body(board &it, std::uint32_t from, const probe_message &message,
             time_point now, std::vector<outgoing_message> &out) -> void {
    take_probe(it, from, message, now, out);
}

// ---- answers of the store

auto may_come_back(const board &it, time_point now) -> bool {
    return it.store_away || now - it.store_returned < lapse_window;
}

// An upstream whose entry vanished keeps getting flows for a moment if the
// store was away, unless it was leaving anyway.
auto lapse_instead(const board &it, upstream_record record, time_point now)
    -> upstream_record {
    const auto &table = it.steering.upstreams;
    const auto found = table.by_id.find(record.id);
    if (record.state != upstream_state::gone || found == table.by_id.end())
        return record;
    const auto known = table.all[found->second].record.state;
    const auto lapses =
        known == upstream_state::ready && may_come_back(it, now);
    if (lapses || known == upstream_state::lapsed)
        record.state = upstream_state::lapsed;
    return record;
}

auto sorted_ids(const std::vector<upstream_record> &records)
    -> std::vector<std::string> {
    std::vector<std::string> ids;
    ids.reserve(records.size());
    for (const auto &record : records)
        ids.push_back(record.id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

auto take_records(board &it, const store_answer &answer, time_point now)
    -> bool {
    auto news = false;
    auto &table = it.steering.upstreams;
    for (const auto &record : answer.records)
        news |= apply_record(table, lapse_instead(it, record, now), now);
    if (answer.outcome != store_outcome::listed)
        return news;
    it.steering.upstreams_known = true;
    if (answer.may_be_stale)
        return news;
    const auto before = table.content;
    retire_missing(table, sorted_ids(answer.records), answer.as_of,
                   may_come_back(it, now) ? upstream_state::lapsed
                                          : upstream_state::gone,
                   now);
    return news || table.content != before;
}

// The store was away if calls of this balancer failed, or if nobody's calls
// were answered for longer than watches take.
auto was_away(const board &it, const feed_version &own, time_point now)
    -> bool {
    const auto unconfirmed =
        own.confirmed != time_point{} &&
        now - own.confirmed >= it.apply_within * away_part / 100;
    return it.store_away || unconfirmed;
}

// One of several that watch may stop if it only took over.
auto note_store_answered(board &it, feed what, time_point now) -> void {
    constexpr milliseconds told_late{50};
    auto &call = it.calls[static_cast<std::size_t>(what)];
    if (was_away(it, version_of(it, what), now))
        it.store_returned = now;
    it.store_away = false;
    if (call.others_confirmed > call.succeeded + told_late)
        call.took_over = false;
    call.failures = 0;
    call.succeeded = now;
}

auto take_success(board &it, const store_answer &answer, time_point now,
                  std::vector<outgoing_message> &out) -> void {
    auto &own = version_of(it, answer.what);
    auto &call = it.calls[static_cast<std::size_t>(answer.what)];
    note_store_answered(it, answer.what, now);
    call.needs_list = false;
    const auto before = own.as_of;
    const auto first = !own.complete;
    auto news = false;
    if (answer.what == feed::upstreams) {
        news = take_records(it, answer, now);
        own.content = it.steering.upstreams.content;
    } else if (answer.settings) {
        news = put_in_force(it, answer.settings);
        own.content = std::max(own.content, answer.settings->revision);
    }
    own.as_of = std::max(own.as_of, answer.as_of);
    if (!answer.may_be_stale)
        own.confirmed = now;
    own.complete =
        answer.what == feed::upstreams || it.steering.in_force != nullptr;
    if (answer.may_be_stale)
        return;
    if (news && !first && answer.what == feed::upstreams)
        pass_on_records(it, before, 0, now, out);
    else
        offer(it, 0, now, out);
}

} // namespace

auto send_digests(board &it, time_point now, std::vector<outgoing_message> &out)
    -> void {
    expire_members(it.members, now);
    boost::unordered::erase_if(it.helped, [&](const auto &entry) {
        return now - entry.second >= help_interval;
    });
    const auto digest = make_digest(it, digest_members, now);
    const auto peers = random_peers(it.members, digest_peers, 2, now);
    for (const auto to : peers)
        out.push_back({.to = to, .message = digest});
}

auto on_peer_message(board &it, std::uint32_t from, const peer_message &message,
                     time_point now, std::vector<outgoing_message> &out)
    -> void {
    ++it.counters.peer_messages;
    if (from == it.members.self.address)
        return;
    const auto known = it.members.others.find(from);
    const auto is_newcomer = known == it.members.others.end() ||
                             !is_live(it.members, known->second, now);
    if (known != it.members.others.end())
        known->second.heard = now;
    std::visit([&](const auto &body) { on_body(it, from, body, now, out); },
               message);
    // Few have heard of it, so few tell it who else is there.
    if (is_newcomer && std::holds_alternative<digest_message>(message))
        out.push_back(
            {.to = from, .message = make_digest(it, digest_members, now)});
}

auto on_store_answer(board &it, const store_answer &answer, time_point now,
                     std::vector<outgoing_message> &out) -> void {
    auto &call = it.calls[static_cast<std::size_t>(answer.what)];
    call.under_way = false;
    switch (answer.outcome) {
    case store_outcome::listed:
    case store_outcome::changed:
        return take_success(it, answer, now, out);
    case store_outcome::history_gone:
        note_store_answered(it, answer.what, now);
        call.needs_list = true;
        return;
    case store_outcome::refused:
    case store_outcome::failed:
        ++call.failures;
        it.store_away = true;
    }
}

} // namespace dogwoodtrack::carried
