#include <deque>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "carried/feeds/gossip.hpp"
#include "carried/quota/cold_quota.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

constexpr std::uint32_t quota = 35;
constexpr cold_bounds bounds{.overage = 1.5, .slack = 5};

auto make_cold_configuration(double cold_per_s)
    -> std::shared_ptr<configuration> {
    auto it = make_configuration(1);
    it->routes[0].services[0].cold_start = seconds{60};
    it->routes[0].services[0].cold_per_s = cold_per_s;
    return it;
}

auto make_cold_record(const std::string &id, std::uint32_t failure_domain = 1)
    -> upstream_record {
    auto it = make_record(id, 1, failure_domain);
    it.cold_remaining = seconds{60};
    return it;
}

// A balancer of failure domain 1 that knows `count` balancers, itself included,
// and these upstreams.
auto make_balancer(std::uint32_t address, std::uint32_t count,
                   const std::vector<upstream_record> &records,
                   double cold_per_s = 20) -> blackboard {
    auto it = make_blackboard(address);
    for (std::uint32_t other = 1; other <= count; ++other)
        update_member(it.members, {.address = other,
                                   .failure_domain = 1,
                                   .last_heard = start + seconds{5}});
    auto &steering = it.steering;
    steering.upstreams_known = true;
    steering.upstreams.cold.bounds = bounds;
    activate_configuration(it, make_cold_configuration(cold_per_s));
    for (const auto &record : records)
        apply_record(steering.upstreams, record, start);
    refresh_steering(it, start);
    refresh_steering(it, start + seconds{5});
    return it;
}

// Sends of all balancers to one upstream.
struct arrivals {
    std::deque<time_point> recent;
    std::size_t most = 0; ///< in any second

    auto add(time_point now) -> void {
        recent.push_back(now);
        while (now - recent.front() >= seconds{1})
            recent.pop_front();
        most = std::max(most, recent.size());
    }
};

} // namespace

