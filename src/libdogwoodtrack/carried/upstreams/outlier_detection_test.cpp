#include <doctest/doctest.h>

#include <memory>

#include "carried/feeds/gossip.hpp"
#include "carried/test_support.hpp"
#include "carried/upstreams/outlier_detection.hpp"
#include "carried/upstreams/outlier_ejection.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

constexpr unsigned upstream_count = 10;

/// Balancers of one failure domain and, as the last element of `all`, a
/// balancer of another failure domain. All of them know each other and ten
/// upstreams.
struct balancer_domain {
    std::vector<std::unique_ptr<blackboard>> all;

    explicit balancer_domain(std::uint32_t size) {
        for (std::uint32_t i = 1; i <= size + 1; ++i)
            all.push_back(std::make_unique<blackboard>(make_blackboard(i)));
        all.back()->members.self.failure_domain = 2;
        exchange_heartbeats(start);
        for (auto &a : all) {
            for (unsigned u = 0; u < upstream_count; ++u)
                apply_record(a->steering.upstreams,
                             make_record("i-" + std::to_string(u), u + 1),
                             start);
        }
    }

    auto exchange_heartbeats(time_point now) -> void {
        for (auto &a : all) {
            a->members.self.last_heard = now;
            for (auto &b : all)
                update_member(b->members, a->members.self);
        }
    }

    /// Returns the number of messages delivered.
    auto deliver_messages(time_point now) -> std::size_t {
        std::size_t n = 0;
        for (auto &from : all) {
            std::vector<outgoing_message> out;
            share_outcomes(*from, now, out);
            n += out.size();
            for (const auto &one : out) {
                const auto buf = encode(one.message);
                const auto message =
                    decode_peer_message({buf.data(), buf.size()});
                REQUIRE(message);
                std::vector<outgoing_message> caused;
                on_peer_message(*all[one.to - 1], from->members.self.address,
                                *message, now, caused);
            }
        }
        return n;
    }

    auto count_balancers_ejecting(upstream_index index, time_point now) const
        -> std::size_t {
        std::size_t n = 0;
        for (const auto &it : all)
            n += is_ejected(it->steering.upstreams.all[index], now) ? 1 : 0;
        return n;
    }
};

auto record_error(blackboard &it, upstream_index index, time_point now)
    -> void {
    record_outcome(it.steering.upstreams, index, request_outcome::error, now);
}

auto choose(steering_state &it, request_kind kind, time_point now)
    -> upstream_index {
    return choose_upstream(it.upstreams, {.service = bookings, .kind = kind},
                           it.position, now);
}

} // namespace

TEST_CASE("one failure at each of 3 balancers ejects an upstream in the whole "
          "domain") {
    balancer_domain balancers(20);
    for (std::size_t i : {3, 7, 11})
        record_error(*balancers.all[i], 4, start);
    balancers.deliver_messages(start);
    balancers.deliver_messages(start);
    CHECK(balancers.count_balancers_ejecting(4, start) == 20);
    CHECK(balancers.count_balancers_ejecting(5, start) == 0);
}

TEST_CASE(
    "upstream whose few failures at each of 3 balancers are offset by its "
    "many answers to the others is not ejected") {
    balancer_domain balancers(20);
    auto now = start;
    for (std::size_t round = 0; round < 10; ++round) {
        for (std::size_t i : {3, 7, 11}) {
            for (int n = 0; n < 20; ++n)
                record_outcome(balancers.all[i]->steering.upstreams, 4,
                               request_outcome::answered, now);
        }
        record_error(*balancers.all[3 + 4 * (round % 3)], 4, now);
        now += milliseconds{100};
        balancers.deliver_messages(now);
    }
    CHECK(balancers.count_balancers_ejecting(4, now) == 0);
}

TEST_CASE("no messages are sent while no request has failed") {
    balancer_domain balancers(5);
    for (auto &it : balancers.all)
        record_outcome(it->steering.upstreams, 2, request_outcome::answered,
                       start);
    CHECK(balancers.deliver_messages(start) == 0);
}

