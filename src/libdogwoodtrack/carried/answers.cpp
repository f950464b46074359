#include "answers.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

constexpr std::uint32_t learned_after = 20;
constexpr float learning_weight = 0.03F;
/// An error comes in less than this part of the usual time and is shorter
/// than this part of the usual answer,
constexpr float soon_part = 0.2F;
constexpr float short_part = 0.5F;
/// or much shorter, whenever it comes.
constexpr float tiny_part = 0.08F;
/// Doubt that a failure adds, that an answer takes away, and that ejects.
constexpr float failure_doubt = 1.0F;
constexpr float answer_relief = 0.4F;
constexpr float probation_relief = 0.2F;
constexpr float doubt_limit = 2.9F;
/// After an ejection one more failure is enough.
constexpr float doubt_kept = 2.0F;
/// Probation ends below this doubt, or after this time without a judgement.
constexpr float probation_doubt = 1.05F;
constexpr milliseconds probation_longest{12'000};
constexpr milliseconds first_ejection{3'000};
constexpr milliseconds longest_ejection{24'000};
constexpr std::uint8_t doublings_max = 3;
constexpr double doubted_share_max = 0.4;

auto learn(answer_profile &usual, const answer_seen &answer) -> void {
    const auto weight =
        std::max(learning_weight, 1.0F / static_cast<float>(usual.seen + 1));
    usual.ms += weight * (answer.ms - usual.ms);
    usual.bytes += weight * (answer.bytes - usual.bytes);
    ++usual.seen;
}

// When many look ill, the load or the network is, and nobody is better off
// with fewer upstreams.
auto may_eject(const upstream_table &table, service_key service) -> bool {
    const auto found = table.placeable.find(service);
    if (found == table.placeable.end())
        return false;
    const auto &list = found->second;
    const auto doubted =
        std::count_if(list.begin(), list.end(), [&](upstream_index index) {
            return table.all[index].seen.doubt >= failure_doubt;
        });
    return static_cast<double>(doubted) <=
           doubted_share_max * static_cast<double>(list.size());
}

auto eject(upstream_observations &seen, time_point now) -> void {
    const auto length = std::min(
        first_ejection * (1 << std::min(seen.ejections, doublings_max)),
        longest_ejection);
    ++seen.ejections;
    seen.judged_elsewhere = false;
    seen.ejected_until = now + length;
    seen.doubt = doubt_kept;
}

} // namespace

auto learn_way(answer_profile &usual, float handshake_ms) -> void {
    constexpr float weight = 0.1F;
    if (usual.way_ms == 0)
        usual.way_ms = handshake_ms;
    else
        usual.way_ms += weight * (handshake_ms - usual.way_ms);
}

auto is_learned(const answer_profile &usual) -> bool {
    return usual.seen >= learned_after;
}

auto looks_like_error(answer_profile &usual, const answer_seen &answer)
    -> bool {
    const auto soon = answer.ms < soon_part * usual.ms;
    const auto small = answer.bytes < short_part * usual.bytes;
    const auto tiny = answer.bytes < tiny_part * usual.bytes;
    if (is_learned(usual) && ((soon && small) || tiny))
        return true;
    learn(usual, answer);
    return false;
}

auto note_outcome(upstream_table &table, upstream_index index,
                  request_outcome outcome, time_point now) -> void {
    auto &untold = table.all[index].seen.untold;
    if (outcome == request_outcome::answered) {
        ++untold.answers;
        return take_outcomes(table, index, {.answers = 1}, now);
    }
    if (untold.failures == 0)
        table.failing.push_back(index);
    ++untold.failures;
    take_outcomes(table, index, {.failures = 1}, now);
}

auto take_outcomes(upstream_table &table, upstream_index index,
                   const outcome_counts &counts, time_point now) -> void {
    auto &it = table.all[index];
    auto &seen = it.seen;
    const auto was_on_probation = is_on_probation(it, now);
    const auto relief = was_on_probation ? probation_relief : answer_relief;
    seen.doubt = std::max(
        0.0F, seen.doubt - relief * static_cast<float>(counts.answers));
    if (was_on_probation && !is_on_probation(it, now))
        table.judged.push_back(index);
    if (seen.doubt == 0)
        seen.ejections = 0;
    seen.doubt += failure_doubt * static_cast<float>(counts.failures);
    if (counts.failures == 0 || seen.doubt < doubt_limit ||
        is_ejected(it, now) || !may_eject(table, it.record.service))
        return;
    eject(seen, now);
    table.judged.push_back(index);
}

auto take_judgement(upstream &it, const judgement &said, time_point now)
    -> void {
    auto &seen = it.seen;
    seen.judged_elsewhere = true;
    seen.ejections = said.ejections;
    seen.ejected_until = now + said.left;
    seen.doubt = said.ejections > 0 ? doubt_kept : 0;
}

auto is_ejected(const upstream &it, time_point now) -> bool {
    return now < it.seen.ejected_until;
}

auto is_on_probation(const upstream &it, time_point now) -> bool {
    return it.seen.ejections > 0 && it.seen.doubt > probation_doubt &&
           now < it.seen.ejected_until + probation_longest;
}

} // namespace dogwoodtrack::carried