// Guards against a crowd of callers at upstreams that have just started. Some
// flows end after a request, others send one per second until the end.
TEST_CASE("no second has more requests of all balancers to a cold upstream "
          "than its quota") {
    constexpr std::uint32_t count = 22;
    std::vector<blackboard> all;
    for (std::uint32_t i = 1; i <= count; ++i)
        all.push_back(make_balancer(
            i, count, {make_cold_record("i-1"), make_cold_record("i-2")}));
    struct request {
        std::size_t balancer;
        std::uint16_t port;
        verdict to;
        bool stays;
        std::uint32_t sent = 0;
    };
    std::multimap<time_point, request> due;
    std::map<upstream_index, arrivals> openings;
    std::map<upstream_index, arrivals> requests;
    std::minstd_rand random(1);
    std::uint16_t port = 0;
    for (auto now = start + seconds{5}; now < start + seconds{11};
         now += milliseconds{2}) {
        const auto at = random() % all.size();
        ++port;
        const auto placed = steer(all[at].steering, opening_packet(port), now);
        if (placed.kind == verdict_kind::forward) {
            openings[placed.to].add(now);
            due.emplace(now + milliseconds{random() % 30},
                        request{at, port, placed, random() % 4 == 0});
        }
        while (!due.empty() && due.begin()->first <= now) {
            auto one = due.extract(due.begin()).mapped();
            auto packet = later_packet(one.port, one.to.code, 100,
                                       500 + 1'000 * one.sent++);
            steer(all[one.balancer].steering, packet, now);
            requests[one.to.to].add(now);
            if (one.stays) {
                due.emplace(now + seconds{1} + milliseconds{random() % 50},
                            one);
                continue;
            }
            packet = later_packet(one.port, one.to.code, 0, 2'000);
            packet.finishes = true;
            steer(all[one.balancer].steering, packet, now);
        }
    }
    REQUIRE(openings.size() == 2);
    for (const auto &[index, one] : openings)
        CHECK(one.most <= quota);
    for (const auto &[index, one] : requests) {
        CHECK(one.most <= quota);
        CHECK(one.most >= quota * 6 / 10);
    }
}

// Guards against a limit that breaks flows, and against new flows on top of
// established ones that use up the share.
TEST_CASE("requests on established flows are never refused but count") {
    auto it = make_balancer(1, 1, {make_cold_record("i-1")});
    auto now = start + seconds{5};
    const auto placed = steer(it.steering, opening_packet(1), now);
    REQUIRE(placed.kind == verdict_kind::forward);
    for (std::uint32_t i = 0; i < 2 * quota; ++i) {
        now += milliseconds{2};
        CHECK(
            steer(it.steering, later_packet(1, placed.code, 100, 500 + i), now)
                .kind == verdict_kind::forward);
    }
    CHECK(it.steering.upstreams.cold.counters.requests == 2 * quota);
    const auto refused = steer(it.steering, opening_packet(2), now);
    CHECK(refused.kind == verdict_kind::reject);
    CHECK(refused.why == refusal::no_upstream);
    CHECK(steer(it.steering, opening_packet(3), now + cold_window).kind ==
          verdict_kind::forward);
}

// Guards against domains that each use the whole quota of one upstream.
TEST_CASE("a cold upstream of another failure domain gets no flows until it is "
          "warm") {
    auto it = make_balancer(1, 1, {make_cold_record("i-1", 2)});
    const auto now = start + seconds{5};
    CHECK(steer(it.steering, opening_packet(1), now).kind ==
          verdict_kind::reject);
    CHECK(it.steering.upstreams.cold.counters.other_domain == 1);
    CHECK(steer(it.steering, opening_packet(2), start + seconds{60}).kind ==
          verdict_kind::forward);
}

// Guards against cold upstreams that are spared although no limit is set.
TEST_CASE("without a limit in the configuration or without the settings cold "
          "upstreams are chosen as before") {
    for (const auto has_settings : {true, false}) {
        auto it = make_balancer(
            1, 22, {make_cold_record("i-1"), make_cold_record("i-2", 2)},
            has_settings ? 0 : 20);
        if (!has_settings)
            update_cold_limits(it.steering.upstreams.cold,
                               it.steering.in_force.get(), {});
        for (std::uint16_t port = 1; port < 200; ++port)
            CHECK(steer(it.steering, opening_packet(port), start + seconds{5})
                      .kind == verdict_kind::forward);
        CHECK(it.steering.upstreams.cold.counters.openings == 0);
    }
}

// Guards against a flow that holds a part of the share after its end.
TEST_CASE("a flow that ends or goes to a second upstream is released") {
    auto it =
        make_balancer(1, 1, {make_cold_record("i-1"), make_cold_record("i-2")});
    auto &upstreams = it.steering.upstreams;
    const auto now = start + seconds{5};
    const auto first = steer(it.steering, opening_packet(1), now);
    const auto second = steer_retry(it.steering, opening_packet(1).endpoints,
                                    now + opening_retry_delay);
    REQUIRE(second.kind == verdict_kind::forward);
    REQUIRE(second.to != first.to);
    CHECK(upstreams.all[first.to].cold.held == 0);
    CHECK(count_cold_requests(upstreams.all[first.to].cold,
                              now + opening_retry_delay) == 1);
    CHECK(upstreams.all[second.to].cold.held == 1);
    auto last = later_packet(1, second.code);
    last.aborts = true;
    steer(it.steering, last, now + milliseconds{100});
    for (const auto &one : upstreams.all)
        CHECK(count_cold_requests(one.cold, now + seconds{2}) == 0);
}

// Guards against balancers without access to the store that apply no limit, and
// against upstreams that stay cold longer the more often their records are
// passed on.
TEST_CASE("limits of cold upstreams and the remaining warm-up time reach other "
          "balancers") {
    auto sender = make_balancer(1, 2, {make_cold_record("i-1")});
    auto receiver = make_blackboard(2);
    receiver.steering.upstreams.cold.bounds = bounds;
    const auto now = start + seconds{20};
    for (auto &version : sender.versions)
        version = {.content = {.number = 1},
                   .as_of = {.number = 1},
                   .confirmed = now,
                   .complete = true};
    for (const auto what : {feed::configuration, feed::upstreams}) {
        std::vector<outgoing_message> out;
        on_peer_message(sender, 2, pull_message{.what = what}, now, out);
        for (const auto &one : out) {
            const auto buf = encode(one.message);
            const auto message = decode_peer_message({buf.data(), buf.size()});
            REQUIRE(message);
            std::vector<outgoing_message> ignored;
            on_peer_message(receiver, 1, *message, now, ignored);
        }
    }
    const auto &upstreams = receiver.steering.upstreams;
    REQUIRE(upstreams.cold.limits.contains(bookings));
    CHECK(upstreams.cold.limits.at(bookings).quota == quota);
    REQUIRE(upstreams.all.size() == 1);
    CHECK(upstreams.all[0].warm_at == start + seconds{60});
}
