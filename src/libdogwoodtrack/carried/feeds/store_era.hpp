#pragma once

#include <cstdint>
#include <limits>

namespace dogwoodtrack::carried {

/// The era of the store (see `store_revision`) that this balancer believes in,
/// and what has been heard of other eras. Not thread safe.
struct store_era_state {
    bool known = false;    ///< `era` was heard from the store or from a peer
    std::uint64_t era = 0; ///< the era in force
    /// The era of the last answers of the store, if it was not believed yet,
    /// and the number of consecutive answers with it.
    std::uint64_t candidate = 0;
    unsigned answers = 0;
    /// Eras from this one on are not believed if a peer passes them on: the
    /// store has contradicted this one.
    std::uint64_t refuted = std::numeric_limits<std::uint64_t>::max();
    /// The era in the last answer of the store could not be read.
    bool unreadable = false;
    std::uint64_t previous = 0; ///< in force before the last change of `era`
    unsigned evidence = 0;      ///< answers on which the last change was based
};

/// Judgement of the era in an answer of the store.
enum class era_verdict : std::uint8_t {
    current, ///< the era in force
    adopted, ///< the era is in force from now on
    ignored  ///< not believed, or not yet: the answer must not be applied
};

/// Largest step to a higher era that is believed at once. Each restore of the
/// store raises the era by one, and a balancer can miss some restores while it
/// is cut off; a damaged number is likely to be farther away.
inline constexpr std::uint64_t plausible_era_step = 16;

/// Judges the era in an answer of the store. The first era is adopted at once,
/// as is a plausible step up. A larger step needs a second answer in a row with
/// the same era. A lower era may be that of a late answer: it is adopted only
/// after more answers in a row than calls can be under way.
auto observe_store_era(store_era_state &state, std::uint64_t answered)
    -> era_verdict;

/// Whether a version in this era that a peer passes on may be used. Thread
/// safe.
auto is_believable(const store_era_state &state, std::uint64_t reported)
    -> bool;

/// Adopts the era of a version that was adopted from a peer, if it is later
/// than the era in force. Precondition: `is_believable` is true for it.
auto adopt_peer_era(store_era_state &state, std::uint64_t reported) -> void;

} // namespace dogwoodtrack::carried
