#include <initializer_list>
#include <type_traits>

#include <doctest/doctest.h>

#include "carried/feeds/store_era.hpp"
#include "carried/feeds/store_revision.hpp"

using namespace dogwoodtrack::carried;

// Guards against a revision compared without its era.
static_assert(!std::is_convertible_v<std::uint64_t, store_revision>);
static_assert(store_revision{.era = 0, .number = 90} <
              store_revision{.era = 1, .number = 50});

namespace {

auto in_era(std::uint64_t era) -> store_era_state {
    store_era_state it;
    observe_store_era(it, era);
    return it;
}

} // namespace

// Guards against a balancer that ignores a store that was restored while the
// balancer was cut off.
TEST_CASE("the first era and a plausible step up are adopted at once") {
    auto it = in_era(7);
    CHECK(it.era == 7);
    CHECK(observe_store_era(it, 8) == era_verdict::adopted);
    CHECK(observe_store_era(it, 8) == era_verdict::current);
}

// Guards against a single damaged number that makes all later answers of the
// store count as old.
TEST_CASE("one damaged answer with an implausible era changes nothing, a "
          "second one in a row adopts it") {
    auto it = in_era(1);
    CHECK(observe_store_era(it, 1'000'000) == era_verdict::ignored);
    CHECK(observe_store_era(it, 1) == era_verdict::current);
    CHECK(observe_store_era(it, 1'000'000) == era_verdict::ignored);
    CHECK(observe_store_era(it, 2'000'000) == era_verdict::ignored);
    CHECK(it.era == 1);
    CHECK(observe_store_era(it, 2'000'000) == era_verdict::adopted);
}

// Guards against an era that goes back because answers arrive out of order.
TEST_CASE("late answers of an earlier era change nothing") {
    auto it = in_era(2);
    for (int i = 0; i < 2; ++i)
        CHECK(observe_store_era(it, 1) == era_verdict::ignored);
    CHECK(observe_store_era(it, 2) == era_verdict::current);
    CHECK(observe_store_era(it, 1) == era_verdict::ignored);
    CHECK(it.era == 2);
}

// Guards against a false era that makes the fleet ignore the store for ever.
TEST_CASE("a forged era does not last: a store that keeps answering with a "
          "lower one is believed, and peers do not bring the forged one back") {
    auto it = in_era(1);
    adopt_peer_era(it, 9);
    CHECK(it.era == 9);
    auto verdict = era_verdict::ignored;
    int answers = 0;
    for (; verdict == era_verdict::ignored && answers < 10; ++answers)
        verdict = observe_store_era(it, 1);
    CHECK(verdict == era_verdict::adopted);
    CHECK(answers <= 4);
    CHECK_FALSE(is_believable(it, 9));
    CHECK(is_believable(it, 2));
    // The store itself reports it later.
    for (const std::uint64_t era : {5, 9})
        observe_store_era(it, era);
    CHECK(is_believable(it, 9));
}

// Guards against a false era that spreads by gossip, and against a new balancer
// that cannot take part.
TEST_CASE("peers cannot pass on an implausible era, but a balancer that knows "
          "none takes theirs") {
    auto it = in_era(1);
    CHECK(is_believable(it, 1 + plausible_era_step));
    CHECK_FALSE(is_believable(it, 2 + plausible_era_step));
    CHECK(is_believable(store_era_state{}, 5'000));
}
