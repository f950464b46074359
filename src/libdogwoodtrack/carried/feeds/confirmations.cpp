#include "carried/feeds/confirmations.hpp"

#include <algorithm>

#include "carried/feeds/gossip_sending.hpp"
#include "carried/feeds/restored_store.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Part of a feed's time bound, in percent: a peer is asked about a
/// confirmation that seems later than the own one by this much.
constexpr int ask_margin_percent = 10;
/// Shortest time between two such questions.
constexpr milliseconds ask_interval{50};
/// Part of a feed's time bound, in percent: a confirmation that replaces one
/// older than this is passed on at once, not with the next digest.
constexpr int forwarded_age_percent = 50;
/// Part of a feed's time bound, in percent: a peer that asks is told of a
/// confirmation that is later by this much.
constexpr int news_margin_percent = 5;

// Time as of which the store confirmed a reported version, or an earlier one:
// default value if unknown, because this balancer did not ask for the version.
// Messages may lie unread for seconds when a balancer stands still, so the time
// at which one is read says nothing.
auto confirmation_time(const blackboard &board,
                       const reported_version &reported, time_point now)
    -> time_point {
    const auto is_plausible =
        reported.asked_at >= board.started && reported.asked_at <= now;
    return is_plausible ? reported.asked_at - reported.age : time_point{};
}

// Time by which the confirmation that a peer reports seems later than the own
// one of the same content; not positive if it does not.
auto reported_lead(const blackboard &board, feed what,
                   const reported_version &reported, time_point now)
    -> monotonic::duration {
    const auto &own_version = version_of(board, what);
    if (!is_enabled(board, what) || !own_version.complete ||
        !reported.complete || reported.content != own_version.content ||
        !is_believable(board.store_era, reported))
        return monotonic::duration{0};
    return now - reported.age - own_version.confirmed;
}

} // namespace

auto adopt_confirmation(blackboard &board, feed what,
                        const reported_version &reported, time_point now)
    -> void {
    auto &own_version = version_of(board, what);
    auto &call = board.calls[static_cast<std::size_t>(what)];
    own_version.as_of = std::max(own_version.as_of, reported.as_of);
    adopt_peer_era(board, reported, now);
    const auto confirmed = confirmation_time(board, reported, now);
    own_version.confirmed = std::max(own_version.confirmed, confirmed);
    call.last_peer_confirmation =
        std::max(call.last_peer_confirmation, confirmed);
}

auto adopt_version(blackboard &board, feed what,
                   const reported_version &reported, time_point now) -> void {
    auto &own_version = version_of(board, what);
    own_version.complete = true;
    own_version.content = std::max(own_version.content, reported.content);
    adopt_confirmation(board, what, reported, now);
}

auto answer_question(blackboard &board, std::uint32_t from,
                     const digest_message &message, time_point now,
                     std::vector<outgoing_message> &out) -> void {
    if (message.asked_at == time_point{})
        return;
    for (std::size_t i = 0; i < feed_count; ++i) {
        const auto what = static_cast<feed>(i);
        const auto &own_version = version_of(board, what);
        const auto &reported = message.versions[i];
        const auto has_newer = own_version.complete && reported.complete &&
                               own_version.content > reported.content;
        const auto margin = time_bound(board, what) * news_margin_percent / 100;
        if (has_newer || reported_lead(board, what, reported, now) < -margin) {
            out.push_back(
                {.to = from,
                 .message = make_digest(board, 0, message.asked_at, now)});
            return;
        }
    }
}

auto ask_for_confirmation(blackboard &board, std::uint32_t from, feed what,
                          const reported_version &reported, time_point now,
                          std::vector<outgoing_message> &out) -> void {
    const auto margin = time_bound(board, what) * ask_margin_percent / 100;
    if (now - board.last_asked < ask_interval ||
        reported_lead(board, what, reported, now) <= margin)
        return;
    board.last_asked = now;
    auto question = make_digest(board, 0, {}, now);
    question.asked_at = now;
    out.push_back({.to = from, .message = std::move(question)});
}

auto feeds_to_forward(const blackboard &board, time_point now)
    -> std::bitset<feed_count> {
    std::bitset<feed_count> feeds;
    for (std::size_t i = 0; i < feed_count; ++i) {
        const auto bound = time_bound(board, static_cast<feed>(i));
        feeds[i] = is_enabled(board, static_cast<feed>(i)) &&
                   now - board.versions[i].confirmed >
                       bound * forwarded_age_percent / 100;
    }
    return feeds;
}

} // namespace dogwoodtrack::carried
