#include <future>

#include <doctest/doctest.h>

#include "restore_drill.hpp"

using namespace dogwoodtrack::standin;

// Guards against a fleet that, after the store has come back from an older
// copy, calls it thousands of times (8,143 watches answered with status 410 in
// 18 s), places flows on upstreams that had left, or refuses flows. The drills
// run at the same time, to end within 30 s.
TEST_CASE("a fleet of real balancers goes on when the store is restored") {
    constexpr auto count = static_cast<std::size_t>(drill_kind::count);
    std::vector<std::future<drill_report>> drills;
    for (std::size_t i = 0; i < count; ++i)
        drills.push_back(std::async(std::launch::async, run_restore_drill,
                                    static_cast<drill_kind>(i),
                                    DOGWOODTRACK_DAEMON));
    for (std::size_t i = 0; i < count; ++i) {
        const auto kind = static_cast<drill_kind>(i);
        const auto report = drills[i].get();
        const auto name = to_string(kind);
        MESSAGE(name << ": " << report.openings << " openings, "
                     << report.delivered << " delivered, " << report.misplaced
                     << " misplaced, " << report.refused << " refused, "
                     << report.busiest_second << " calls in a second, "
                     << report.lost_histories << " lost histories, era "
                     << report.lowest_era);
        CAPTURE(name);
        REQUIRE(report.problem.empty());
        CHECK(report.misplaced == 0);
        CHECK(report.busiest_second <= 20);
        // One for each of four balancers, two feeds and two restores.
        CHECK(report.lost_histories <= 16);
        CHECK(report.up_to_date == drill_balancers);
        // Some are under way at the end, or sent while balancers restart.
        CHECK(report.delivered + 100 > report.openings);
        // Balancers that restart while the store is away know nothing.
        if (kind != drill_kind::restarted)
            CHECK(report.refused == 0);
        const auto restores = kind == drill_kind::twice ? 2U : 1U;
        CHECK(report.lowest_era ==
              (kind == drill_kind::without_header ? 0U : restores));
    }
}
