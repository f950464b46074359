#include <doctest/doctest.h>

#include "carried/feeds/gossip.hpp"
#include "carried/feeds/store_answers.hpp"
#include "carried/feeds/store_watch.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

constexpr std::uint32_t fleet_size = 30;

// Blackboards of `fleet_size` balancers with complete state.
auto make_fleet() -> std::vector<blackboard> {
    std::vector<blackboard> all;
    for (std::uint32_t i = 1; i <= fleet_size; ++i) {
        all.push_back(make_blackboard(i));
        std::vector<outgoing_message> out;
        on_store_answer(all.back(), make_configuration_list(3, 10), start, out);
        on_store_answer(all.back(),
                        make_upstream_list({make_record("i-1", 5)}, 10), start,
                        out);
    }
    return all;
}

// Makes every balancer hear from every other one at `now`.
auto exchange_heartbeats(std::vector<blackboard> &all, time_point now) -> void {
    for (auto &a : all) {
        for (const auto &b : all) {
            auto member = b.members.self;
            member.last_heard = now;
            update_member(a.members, member);
        }
    }
}

// Marks all feeds as confirmed by the store at `now`.
auto confirm_all(std::vector<blackboard> &all, time_point now) -> void {
    for (auto &it : all) {
        for (auto &version : it.versions)
            version.confirmed = now;
    }
}

// Starts the calls to the store that are due at `now` and returns the indices
// of the balancers that make one.
auto start_due_calls(std::vector<blackboard> &all, time_point now)
    -> std::vector<std::size_t> {
    std::vector<std::size_t> callers;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (next_store_call(all[i], feed::upstreams, now))
            callers.push_back(i);
    }
    return callers;
}

} // namespace

TEST_CASE("only two members of a large fleet watch the store") {
    auto all = make_fleet();
    const auto now = start + seconds{5};
    exchange_heartbeats(all, now);
    confirm_all(all, now);
    CHECK(start_due_calls(all, now).size() == store_watcher_count);
}

TEST_CASE("if the calls of the watchers stay unanswered, the next balancers by "
          "rank take over within `apply_within`") {
    auto all = make_fleet();
    auto now = start + seconds{5};
    exchange_heartbeats(all, now);
    confirm_all(all, now);
    const auto watchers = start_due_calls(all, now);
    std::size_t callers = 0;
    for (auto waited = milliseconds{0};
         waited < all[0].apply_within && callers == 0;
         waited += milliseconds{20})
        callers = start_due_calls(all, now + waited).size();
    CHECK(callers > 0);
    CHECK(callers <= 2);
}

TEST_CASE("while the store is unreachable, the balancers other than the "
          "watchers take turns, which limits the calls of the fleet") {
    auto all = make_fleet();
    const auto begin = start + seconds{5};
    std::size_t calls = 0;
    constexpr auto outage = seconds{10};
    for (auto t = milliseconds{0}; t < outage; t += milliseconds{20}) {
        const auto now = begin + t;
        exchange_heartbeats(all, now);
        for (const auto i : start_due_calls(all, now)) {
            ++calls;
            std::vector<outgoing_message> out;
            on_store_answer(all[i], make_failed_answer(feed::upstreams), now,
                            out);
            schedule_next_call(all[i], make_failed_answer(feed::upstreams),
                               now);
        }
    }
    // The two watchers retry often, and the other balancers take turns.
    CHECK(calls < 3 * fleet_size);
}

TEST_CASE("a balancer that is watching the store in place of the preferred "
          "watchers stops doing so once peers confirm the feed again") {
    auto it = make_fleet().front();
    auto now = start + seconds{10};
    for (std::uint32_t i = 2; i <= 30; ++i)
        update_member(it.members, {.address = i + 100,
                                   .failure_domain = 1,
                                   .capacity = 900,
                                   .last_heard = now});
    REQUIRE(next_store_call(it, feed::upstreams, now));
    CHECK(it.calls[1].taken_over);
    const store_answer no_changes{.what = feed::upstreams,
                                  .outcome = store_outcome::changed,
                                  .as_of = make_revision(11)};
    std::vector<outgoing_message> out;
    on_store_answer(it, no_changes, now, out);
    CHECK(it.calls[1].taken_over);
    it.calls[1].last_peer_confirmation = now + milliseconds{500};
    on_store_answer(it, no_changes, now + seconds{1}, out);
    CHECK_FALSE(it.calls[1].taken_over);
}

TEST_CASE("at the first start the seeds read the store, and the other "
          "balancers wait for the seeds") {
    auto seed = make_blackboard(1);
    auto other = make_blackboard(2);
    for (auto *it : {&seed, &other}) {
        it->first_start = true;
        it->members.seeds = {1};
    }
    CHECK(next_store_call(seed, feed::upstreams, start));
    CHECK_FALSE(next_store_call(other, feed::upstreams, start + seconds{1}));
    CHECK(next_store_call(other, feed::upstreams, start + seconds{4}));
}

