#pragma once

#include "upstreams.hpp"

namespace dogwoodtrack::carried {

/// What the callers' packets tell of one answer.
struct response_sample {
    float ms = 0;    ///< from the request to the first bytes of the answer,
                     ///< without the way to the upstream and the caller
    float bytes = 0; ///< of the whole answer, as acknowledged
};

/// What answers on one address usually look like.
struct response_profile {
    float ms = 0;
    float bytes = 0;
    std::uint32_t samples = 0;
    float round_trip_ms = 0; ///< to the upstream and the caller and back here
};

/// Learns the length of the way from one handshake on this address.
auto learn_round_trip(response_profile &profile, float handshake_ms) -> void;

/// Whether enough answers were seen to judge others by the profile.
auto is_learned(const response_profile &profile) -> bool;

/// Whether an answer looks like an error: far sooner and shorter than those
/// on this address usually are. Health checks do not show such upstreams.
/// Usual answers are learned; nothing is judged before enough were seen.
auto looks_like_error(response_profile &profile,
                      const response_sample &response) -> bool;

/// How a request at an upstream ended, as far as its caller's packets tell.
enum class request_outcome : std::uint8_t { answered, error, timed_out };

/// Takes note of what a flow of this instance met, see `apply_outcomes`.
auto record_outcome(upstream_table &table, upstream_index index,
                    request_outcome outcome, time_point now) -> void;

/// Takes outcomes that this instance or another one counted. An upstream
/// with many failures among its last requests is ejected for a while, longer
/// each time, unless many upstreams of its service are in doubt. Those
/// ejected, or trusted again, are listed in `upstream_table::judged`.
auto apply_outcomes(upstream_table &table, upstream_index index,
                    const outcome_counts &counts, time_point now) -> void;

/// What a judge says of an upstream.
struct ejection_status {
    milliseconds left{0};       ///< of an ejection
    std::uint8_t ejections = 0; ///< in a row; 0 if it is trusted again
};

/// Takes what the upstream's judge in this failure domain says.
auto apply_ejection_status(upstream &it, const ejection_status &status,
                           time_point now) -> void;

/// Whether the upstream was ejected for failing requests.
auto is_ejected(const upstream &it, time_point now) -> bool;

/// Whether the upstream was ejected and has not answered enough requests
/// since. It gets single trial flows only.
auto is_on_probation(const upstream &it, time_point now) -> bool;

} // namespace dogwoodtrack::carried
