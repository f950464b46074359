#include "carried/feeds/store_answers.hpp"

#include <algorithm>
#include <utility>

#include "carried/feeds/evacuations.hpp"
#include "carried/feeds/gossip.hpp"
#include "carried/feeds/restored_store.hpp"

namespace dogwoodtrack::carried {

namespace {

/// If the entry of a ready upstream is removed during an outage of the store or
/// within this time after it, the state of the upstream becomes `lapsed`, not
/// `gone`, as the entry may reappear.
constexpr milliseconds lapse_window{2'500};
/// Part of the feed's time bound, in percent: if a feed was unconfirmed for
/// longer, the store is taken to have been unreachable.
constexpr int unreachable_percent = 50;

// Whether an upstream's entry that is removed now may reappear soon, because
// the store is unreachable or was so until recently.
auto may_reappear(const blackboard &board, time_point now) -> bool {
    return board.store_unreachable ||
           now - board.store_recovered < lapse_window;
}

// Returns the record to apply: `record`, with its state changed from `gone` to
// `lapsed` if the known state of the upstream is `lapsed` already, or if it is
// `ready` and the store is unreachable or was so until recently. A lapsed
// upstream keeps receiving new flows for `lapse_grace`. For a draining upstream
// the state `gone` is kept.
auto lapse_if_may_reappear(const blackboard &board, upstream_record record,
                           time_point now) -> upstream_record {
    const auto &table = board.steering.upstreams;
    const auto found = table.by_id.find(record.id);
    if (record.state != upstream_state::gone || found == table.by_id.end())
        return record;
    const auto known = table.all[found->second].record.state;
    const auto lapses =
        known == upstream_state::ready && may_reappear(board, now);
    if (lapses || known == upstream_state::lapsed)
        record.state = upstream_state::lapsed;
    return record;
}

// Revision at which peers learn that `record`, which was in an answer of the
// store, has changed. A removal may be known by an earlier revision than the
// answer gives it.
auto revision_of_change(const upstream_table &table,
                        const upstream_record &record) -> store_revision {
    const auto found = table.by_id.find(record.id);
    if (found == table.by_id.end())
        return record.changed_at;
    return std::min(record.changed_at,
                    table.all[found->second].record.changed_at);
}

// Applies the upstreams in an answer of the store, and counts their changes
// towards the version of the feed. Changes later than the answer's `as_of` do
// not count: the answer need not show all earlier ones, as when a further page
// of a list was read later. For the same reason, records pushed by peers count
// only once a version covers them: balancers with equal `content` take each
// other to have all changes up to it.
auto apply_records(blackboard &board, const store_answer &answer,
                   time_point now) -> bool {
    auto changed = false;
    auto &table = board.steering.upstreams;
    auto &content = version_of(board, feed::upstreams).content;
    for (auto record : answer.records) {
        record.written_in_era = is_written_in_era(board, answer, record);
        changed |=
            apply_record(table, lapse_if_may_reappear(board, record, now), now);
        const auto revision = revision_of_change(table, record);
        if (revision <= answer.as_of)
            content = std::max(content, revision);
    }
    if (answer.outcome != store_outcome::listed)
        return changed;
    board.steering.upstreams_known = true;
    version_of(board, feed::upstreams).removals_since = answer.as_of;
    if (answer.may_be_stale)
        return changed;
    const auto retired =
        retire_missing(table, present_ids(table, answer.records), answer.as_of,
                       may_reappear(board, now) ? upstream_state::lapsed
                                                : upstream_state::gone,
                       now);
    if (retired)
        content = std::max(content, answer.as_of);
    return changed || retired;
}

// Whether the store was unreachable before the answer that arrives now: this
// balancer's last call was refused or failed, or the feed was unconfirmed for
// longer than a watch takes, so that no balancer can have got an answer.
auto was_store_unreachable(const blackboard &board, feed what, time_point now)
    -> bool {
    const auto &confirmed = version_of(board, what).confirmed;
    const auto unconfirmed =
        confirmed != time_point{} &&
        now - confirmed >= time_bound(board, what) * unreachable_percent / 100;
    return board.store_unreachable || unconfirmed;
}

// Records that the store answered a call. Ends a takeover if, according to
// peers, the store has confirmed the feed to another balancer since the
// previous answer to this one: another balancer watches the store again.
auto record_store_answer(blackboard &board, feed what, time_point now) -> void {
    constexpr milliseconds confirmation_margin{50};
    auto &call = board.calls[static_cast<std::size_t>(what)];
    if (was_store_unreachable(board, what, now))
        board.store_recovered = now;
    board.store_unreachable = false;
    if (call.last_peer_confirmation > call.last_success + confirmation_margin)
        call.taken_over = false;
    call.failures = 0;
    call.last_success = now;
}

// Whether the answer is older than the complete state known by now and must be
// ignored. An older list may show upstreams that were removed before that
// state, of which there is no record. Upstreams and configurations have
// revisions of their own, so an older answer to a watch does no harm.
auto is_outdated(const feed_version &own_version, const store_answer &answer)
    -> bool {
    if (answer.what == feed::evacuations)
        return !shows_known_evacuations(own_version, answer);
    return answer.may_be_stale && own_version.complete &&
           answer.as_of < own_version.as_of;
}

// Time as of which an answer certainly shows the state of the store: the end
// of the wait if it is that of a watch without changes, else the start of the
// call. When it was read says nothing: it may have lain unread while this
// balancer stood still.
auto confirmation_time(const store_call_state &call, const store_answer &answer,
                       time_point now) -> time_point {
    const auto changed = !answer.records.empty() ||
                         !answer.evacuations.empty() ||
                         answer.latest_configuration;
    const auto waited = answer.outcome == store_outcome::changed && !changed &&
                        now - call.started >= call.wait;
    return waited ? call.started + call.wait : call.started;
}

auto handle_success(blackboard &board, const store_answer &answer,
                    time_point now, std::vector<outgoing_message> &out)
    -> void {
    auto &own_version = version_of(board, answer.what);
    auto &call = board.calls[static_cast<std::size_t>(answer.what)];
    record_store_answer(board, answer.what, now);
    const auto previous_as_of = follow_unannounced_return(board, answer);
    call.needs_list = false;
    if (is_outdated(own_version, answer))
        return;
    const auto initial = !own_version.complete;
    auto changed = false;
    if (answer.what == feed::upstreams) {
        changed = apply_records(board, answer, now);
    } else if (answer.what == feed::evacuations) {
        changed = apply_evacuations(board, answer);
    } else if (answer.latest_configuration) {
        changed = activate_configuration(board, answer.latest_configuration);
        own_version.content = std::max(own_version.content,
                                       answer.latest_configuration->revision);
    }
    own_version.as_of = std::max(own_version.as_of, answer.as_of);
    if (!answer.may_be_stale)
        own_version.confirmed = std::max(own_version.confirmed,
                                         confirmation_time(call, answer, now));
    own_version.complete =
        answer.what != feed::configuration || board.steering.in_force;
    if (answer.may_be_stale)
        return;
    if (changed && !initial && answer.what == feed::upstreams)
        forward_records(board, previous_as_of, 0, now, out);
    else
        advertise(board, 0, now, out);
}

// The answer with all revisions in this era.
auto in_era(store_answer answer, std::uint64_t era) -> store_answer {
    set_era(answer, era);
    return answer;
}

// Applies an answer whose era is believed.
auto apply_answer(blackboard &board, const store_answer &answer, time_point now,
                  std::vector<outgoing_message> &out) -> void {
    auto &call = board.calls[static_cast<std::size_t>(answer.what)];
    // The feed may have been disabled since the call.
    if (!is_enabled(board, answer.what))
        return;
    switch (effective_outcome(board, answer)) {
    case store_outcome::listed:
    case store_outcome::changed:
        return handle_success(board, answer, now, out);
    case store_outcome::history_gone:
    case store_outcome::too_large:
        record_store_answer(board, answer.what, now);
        call.needs_list = true;
        return;
    case store_outcome::refused:
    case store_outcome::failed:
        ++call.failures;
        board.store_unreachable = true;
    }
}

} // namespace

auto on_store_answer(blackboard &board, const store_answer &received,
                     time_point now, std::vector<outgoing_message> &out)
    -> void {
    auto &call = board.calls[static_cast<std::size_t>(received.what)];
    if (!std::exchange(call.in_flight, false)) {
        // An answer without a call is as recent as it looks.
        call.started = now;
        call.wait = milliseconds{0};
    }
    call.ignored = !accept_answer_era(board, received, now);
    if (call.ignored)
        return record_store_answer(board, received.what, now);
    if (received.era_unreadable)
        return apply_answer(board, in_era(received, board.store_era.era), now,
                            out);
    apply_answer(board, received, now, out);
}

} // namespace dogwoodtrack::carried
