#pragma once

#include "upstreams.hpp"

namespace dogwoodtrack::carried {

/// What the callers' packets tell of one answer.
struct answer_seen {
    float ms = 0;    ///< from the request to the first bytes of the answer
    float bytes = 0; ///< of the whole answer, as acknowledged
};

/// What answers on one address usually look like.
struct answer_profile {
    float ms = 0;
    float bytes = 0;
    std::uint32_t seen = 0;
};

/// Whether an answer looks like an error: far sooner and shorter than those
/// on this address usually are. Health checks do not show such upstreams.
/// Usual answers are learned; nothing is judged before enough were seen.
auto looks_like_error(answer_profile &usual, const answer_seen &answer) -> bool;

/// How a request at an upstream ended, as far as its caller's packets tell.
enum class request_outcome : std::uint8_t { answered, error, hanging };

/// Takes note of an outcome. An upstream with many failures among its last
/// requests is ejected for a while, longer each time, as long as most
/// upstreams of its service are not.
auto note_outcome(upstream_table &table, upstream_index index,
                  request_outcome outcome, time_point now) -> void;

/// Whether the upstream was ejected for failing requests.
auto is_ejected(const upstream &it, time_point now) -> bool;

} // namespace dogwoodtrack::carried
