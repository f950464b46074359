#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// What a balancer does when the store comes back from an older copy: rules for
/// answers of the store, for what peers pass on, and for state in force. Which
/// era is believed is decided by `observe_store_era`; how a record or a
/// configuration relates to a known one of another era, by `merge_record` and
/// `supersedes`. Functions that change the blackboard are not thread safe.

/// Judges the era of an answer of the store. Returns whether the answer may be
/// applied. If a lower era is adopted, all state of later eras is given a
/// revision before the first one of the adopted era, so that the store's
/// answers replace it, and all feeds are listed again. An answer with an
/// unreadable era, and one that the store refused or that failed, has no say.
auto accept_answer_era(blackboard &board, const store_answer &answer,
                       time_point now) -> bool;

/// Outcome of an answer whose era is believed: a watch whose answer has another
/// era than its `since` has lost its history.
auto effective_outcome(const blackboard &board, const store_answer &answer)
    -> store_outcome;

/// See `upstream_record::written_in_era`: an event of a watch was written in
/// the era of the watch, as was an entry of a list that is later than what was
/// known of that era.
auto is_written_in_era(const blackboard &board, const store_answer &answer,
                       const upstream_record &record) -> bool;

/// Sorted identifiers of the upstreams whose known incarnations a list shows.
/// Precondition: the records were applied.
auto present_ids(const upstream_table &table,
                 const std::vector<upstream_record> &records)
    -> std::vector<std::string>;

/// Notes where to watch from if a list that follows a lost history shows the
/// store at an earlier revision of the same era: the store has gone back
/// without a new era, and a watch from the latest known revision would lose its
/// history again and again. Returns the revision after which changes in
/// `answer` are new to peers.
auto follow_unannounced_return(blackboard &board, const store_answer &answer)
    -> store_revision;

/// Whether every era in a version that a peer passes on is believed.
auto is_believable(const store_era_state &state,
                   const reported_version &reported) -> bool;

/// Whether every era in the message is believed.
auto is_believable(const store_era_state &state, const records_message &message)
    -> bool;

/// Adopts the era of a version that was adopted from a peer.
auto adopt_peer_era(blackboard &board, const reported_version &reported,
                    time_point now) -> void;

/// State of upstreams that are missing from a peer's complete set: `lapsed` if
/// the set is of a later era, as their entries may be written again, else
/// `gone`.
auto missing_state(const feed_version &own_version,
                   const reported_version &reported) -> upstream_state;

/// Adds what is known of the upstream of `record`, which was received from a
/// peer and applied, to `corrections` if others would not learn it from
/// `forward_records`: the known state was kept (see `merge_record`), or it
/// counts as changed at a revision up to `previous_as_of`.
auto add_correction(const upstream_table &table, const upstream_record &record,
                    const store_revision &previous_as_of,
                    std::vector<upstream_record> &corrections) -> void;

/// Gives the configuration in force the revision of one that does not supersede
/// it, if that is later.
auto keep_in_force(steering_state &state, const store_revision &revision)
    -> void;

/// When the store last confirmed any feed, or the start of this balancer.
auto last_confirmation(const blackboard &board) -> time_point;

} // namespace dogwoodtrack::carried
