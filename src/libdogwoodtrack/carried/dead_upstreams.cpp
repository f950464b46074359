#include "dead_upstreams.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Signs of silence are counted anew after a pause of this process.
constexpr milliseconds pause_limit{500};
/// Silence of an upstream whose entry is gone.
constexpr milliseconds silence_without_entry{800};
/// Silence of an upstream that the store still lists: so long, in so many
/// flows, and with so many openings unanswered in a row.
constexpr milliseconds silence_with_entry{600};
constexpr std::uint32_t silent_flows_least = 2;
constexpr std::uint32_t unanswered_least = 3;
/// Another upstream of the failure domain answered this recently: the domain
/// can be reached.
constexpr milliseconds reached_within{1'000};

/// What is known of the upstreams of one failure domain.
struct domain_view {
    std::size_t answering = 0;
    std::size_t silent = 0;
};
using domain_views = boost::unordered_flat_map<std::uint32_t, domain_view>;

auto is_silent(const upstream_observations &it) -> bool {
    return it.silent_since > it.last_answer;
}

auto restart_silence(upstream_observations &it, time_point now) -> void {
    if (is_silent(it))
        it.silent_since = now;
    it.silent_flows = 0;
}

auto view_domains(const upstream_table &table, time_point now) -> domain_views {
    domain_views views;
    for (const auto &it : table.all) {
        if (it.record.id.empty())
            continue;
        auto &view = views[it.record.failure_domain];
        if (is_silent(it.seen) &&
            now - it.seen.silent_since >= silence_with_entry)
            ++view.silent;
        else if (it.seen.last_answer != time_point{} &&
                 now - it.seen.last_answer < reached_within)
            ++view.answering;
    }
    return views;
}

auto is_reached(const domain_views &views, const upstream &it) -> bool {
    const auto found = views.find(it.record.failure_domain);
    return found != views.end() &&
           found->second.answering >=
               std::max<std::size_t>(1, found->second.silent);
}

auto is_silent_without_entry(const upstream &it, time_point now) -> bool {
    return it.record.state == upstream_state::gone && is_silent(it.seen) &&
           now - it.seen.silent_since >= silence_without_entry &&
           now - it.state_since >= silence_without_entry;
}

auto is_silent_with_entry(const upstream &it, time_point now) -> bool {
    return is_silent(it.seen) &&
           now - it.seen.silent_since >= silence_with_entry &&
           it.seen.silent_flows >= silent_flows_least &&
           it.seen.unanswered >= unanswered_least;
}

auto looks_dead(const upstream &it, time_point now) -> bool {
    return is_silent_without_entry(it, now) || is_silent_with_entry(it, now);
}

} // namespace

auto find_dead_upstreams(upstream_table &table, time_point now)
    -> std::vector<upstream_index> {
    const auto paused =
        now - std::exchange(table.looked_for_dead, now) >= pause_limit;
    const auto views = view_domains(table, now);
    std::vector<upstream_index> died = std::exchange(table.superseded, {});
    for (upstream_index i = 0; i < table.all.size(); ++i) {
        auto &it = table.all[i];
        if (it.record.id.empty() || it.death == upstream_death::superseded)
            continue;
        if (!is_silent(it.seen)) {
            it.death = upstream_death::none;
            continue;
        }
        // Silence says nothing where nobody could be heard.
        if (paused || !is_reached(views, it))
            restart_silence(it.seen, now);
        if (it.death != upstream_death::none || !looks_dead(it, now))
            continue;
        it.death = upstream_death::silent;
        died.push_back(i);
    }
    return died;
}

auto may_reset(const upstream &it, request_kind kind) -> bool {
    if (it.death == upstream_death::superseded)
        return true;
    return it.death == upstream_death::silent &&
           kind != request_kind::non_idempotent;
}

} // namespace dogwoodtrack::carried