TEST_CASE("after a restart the first list may be stale, and a watch from its "
          "revision follows") {
    auto it = make_blackboard(1);
    const auto call = next_store_call(it, feed::upstreams, start);
    REQUIRE(call);
    CHECK(call->list);
    CHECK(call->may_be_stale);
    auto answer = make_upstream_list({make_record("i-1", 5)}, 10);
    answer.may_be_stale = true;
    std::vector<outgoing_message> out;
    on_store_answer(it, answer, start, out);
    schedule_next_call(it, answer, start);
    CHECK(version_of(it, feed::upstreams).confirmed == time_point{});
    const auto watch = next_store_call(it, feed::upstreams, start + seconds{1});
    REQUIRE(watch);
    CHECK_FALSE(watch->list);
    CHECK(watch->since == make_revision(10));
}

TEST_CASE("once the store has dropped its history, or its changes exceed the "
          "size of one answer, the feed is listed again without accepting a "
          "stale list") {
    for (const auto outcome :
         {store_outcome::history_gone, store_outcome::too_large}) {
        auto it = make_fleet().front();
        const store_answer dropped{.what = feed::upstreams, .outcome = outcome};
        std::vector<outgoing_message> out;
        on_store_answer(it, dropped, start + seconds{2}, out);
        schedule_next_call(it, dropped, start + seconds{2});
        const auto call =
            next_store_call(it, feed::upstreams, start + seconds{2});
        REQUIRE(call);
        CHECK(call->list);
        CHECK_FALSE(call->may_be_stale);
    }
}

// Guards against a balancer that stood still while an answer arrived, and then
// vouched to all others for a state that was seconds old.
TEST_CASE("an answer that lay unread does not confirm a feed as of a later "
          "time than the end of its watch") {
    auto it = make_fleet().front();
    const auto asked_at = start + seconds{5};
    const auto watch = next_store_call(it, feed::upstreams, asked_at);
    REQUIRE(watch);
    const store_answer no_changes{.what = feed::upstreams,
                                  .outcome = store_outcome::changed,
                                  .as_of = make_revision(10)};
    std::vector<outgoing_message> out;
    on_store_answer(it, no_changes, asked_at + seconds{4}, out);
    const auto &confirmed = version_of(it, feed::upstreams).confirmed;
    CHECK(confirmed >= asked_at);
    CHECK(confirmed <= asked_at + watch->wait);
}

// Guards against changes that come into force late on a balancer that hears
// from no other one but reaches the store.
TEST_CASE("every balancer asks the store itself in good time, whatever its "
          "rank, unless a peer confirms the feed") {
    constexpr int latest_percent = 75;
    const auto now = start + seconds{10};
    for (std::uint32_t address = 1; address <= 300; ++address) {
        auto it = make_blackboard(address);
        for (std::uint32_t i = 1'001; i <= 1'050; ++i)
            update_member(it.members, {.address = i,
                                       .failure_domain = 1,
                                       .capacity = 900,
                                       .last_heard = now});
        auto &version = version_of(it, feed::configuration);
        version = {.content = make_revision(5),
                   .as_of = make_revision(5),
                   .confirmed = now,
                   .complete = true};
        CAPTURE(address);
        CHECK_FALSE(next_store_call(it, feed::configuration, now));
        CHECK(next_store_call(it, feed::configuration,
                              now + it.apply_within * latest_percent / 100));
    }
}

// Guards against a balancer that, after a partition, waits for a turn among
// members of which it no longer hears.
TEST_CASE("a balancer that hears of no live member any more soon calls the "
          "store again after a failure") {
    auto it = make_fleet().front();
    const auto failed_at = start + seconds{10};
    for (std::uint32_t i = 101; i <= 160; ++i)
        update_member(it.members, {.address = i,
                                   .failure_domain = 1,
                                   .capacity = 900,
                                   .last_heard = failed_at});
    REQUIRE(next_store_call(it, feed::upstreams, failed_at));
    std::vector<outgoing_message> out;
    const auto failed = make_failed_answer(feed::upstreams);
    on_store_answer(it, failed, failed_at, out);
    schedule_next_call(it, failed, failed_at);
    CHECK_FALSE(
        next_store_call(it, feed::upstreams, failed_at + milliseconds{500}));
    const auto timeout = member_timeout(it.members);
    CHECK(next_store_call(it, feed::upstreams,
                          failed_at + timeout + milliseconds{1}));
}

// Guards against a balancer that, after a partition, knows that it lacks a
// change, cannot get it from its peers and still waits for its turn.
TEST_CASE("a balancer that lacks content that it heard of waits for no turn to "
          "call the store again after a failure") {
    auto all = make_fleet();
    auto &it = all.back();
    const auto failed_at = start + seconds{10};
    exchange_heartbeats(all, failed_at);
    REQUIRE(next_store_call(it, feed::configuration, failed_at));
    std::vector<outgoing_message> out;
    const auto failed = make_failed_answer(feed::configuration);
    on_store_answer(it, failed, failed_at, out);
    schedule_next_call(it, failed, failed_at);
    const auto next = failed_at + seconds{1};
    CHECK_FALSE(next_store_call(it, feed::configuration, next));
    note_reported_content(it, feed::configuration, make_revision(50), next);
    CHECK(next_store_call(it, feed::configuration, next));
}
