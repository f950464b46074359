#include <algorithm>

#include <doctest/doctest.h>

#include "carried/test_support.hpp"
#include "carried/upstreams/dead_upstreams.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

constexpr milliseconds sweep_interval{100};
constexpr std::uint16_t caller_count = 24;

// Callers that each send many requests on one long-lived flow.
struct long_lived_flows {
    steering_state state;
    std::vector<std::uint32_t> codes; ///< binding codes, by caller port
    /// Latest acknowledgement numbers that the callers sent, by caller port.
    std::vector<std::uint32_t> acknowledged;
    std::vector<upstream_index> silent; ///< upstreams that do not answer
    std::vector<flow_endpoints> resets; ///< all flows reset so far
    time_point now = start;

    explicit long_lived_flows(request_kind kind) {
        auto settings = make_configuration(1);
        settings->routes.front().kind = kind;
        settings->routes.push_back(
            {.address = {.address = 0xc6120002, .port = 443},
             .services = {{.service = hash_name64("meals")}}});
        state.in_force = settings;
        state.configuration_confirmed = start;
        state.upstreams_known = true;
        state.position.failure_domain = 1;
        for (std::uint32_t i = 0; i < 8; ++i)
            apply_record(state.upstreams,
                         make_record("i-" + std::to_string(i), i + 1, i / 4),
                         now);
        codes.resize(caller_count);
        acknowledged.resize(caller_count, 500);
        for (std::uint16_t port = 0; port < caller_count; ++port)
            open(port);
    }

    auto is_silent_upstream(upstream_index index) const -> bool {
        return std::find(silent.begin(), silent.end(), index) != silent.end();
    }

    auto index_of(std::uint16_t port) const -> upstream_index {
        return index_by_code(state.upstreams, codes[port]);
    }

    // Opens a flow as a caller does: connects to the first upstream that the
    // opening is sent to or, if that one is silent, to the second.
    auto open(std::uint16_t port) -> void {
        const auto first = steer(state, opening_packet(port), now);
        auto code = first.code;
        if (is_silent_upstream(first.to)) {
            const auto second =
                steer_retry(state, opening_packet(port).endpoints,
                            now + opening_retry_delay);
            if (second.kind != verdict_kind::forward ||
                is_silent_upstream(second.to))
                return;
            code = second.code;
        }
        codes[port] = code;
        steer(state, later_packet(port, code), now + milliseconds{3});
    }

    auto send_request(std::uint16_t port) -> void {
        const auto decision = steer(
            state, later_packet(port, codes[port], 100, acknowledged[port]),
            now);
        if (decision.kind == verdict_kind::reject) {
            resets.push_back(opening_packet(port).endpoints);
            return open(port);
        }
        if (is_silent_upstream(index_of(port)))
            return;
        acknowledged[port] += 1'000;
        steer(state, later_packet(port, codes[port], 0, acknowledged[port]),
              now + milliseconds{40});
    }

    // Each caller sends a request every 600 ms. In addition, three short flows
    // are opened every 100 ms.
    auto run(milliseconds length) -> void {
        const auto end = now + length;
        std::uint16_t next = 0;
        std::uint16_t short_flow_port = 1'000;
        for (; now < end; now += sweep_interval) {
            for (int i = 0; i < caller_count / 6; ++i, ++next)
                send_request(next % caller_count);
            for (int i = 0; i < 3; ++i)
                open_short_flow(++short_flow_port);
            sweep_flows(state.flows, state.upstreams, 1'000, now);
            for (const auto &one : take_flows_to_reset(state, now))
                for (const auto &flow : one.flows) {
                    resets.push_back(flow.endpoints);
                    open(flow.endpoints.caller.port);
                }
        }
    }

    auto open_short_flow(std::uint16_t port) -> void {
        const auto decision = steer(state, opening_packet(port), now);
        if (!is_silent_upstream(decision.to)) {
            auto last = later_packet(port, decision.code);
            last.finishes = true;
            steer(state, last, now + milliseconds{4});
            return;
        }
        steer_retry(state, opening_packet(port).endpoints,
                    now + opening_retry_delay);
    }

    // Record of another upstream, of another service of the configuration, that
    // started later at the address of the upstream `index`.
    auto make_successor(upstream_index index, std::uint64_t revision) const
        -> upstream_record {
        const auto &previous = state.upstreams.all[index].record;
        auto it = make_record("i-other", revision);
        it.service = hash_name64("meals");
        it.address = previous.address;
        it.born = previous.born + 1'000;
        return it;
    }

    static auto make_removal_of(const std::string &id, std::uint64_t revision)
        -> upstream_record {
        return {.id = id,
                .state = upstream_state::gone,
                .revision = make_revision(revision),
                .changed_at = make_revision(revision)};
    }

    auto make_removal(upstream_index index, std::uint64_t revision) const
        -> upstream_record {
        return make_removal_of(state.upstreams.all[index].record.id, revision);
    }

    auto count_flows_to_silent() const -> std::size_t {
        std::size_t n = 0;
        for (std::uint16_t port = 0; port < caller_count; ++port)
            n += is_silent_upstream(index_of(port)) ? 1 : 0;
        return n;
    }
};

} // namespace

