#include <doctest/doctest.h>

#include "spread.hpp"
#include "test_support.hpp"
#include "watch_duty.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

constexpr std::uint32_t fleet_size = 30;

// Boards with state, all of which know each other.
auto make_fleet() -> std::vector<board> {
    std::vector<board> all;
    for (std::uint32_t i = 1; i <= fleet_size; ++i) {
        all.push_back(make_board(i));
        std::vector<outgoing_message> out;
        on_store_answer(all.back(), list_of_configuration(3, 10), start, out);
        on_store_answer(all.back(),
                        list_of_upstreams({make_record("i-1", 5)}, 10), start,
                        out);
    }
    return all;
}

auto hear_each_other(std::vector<board> &all, time_point now) -> void {
    for (auto &a : all) {
        for (const auto &b : all) {
            auto seen = b.members.self;
            seen.heard = now;
            note_member(a.members, seen);
        }
    }
}

auto confirm_all(std::vector<board> &all, time_point now) -> void {
    for (auto &it : all) {
        for (auto &version : it.versions)
            version.confirmed = now;
    }
}

auto callers_at(std::vector<board> &all, time_point now)
    -> std::vector<std::size_t> {
    std::vector<std::size_t> callers;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (next_call(all[i], feed::upstreams, now))
            callers.push_back(i);
    }
    return callers;
}

} // namespace

TEST_CASE("two of a fleet watch, whatever its size") {
    auto all = make_fleet();
    const auto now = start + seconds{5};
    hear_each_other(all, now);
    confirm_all(all, now);
    CHECK(callers_at(all, now).size() == watchers);
}

TEST_CASE("watchers die: the next in the order take over within the bound") {
    auto all = make_fleet();
    auto now = start + seconds{5};
    hear_each_other(all, now);
    confirm_all(all, now);
    const auto dead = callers_at(all, now);
    std::size_t took_over = 0;
    for (auto waited = milliseconds{0};
         waited < all[0].apply_within && took_over == 0;
         waited += milliseconds{20})
        took_over = callers_at(all, now + waited).size();
    CHECK(took_over > 0);
    CHECK(took_over <= 2);
}

TEST_CASE("store away: a fleet does not call more often than it takes turns") {
    auto all = make_fleet();
    const auto begin = start + seconds{5};
    std::size_t calls = 0;
    constexpr auto away = seconds{10};
    for (auto t = milliseconds{0}; t < away; t += milliseconds{20}) {
        const auto now = begin + t;
        hear_each_other(all, now);
        for (const auto i : callers_at(all, now)) {
            ++calls;
            std::vector<outgoing_message> out;
            on_store_answer(all[i], failed(feed::upstreams), now, out);
            plan_next_call(all[i], failed(feed::upstreams), now);
        }
    }
    // Two watchers with their retries, and the others in turns.
    CHECK(calls < 3 * fleet_size);
}

TEST_CASE("one that took over stops when others confirm again") {
    auto it = make_fleet().front();
    auto now = start + seconds{10};
    for (std::uint32_t i = 2; i <= 30; ++i)
        note_member(it.members, {.address = i + 100,
                                 .failure_domain = 1,
                                 .capacity = 900,
                                 .heard = now});
    REQUIRE(next_call(it, feed::upstreams, now));
    CHECK(it.calls[1].took_over);
    const store_answer none{.what = feed::upstreams,
                            .outcome = store_outcome::changed,
                            .as_of = 11};
    std::vector<outgoing_message> out;
    on_store_answer(it, none, now, out);
    CHECK(it.calls[1].took_over);
    it.calls[1].others_confirmed = now + milliseconds{500};
    on_store_answer(it, none, now + seconds{1}, out);
    CHECK_FALSE(it.calls[1].took_over);
}

TEST_CASE("first start: seeds read the store, the others wait for them") {
    auto seed = make_board(1);
    auto other = make_board(2);
    for (auto *it : {&seed, &other}) {
        it->first_start = true;
        it->members.seeds = {1};
    }
    CHECK(next_call(seed, feed::upstreams, start));
    CHECK_FALSE(next_call(other, feed::upstreams, start + seconds{1}));
    CHECK(next_call(other, feed::upstreams, start + seconds{4}));
}

TEST_CASE("restart: the first list may be stale, the watch after it is not") {
    auto it = make_board(1);
    const auto call = next_call(it, feed::upstreams, start);
    REQUIRE(call);
    CHECK(call->list);
    CHECK(call->may_be_stale);
    auto answer = list_of_upstreams({make_record("i-1", 5)}, 10);
    answer.may_be_stale = true;
    std::vector<outgoing_message> out;
    on_store_answer(it, answer, start, out);
    plan_next_call(it, answer, start);
    CHECK(version_of(it, feed::upstreams).confirmed == time_point{});
    const auto watch = next_call(it, feed::upstreams, start + seconds{1});
    REQUIRE(watch);
    CHECK_FALSE(watch->list);
    CHECK(watch->since == 10);
}

TEST_CASE("dropped history: the feed is listed again, and freshly") {
    auto it = make_fleet().front();
    const store_answer dropped{.what = feed::upstreams,
                               .outcome = store_outcome::history_gone};
    std::vector<outgoing_message> out;
    on_store_answer(it, dropped, start + seconds{2}, out);
    plan_next_call(it, dropped, start + seconds{2});
    const auto call = next_call(it, feed::upstreams, start + seconds{2});
    REQUIRE(call);
    CHECK(call->list);
    CHECK_FALSE(call->may_be_stale);
}
