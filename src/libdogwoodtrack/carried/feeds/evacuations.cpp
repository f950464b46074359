#include "carried/feeds/evacuations.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

auto replace_set(blackboard &board, std::vector<evacuated_domain> next)
    -> bool {
    auto &state = board.evacuations;
    board.steering.evacuations_known = true;
    if (next == state.domains)
        return false;
    state.domains = std::move(next);
    ++state.changes;
    std::vector<std::uint32_t> domains;
    for (const auto &it : state.domains)
        domains.push_back(it.domain);
    set_evacuated_domains(board.steering.upstreams, std::move(domains));
    return true;
}

auto apply_entry(std::vector<evacuated_domain> &set,
                 const evacuation_entry &entry) -> void {
    const auto at = std::lower_bound(set.begin(), set.end(), entry.domain);
    const auto present = at != set.end() && *at == entry.domain;
    if (entry.removed && present)
        set.erase(at);
    else if (!entry.removed && !present)
        set.insert(at, entry.domain);
}

// Adds the domains in force that a set of a later era lacks: the store may have
// lost entries that it acknowledged.
auto keep_in_force(evacuation_state &state, std::vector<evacuated_domain> &next)
    -> void {
    for (const auto &domain : state.domains) {
        if (std::find(next.begin(), next.end(), domain) == next.end() &&
            std::find(state.kept.begin(), state.kept.end(), domain) ==
                state.kept.end())
            state.kept.push_back(domain);
    }
}

// Adds the kept domains to a complete set. A kept domain that the set contains
// was written again.
auto add_kept(evacuation_state &state, std::vector<evacuated_domain> &next)
    -> void {
    std::erase_if(state.kept, [&](const auto &domain) {
        return std::find(next.begin(), next.end(), domain) != next.end();
    });
    next.insert(next.end(), state.kept.begin(), state.kept.end());
    std::sort(next.begin(), next.end());
}

auto is_known_domain(const blackboard &board, std::uint32_t domain) -> bool {
    const auto &members = board.members;
    const auto &upstreams = board.steering.upstreams.all;
    return members.self.failure_domain == domain ||
           std::any_of(members.others.begin(), members.others.end(),
                       [&](const auto &entry) {
                           return entry.second.failure_domain == domain;
                       }) ||
           std::any_of(upstreams.begin(), upstreams.end(),
                       [&](const upstream &it) {
                           return !it.record.id.empty() &&
                                  it.record.failure_domain == domain;
                       });
}

} // namespace

auto set_evacuate_within(blackboard &board, milliseconds within) -> void {
    const auto was_enabled = is_enabled(board, feed::evacuations);
    board.evacuate_within = within;
    const auto enabled = is_enabled(board, feed::evacuations);
    if (enabled == was_enabled)
        return;
    replace_set(board, {});
    board.evacuations.kept.clear();
    version_of(board, feed::evacuations) = {};
    board.incoming_evacuations = {};
    board.steering.evacuations_known = !enabled;
}

auto shows_known_evacuations(const feed_version &known,
                             const store_answer &answer) -> bool {
    if (!known.complete)
        return answer.outcome == store_outcome::listed;
    return answer.as_of >= known.as_of;
}

auto apply_evacuations(blackboard &board, const store_answer &answer) -> bool {
    const auto listed = answer.outcome == store_outcome::listed;
    auto &known = version_of(board, feed::evacuations);
    auto &content = known.content;
    // When the set became as listed is unknown: an entry removed earlier leaves
    // no trace in a list.
    if (listed)
        content = std::max(content, answer.as_of);
    auto next =
        listed ? std::vector<evacuated_domain>{} : board.evacuations.domains;
    for (const auto &entry : answer.evacuations) {
        apply_entry(next, entry);
        if (!listed)
            std::erase(board.evacuations.kept, entry.domain);
        // Counts even if the set stays the same: a list whose later pages were
        // read after its revision may have had this change already.
        content = std::max(content, std::min(entry.changed_at, answer.as_of));
    }
    if (listed && known.complete && answer.as_of.era > known.as_of.era)
        keep_in_force(board.evacuations, next);
    if (listed)
        add_kept(board.evacuations, next);
    return replace_set(board, std::move(next));
}

auto is_newer_set(const feed_version &known, const reported_version &reported)
    -> bool {
    return reported.complete &&
           (!known.complete || reported.content > known.as_of);
}

auto is_same_set(const feed_version &known, const reported_version &reported)
    -> bool {
    return known.complete && reported.complete &&
           reported.content <= known.as_of && known.content <= reported.as_of;
}

auto adopt_evacuations(blackboard &board, std::vector<evacuated_domain> whole,
                       const reported_version &reported) -> bool {
    const auto &known = version_of(board, feed::evacuations);
    if (!is_newer_set(known, reported))
        return false;
    if (known.complete && reported.content.era > known.as_of.era)
        keep_in_force(board.evacuations, whole);
    else
        board.evacuations.kept.clear();
    add_kept(board.evacuations, whole);
    whole.erase(std::unique(whole.begin(), whole.end()), whole.end());
    replace_set(board, std::move(whole));
    return true;
}

auto take_unknown_evacuations(blackboard &board, time_point now)
    -> std::vector<std::string> {
    auto &state = board.evacuations;
    if (state.unknown_checked == state.changes || !can_serve(board) ||
        now - board.started < membership_warm_up)
        return {};
    state.unknown_checked = state.changes;
    std::vector<std::string> unknown;
    for (const auto &it : state.domains) {
        if (!is_known_domain(board, it.domain))
            unknown.push_back(it.name);
    }
    auto added = unknown;
    std::erase_if(added, [&](const std::string &name) {
        return std::find(state.reported_unknown.begin(),
                         state.reported_unknown.end(),
                         name) != state.reported_unknown.end();
    });
    state.reported_unknown = std::move(unknown);
    return added;
}

} // namespace dogwoodtrack::carried
