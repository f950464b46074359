#include <algorithm>

#include <doctest/doctest.h>

#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

auto make_state_with_upstreams(std::size_t upstream_count) -> steering_state {
    steering_state it;
    it.in_force = make_configuration(1);
    it.configuration_confirmed = start;
    it.upstreams_known = true;
    it.position.failure_domain = 1;
    for (std::size_t i = 0; i < upstream_count; ++i)
        apply_record(it.upstreams, make_record("i-" + std::to_string(i), i + 1),
                     start);
    return it;
}

// Opens a flow, sends a request and closes the flow after a response of `bytes`
// bytes, which arrives `processing_time` after the request. Returns the
// upstream.
auto serve(steering_state &state, std::uint16_t port,
           milliseconds processing_time, std::uint32_t bytes, time_point now)
    -> upstream_index {
    const auto placed = steer(state, opening_packet(port), now);
    REQUIRE(placed.kind == verdict_kind::forward);
    steer(state, later_packet(port, placed.code, 100), now + milliseconds{5});
    auto last = later_packet(port, placed.code, 0, 500 + bytes);
    last.finishes = true;
    steer(state, last, now + milliseconds{5} + processing_time);
    return placed.to;
}

} // namespace

TEST_CASE("packet of an unknown flow is forwarded by its binding code") {
    auto first = make_state_with_upstreams(4);
    auto second = make_state_with_upstreams(4);
    const auto placed = steer(first, opening_packet(7), start);
    REQUIRE(placed.kind == verdict_kind::forward);
    const auto forwarded = steer(second, later_packet(7, placed.code), start);
    CHECK(forwarded.kind == verdict_kind::forward);
    CHECK(forwarded.to == placed.to);
}

TEST_CASE(
    "packet with an unknown binding code is dropped or held, never rejected") {
    auto state = make_state_with_upstreams(2);
    CHECK(steer(state, later_packet(7, 12345), start).kind ==
          verdict_kind::drop);
    state.upstreams_known = false;
    CHECK(steer(state, later_packet(7, 12345), start).kind ==
          verdict_kind::hold);
}

TEST_CASE("opening packet to an unknown address is rejected only if the "
          "configuration is current") {
    auto state = make_state_with_upstreams(2);
    auto header = opening_packet(7);
    header.endpoints.service.port = 9;
    CHECK(steer(state, header, start).kind == verdict_kind::reject);
    state.configuration_confirmed = {};
    CHECK(steer(state, header, start).kind == verdict_kind::drop);
}

TEST_CASE("new flow is rejected immediately if its service has no upstream") {
    auto state = make_state_with_upstreams(0);
    const auto decision = steer(state, opening_packet(7), start);
    CHECK(decision.kind == verdict_kind::reject);
    CHECK(decision.why == refusal::no_upstream);
}

// Guards against a flow that is sent to an upstream that does not have it, once
// the fabric hands its packets to another balancer.
TEST_CASE("a packet with the binding of an upstream whose answer was not used "
          "gets the binding of its flow's upstream") {
    for (const auto first_answers_first : {true, false}) {
        auto state = make_state_with_upstreams(3);
        const auto first = steer(state, opening_packet(7), start);
        const auto second = steer_retry(state, opening_packet(7).endpoints,
                                        start + opening_retry_delay);
        REQUIRE(second.kind == verdict_kind::forward);
        const auto &used = first_answers_first ? first : second;
        const auto &late = first_answers_first ? second : first;
        const auto completed =
            steer(state, later_packet(7, used.code), start + milliseconds{60});
        CHECK(completed.code == used.code);
        for (const std::uint16_t payload : {0, 100}) {
            const auto corrected =
                steer(state, later_packet(7, late.code, payload),
                      start + milliseconds{80});
            CHECK(corrected.to == used.to);
            CHECK(corrected.code == used.code);
        }
        // Another balancer, which does not know the flow.
        auto other = make_state_with_upstreams(3);
        CHECK(steer(other, later_packet(7, used.code), start).to == used.to);
    }
}

TEST_CASE("unanswered opening is sent to a second upstream") {
    auto state = make_state_with_upstreams(3);
    const auto first = steer(state, opening_packet(7), start);
    const auto second = steer_retry(state, opening_packet(7).endpoints,
                                    start + opening_retry_delay);
    REQUIRE(second.kind == verdict_kind::forward);
    CHECK(second.to != first.to);
    // Later packets go to the upstream that the caller connected to.
    steer(state, later_packet(7, first.code), start + milliseconds{60});
    CHECK(steer(state, later_packet(7, second.code), start + milliseconds{70})
              .to == first.to);
}

