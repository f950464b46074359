#include "carried/upstreams/dead_upstreams.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Silence timers restart after a pause of this process of at least this time.
constexpr milliseconds max_pause{500};
/// An upstream is dead once it has been in state `gone` for this time, and a
/// request to it has been unanswered for this time, too.
constexpr milliseconds unlisted_silence_limit{800};
/// An upstream that has left a request unanswered for this time counts as
/// silent in its `domain_summary`. It is dead, even while the store lists it,
/// if enough of its flows and openings are unanswered, too.
constexpr milliseconds listed_silence_limit{600};
/// Minimum number of flows with unanswered requests for a listed upstream to
/// count as dead, or for a failure domain to count as unresponsive.
constexpr std::uint32_t min_silent_flows = 2;
/// Minimum number of consecutive unanswered openings for a listed upstream to
/// count as dead.
constexpr std::uint32_t min_unanswered = 3;
/// An upstream that answered within this time counts as answering when the
/// answering and the silent upstreams of a failure domain are compared.
constexpr milliseconds answering_window{1'000};
/// Time without an answer from any upstream of a failure domain after which the
/// domain can be suspected, so that its balancers are probed.
constexpr milliseconds domain_silence_limit{300};

/// Summary of the upstreams of one failure domain, as observed from the flows
/// of this instance.
struct domain_summary {
    std::size_t answering = 0; ///< upstreams that answered recently
    /// Upstreams with a request unanswered for `listed_silence_limit`.
    std::size_t silent = 0;
    std::size_t silent_flows = 0; ///< flows with an unanswered request
    time_point last_response{};   ///< latest response of any upstream
};
using domain_summaries =
    boost::unordered_flat_map<std::uint32_t, domain_summary>;

auto contains(const std::vector<std::uint32_t> &list, std::uint32_t value)
    -> bool {
    return std::find(list.begin(), list.end(), value) != list.end();
}

// Whether a request was sent to the upstream since its last response.
auto has_unanswered_request(const upstream_stats &it) -> bool {
    return it.silent_since > it.last_response;
}

auto is_silent_for(const upstream_stats &it, milliseconds limit, time_point now)
    -> bool {
    return has_unanswered_request(it) && now - it.silent_since >= limit;
}

auto restart_silence_timer(upstream_stats &it, time_point now) -> void {
    if (has_unanswered_request(it))
        it.silent_since = now;
    it.silent_flows = 0;
}

auto summarize_domains(const upstream_table &table, time_point now)
    -> domain_summaries {
    domain_summaries summaries;
    for (const auto &it : table.all) {
        if (it.record.id.empty())
            continue;
        auto &summary = summaries[it.record.failure_domain];
        summary.silent_flows += it.stats.silent_flows;
        summary.last_response =
            std::max(summary.last_response, it.stats.last_response);
        if (is_silent_for(it.stats, listed_silence_limit, now))
            ++summary.silent;
        else if (now - it.stats.last_response < answering_window)
            ++summary.answering;
    }
    return summaries;
}

// ---- failure domains

auto is_mostly_answering(const domain_summary &it) -> bool {
    return it.answering >= std::max<std::size_t>(1, it.silent);
}

auto answered_recently(const domain_summary &it, time_point now) -> bool {
    return now - it.last_response < domain_silence_limit;
}

auto other_domain_answers(const domain_summaries &summaries,
                          std::uint32_t domain, time_point now) -> bool {
    return std::any_of(summaries.begin(), summaries.end(),
                       [&](const auto &entry) {
                           return entry.first != domain &&
                                  answered_recently(entry.second, now);
                       });
}

auto is_unresponsive(const domain_summaries &summaries, std::uint32_t domain,
                     time_point now) -> bool {
    const auto &summary = summaries.at(domain);
    return summary.silent_flows >= min_silent_flows &&
           !answered_recently(summary, now) &&
           other_domain_answers(summaries, domain, now);
}

auto list_domains(const domain_summaries &summaries, const auto &predicate)
    -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> list;
    for (const auto &[domain, summary] : summaries) {
        if (predicate(domain, summary))
            list.push_back(domain);
    }
    return list;
}

