#include <algorithm>

#include <doctest/doctest.h>

#include "dead_upstreams.hpp"
#include "test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

constexpr milliseconds look{100};
constexpr std::uint16_t callers = 24;

// Callers that keep a flow each open for many requests.
struct long_flows {
    steering_state state;
    std::vector<std::uint32_t> codes;
    std::vector<std::uint32_t> acknowledged;
    std::vector<upstream_index> dark;
    std::vector<flow_endpoints> resets;
    time_point now = start;

    explicit long_flows(request_kind kind) {
        auto settings = make_configuration(1);
        settings->routes.front().kind = kind;
        state.in_force = settings;
        state.configuration_confirmed = start;
        state.upstreams_known = true;
        state.position.failure_domain = 1;
        for (std::uint32_t i = 0; i < 8; ++i)
            apply_record(state.upstreams,
                         make_record("i-" + std::to_string(i), i + 1, i / 4),
                         now);
        codes.resize(callers);
        acknowledged.resize(callers, 500);
        for (std::uint16_t port = 0; port < callers; ++port)
            open(port);
    }

    auto is_dark(upstream_index index) const -> bool {
        return std::find(dark.begin(), dark.end(), index) != dark.end();
    }

    auto index_of(std::uint16_t port) const -> upstream_index {
        return index_by_code(state.upstreams, codes[port]);
    }

    // As a caller does: the first answer counts, else another flow is tried.
    auto open(std::uint16_t port) -> void {
        const auto first = steer(state, opening_packet(port), now);
        auto code = first.code;
        if (is_dark(first.to)) {
            const auto second =
                steer_retry(state, opening_packet(port).endpoints,
                            now + opening_retry_delay);
            if (second.kind != verdict_kind::forward || is_dark(second.to))
                return;
            code = second.code;
        }
        codes[port] = code;
        steer(state, later_packet(port, code), now + milliseconds{3});
    }

    auto ask(std::uint16_t port) -> void {
        const auto what = steer(
            state, later_packet(port, codes[port], 100, acknowledged[port]),
            now);
        if (what.kind == verdict_kind::reject) {
            resets.push_back(opening_packet(port).endpoints);
            return open(port);
        }
        if (is_dark(index_of(port)))
            return;
        acknowledged[port] += 1'000;
        steer(state, later_packet(port, codes[port], 0, acknowledged[port]),
              now + milliseconds{40});
    }

    // Each caller asks once in 600 ms; a new one comes now and then.
    auto run(milliseconds length) -> void {
        const auto end = now + length;
        std::uint16_t next = 0;
        std::uint16_t fresh = 1'000;
        for (; now < end; now += look) {
            for (int i = 0; i < callers / 6; ++i, ++next)
                ask(next % callers);
            for (int i = 0; i < 3; ++i)
                open_and_leave(++fresh);
            sweep_flows(state.flows, state.upstreams, 1'000, now);
            for (const auto &one : take_flows_to_reset(state, now))
                for (const auto &flow : one.flows) {
                    resets.push_back(flow.endpoints);
                    open(flow.endpoints.caller.port);
                }
        }
    }

    auto open_and_leave(std::uint16_t port) -> void {
        const auto what = steer(state, opening_packet(port), now);
        if (!is_dark(what.to)) {
            auto last = later_packet(port, what.code);
            last.finishes = true;
            steer(state, last, now + milliseconds{4});
            return;
        }
        steer_retry(state, opening_packet(port).endpoints,
                    now + opening_retry_delay);
    }

    auto flows_at_dark() const -> std::size_t {
        std::size_t n = 0;
        for (std::uint16_t port = 0; port < callers; ++port)
            n += is_dark(index_of(port)) ? 1 : 0;
        return n;
    }
};

} // namespace

TEST_CASE("a quarter falls silent: long flows there are reset within 2 s") {
    long_flows it(request_kind::idempotent);
    it.run(seconds{2});
    CHECK(it.resets.empty());
    it.dark = {0, 5};
    const auto stuck = it.flows_at_dark();
    REQUIRE(stuck >= 4);
    it.run(seconds{2});
    CHECK(it.flows_at_dark() == 0);
    CHECK(it.resets.size() == stuck);
}

TEST_CASE("a request that must not run twice is not reset for silence") {
    long_flows it(request_kind::non_idempotent);
    it.run(seconds{2});
    it.dark = {0, 5};
    it.run(seconds{4});
    CHECK(it.resets.empty());
}

TEST_CASE("a failure domain is silent but its balancers answer: no reset") {
    long_flows it(request_kind::idempotent);
    it.run(seconds{2});
    it.dark = {0, 1, 2, 3};
    it.run(seconds{6});
    CHECK(it.resets.empty());
    CHECK(it.state.upstreams.suspected_domains.size() == 1);
    it.dark = {};
    it.run(seconds{2});
    CHECK(it.resets.empty());
}

TEST_CASE("a failure domain beyond a cut: callers that wait there try again") {
    long_flows it(request_kind::idempotent);
    it.run(seconds{2});
    it.dark = {0, 1, 2, 3};
    const auto stuck = it.flows_at_dark();
    REQUIRE(stuck >= 8);
    it.run(milliseconds{800});
    CHECK(it.resets.empty());
    it.state.unreachable_domains = it.state.upstreams.suspected_domains;
    it.run(seconds{2});
    CHECK(it.flows_at_dark() == 0);
    CHECK(it.resets.size() == stuck);
}

