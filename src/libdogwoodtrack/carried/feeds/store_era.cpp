#include "carried/feeds/store_era.hpp"

#include <utility>

#include "carried/members/fleet.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Answers in a row after which a lower era is adopted: one more than late
/// answers can arrive, as at most one call per feed is under way.
constexpr unsigned lower_era_answers = feed_count + 1;
constexpr unsigned implausible_era_answers = 2;

auto answers_needed(const store_era_state &state, std::uint64_t answered)
    -> unsigned {
    if (!state.known)
        return 1;
    if (answered < state.era)
        return lower_era_answers;
    return answered - state.era <= plausible_era_step ? 1
                                                      : implausible_era_answers;
}

auto change_era(store_era_state &state, std::uint64_t era, unsigned evidence)
    -> void {
    state.previous = std::exchange(state.era, era);
    state.known = true;
    state.answers = 0;
    state.evidence = evidence;
}

} // namespace

auto observe_store_era(store_era_state &state, std::uint64_t answered)
    -> era_verdict {
    if (state.known && answered == state.era) {
        state.answers = 0;
        return era_verdict::current;
    }
    state.answers = answered == state.candidate ? state.answers + 1 : 1;
    state.candidate = answered;
    if (state.answers < answers_needed(state, answered))
        return era_verdict::ignored;
    if (state.known && answered < state.era)
        state.refuted = state.era;
    else if (answered >= state.refuted)
        state.refuted = store_era_state{}.refuted;
    change_era(state, answered, state.answers);
    return era_verdict::adopted;
}

auto is_believable(const store_era_state &state, std::uint64_t reported)
    -> bool {
    if (reported >= state.refuted)
        return false;
    return !state.known || reported <= state.era ||
           reported - state.era <= plausible_era_step;
}

auto adopt_peer_era(store_era_state &state, std::uint64_t reported) -> void {
    if (!state.known || reported > state.era)
        change_era(state, reported, 0);
}

} // namespace dogwoodtrack::carried
