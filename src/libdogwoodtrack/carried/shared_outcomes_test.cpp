#include <doctest/doctest.h>

#include <memory>

#include "answers.hpp"
#include "shared_outcomes.hpp"
#include "spread.hpp"
#include "test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

constexpr unsigned upstreams = 10;

/// Balancers that know each other and ten upstreams; the last is in another
/// failure domain.
struct domain_of_boards {
    std::vector<std::unique_ptr<board>> all;

    explicit domain_of_boards(std::uint32_t n) {
        for (std::uint32_t i = 1; i <= n + 1; ++i)
            all.push_back(std::make_unique<board>(make_board(i)));
        all.back()->members.self.failure_domain = 2;
        meet(start);
        for (auto &a : all) {
            for (unsigned u = 0; u < upstreams; ++u)
                apply_record(a->steering.upstreams,
                             make_record("i-" + std::to_string(u), u + 1),
                             start);
        }
    }

    auto meet(time_point now) -> void {
        for (auto &a : all) {
            a->members.self.heard = now;
            for (auto &b : all)
                note_member(b->members, a->members.self);
        }
    }

    auto exchange(time_point now) -> std::size_t {
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

    auto ejected(upstream_index index, time_point now) const -> std::size_t {
        std::size_t n = 0;
        for (const auto &it : all)
            n += is_ejected(it->steering.upstreams.all[index], now) ? 1 : 0;
        return n;
    }
};

auto fail(board &it, upstream_index index, time_point now) -> void {
    note_outcome(it.steering.upstreams, index, request_outcome::error, now);
}

auto choose(steering_state &it, request_kind kind, time_point now)
    -> upstream_index {
    return choose_upstream(it.upstreams, {.service = bookings, .kind = kind},
                           it.position, now);
}

} // namespace

TEST_CASE("one failure at each of three balancers ejects in the whole domain") {
    domain_of_boards fleet(20);
    for (std::size_t i : {3, 7, 11})
        fail(*fleet.all[i], 4, start);
    fleet.exchange(start);
    fleet.exchange(start);
    CHECK(fleet.ejected(4, start) == 20);
    CHECK(fleet.ejected(5, start) == 0);
}

TEST_CASE("answers that others saw between failures speak for an upstream") {
    domain_of_boards fleet(20);
    auto now = start;
    for (std::size_t round = 0; round < 10; ++round) {
        for (std::size_t i : {3, 7, 11}) {
            for (int n = 0; n < 20; ++n)
                note_outcome(fleet.all[i]->steering.upstreams, 4,
                             request_outcome::answered, now);
        }
        fail(*fleet.all[3 + 4 * (round % 3)], 4, now);
        now += milliseconds{100};
        fleet.exchange(now);
    }
    CHECK(fleet.ejected(4, now) == 0);
}

TEST_CASE("calm: nothing is told") {
    domain_of_boards fleet(5);
    for (auto &it : fleet.all)
        note_outcome(it->steering.upstreams, 2, request_outcome::answered,
                     start);
    CHECK(fleet.exchange(start) == 0);
}

TEST_CASE("an ejected upstream that fails its judge again is ejected again") {
    domain_of_boards fleet(20);
    for (std::size_t i : {3, 7, 11})
        fail(*fleet.all[i], 4, start);
    fleet.exchange(start);
    fleet.exchange(start);
    auto now = start;
    while (fleet.ejected(4, now) == 20)
        now += milliseconds{50};
    for (std::size_t i = 0; i < 20; ++i)
        CHECK(is_on_probation(fleet.all[i]->steering.upstreams.all[4], now));
    fleet.meet(now);
    const auto judge = judge_of(fleet.all[0]->members, bookings, now) - 1;
    // Its trial fails: nobody else has to find out.
    fail(*fleet.all[judge], 4, now);
    fleet.exchange(now);
    CHECK(fleet.ejected(4, now) == 20);
}

TEST_CASE(
    "an ejected upstream is tried by its judge, with safe requests only") {
    domain_of_boards fleet(20);
    for (std::size_t i : {3, 7, 11})
        fail(*fleet.all[i], 4, start);
    fleet.exchange(start);
    fleet.exchange(start);
    const auto now = start + seconds{6};
    fleet.meet(now);
    const auto judge = judge_of(fleet.all[0]->members, bookings, now) - 1;
    for (std::size_t i = 0; i < 20; ++i) {
        auto &steering = fleet.all[i]->steering;
        steering.position.count = 20;
        std::size_t unsafe = 0;
        std::size_t safe = 0;
        for (int n = 0; n < 30; ++n) {
            unsafe += choose(steering, request_kind::non_idempotent, now) == 4;
            safe += choose(steering, request_kind::idempotent, now) == 4;
        }
        CHECK(unsafe == 0);
        CHECK(safe == (i == judge ? 1 : 0));
    }
}

TEST_CASE("an upstream that one balancer alone ejected is tried by it") {
    domain_of_boards fleet(20);
    const auto judge = judge_of(fleet.all[0]->members, bookings, start) - 1;
    const auto other = judge == 0 ? 1 : judge - 1;
    for (int n = 0; n < 3; ++n) // the judge does not hear of them
        fail(*fleet.all[other], 4, start);
    auto &steering = fleet.all[other]->steering;
    const auto now = start + seconds{4};
    CHECK(choose(steering, request_kind::non_idempotent, now) != 4);
    CHECK(choose(steering, request_kind::idempotent, now) == 4);
}

TEST_CASE("an upstream that answers its judge again is trusted by the domain") {
    domain_of_boards fleet(20);
    for (std::size_t i : {3, 7, 11})
        fail(*fleet.all[i], 4, start);
    fleet.exchange(start);
    fleet.exchange(start);
    auto now = start + seconds{6};
    fleet.meet(now);
    const auto judge = judge_of(fleet.all[0]->members, bookings, now) - 1;
    for (int n = 0; n < 6; ++n)
        note_outcome(fleet.all[judge]->steering.upstreams, 4,
                     request_outcome::answered, now);
    fleet.exchange(now);
    for (std::size_t i = 0; i < 20; ++i)
        CHECK(!is_on_probation(fleet.all[i]->steering.upstreams.all[4], now));
}

TEST_CASE("a judge that vanished leaves nobody on probation for ever") {
    domain_of_boards fleet(2);
    take_judgement(fleet.all[0]->steering.upstreams.all[4],
                   {.left = seconds{3}, .ejections = 1}, start);
    const auto &one = fleet.all[0]->steering.upstreams.all[4];
    CHECK(is_on_probation(one, start + seconds{4}));
    CHECK(!is_on_probation(one, start + seconds{20}));
}

TEST_CASE("crowd: when many upstreams fail, none is ejected for it") {
    domain_of_boards fleet(20);
    for (upstream_index index = 0; index < upstreams; ++index)
        fail(*fleet.all[index], index, start);
    fleet.exchange(start);
    for (std::size_t i = 10; i < 20; ++i) {
        for (upstream_index index = 0; index < upstreams; ++index)
            fail(*fleet.all[i], index, start);
    }
    fleet.exchange(start);
    for (upstream_index index = 0; index < upstreams; ++index)
        CHECK(fleet.ejected(index, start) == 0);
}