TEST_CASE("beyond a cut: what a neighbour says spares the own silence") {
    long_flows it(request_kind::idempotent);
    it.run(seconds{2});
    it.dark = {0, 1, 2, 3};
    it.run(milliseconds{500});
    const auto domain = it.state.upstreams.all[0].record.failure_domain;
    it.state.reported_unheard = {domain};
    it.state.unreachable_domains = {domain};
    it.run(milliseconds{100});
    CHECK(it.resets.size() > 0);
}

TEST_CASE("the cut has healed: flows that waited for nothing are as before") {
    long_flows it(request_kind::idempotent);
    it.run(seconds{2});
    it.dark = {0, 1, 2, 3};
    it.run(milliseconds{500});
    it.state.unreachable_domains = it.state.upstreams.suspected_domains;
    it.run(look);
    const auto resets = it.resets.size();
    const auto left = it.flows_at_dark();
    REQUIRE(left > 0);
    it.dark = {};
    it.state.unreachable_domains.clear();
    it.run(seconds{2});
    CHECK(it.resets.size() == resets);
}

TEST_CASE("beyond a cut a request that must not run twice is left alone") {
    long_flows it(request_kind::non_idempotent);
    it.run(seconds{2});
    it.dark = {0, 1, 2, 3};
    it.run(milliseconds{800});
    it.state.unreachable_domains = it.state.upstreams.suspected_domains;
    it.run(seconds{4});
    CHECK(it.resets.empty());
}

TEST_CASE("a process that was paused takes no silence for a death") {
    long_flows it(request_kind::idempotent);
    it.run(seconds{2});
    for (std::uint16_t port = 0; port < callers; ++port)
        steer(it.state,
              later_packet(port, it.codes[port], 100, it.acknowledged[port]),
              it.now);
    it.now += seconds{5};
    sweep_flows(it.state.flows, it.state.upstreams, 1'000, it.now);
    CHECK(take_flows_to_reset(it.state, it.now).empty());
}

TEST_CASE("one silent flow alone is no death") {
    long_flows it(request_kind::idempotent);
    it.run(seconds{1});
    steer(it.state, later_packet(0, it.codes[0], 100, it.acknowledged[0]),
          it.now);
    for (int i = 0; i < 30; ++i) {
        it.now += look;
        sweep_flows(it.state.flows, it.state.upstreams, 1'000, it.now);
        CHECK(take_flows_to_reset(it.state, it.now).empty());
    }
}

TEST_CASE("the address went to another upstream: its old flows are reset") {
    for (const auto kind :
         {request_kind::idempotent, request_kind::non_idempotent}) {
        long_flows it(kind);
        it.run(seconds{1});
        it.dark = {2};
        const auto stuck = it.flows_at_dark();
        REQUIRE(stuck >= 2);
        auto other = make_record("i-other", 90);
        other.service = hash_label("meals");
        other.address = it.state.upstreams.all[2].record.address;
        apply_record(it.state.upstreams, other, it.now);
        const auto dead = take_flows_to_reset(it.state, it.now);
        REQUIRE(dead.size() == 1);
        CHECK(dead.front().index == 2);
        CHECK(dead.front().flows.size() == stuck);
        // A flow that another balancer knew is reset by its next packet.
        const auto code = it.state.upstreams.all[2].code;
        const auto stray =
            steer(it.state, later_packet(900, code, 100), it.now);
        CHECK(stray.kind == verdict_kind::reject);
        CHECK(stray.why == refusal::dead_upstream);
    }
}

TEST_CASE("records in any order: the live holder of an address is not dead") {
    upstream_table table;
    const auto earlier = make_record("i-1", 5);
    auto later_one = make_record("i-2", 9);
    later_one.address = earlier.address;
    apply_record(table, later_one, start);
    apply_record(table, earlier, start);
    CHECK(table.all[table.by_id.at("i-2")].death == upstream_death::none);
    CHECK(table.superseded.empty());
}

TEST_CASE("a late record of an upstream that left: its successor lives") {
    upstream_table table;
    auto left = make_record("i-1", 9);
    left.state = upstream_state::gone;
    auto successor = make_record("i-2", 5);
    successor.address = left.address;
    apply_record(table, successor, start);
    apply_record(table, left, start);
    CHECK(table.all[table.by_id.at("i-2")].death == upstream_death::none);
    CHECK(table.superseded.empty());
}

TEST_CASE("the entry is gone: dead after silence, alive while it answers") {
    long_flows it(request_kind::idempotent);
    it.run(seconds{1});
    auto removal = make_record("i-2", 90);
    removal.state = upstream_state::gone;
    apply_record(it.state.upstreams, removal, it.now);
    it.run(seconds{3});
    CHECK(it.resets.empty());
    it.dark = {2};
    const auto stuck = it.flows_at_dark();
    REQUIRE(stuck >= 2);
    it.run(milliseconds{1'800});
    CHECK(it.resets.size() == stuck);
}
