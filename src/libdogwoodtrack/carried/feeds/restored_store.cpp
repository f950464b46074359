#include "carried/feeds/restored_store.hpp"

#include <algorithm>

#include "carried/upstreams/restored_records.hpp"

namespace dogwoodtrack::carried {

namespace {

auto call_state_of(blackboard &board, feed what) -> store_call_state & {
    return board.calls[static_cast<std::size_t>(what)];
}

// Lowers a revision of a later era than `era` to before the first revision of
// that era.
auto lower(store_revision &it, std::uint64_t era) -> void {
    if (it.era > era)
        it = {.era = era, .number = 0};
}

auto lower_records(upstream_table &table, std::uint64_t era) -> void {
    for (auto &it : table.all) {
        if (it.record.revision.era > era)
            it.record.written_in_era = false;
        lower(it.record.revision, era);
        lower(it.record.changed_at, era);
    }
    lower(table.forgotten, era);
}

// Gives state of later eras than `era` a revision before the first one of that
// era, and lists all feeds again.
auto lower_state(blackboard &board, std::uint64_t era) -> void {
    lower_records(board.steering.upstreams, era);
    for (auto &version : board.versions) {
        lower(version.content, era);
        lower(version.as_of, era);
        lower(version.removals_since, era);
    }
    for (auto &call : board.calls) {
        call.needs_list = true;
        call.went_back_to = {};
    }
    auto &in_force = board.steering.in_force;
    if (!in_force || in_force->revision.era <= era)
        return;
    auto lowered = std::make_shared<configuration>(*in_force);
    lower(lowered->revision, era);
    in_force = std::move(lowered);
}

auto has_era(const store_answer &answer) -> bool {
    return !answer.era_unreadable && answer.outcome != store_outcome::refused &&
           answer.outcome != store_outcome::failed;
}

auto highest_era(const reported_version &it) -> std::uint64_t {
    return std::max({it.content.era, it.as_of.era, it.removals_since.era});
}

} // namespace

auto accept_answer_era(blackboard &board, const store_answer &answer,
                       time_point now) -> bool {
    auto &state = board.store_era;
    state.unreadable = answer.era_unreadable;
    if (!has_era(answer))
        return true;
    const auto was_known = state.known;
    const auto verdict = observe_store_era(state, answer.as_of.era);
    if (verdict == era_verdict::adopted && was_known) {
        // Entries that the older copy lacks may be written again soon.
        board.store_recovered = now;
        if (state.era < state.previous)
            lower_state(board, state.era);
    }
    return verdict != era_verdict::ignored;
}

auto effective_outcome(const blackboard &board, const store_answer &answer)
    -> store_outcome {
    const auto &call = board.calls[static_cast<std::size_t>(answer.what)];
    const auto lost_history = answer.outcome == store_outcome::changed &&
                              answer.as_of.era != call.since.era;
    return lost_history ? store_outcome::history_gone : answer.outcome;
}

auto is_written_in_era(const blackboard &board, const store_answer &answer,
                       const upstream_record &record) -> bool {
    const auto &own_version = version_of(board, feed::upstreams);
    if (answer.as_of.era == 0)
        return false;
    return answer.outcome == store_outcome::changed ||
           (own_version.complete && own_version.as_of.era == answer.as_of.era &&
            record.revision > own_version.as_of);
}

auto present_ids(const upstream_table &table,
                 const std::vector<upstream_record> &records)
    -> std::vector<std::string> {
    std::vector<std::string> ids;
    ids.reserve(records.size());
    for (const auto &record : records) {
        const auto found = table.by_id.find(record.id);
        if (found == table.by_id.end() ||
            !is_earlier_incarnation(record, table.all[found->second].record))
            ids.push_back(record.id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

auto follow_unannounced_return(blackboard &board, const store_answer &answer)
    -> store_revision {
    const auto &own_version = version_of(board, answer.what);
    auto &call = call_state_of(board, answer.what);
    const auto had_gone_back = call.went_back_to != store_revision{};
    const auto new_since =
        had_gone_back && answer.outcome == store_outcome::changed
            ? std::min(own_version.as_of, call.since)
            : own_version.as_of;
    const auto relisted =
        answer.outcome == store_outcome::listed && call.needs_list;
    if (!answer.may_be_stale && (relisted || had_gone_back)) {
        const auto is_back = answer.as_of < own_version.as_of &&
                             answer.as_of.era == own_version.as_of.era;
        call.went_back_to = is_back ? answer.as_of : store_revision{};
    }
    return new_since;
}

auto is_believable(const store_era_state &state,
                   const reported_version &reported) -> bool {
    return is_believable(state, highest_era(reported));
}

auto is_believable(const store_era_state &state, const records_message &message)
    -> bool {
    auto era = std::max(message.from.era, highest_era(message.version));
    for (const auto &record : message.records)
        era = std::max({era, record.revision.era, record.changed_at.era});
    return is_believable(state, era);
}

auto adopt_peer_era(blackboard &board, const reported_version &reported,
                    time_point now) -> void {
    auto &state = board.store_era;
    const auto was_known = state.known;
    const auto previous = state.era;
    adopt_peer_era(state, reported.as_of.era);
    if (was_known && state.era != previous)
        board.store_recovered = now;
}

auto missing_state(const feed_version &own_version,
                   const reported_version &reported) -> upstream_state {
    return own_version.complete && reported.as_of.era > own_version.as_of.era
               ? upstream_state::lapsed
               : upstream_state::gone;
}

auto add_correction(const upstream_table &table, const upstream_record &record,
                    const store_revision &previous_as_of,
                    std::vector<upstream_record> &corrections) -> void {
    const auto found = table.by_id.find(record.id);
    if (found == table.by_id.end())
        return;
    const auto &known = table.all[found->second].record;
    if (known.changed_at.era > 0 &&
        (known.state != record.state || known.changed_at <= previous_as_of))
        corrections.push_back(known);
}

auto keep_in_force(steering_state &state, const store_revision &revision)
    -> void {
    if (revision <= state.in_force->revision)
        return;
    auto kept = std::make_shared<configuration>(*state.in_force);
    kept->revision = revision;
    state.in_force = std::move(kept);
}

auto last_confirmation(const blackboard &board) -> time_point {
    auto last = board.started;
    for (const auto &version : board.versions)
        last = std::max(last, version.confirmed);
    return last;
}

} // namespace dogwoodtrack::carried
