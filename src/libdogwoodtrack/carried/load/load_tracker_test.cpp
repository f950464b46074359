#include <doctest/doctest.h>

#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

auto make_state(std::size_t upstream_count) -> steering_state {
    steering_state it;
    auto routes = make_configuration(1);
    routes->routes.front().priority = 2;
    it.in_force = routes;
    it.configuration_confirmed = start;
    it.upstreams_known = true;
    it.position.failure_domain = 1;
    it.flows.load.enabled = true;
    for (std::size_t i = 0; i < upstream_count; ++i)
        apply_record(it.upstreams, make_record("i-" + std::to_string(i), i + 1),
                     start);
    return it;
}

auto take(steering_state &it, time_point now = start + seconds{1})
    -> service_load {
    const auto taken = take_report(it.flows.load, now);
    return taken.report.services.empty() ? service_load{}
                                         : taken.report.services.front();
}

} // namespace

// Guards against a demand that seems to fall once flows are refused, and one
// that grows with the retransmissions of callers who get no answer.
TEST_CASE("an opening is counted once, admitted or not, and its "
          "retransmissions are not") {
    auto it = make_state(2);
    for (const auto retransmission : {0U, 0U, 1U, 2U})
        steer(it, opening_packet(7, retransmission), start);
    auto without_upstreams = make_state(0);
    steer(without_upstreams, opening_packet(7), start);
    const auto admitted = take(it).priorities[2];
    CHECK(admitted.openings == 1);
    CHECK(admitted.admitted == 1);
    const auto refused = take(without_upstreams).priorities[2];
    CHECK(refused.openings == 1);
    CHECK(refused.admitted == 0);
}

// Guards against an opening that counts again each time that it is tried while
// it is held.
TEST_CASE("a held opening is counted when it is decided about") {
    auto it = make_state(0);
    it.upstreams_known = false;
    for (int i = 0; i < 3; ++i)
        REQUIRE(steer(it, opening_packet(7), start).kind == verdict_kind::hold);
    CHECK(take(it).priorities[2].openings == 0);
    apply_record(it.upstreams, make_record("i-1", 1), start);
    steer(it, opening_packet(7), start);
    CHECK(take(it).priorities[2].openings == 1);
}

// Guards against a report in which flows that waited for admission were never
// admitted, which understates what a limit lets through.
TEST_CASE("an opening from the queue is counted as admitted once it is "
          "placed") {
    auto it = make_state(1);
    it.admission.enabled = true;
    use_plan(it.plans, {.service = bookings, .admit = {1, 1, 0.4F, 1}}, start);
    auto now = start;
    std::uint16_t port = 1;
    std::uint32_t forwarded = 0;
    verdict decision;
    while (decision.kind != verdict_kind::queue && port < 1'000) {
        now += milliseconds{2};
        decision = steer(it, opening_packet(++port), now);
        forwarded += decision.kind == verdict_kind::forward ? 1 : 0;
    }
    REQUIRE(decision.kind == verdict_kind::queue);
    const auto on_arrival = take(it, now).priorities[2];
    CHECK(on_arrival.openings == port - 1U);
    CHECK(on_arrival.admitted == forwarded);
    it.plans = {};
    const auto due = take_due_openings(it.admission, it.plans, now);
    REQUIRE(due.admitted.size() == 1);
    SUBCASE("at an upstream") {
        REQUIRE(steer_admitted(it, due.admitted[0].header, now).kind ==
                verdict_kind::forward);
        const auto from_queue = take(it, now).priorities[2];
        CHECK(from_queue.openings == 0);
        CHECK(from_queue.admitted == 1);
    }
    SUBCASE("not at all, since the upstream is gone") {
        auto record = make_record("i-0", 9);
        record.state = upstream_state::gone;
        apply_record(it.upstreams, record, now);
        REQUIRE(steer_admitted(it, due.admitted[0].header, now).kind ==
                verdict_kind::reject);
        CHECK(take(it, now).priorities[2].admitted == 0);
    }
}

// Guards against counting the request of a new flow twice, as demand of the
// opening and as one of an established flow.
TEST_CASE("only requests after a flow's first one count as requests of "
          "established flows") {
    auto it = make_state(1);
    const auto code = steer(it, opening_packet(7), start).code;
    const auto send = [&](int ms, std::uint16_t payload,
                          std::uint32_t acknowledged) {
        steer(it, later_packet(7, code, payload, acknowledged),
              start + milliseconds{ms});
    };
    send(2, 0, 500);
    send(2, 100, 500);
    auto load = take(it);
    CHECK(load.in_flight == 1);
    CHECK(load.priorities[2].requests == 0);
    send(32, 0, 900);
    send(40, 100, 900);
    const auto taken = take_report(it.flows.load, start + seconds{2}).report;
    load = taken.services.front();
    CHECK(taken.interval == seconds{1});
    CHECK(load.in_flight == 1);
    CHECK(load.priorities[2].requests == 1);
    CHECK(load.priorities[2].openings == 0);
    CHECK(load.answers == 1);
    // 30 ms from request to response, of which the network took 2 ms.
    CHECK(load.service_ms == doctest::Approx(28).epsilon(0.01));
    CHECK(taken.upstreams.front().code == code);
    CHECK(taken.upstreams.front().answers == 1);
}

// Guards against load that stays counted for ever: a request may end with an
// answer, a time-out, a reset, or the loss of the flow's entry.
TEST_CASE("a request that ends in any way is no longer under way") {
    auto it = make_state(1);
    const auto request = [&](std::uint16_t port, time_point now) {
        const auto code = steer(it, opening_packet(port), now).code;
        steer(it, later_packet(port, code), now);
        steer(it, later_packet(port, code, 100), now);
        return code;
    };
    const auto code = request(1, start);
    request(2, start);
    request(3, start);
    CHECK(take(it).in_flight == 3);
    auto abort = later_packet(1, code);
    abort.aborts = true;
    steer(it, abort, start);
    CHECK(take(it).in_flight == 2);
    sweep_flows(it.flows, it.upstreams, 10, start + seconds{2});
    CHECK(take(it).in_flight == 0);
    request(2, start + seconds{30});
    CHECK(take(it).in_flight == 1);
    sweep_flows(it.flows, it.upstreams, 10, start + seconds{60});
    CHECK(take(it).in_flight == 0);
    CHECK(it.flows.load.upstreams.empty());
}

// Guards against memory and time spent while the setting is off.
TEST_CASE("nothing is counted while the exchange is off") {
    auto it = make_state(1);
    it.flows.load.enabled = false;
    const auto code = steer(it, opening_packet(7), start).code;
    steer(it, later_packet(7, code, 100), start);
    CHECK(it.flows.load.services.empty());
    CHECK(it.flows.load.upstreams.empty());
}