TEST_CASE(
    "upstream on probation is ejected again if a trial flow that its outlier "
    "detector sends to it fails") {
    balancer_domain balancers(20);
    for (std::size_t i : {3, 7, 11})
        record_error(*balancers.all[i], 4, start);
    balancers.deliver_messages(start);
    balancers.deliver_messages(start);
    auto now = start;
    while (balancers.count_balancers_ejecting(4, now) == 20)
        now += milliseconds{50};
    for (std::size_t i = 0; i < 20; ++i)
        CHECK(
            is_on_probation(balancers.all[i]->steering.upstreams.all[4], now));
    balancers.exchange_heartbeats(now);
    const auto detector =
        detector_of(balancers.all[0]->members, bookings, now) - 1;
    // The detector's trial flow fails, and the new ejection status reaches all
    // other balancers of the domain.
    record_error(*balancers.all[detector], 4, now);
    balancers.deliver_messages(now);
    CHECK(balancers.count_balancers_ejecting(4, now) == 20);
}

TEST_CASE(
    "upstream on probation gets trial flows from its detector only, and only "
    "with idempotent requests") {
    balancer_domain balancers(20);
    for (std::size_t i : {3, 7, 11})
        record_error(*balancers.all[i], 4, start);
    balancers.deliver_messages(start);
    balancers.deliver_messages(start);
    const auto now = start + seconds{6};
    balancers.exchange_heartbeats(now);
    const auto detector =
        detector_of(balancers.all[0]->members, bookings, now) - 1;
    for (std::size_t i = 0; i < 20; ++i) {
        auto &steering = balancers.all[i]->steering;
        steering.position.count = 20;
        std::size_t non_idempotent_trials = 0;
        std::size_t idempotent_trials = 0;
        for (int n = 0; n < 30; ++n) {
            non_idempotent_trials +=
                choose(steering, request_kind::non_idempotent, now) == 4;
            idempotent_trials +=
                choose(steering, request_kind::idempotent, now) == 4;
        }
        CHECK(non_idempotent_trials == 0);
        CHECK(idempotent_trials == (i == detector ? 1 : 0));
    }
}

TEST_CASE("balancer that ejected an upstream on its own sends the trial flow") {
    balancer_domain balancers(20);
    const auto detector =
        detector_of(balancers.all[0]->members, bookings, start) - 1;
    const auto other = detector == 0 ? 1 : detector - 1;
    for (int n = 0; n < 3; ++n) // not reported to the detector
        record_error(*balancers.all[other], 4, start);
    auto &steering = balancers.all[other]->steering;
    const auto now = start + seconds{4};
    CHECK(choose(steering, request_kind::non_idempotent, now) != 4);
    CHECK(choose(steering, request_kind::idempotent, now) == 4);
}

TEST_CASE("probation of an upstream that answers its detector ends at all "
          "balancers") {
    balancer_domain balancers(20);
    for (std::size_t i : {3, 7, 11})
        record_error(*balancers.all[i], 4, start);
    balancers.deliver_messages(start);
    balancers.deliver_messages(start);
    auto now = start + seconds{6};
    balancers.exchange_heartbeats(now);
    const auto detector =
        detector_of(balancers.all[0]->members, bookings, now) - 1;
    for (int n = 0; n < 6; ++n)
        record_outcome(balancers.all[detector]->steering.upstreams, 4,
                       request_outcome::answered, now);
    balancers.deliver_messages(now);
    for (std::size_t i = 0; i < 20; ++i)
        CHECK(
            !is_on_probation(balancers.all[i]->steering.upstreams.all[4], now));
}

TEST_CASE("probation ends after a fixed time if the detector disappears") {
    balancer_domain balancers(2);
    apply_ejection_status(balancers.all[0]->steering.upstreams.all[4],
                          {.left = seconds{3}, .ejections = 1}, start);
    const auto &one = balancers.all[0]->steering.upstreams.all[4];
    CHECK(is_on_probation(one, start + seconds{4}));
    CHECK(!is_on_probation(one, start + seconds{20}));
}

TEST_CASE("no upstream is ejected when many of them fail") {
    balancer_domain balancers(20);
    for (upstream_index index = 0; index < upstream_count; ++index)
        record_error(*balancers.all[index], index, start);
    balancers.deliver_messages(start);
    for (std::size_t i = 10; i < 20; ++i) {
        for (upstream_index index = 0; index < upstream_count; ++index)
            record_error(*balancers.all[i], index, start);
    }
    balancers.deliver_messages(start);
    for (upstream_index index = 0; index < upstream_count; ++index)
        CHECK(balancers.count_balancers_ejecting(index, start) == 0);
}
