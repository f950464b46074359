#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// Sets `blackboard::evacuate_within`. A change between 0 and another value
/// disables or enables the feed: the set known so far is discarded and, if the
/// feed is enabled, no flow is placed until the set is known again.
auto set_evacuate_within(blackboard &board, milliseconds within) -> void;

/// Whether an answer of the store shows at least the changes that are known
/// here. An older answer may arrive after a peer has sent a newer set; it must
/// not be applied. Thread safe.
auto shows_known_evacuations(const feed_version &known,
                             const store_answer &answer) -> bool;

/// Applies an answer of the store and updates `feed_version::content`. Returns
/// whether the set has changed. Precondition: `shows_known_evacuations`.
auto apply_evacuations(blackboard &board, const store_answer &answer) -> bool;

/// Whether the set of a peer is newer than the own one: the last change of the
/// peer's set is later than all changes known here. Thread safe.
auto is_newer_set(const feed_version &known, const reported_version &reported)
    -> bool;

/// Whether the set of a peer is the same as the own one: there is a store
/// revision at which both sets were the store's. Thread safe.
auto is_same_set(const feed_version &known, const reported_version &reported)
    -> bool;

/// Replaces the set by that of a peer, which is in `whole`, unless the own set
/// is as new. Returns whether the set was replaced.
auto adopt_evacuations(blackboard &board, std::vector<evacuated_domain> whole,
                       const reported_version &reported) -> bool;

/// Names of evacuated failure domains to which no known upstream and no known
/// balancer belongs, except those that were returned before. Returns nothing
/// until upstreams and balancers have had time to become known.
auto take_unknown_evacuations(blackboard &board, time_point now)
    -> std::vector<std::string>;

} // namespace dogwoodtrack::carried