TEST_CASE("flows to a silent quarter of the upstreams are reset within 2 s") {
    long_lived_flows it(request_kind::idempotent);
    it.run(seconds{2});
    CHECK(it.resets.empty());
    it.silent = {0, 5};
    const auto waiting_flows = it.count_flows_to_silent();
    REQUIRE(waiting_flows >= 4);
    it.run(seconds{2});
    CHECK(it.count_flows_to_silent() == 0);
    CHECK(it.resets.size() == waiting_flows);
}

TEST_CASE(
    "flows with non-idempotent requests to silent upstreams are not reset") {
    long_lived_flows it(request_kind::non_idempotent);
    it.run(seconds{2});
    it.silent = {0, 5};
    it.run(seconds{4});
    CHECK(it.resets.empty());
}

TEST_CASE("flows to a silent domain are not reset while its balancers answer") {
    long_lived_flows it(request_kind::idempotent);
    it.run(seconds{2});
    it.silent = {0, 1, 2, 3};
    it.run(seconds{6});
    CHECK(it.resets.empty());
    CHECK(it.state.upstreams.suspected_domains.size() == 1);
    it.silent = {};
    it.run(seconds{2});
    CHECK(it.resets.empty());
}

TEST_CASE("flows that await a response from an unreachable domain are reset") {
    long_lived_flows it(request_kind::idempotent);
    it.run(seconds{2});
    it.silent = {0, 1, 2, 3};
    const auto waiting_flows = it.count_flows_to_silent();
    REQUIRE(waiting_flows >= 8);
    it.run(milliseconds{800});
    CHECK(it.resets.empty());
    it.state.unreachable_domains = it.state.upstreams.suspected_domains;
    it.run(seconds{2});
    CHECK(it.count_flows_to_silent() == 0);
    CHECK(it.resets.size() == waiting_flows);
}

TEST_CASE("flows to a cut-off domain are reset sooner if a peer reports it "
          "unresponsive") {
    long_lived_flows it(request_kind::idempotent);
    it.run(seconds{2});
    it.silent = {0, 1, 2, 3};
    it.run(milliseconds{500});
    const auto domain = it.state.upstreams.all[0].record.failure_domain;
    it.state.reported_unresponsive = {domain};
    it.state.unreachable_domains = {domain};
    it.run(milliseconds{100});
    CHECK(it.resets.size() > 0);
}

TEST_CASE("idle flows to a cut-off failure domain are not reset") {
    long_lived_flows it(request_kind::idempotent);
    it.run(seconds{2});
    it.silent = {0, 1, 2, 3};
    it.run(milliseconds{500});
    it.state.unreachable_domains = it.state.upstreams.suspected_domains;
    it.run(sweep_interval);
    const auto resets = it.resets.size();
    const auto remaining = it.count_flows_to_silent();
    REQUIRE(remaining > 0);
    it.silent = {};
    it.state.unreachable_domains.clear();
    it.run(seconds{2});
    CHECK(it.resets.size() == resets);
}

