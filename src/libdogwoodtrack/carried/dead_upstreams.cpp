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
/// Silence of a whole failure domain, after which its balancers are asked.
constexpr milliseconds domain_silence{300};

/// What flows tell of the upstreams of one failure domain.
struct domain_view {
    std::size_t answering = 0;
    std::size_t silent = 0;
    std::size_t silent_flows = 0;
    time_point last_answer{};
};
using domain_views = boost::unordered_flat_map<std::uint32_t, domain_view>;

auto contains(const std::vector<std::uint32_t> &list, std::uint32_t value)
    -> bool {
    return std::find(list.begin(), list.end(), value) != list.end();
}

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
        view.silent_flows += it.seen.silent_flows;
        view.last_answer = std::max(view.last_answer, it.seen.last_answer);
        if (is_silent(it.seen) &&
            now - it.seen.silent_since >= silence_with_entry)
            ++view.silent;
        else if (now - it.seen.last_answer < reached_within)
            ++view.answering;
    }
    return views;
}

// ---- failure domains

auto is_reached(const domain_view &it) -> bool {
    return it.answering >= std::max<std::size_t>(1, it.silent);
}

auto answers(const domain_view &it, time_point now) -> bool {
    return now - it.last_answer < domain_silence;
}

auto another_answers(const domain_views &views, std::uint32_t domain,
                     time_point now) -> bool {
    return std::any_of(views.begin(), views.end(), [&](const auto &entry) {
        return entry.first != domain && answers(entry.second, now);
    });
}

auto is_unheard(const domain_views &views, std::uint32_t domain, time_point now)
    -> bool {
    const auto &view = views.at(domain);
    return view.silent_flows >= silent_flows_least && !answers(view, now) &&
           another_answers(views, domain, now);
}

auto list_domains(const domain_views &views, const auto &chosen)
    -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> list;
    for (const auto &[domain, view] : views) {
        if (chosen(domain, view))
            list.push_back(domain);
    }
    return list;
}

// A domain stays suspected as long as it is cut off: its balancers are asked.
auto suspect_domains(upstream_table &table, const domain_views &views,
                     const domain_knowledge &domains, time_point now) -> void {
    table.unheard_domains =
        list_domains(views, [&](std::uint32_t domain, const domain_view &) {
            return domain != domains.own && is_unheard(views, domain, now);
        });
    const auto before = std::exchange(table.suspected_domains, {});
    table.suspected_domains =
        list_domains(views, [&](std::uint32_t domain, const domain_view &view) {
            if (domain == domains.own || answers(view, now))
                return false;
            const auto stays = contains(before, domain) &&
                               contains(domains.out_of_reach, domain);
            const auto told =
                view.silent_flows > 0 && contains(domains.told_unheard, domain);
            return stays || told || contains(table.unheard_domains, domain);
        });
}

// Silence says nothing where nobody could be heard.
auto restart_where_unheard(upstream_table &table, const domain_views &views,
                           bool paused, time_point now) -> void {
    const auto unreached =
        list_domains(views, [](std::uint32_t, const domain_view &it) {
            return !is_reached(it);
        });
    const auto before = std::exchange(table.unreached_domains, unreached);
    for (auto &it : table.all) {
        const auto domain = it.record.failure_domain;
        const auto heard_again =
            contains(before, domain) && !contains(unreached, domain);
        if (paused || heard_again)
            restart_silence(it.seen, now);
    }
}

// ---- upstreams

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

auto judge(const upstream_table &table, const domain_knowledge &domains,
           const upstream &it, time_point now) -> upstream_death {
    const auto domain = it.record.failure_domain;
    if (contains(table.suspected_domains, domain) &&
        contains(domains.out_of_reach, domain))
        return upstream_death::cut_off;
    if (it.death == upstream_death::cut_off || !is_silent(it.seen))
        return upstream_death::none;
    if (contains(table.unreached_domains, domain))
        return it.death;
    return is_silent_without_entry(it, now) || is_silent_with_entry(it, now)
               ? upstream_death::silent
               : it.death;
}

} // namespace

auto find_dead_upstreams(upstream_table &table, const domain_knowledge &domains,
                         time_point now) -> std::vector<upstream_index> {
    const auto paused =
        now - std::exchange(table.looked_for_dead, now) >= pause_limit;
    const auto views = view_domains(table, now);
    restart_where_unheard(table, views, paused, now);
    suspect_domains(table, views, domains, now);
    auto found = std::exchange(table.superseded, {});
    for (upstream_index i = 0; i < table.all.size(); ++i) {
        auto &it = table.all[i];
        if (it.record.id.empty() || it.death == upstream_death::superseded)
            continue;
        const auto before =
            std::exchange(it.death, judge(table, domains, it, now));
        if (it.death != before && it.death != upstream_death::none)
            found.push_back(i);
    }
    return found;
}

auto may_reset(const upstream &it, request_kind kind, bool waits) -> bool {
    switch (it.death) {
    case upstream_death::none:
        return false;
    case upstream_death::superseded:
        return true;
    case upstream_death::silent:
        return kind != request_kind::non_idempotent;
    case upstream_death::cut_off:
        return kind != request_kind::non_idempotent && waits;
    }
    return false;
}

} // namespace dogwoodtrack::carried