TEST_CASE(
    "retransmitted opening stays with an upstream that answers other flows") {
    auto state = make_state_with_upstreams(3);
    const auto placed = steer(state, opening_packet(7), start);
    state.upstreams.all[placed.to].stats.last_response =
        start + milliseconds{20};
    const auto retransmitted =
        steer(state, opening_packet(7, 1), start + milliseconds{200});
    CHECK(retransmitted.to == placed.to);
}

TEST_CASE(
    "upstream gets only single trial flows after two unanswered openings") {
    auto state = make_state_with_upstreams(3);
    auto &silent = state.upstreams.all[0];
    record_unanswered(silent, start);
    record_unanswered(silent, start);
    std::size_t trials = 0;
    for (std::uint16_t port = 1; port <= 300; ++port) {
        const auto now = start + milliseconds{port};
        if (steer(state, opening_packet(port), now).to == 0)
            ++trials;
    }
    CHECK(trials == 1);
}

TEST_CASE("equal upstreams of the own domain share the load evenly") {
    auto state = make_state_with_upstreams(4);
    apply_record(state.upstreams, make_record("i-far", 50, 2), start);
    for (std::uint16_t port = 1; port <= 8; ++port)
        steer(state, opening_packet(port), start);
    for (upstream_index i = 0; i < 4; ++i)
        CHECK(state.upstreams.all[i].stats.open == 2);
    CHECK(state.upstreams.all[4].stats.open == 0);
}

TEST_CASE("flows go to another failure domain when the own one is overloaded") {
    auto state = make_state_with_upstreams(1);
    apply_record(state.upstreams, make_record("i-far", 50, 2), start);
    for (std::uint16_t port = 1; port <= 8; ++port)
        steer(state, opening_packet(port), start);
    CHECK(state.upstreams.all[1].stats.open > 0);
    CHECK(state.upstreams.all[0].stats.open >
          state.upstreams.all[1].stats.open);
}