TEST_CASE(
    "flows with non-idempotent requests to a cut-off domain are not reset") {
    long_lived_flows it(request_kind::non_idempotent);
    it.run(seconds{2});
    it.silent = {0, 1, 2, 3};
    it.run(milliseconds{800});
    it.state.unreachable_domains = it.state.upstreams.suspected_domains;
    it.run(seconds{4});
    CHECK(it.resets.empty());
}

TEST_CASE("silence during a pause of the process does not reset flows") {
    long_lived_flows it(request_kind::idempotent);
    it.run(seconds{2});
    for (std::uint16_t port = 0; port < caller_count; ++port)
        steer(it.state,
              later_packet(port, it.codes[port], 100, it.acknowledged[port]),
              it.now);
    it.now += seconds{5};
    sweep_flows(it.state.flows, it.state.upstreams, 1'000, it.now);
    CHECK(take_flows_to_reset(it.state, it.now).empty());
}

TEST_CASE("single silent flow does not make its upstream dead") {
    long_lived_flows it(request_kind::idempotent);
    it.run(seconds{1});
    steer(it.state, later_packet(0, it.codes[0], 100, it.acknowledged[0]),
          it.now);
    for (int i = 0; i < 30; ++i) {
        it.now += sweep_interval;
        sweep_flows(it.state.flows, it.state.upstreams, 1'000, it.now);
        CHECK(take_flows_to_reset(it.state, it.now).empty());
    }
}

TEST_CASE("flows are reset once their upstream's entry is gone and another "
          "upstream has its address") {
    for (const auto kind :
         {request_kind::idempotent, request_kind::non_idempotent}) {
        long_lived_flows it(kind);
        it.run(seconds{1});
        it.silent = {2};
        const auto waiting_flows = it.count_flows_to_silent();
        REQUIRE(waiting_flows >= 2);
        apply_record(it.state.upstreams, it.make_successor(2, 90), it.now);
        CHECK(take_flows_to_reset(it.state, it.now).empty());
        apply_record(it.state.upstreams, it.make_removal(2, 91), it.now);
        const auto dead = take_flows_to_reset(it.state, it.now);
        REQUIRE(dead.size() == 1);
        CHECK(dead.front().index == 2);
        CHECK(dead.front().flows.size() == waiting_flows);
        // A flow unknown to this balancer is reset at its next packet.
        const auto code = it.state.upstreams.all[2].code;
        const auto stray =
            steer(it.state, later_packet(900, code, 100), it.now);
        CHECK(stray.kind == verdict_kind::reject);
        CHECK(stray.why == refusal::dead_upstream);
    }
}

TEST_CASE("flows are reset once their upstream leaves requests unanswered and "
          "another upstream has its address") {
    for (const auto *service : {"meals", "lager"}) {
        long_lived_flows it(request_kind::non_idempotent);
        it.run(seconds{1});
        it.silent = {2};
        const auto waiting_flows = it.count_flows_to_silent();
        REQUIRE(waiting_flows >= 2);
        auto other = it.make_successor(2, 90);
        other.service = hash_name64(service);
        apply_record(it.state.upstreams, other, it.now);
        it.run(milliseconds{500});
        CHECK(it.resets.empty());
        it.run(milliseconds{1'000});
        const auto is_named = std::string(service) == "meals";
        CHECK(it.resets.size() == (is_named ? waiting_flows : 0));
    }
}

// Guards against resets of flows whose upstream lives: any entry with the same
// address and a later revision was taken for its successor.
TEST_CASE("flows are not reset while the store lists their upstream, whoever "
          "else has an entry with its address") {
    for (const auto *service : {"bookings", "meals", "lager"}) {
        for (const std::uint64_t born : {1U, 1'000U, 2'000U, 3'000'000'000U}) {
            long_lived_flows it(request_kind::idempotent);
            it.run(seconds{1});
            auto other = it.make_successor(2, 90);
            other.service = hash_name64(service);
            other.born = born;
            apply_record(it.state.upstreams, other, it.now);
            it.run(milliseconds{500});
            CHECK(it.resets.empty());
        }
    }
}

TEST_CASE("an entry for a service that no route names, or of an upstream that "
          "started earlier, takes nobody's address") {
    for (const auto earlier : {true, false}) {
        long_lived_flows it(request_kind::non_idempotent);
        it.run(seconds{1});
        auto other = it.make_successor(2, 90);
        if (earlier)
            other.born = it.state.upstreams.all[2].record.born - 1;
        else
            other.service = hash_name64("lager");
        apply_record(it.state.upstreams, other, it.now);
        apply_record(it.state.upstreams, it.make_removal(2, 91), it.now);
        CHECK(take_flows_to_reset(it.state, it.now).empty());
    }
}

// Guards against resets of flows whose upstream lives, after an entry of the
// previous holder of its address was written late.
TEST_CASE("a late write of an address's previous holder does not make the "
          "current holder dead") {
    for (const auto state : {upstream_state::ready, upstream_state::draining}) {
        long_lived_flows it(request_kind::non_idempotent);
        auto previous = it.make_successor(2, 90);
        previous.born = it.state.upstreams.all[2].record.born - 500;
        previous.state = state;
        apply_record(it.state.upstreams, previous, it.now);
        it.run(seconds{1});
        apply_record(it.state.upstreams, it.make_removal_of("i-other", 91),
                     it.now);
        it.run(seconds{1});
        CHECK(it.resets.empty());
        CHECK(it.state.upstreams.all[2].death == upstream_death::none);
    }
}

// Guards against resets of flows whose upstream lives, and an upstream that
// gets no new flows, after its entry was overwritten for a while.
TEST_CASE("an upstream whose entry shows another incarnation for a while is "
          "used as before") {
    for (const std::uint64_t born : {500, 5'000}) {
        long_lived_flows it(request_kind::non_idempotent);
        it.run(seconds{1});
        auto &table = it.state.upstreams;
        const auto own = table.all[2].record;
        auto overwritten = own;
        overwritten.born = born;
        overwritten.address.port = 9;
        overwritten.service = hash_name64("lager");
        overwritten.revision = overwritten.changed_at = make_revision(90);
        apply_record(table, overwritten, it.now);
        it.run(milliseconds{300});
        auto restored = own;
        restored.revision = restored.changed_at = make_revision(91);
        apply_record(table, restored, it.now);
        it.run(seconds{1});
        CHECK(it.resets.empty());
        CHECK(table.by_id.at(own.id) == 2);
        CHECK(table.all[2].placeable);
        CHECK(table.all[2].death == upstream_death::none);
    }
}

TEST_CASE("late record of an address's previous holder does not make the "
          "current holder dead") {
    upstream_table table;
    const auto earlier = make_record("i-1", 5);
    auto later_record = make_record("i-2", 9);
    later_record.address = earlier.address;
    later_record.born = earlier.born + 1;
    apply_record(table, later_record, start);
    apply_record(table, earlier, start);
    const auto index = table.by_id.at("i-2");
    CHECK_FALSE(has_successor(table, index, *make_configuration(1)));
    CHECK(table.by_address.at(earlier.address) == index);
}

TEST_CASE("late removal record of an upstream does not make the next upstream "
          "at its address dead") {
    upstream_table table;
    auto removed = make_record("i-1", 9);
    removed.state = upstream_state::gone;
    auto successor = make_record("i-2", 5);
    successor.address = removed.address;
    successor.born = removed.born + 1;
    apply_record(table, successor, start);
    apply_record(table, removed, start);
    const auto index = table.by_id.at("i-2");
    CHECK_FALSE(has_successor(table, index, *make_configuration(1)));
    CHECK(table.by_address.at(removed.address) == index);
}

TEST_CASE("upstream whose entry was removed is dead only once it is silent") {
    long_lived_flows it(request_kind::idempotent);
    it.run(seconds{1});
    auto removal = make_record("i-2", 90);
    removal.state = upstream_state::gone;
    apply_record(it.state.upstreams, removal, it.now);
    it.run(seconds{3});
    CHECK(it.resets.empty());
    it.silent = {2};
    const auto waiting_flows = it.count_flows_to_silent();
    REQUIRE(waiting_flows >= 2);
    it.run(milliseconds{1'800});
    CHECK(it.resets.size() == waiting_flows);
}
