#pragma once

#include "carried/upstreams/upstreams.hpp"

namespace dogwoodtrack::carried {

/// One response as measured from the caller's packets.
struct response_sample {
    float ms = 0;    ///< from the request to the first acknowledged response
                     ///< bytes, less the network round trip
    float bytes = 0; ///< size of the whole response, computed from
                     ///< acknowledgement numbers
};

/// Baseline of the responses on one service address: smoothed time and size as
/// in `response_sample`.
struct response_profile {
    float ms = 0;
    float bytes = 0;
    std::uint32_t samples = 0; ///< responses that the baseline is based on
    /// Network time from this balancer to the upstream, on to the caller and
    /// back to the balancer.
    float round_trip_ms = 0;
};

/// Updates the smoothed round-trip time with the duration of one handshake.
auto learn_round_trip(response_profile &profile, float handshake_ms) -> void;

/// Whether the profile has enough samples to classify responses.
auto is_learned(const response_profile &profile) -> bool;

/// Returns whether a response looks like an error: much faster and much smaller
/// than the baseline of its service address, or tiny compared with that
/// baseline. Upstreams that fail requests immediately while their health checks
/// pass are found in this way. Any other response is added to the profile.
/// While the profile has too few samples, no response counts as an error.
auto detect_error_or_learn(response_profile &profile,
                           const response_sample &response) -> bool;

/// How a request to an upstream ended, as inferred from the caller's packets.
enum class request_outcome : std::uint8_t { answered, error, timed_out };

/// Records the outcome of a request on a flow of this instance: applies it as
/// `apply_outcomes` does and counts it for the report to the outlier detector.
/// An error of an overloaded service is ignored (see `is_overloaded`), since
/// ejecting upstreams that are full would overload the others further.
auto record_outcome(upstream_table &table, upstream_index index,
                    request_outcome outcome, time_point now) -> void;

/// Applies outcomes counted by this instance or reported by another one. Failed
/// requests raise the failure score of the upstream
/// (`upstream_stats::failure_score`), answered ones lower it. An upstream whose
/// score is too high is ejected temporarily, for longer each consecutive time,
/// unless too many upstreams of its service are failing. An upstream that is
/// ejected, or whose probation ends because of its answers, is added to
/// `upstream_table::ejection_changes`.
auto apply_outcomes(upstream_table &table, upstream_index index,
                    const outcome_counts &counts, time_point now) -> void;

/// Ejection status of an upstream as announced by its outlier detector.
struct ejection_status {
    milliseconds left{0}; ///< remaining time of the ejection
    /// Number of consecutive ejections; 0 if the probation has ended.
    std::uint8_t ejections = 0;
};

/// Applies the status announced by the outlier detector of this failure domain.
auto apply_ejection_status(upstream &it, const ejection_status &status,
                           time_point now) -> void;

/// Whether the upstream is currently ejected for failing requests.
auto is_ejected(const upstream &it, time_point now) -> bool;

/// Whether the upstream is or was ejected and its probation has not ended yet.
/// Probation ends once the upstream has answered enough requests, or a fixed
/// time after the end of the ejection. From the end of the ejection to the end
/// of the probation the upstream gets only single flows, as trials.
auto is_on_probation(const upstream &it, time_point now) -> bool;

} // namespace dogwoodtrack::carried
