#include <cmath>
#include <random>

#include <doctest/doctest.h>

#include "carried/test_support.hpp"
#include "carried/upstreams/upstream_speeds.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

constexpr milliseconds interval{250};

/// Upstreams that get requests in proportion to their plan speeds, 12 a second
/// at speed 1, and answer in exponentially distributed times.
struct measured_service {
    speed_table table;
    std::vector<float> response_ms; ///< mean, by code
    std::vector<upstream_plan> plan;
    std::minstd_rand random{5};

    explicit measured_service(std::size_t count) : response_ms(count, 30) {
        table.target_latency = milliseconds{500};
        upstream_table upstreams;
        for (std::size_t i = 0; i < count; ++i)
            apply_record(upstreams, make_record("i-" + std::to_string(i), 1),
                         start);
        track_upstreams(table, upstreams, bookings);
        for (const auto &[code, it] : table.all)
            plan.push_back({.code = code});
        std::sort(plan.begin(), plan.end(),
                  [](const auto &a, const auto &b) { return a.code < b.code; });
    }

    auto load_of(std::size_t i) -> upstream_load {
        std::exponential_distribution<float> time(1 / response_ms[i]);
        // Two slots serve no more than this in an interval.
        const auto most = 2 * 250 / response_ms[i];
        std::poisson_distribution<unsigned> count(
            std::min(3 * plan[i].speed, most));
        upstream_load load{.code = plan[i].code};
        load.answers = count(random);
        load.in_flight = load.answers > 0 || response_ms[i] > 125 ? 1 : 0;
        for (unsigned n = 0; n < load.answers; ++n)
            load.service_ms += time(random) / static_cast<float>(load.answers);
        return load;
    }

    auto run(milliseconds time) -> void {
        for (auto at = milliseconds{0}; at < time; at += interval) {
            std::vector<upstream_load> loads;
            for (std::size_t i = 0; i < plan.size(); ++i)
                loads.push_back(load_of(i));
            plan = compute_speeds(table, loads, interval);
        }
    }

    /// Mean speed of every third upstream, beginning with `first`.
    auto third(std::size_t first) const -> float {
        float sum = 0;
        float count = 0;
        for (auto i = first; i < plan.size(); i += 3, ++count)
            sum += plan[i].speed;
        return sum / count;
    }

    auto set_third(std::size_t first, float ms) -> void {
        for (auto i = first; i < response_ms.size(); i += 3)
            response_ms[i] = ms;
    }
};

} // namespace

// Guards against requests that keep going to slow upstreams, and against a
// burst at those that have just recovered.
TEST_CASE("a third of the upstreams six times slower is left within a second "
          "and returns without a thundering herd") {
    measured_service it(120);
    it.run(seconds{10});
    it.set_third(0, 180);
    it.run(seconds{1});
    CHECK(it.third(0) < 0.4 * it.third(1));
    it.run(seconds{10});
    CHECK(it.third(0) < 0.25 * it.third(1));
    CHECK(it.table.changes.size() >= 40);
    it.set_third(0, 30);
    auto before = it.third(0);
    for (int n = 0; n < 60; ++n) {
        it.run(interval);
        CHECK(it.third(0) <= before * 1.11F);
        before = it.third(0);
    }
    CHECK(it.third(0) > 0.85 * it.third(1));
}

// Guards against estimates that noise or the prior of few answers distorts.
TEST_CASE("speeds 0.6, 1.0 and 1.6 are found, relative to their mean") {
    measured_service it(120);
    it.set_third(0, 30 / 0.6F);
    it.set_third(2, 30 / 1.6F);
    it.run(seconds{15});
    CHECK(it.third(0) / it.third(1) == doctest::Approx(0.6).epsilon(0.08));
    CHECK(it.third(2) / it.third(1) == doctest::Approx(1.6).epsilon(0.08));
    const auto mean = (it.third(0) + it.third(1) + it.third(2)) / 3;
    CHECK(mean == doctest::Approx(1).epsilon(0.08));
}

// Guards against plans sent four times as often, and flows moved, for noise.
TEST_CASE("equal upstreams seldom count as uneven") {
    measured_service it(120);
    it.run(seconds{15});
    int uneven = 0;
    for (int n = 0; n < 40; ++n) {
        it.run(interval);
        for (const auto &one : it.plan)
            uneven += one.speed < 0.65 || one.speed > 1.5 ? 1 : 0;
    }
    CHECK(uneven < 40 * 120 / 50);
    CHECK(it.table.changes.size() <= 4);
}

// Guards against a slow upstream that is judged by its few fast answers alone.
TEST_CASE("an upstream that holds requests without any answer becomes slow") {
    measured_service it(10);
    it.run(seconds{10});
    std::vector<upstream_load> loads;
    for (int n = 0; n < 5; ++n) {
        loads.clear();
        for (std::size_t i = 0; i < 10; ++i)
            loads.push_back(it.load_of(i));
        loads[4] = {.code = it.plan[4].code, .in_flight = 2};
        it.plan = compute_speeds(it.table, loads, interval);
    }
    CHECK(it.plan[4].speed < slow_speed);
    CHECK(it.plan[5].speed > slow_speed);
}

// Guards against a slow upstream that gets nothing and therefore never shows
// that it has recovered.
TEST_CASE("an upstream without requests is tried again after a while") {
    measured_service it(6);
    it.set_third(0, 180);
    it.run(seconds{10});
    REQUIRE(it.plan[0].speed < slow_speed);
    for (int n = 0; n < 80; ++n)
        compute_speeds(it.table, {}, interval);
    CHECK(compute_speeds(it.table, {}, interval)[0].speed > 0.6);
}

// Guards against requests that queue at an upstream beyond the target latency,
// and against upstreams that keep rejecting requests.
TEST_CASE("limits are slots x speed x room, and shrink while an upstream "
          "rejects requests") {
    measured_service it(6);
    it.set_third(0, 1'000); // too slow for the target latency of 500 ms
    it.run(seconds{10});
    CHECK(it.plan[0].limit == 1);
    CHECK(it.plan[1].limit >= 4);
    std::vector<upstream_load> loads;
    for (std::size_t i = 0; i < 6; ++i)
        loads.push_back(it.load_of(i));
    loads[1].rejections = 3;
    const auto before = it.plan[1].limit;
    for (int n = 0; n < 6; ++n)
        it.plan = compute_speeds(it.table, loads, interval);
    CHECK(it.plan[1].limit < before);
    CHECK(it.plan[1].limit >= 2);
}

// Guards against a malformed report that makes all speeds of a service invalid.
TEST_CASE("loads without sense are survived") {
    measured_service it(3);
    std::vector<upstream_load> loads{
        {.code = it.plan[0].code, .answers = 5, .service_ms = std::nanf("")},
        {.code = it.plan[1].code, .answers = 4'000'000'000, .service_ms = -4},
        {.code = 12'345, .answers = 3, .service_ms = 30}};
    for (const auto &one : compute_speeds(it.table, loads, milliseconds{0}))
        CHECK(one.speed == 1);
    CHECK(it.table.all.size() == 3);
}
