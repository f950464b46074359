#include "carried/upstreams/outlier_ejection.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// A profile is used to classify responses only once it is based on this many.
constexpr std::uint32_t min_samples = 20;
/// Minimum weight of a new response in the smoothed profile, which is a plain
/// average until the weight would fall below this.
constexpr float sample_weight = 0.03F;
/// A response that takes less than this fraction of the baseline time and is
/// also small counts as an error.
constexpr float early_fraction = 0.2F;
/// A response with less than this fraction of the baseline size is small.
constexpr float small_fraction = 0.5F;
/// A response with less than this fraction of the baseline size counts as an
/// error however long it took.
constexpr float tiny_fraction = 0.08F;
/// Increase of the failure score for each failed request.
constexpr float score_per_failure = 1.0F;
/// Decrease of the failure score for each answered request.
constexpr float score_decay = 0.4F;
/// Decrease of the failure score for each answered request of an upstream on
/// probation.
constexpr float probation_score_decay = 0.2F;
/// An upstream is ejected when its failure score reaches this value.
constexpr float ejection_threshold = 2.9F;
/// Failure score after an ejection: one more failure ejects again.
constexpr float score_after_ejection = 2.0F;
/// Probation ends when the failure score falls to this value.
constexpr float probation_threshold = 1.05F;
/// Probation also ends this long after the end of the ejection, in case the
/// outlier detector has disappeared.
constexpr milliseconds max_probation{12'000};
/// Duration of the first ejection. It doubles for each consecutive one, at most
/// `max_doublings` times and up to `max_ejection`.
constexpr milliseconds base_ejection{3'000};
constexpr milliseconds max_ejection{24'000};
constexpr std::uint8_t max_doublings = 3;
/// No upstream is ejected while more than this fraction of its service's
/// upstreams have a failure score of at least `score_per_failure`.
constexpr double max_suspect_fraction = 0.4;

auto add_sample(response_profile &profile, const response_sample &response)
    -> void {
    const auto weight =
        std::max(sample_weight, 1.0F / static_cast<float>(profile.samples + 1));
    profile.ms += weight * (response.ms - profile.ms);
    profile.bytes += weight * (response.bytes - profile.bytes);
    ++profile.samples;
}

// If many upstreams of a service fail at the same time, the cause is load or
// the network, and ejecting some of them would only increase the load of the
// rest.
auto may_eject(const upstream_table &table, service_key service) -> bool {
    const auto found = table.placeable.find(service);
    if (found == table.placeable.end())
        return false;
    const auto &list = found->second;
    const auto suspects =
        std::count_if(list.begin(), list.end(), [&](upstream_index index) {
            return table.all[index].stats.failure_score >= score_per_failure;
        });
    return static_cast<double>(suspects) <=
           max_suspect_fraction * static_cast<double>(list.size());
}

auto eject(upstream_stats &stats, time_point now) -> void {
    const auto duration = std::min(
        base_ejection * (1 << std::min(stats.ejections, max_doublings)),
        max_ejection);
    ++stats.ejections;
    stats.decided_remotely = false;
    stats.ejected_until = now + duration;
    stats.failure_score = score_after_ejection;
}

} // namespace

auto learn_round_trip(response_profile &profile, float handshake_ms) -> void {
    constexpr float weight = 0.1F;
    if (profile.round_trip_ms == 0)
        profile.round_trip_ms = handshake_ms;
    else
        profile.round_trip_ms +=
            weight * (handshake_ms - profile.round_trip_ms);
}

auto is_learned(const response_profile &profile) -> bool {
    return profile.samples >= min_samples;
}

auto detect_error_or_learn(response_profile &profile,
                           const response_sample &response) -> bool {
    const auto early = response.ms < early_fraction * profile.ms;
    const auto small = response.bytes < small_fraction * profile.bytes;
    const auto tiny = response.bytes < tiny_fraction * profile.bytes;
    if (is_learned(profile) && ((early && small) || tiny))
        return true;
    add_sample(profile, response);
    return false;
}

auto record_outcome(upstream_table &table, upstream_index index,
                    request_outcome outcome, time_point now) -> void {
    if (outcome == request_outcome::error &&
        is_overloaded(table, table.all[index].record.service, now))
        return;
    auto &unreported = table.all[index].stats.unreported;
    if (outcome == request_outcome::answered) {
        ++unreported.answers;
        return apply_outcomes(table, index, {.answers = 1}, now);
    }
    if (unreported.failures == 0)
        table.unreported_failures.push_back(index);
    ++unreported.failures;
    apply_outcomes(table, index, {.failures = 1}, now);
}

auto apply_outcomes(upstream_table &table, upstream_index index,
                    const outcome_counts &counts, time_point now) -> void {
    auto &it = table.all[index];
    auto &stats = it.stats;
    const auto was_on_probation = is_on_probation(it, now);
    const auto decay = was_on_probation ? probation_score_decay : score_decay;
    stats.failure_score = std::max(
        0.0F, stats.failure_score - decay * static_cast<float>(counts.answers));
    if (was_on_probation && !is_on_probation(it, now))
        table.ejection_changes.push_back(index);
    if (stats.failure_score == 0)
        stats.ejections = 0;
    stats.failure_score +=
        score_per_failure * static_cast<float>(counts.failures);
    if (counts.failures == 0 || stats.failure_score < ejection_threshold ||
        is_ejected(it, now) || !may_eject(table, it.record.service))
        return;
    eject(stats, now);
    table.ejection_changes.push_back(index);
}

auto apply_ejection_status(upstream &it, const ejection_status &status,
                           time_point now) -> void {
    auto &stats = it.stats;
    stats.decided_remotely = true;
    stats.ejections = status.ejections;
    stats.ejected_until = now + status.left;
    stats.failure_score = status.ejections > 0 ? score_after_ejection : 0;
}

auto is_ejected(const upstream &it, time_point now) -> bool {
    return now < it.stats.ejected_until;
}

auto is_on_probation(const upstream &it, time_point now) -> bool {
    return it.stats.ejections > 0 &&
           it.stats.failure_score > probation_threshold &&
           now < it.stats.ejected_until + max_probation;
}

} // namespace dogwoodtrack::carried
