#include <algorithm>

#include <doctest/doctest.h>

#include "carried/feeds/gossip.hpp"
#include "carried/feeds/restored_store.hpp"
#include "carried/feeds/store_answers.hpp"
#include "carried/feeds/store_watch.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

constexpr std::uint32_t fleet_size = 86;
constexpr milliseconds step{50};

/// A fleet of balancers that exchange messages without delay, and a store that
/// answers calls at once, except for watches, which it answers in the end of
/// their wait.
struct watched_store {
    struct pending_watch {
        std::uint32_t balancer;
        store_call call;
        time_point due;
    };

    std::vector<blackboard> all;
    std::vector<pending_watch> watches;
    bool reachable = true;
    std::uint64_t era = 0;
    std::uint64_t number = 90;
    time_point now = start;
    std::vector<time_point> calls;

    watched_store() {
        for (std::uint32_t i = 1; i <= fleet_size; ++i)
            all.push_back(make_blackboard(i));
        for (auto &it : all) {
            for (const auto &other : all)
                update_member(it.members, other.members.self);
            it.members.random.seed(it.members.self.address);
        }
    }

    auto answer_to(const store_call &call) const -> store_answer {
        store_answer it{.what = call.what};
        if (!reachable)
            return it;
        it = call.what == feed::configuration
                 ? make_configuration_list(30, number)
                 : make_upstream_list({make_record("i-1", 5)}, number);
        if (!call.list) {
            it.outcome = call.since.era == era ? store_outcome::changed
                                               : store_outcome::history_gone;
            it.records.clear();
            it.latest_configuration = nullptr;
        }
        set_era(it, era);
        return it;
    }

    auto deliver(std::uint32_t from,
                 const std::vector<outgoing_message> &messages) -> void {
        for (const auto &one : messages) {
            std::vector<outgoing_message> out;
            on_peer_message(all[one.to - 1], from, one.message, now, out);
            deliver(one.to, out);
        }
    }

    auto finish(std::uint32_t balancer, const store_call &call) -> void {
        auto &it = all[balancer];
        const auto answer = answer_to(call);
        std::vector<outgoing_message> out;
        on_store_answer(it, answer, now, out);
        schedule_next_call(it, answer, now);
        deliver(it.members.self.address, out);
    }

    auto start_calls(std::uint32_t balancer) -> void {
        for (std::size_t i = 0; i < feed_count; ++i) {
            const auto call =
                next_store_call(all[balancer], static_cast<feed>(i), now);
            if (!call)
                continue;
            calls.push_back(now);
            if (reachable && !call->list && call->since.era == era)
                watches.push_back({balancer, *call, now + call->wait});
            else
                finish(balancer, *call);
        }
    }

    auto finish_watches() -> void {
        const auto ended = [&](const pending_watch &it) {
            return it.due <= now || !reachable || it.call.since.era != era;
        };
        std::vector<pending_watch> due;
        std::copy_if(watches.begin(), watches.end(), std::back_inserter(due),
                     ended);
        std::erase_if(watches, ended);
        for (const auto &it : due)
            finish(it.balancer, it.call);
    }

    auto run(milliseconds length) -> void {
        const auto end = now + length;
        for (; now < end; now += step) {
            finish_watches();
            for (std::uint32_t i = 0; i < fleet_size; ++i) {
                start_calls(i);
                // Spread over the interval, as in a real fleet.
                const auto offset = step * (i * 7 % 10);
                if ((now - start - offset) % digest_interval ==
                    milliseconds{0}) {
                    std::vector<outgoing_message> out;
                    send_digests(all[i], now, out);
                    deliver(i + 1, out);
                }
            }
        }
    }

    auto busiest_second(time_point from) const -> std::size_t {
        std::size_t most = 0;
        for (auto at = from; at < from + seconds{9}; at += step)
            most = std::max(most,
                            static_cast<std::size_t>(std::count_if(
                                calls.begin(), calls.end(), [&](time_point it) {
                                    return it >= at && it < at + seconds{1};
                                })));
        return most;
    }
};

} // namespace

// Guards against a fleet that, after the store has come back, calls it more
// often than it can answer.
TEST_CASE("a fleet of 86 balancers makes at most 20 store calls a second after "
          "the return of the store") {
    for (const auto outage : {seconds{1}, seconds{6}}) {
        watched_store it;
        it.run(seconds{3});
        it.reachable = false;
        it.run(outage);
        it.reachable = true;
        it.era = 1;
        it.number = 60;
        const auto returned = it.now;
        it.run(seconds{10});
        const auto busiest = it.busiest_second(returned);
        CAPTURE(outage.count());
        CHECK(busiest <= 20);
        for (const auto &one : it.all) {
            CHECK(version_of(one, feed::upstreams).as_of.era == 1);
            CHECK(version_of(one, feed::configuration).as_of.era == 1);
        }
    }
}