TEST_CASE("upstream five times slower than the others gets few flows") {
    auto state = make_state_with_upstreams(4);
    auto now = start;
    std::size_t flows_to_slow = 0;
    for (std::uint16_t port = 1; port <= 800; ++port, now += milliseconds{10}) {
        const auto placed = steer(state, opening_packet(port), now);
        const auto is_slow = placed.to == 2;
        flows_to_slow += is_slow && port > 400 ? 1 : 0;
        steer(state, later_packet(port, placed.code, 100), now);
        auto last = later_packet(port, placed.code, 0, 1'500);
        last.finishes = true;
        steer(state, last, now + milliseconds{is_slow ? 200 : 40});
    }
    CHECK(flows_to_slow < 40);
}

TEST_CASE("upstream that returns errors immediately is ejected") {
    auto state = make_state_with_upstreams(5);
    auto now = start;
    std::size_t failures = 0;
    for (std::uint16_t port = 1; port <= 400; ++port, now += milliseconds{5}) {
        const auto placed = steer(state, opening_packet(port), now);
        const auto fails = placed.to == 1 && port > 100;
        failures += fails ? 1 : 0;
        steer(state, later_packet(port, placed.code, 100), now);
        auto last = later_packet(port, placed.code, 0, fails ? 600 : 1'500);
        last.finishes = true;
        steer(state, last, now + milliseconds{fails ? 2 : 40});
    }
    CHECK(failures <= 4);
}

TEST_CASE("immediate errors are detected despite a long round trip") {
    auto state = make_state_with_upstreams(5);
    constexpr milliseconds round_trip{9};
    constexpr milliseconds processing_time{25};
    auto now = start;
    std::size_t failures = 0;
    for (std::uint16_t port = 1; port <= 400; ++port, now += milliseconds{5}) {
        const auto placed = steer(state, opening_packet(port), now);
        const auto fails = placed.to == 0 && port > 100;
        failures += fails ? 1 : 0;
        const auto request_seen = now + round_trip;
        steer(state, later_packet(port, placed.code, 100), request_seen);
        auto last = later_packet(port, placed.code, 0, fails ? 656 : 1'500);
        last.finishes = true;
        steer(state, last,
              request_seen + round_trip +
                  (fails ? milliseconds{0} : processing_time));
    }
    CHECK(failures <= 4);
}

TEST_CASE(
    "errors of requests on a long-lived flow are detected before it closes") {
    auto state = make_state_with_upstreams(5);
    auto now = start;
    std::vector<std::uint32_t> codes;
    for (std::uint16_t port = 1; port <= 5; ++port) {
        codes.push_back(steer(state, opening_packet(port), now).code);
        steer(state, later_packet(port, codes.back()), now + milliseconds{5});
    }
    std::vector<std::uint32_t> acknowledged(5, 500);
    for (int round = 0; round < 40; ++round) {
        for (std::uint16_t port = 1; port <= 5; ++port) {
            auto &acknowledged_bytes = acknowledged[port - 1];
            const auto fails = port == 2 && round > 30;
            const milliseconds response_time{fails ? 1 : 40};
            steer(state,
                  later_packet(port, codes[port - 1], 100, acknowledged_bytes),
                  now);
            acknowledged_bytes += fails ? 150 : 1'000;
            steer(state,
                  later_packet(port, codes[port - 1], 0, acknowledged_bytes),
                  now + response_time);
            now += milliseconds{50};
        }
    }
    const auto failing = index_by_code(state.upstreams, codes[1]);
    CHECK(is_ejected(state.upstreams.all[failing], now));
}

TEST_CASE(
    "no upstream is ejected for normal variation of response size and time") {
    auto state = make_state_with_upstreams(5);
    std::minstd_rand random(7);
    auto now = start;
    for (std::uint16_t port = 1; port <= 5'000; ++port) {
        now += milliseconds{5};
        serve(state, port, milliseconds{15 + random() % 200},
              300 + random() % 3'000, now);
    }
    for (const auto &it : state.upstreams.all)
        CHECK(it.stats.ejected_until == time_point{});
}

TEST_CASE("no timeouts are recorded for flows that the fabric may have moved") {
    for (const auto moved : {false, true}) {
        auto state = make_state_with_upstreams(10);
        for (std::uint16_t port = 1; port <= 10; ++port) {
            const auto placed = steer(state, opening_packet(port), start);
            steer(state, later_packet(port, placed.code, 100), start);
        }
        const auto code = state.upstreams.all[0].code;
        const auto soon_after = start + milliseconds{30};
        if (moved)
            steer(state, later_packet(99, code, 0, 1'500), soon_after);
        else // a request on a flow that was idle for long
            steer(state, later_packet(99, code, 100, 1'500), soon_after);
        const auto now = start + seconds{2};
        sweep_flows(state.flows, state.upstreams, 100, now);
        const auto with_failures = std::count_if(
            state.upstreams.all.begin(), state.upstreams.all.end(),
            [](const upstream &it) { return it.stats.failure_score > 0; });
        CHECK(with_failures == (moved ? 0 : 10));
    }
}

TEST_CASE(
    "only 4 of 10 upstreams are ejected when requests to all 10 time out") {
    auto state = make_state_with_upstreams(10);
    for (upstream_index i = 0; i < 10; ++i) {
        for (int n = 0; n < 5; ++n)
            record_outcome(state.upstreams, i, request_outcome::timed_out,
                           start);
    }
    std::size_t ejected = 0;
    for (const auto &it : state.upstreams.all)
        ejected += is_ejected(it, start) ? 1 : 0;
    CHECK(ejected == 4);
}

TEST_CASE("flows of callers that gave up no longer count as open") {
    auto state = make_state_with_upstreams(2);
    for (std::uint16_t port = 1; port <= 50; ++port)
        steer(state, opening_packet(port), start);
    sweep_flows(state.flows, state.upstreams, 100, start + milliseconds{130});
    CHECK(state.upstreams.all[0].stats.open == 0);
    CHECK(state.upstreams.all[1].stats.open == 0);
    sweep_flows(state.flows, state.upstreams, 100, start + seconds{5});
    CHECK(state.flows.all.empty());
}

TEST_CASE("flow table is bounded and packets are forwarded when it is full") {
    auto state = make_state_with_upstreams(2);
    state.flows.limit = 3;
    for (std::uint16_t port = 1; port <= 10; ++port)
        CHECK(steer(state, opening_packet(port), start).kind ==
              verdict_kind::forward);
    CHECK(state.flows.all.size() == 3);
}

TEST_CASE("after a pause of the process the configuration may be outdated, so "
          "a packet to an unknown service address is dropped, not rejected") {
    auto state = make_state_with_upstreams(2);
    state.configuration_confirmed = start;
    auto header = opening_packet(7);
    header.endpoints.service.port = 9;
    CHECK(steer(state, header, start + seconds{1}).kind ==
          verdict_kind::reject);
    // The first packet after the pause, before any periodic check.
    CHECK(steer(state, header, start + seconds{10}).kind == verdict_kind::drop);
}

TEST_CASE("new flow on a reused port does not go to a draining upstream") {
    auto state = make_state_with_upstreams(2);
    const auto first = steer(state, opening_packet(7), start);
    steer(state, later_packet(7, first.code, 100), start + milliseconds{5});
    auto leaving = state.upstreams.all[first.to].record;
    leaving.state = upstream_state::draining;
    leaving.revision = make_revision(50);
    apply_record(state.upstreams, leaving, start + seconds{1});
    const auto retransmitted =
        steer(state, opening_packet(7, 1), start + milliseconds{1'200});
    CHECK(retransmitted.to == first.to);
    const auto again = steer(state, opening_packet(7), start + seconds{6});
    REQUIRE(again.kind == verdict_kind::forward);
    CHECK(again.to != first.to);
}
