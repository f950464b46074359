#include <deque>

#include <doctest/doctest.h>

#include "carried/load/spill.hpp"
#include "carried/load/spill_report.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;

namespace {

constexpr std::uint32_t domain_count = 3;
constexpr milliseconds interval{250};

/// Failure domains 1 to 3, each of which decides every 250 ms from loads of the
/// others that are `delay` intervals old.
struct region {
    std::array<domain_load, domain_count> loads;
    std::array<std::vector<spill_share>, domain_count> shares;
    std::deque<std::array<domain_load, domain_count>> history;
    std::size_t delay = 3;
    float price = 0.5F;
    float request_kib = 2;
    std::uint32_t cut_off = 0; ///< domain that no other one reaches
    std::uint32_t evacuated = 0;

    region(float a, float b, float c) {
        const std::array demands{a, b, c};
        for (std::uint32_t i = 0; i < domain_count; ++i)
            loads[i] = {.failure_domain = i + 1,
                        .limit = 100,
                        .demand = demands[i],
                        .service_ms = 30};
    }

    auto input_of(std::uint32_t i) const -> spill_input {
        spill_input input{.own = loads[i],
                          .previous = shares[i],
                          .price_ms_per_kib = price,
                          .request_kib = request_kib,
                          .target_latency = milliseconds{500},
                          .interval = interval};
        const auto at = std::min(delay, history.size() - 1);
        for (std::uint32_t k = 0; k < domain_count; ++k) {
            if (k != i)
                input.others.push_back(
                    {.load = history[at][k],
                     .age = interval * static_cast<int>(at),
                     .round_trip = milliseconds{2},
                     .reachable = cut_off != k + 1 && cut_off != i + 1,
                     .evacuated = evacuated == k + 1});
        }
        return input;
    }

    auto step() -> void {
        history.push_front(loads);
        for (std::uint32_t i = 0; i < domain_count; ++i)
            shares[i] = compute_spill(input_of(i));
    }

    auto run(int intervals) -> void {
        for (int n = 0; n < intervals; ++n)
            step();
    }

    auto share(std::uint32_t from, std::uint32_t to) const -> float {
        for (const auto &one : shares[from - 1]) {
            if (one.failure_domain == to)
                return one.share;
        }
        return 0;
    }

    /// Concurrent requests at the upstreams of a domain.
    auto placed(std::uint32_t domain) const -> float {
        auto sum = loads[domain - 1].demand;
        for (std::uint32_t k = 1; k <= domain_count; ++k) {
            sum += share(k, domain) * loads[k - 1].demand;
            sum -= share(domain, k) * loads[domain - 1].demand;
        }
        return sum;
    }
};

} // namespace

// Guards against paying for traffic between domains without need.
TEST_CASE("calm domains spill nothing, also when one is busier than another") {
    region it(90, 20, 99);
    it.run(40);
    for (const auto &one : it.shares)
        CHECK(one.empty());
}

// Guards against callers that are refused while other domains have room, and
// against more traffic between domains than needed.
TEST_CASE("a domain short of upstreams spills just what it lacks, within two "
          "seconds") {
    region it(130, 50, 50);
    it.run(8);
    CHECK(it.placed(1) == doctest::Approx(100).epsilon(0.02));
    it.run(20);
    CHECK(it.placed(1) == doctest::Approx(100).epsilon(0.02));
    CHECK(it.share(1, 2) == doctest::Approx(it.share(1, 3)));
}

// Guards against free capacity elsewhere that stays unused during a large
// shortage.
TEST_CASE("half of the upstreams silent: all of the free capacity is used") {
    region it(140, 50, 50);
    it.loads[0].limit = 50;
    it.run(20);
    CHECK(it.placed(1) == doctest::Approx(50).epsilon(0.02));
    CHECK(it.placed(2) == doctest::Approx(95).epsilon(0.01));
}

// Guards against neighbours that are overloaded because several domains take
// the same room at once.
TEST_CASE("two domains that spill into the third at once do not push it over "
          "its limit") {
    for (const std::size_t delay : {0, 1, 2, 3}) {
        region it(60, 60, 60);
        it.delay = delay;
        it.run(4);
        it.loads[0].demand = 180;
        it.loads[1].demand = 140;
        for (int n = 0; n < 40; ++n) {
            it.step();
            CHECK(it.placed(3) <= 100);
        }
        CHECK(it.placed(3) == doctest::Approx(95).epsilon(0.02));
    }
}

// Guards against callers of a domain that are refused in favour of those of
// other domains.
TEST_CASE("the neighbour's own demand goes first") {
    region it(150, 150, 40);
    it.run(20);
    CHECK(it.placed(3) > 90);
    it.loads[2].demand = 100;
    it.run(4);
    CHECK(it.placed(3) <= 100);
    CHECK(it.shares[0].empty());
}