// Updates the domains that are unresponsive and those that are suspected. A
// domain that is cut off stays suspected, so that its balancers are probed
// until they answer.
auto update_suspected_domains(upstream_table &table,
                              const domain_summaries &summaries,
                              const domain_reachability &domains,
                              time_point now) -> void {
    table.unresponsive_domains = list_domains(
        summaries, [&](std::uint32_t domain, const domain_summary &) {
            return domain != domains.own &&
                   is_unresponsive(summaries, domain, now);
        });
    const auto before = std::exchange(table.suspected_domains, {});
    table.suspected_domains = list_domains(
        summaries, [&](std::uint32_t domain, const domain_summary &summary) {
            if (domain == domains.own || answered_recently(summary, now))
                return false;
            const auto stays = contains(before, domain) &&
                               contains(domains.unreachable_domains, domain);
            const auto reported =
                summary.silent_flows > 0 &&
                contains(domains.reported_unresponsive, domain);
            return stays || reported ||
                   contains(table.unresponsive_domains, domain);
        });
}

// While a domain is mostly silent or this process is paused, a missing answer
// proves nothing about a single upstream. The silence timers of the upstreams
// concerned restart afterwards.
auto restart_silence_timers(upstream_table &table,
                            const domain_summaries &summaries, bool paused,
                            time_point now) -> void {
    const auto mostly_silent =
        list_domains(summaries, [](std::uint32_t, const domain_summary &it) {
            return !is_mostly_answering(it);
        });
    const auto before =
        std::exchange(table.mostly_silent_domains, mostly_silent);
    for (auto &it : table.all) {
        const auto domain = it.record.failure_domain;
        const auto recovered =
            contains(before, domain) && !contains(mostly_silent, domain);
        if (paused || recovered)
            restart_silence_timer(it.stats, now);
    }
}

// ---- upstreams

auto is_dead_without_entry(const upstream &it, time_point now) -> bool {
    return it.record.state == upstream_state::gone &&
           is_silent_for(it.stats, unlisted_silence_limit, now) &&
           now - it.state_since >= unlisted_silence_limit;
}

auto is_superseded(const upstream_table &table, upstream_index index,
                   const configuration &in_force, time_point now) -> bool {
    const auto &it = table.all[index];
    return (it.record.state == upstream_state::gone ||
            is_silent_for(it.stats, listed_silence_limit, now)) &&
           has_successor(table, index, in_force);
}

auto is_dead_with_entry(const upstream &it, time_point now) -> bool {
    return is_silent_for(it.stats, listed_silence_limit, now) &&
           it.stats.silent_flows >= min_silent_flows &&
           it.stats.unanswered >= min_unanswered;
}

auto determine_death(const upstream_table &table,
                     const domain_reachability &domains, const upstream &it,
                     time_point now) -> upstream_death {
    const auto domain = it.record.failure_domain;
    if (contains(table.suspected_domains, domain) &&
        contains(domains.unreachable_domains, domain))
        return upstream_death::cut_off;
    if (it.death == upstream_death::cut_off ||
        it.death == upstream_death::superseded ||
        !has_unanswered_request(it.stats))
        return upstream_death::none;
    if (contains(table.mostly_silent_domains, domain))
        return it.death;
    return is_dead_without_entry(it, now) || is_dead_with_entry(it, now)
               ? upstream_death::silent
               : it.death;
}

} // namespace

auto find_dead_upstreams(upstream_table &table,
                         const domain_reachability &domains,
                         const configuration *in_force, time_point now)
    -> std::vector<upstream_index> {
    const auto paused =
        now - std::exchange(table.last_dead_scan, now) >= max_pause;
    const auto summaries = summarize_domains(table, now);
    restart_silence_timers(table, summaries, paused, now);
    update_suspected_domains(table, summaries, domains, now);
    std::vector<upstream_index> found;
    for (upstream_index i = 0; i < table.all.size(); ++i) {
        auto &it = table.all[i];
        if (it.record.id.empty())
            continue;
        const auto superseded =
            in_force != nullptr && is_superseded(table, i, *in_force, now);
        const auto death = superseded
                               ? upstream_death::superseded
                               : determine_death(table, domains, it, now);
        const auto before = std::exchange(it.death, death);
        if (it.death != before && it.death != upstream_death::none)
            found.push_back(i);
    }
    return found;
}

auto may_reset(const upstream &it, request_kind kind, bool awaits_response)
    -> bool {
    switch (it.death) {
    case upstream_death::none:
        return false;
    case upstream_death::superseded:
        return true;
    case upstream_death::silent:
        return kind != request_kind::non_idempotent;
    case upstream_death::cut_off:
        return kind != request_kind::non_idempotent && awaits_response;
    }
    return false;
}

} // namespace dogwoodtrack::carried