// Guards against load that moves back and forth between domains, as decisions
// are made on old loads.
TEST_CASE("shares do not oscillate over 60 intervals with delayed loads") {
    for (const std::size_t delay : {1, 3}) {
        region it(150, 120, 30);
        it.delay = delay;
        it.run(20);
        const auto settled = it.shares;
        for (int n = 0; n < 60; ++n) {
            // Noise of 2% in every demand.
            for (auto &one : it.loads)
                one.demand *= n % 2 == 0 ? 1.02F : 1 / 1.02F;
            it.step();
            for (std::uint32_t from = 1; from <= 2; ++from)
                CHECK(it.share(from, 3) ==
                      doctest::Approx(settled[from - 1].front().share)
                          .epsilon(0.15));
        }
    }
}

// Guards against a crowd that is moved to another domain at once, before that
// domain has told its load, and against a share that never ends.
TEST_CASE("a share moves by bounded steps when a crowd comes and goes") {
    region it(50, 50, 50);
    it.run(4);
    float before = 0;
    for (int n = 0; n < 40; ++n) {
        it.loads[0].demand = n < 20 ? 140 : 50;
        it.step();
        CHECK(std::abs(it.share(1, 2) - before) <= 0.1001);
        before = it.share(1, 2);
    }
    CHECK(before == 0);
}

// Guards against flows that are sent where they cannot or must not go.
TEST_CASE("a cut-off or evacuated domain gets nothing, and the others as much "
          "as they can take") {
    for (const auto evacuated : {false, true}) {
        region it(150, 50, 50);
        it.run(20);
        CHECK(it.share(1, 3) > 0.1);
        (evacuated ? it.evacuated : it.cut_off) = 3;
        it.step();
        CHECK(it.share(1, 3) == 0);
        it.run(20);
        CHECK(it.share(1, 3) == 0);
        CHECK(it.share(1, 2) > 0.1);
    }
}

// Guards against flows to a domain of which nothing has been heard.
TEST_CASE("a load of another domain that is older than 2 s ends its share") {
    region it(150, 50, 50);
    it.run(20);
    auto input = it.input_of(0);
    input.others[0].age = max_load_age;
    for (const auto &one : compute_spill(input))
        CHECK(one.failure_domain == 3);
    CHECK(usable_capacity(input, input.others[0]) == 0);
    CHECK(usable_capacity(input, input.others[1]) > 0);
}

// Guards against traffic that costs more than the waiting that it saves, and
// against a price that leaves large shortages at home.
TEST_CASE("a high price keeps small shortages at home, not large ones") {
    for (const auto &[demand, leaves] :
         {std::pair{105.F, false}, std::pair{150.F, true}}) {
        region it(demand, 20, 20);
        it.request_kib = 78; // 80,000 bytes: leaving costs 41 ms
        it.run(20);
        CHECK(it.shares[0].empty() != leaves);
        it.price = 20; // three times the target latency
        it.run(20);
        CHECK(it.shares[0].empty());
    }
}

// Guards against callers that are refused because a price was set, although
// their domain cannot serve them at all.
TEST_CASE("a domain without upstreams leaves, whatever the price") {
    region it(40, 50, 50);
    it.loads[0].limit = 0;
    it.price = 1'000;
    it.run(20);
    CHECK(it.placed(1) == doctest::Approx(0).epsilon(0.01));
}

// Guards against a malformed load that makes all shares invalid.
TEST_CASE("loads without sense give no shares that are not numbers") {
    region it(150, 50, 50);
    const auto nan = std::nanf("");
    it.loads[1].demand = nan;
    it.loads[2].limit = nan;
    it.run(4);
    for (const auto &one : it.shares[0])
        CHECK(one.share >= 0);
}

// Guards against a gauge that shows the share of a single service for that of
// all flows.
TEST_CASE("the gauge shows the mean share over the services") {
    const service_plan a{.spill = {{2, 0.5F}, {3, 0.1F}}, .demand = 30};
    const service_plan b{.spill = {{2, 0.1F}}, .demand = 10};
    const auto shares = mean_shares({&a, &b});
    REQUIRE(shares.size() == 2);
    CHECK(shares[0].share == doctest::Approx(0.4));
    CHECK(shares[1].share == doctest::Approx(0.075));
    CHECK(mean_shares({}).empty());
}

// Guards against a line for each of the small steps of a share.
TEST_CASE("a share is logged when it begins, ends or has changed by 0.1") {
    std::vector<spill_share> logged;
    const spill_input input;
    const auto log = [&](float share) {
        log_spill_changes(input, logged, {{2, share}});
        return logged.empty() ? 0 : logged[0].share;
    };
    CHECK(log(0.05F) == 0.05F);
    CHECK(log(0.12F) == 0.05F);
    CHECK(log(0.16F) == 0.16F);
    CHECK(log(0) == 0);
}

// Guards against a price that is applied to the sizes of other services'
// answers.
TEST_CASE("the mean size is that of the answers on the service's routes") {
    configuration in_force;
    flow_table flows;
    for (std::uint16_t port = 1; port <= 3; ++port) {
        const endpoint address{.address = 9, .port = port};
        in_force.routes.push_back(
            {.address = address,
             .services = {{.service = port == 3 ? 8U : 7U}}});
        flows.profiles[address] = {.bytes = 1'024.F * static_cast<float>(port),
                                   .samples = port == 1 ? 30U : 10U};
    }
    CHECK(mean_request_kib(flows, in_force, 7) == doctest::Approx(1.25));
    CHECK(mean_request_kib(flows, in_force, 6) == 0);
}
