#include <array>

#include <doctest/doctest.h>

#include "spread_model.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::model;

namespace {

// Checks that every version was in force on every balancer within the bound,
// whole, and that no older one came back.
auto check_in_time(const spread_options &options) -> void {
    CAPTURE(options.seed);
    CAPTURE(options.routes);
    CAPTURE(options.changed_routes);
    CAPTURE(options.change_interval.count());
    CAPTURE(options.loss);
    CAPTURE(options.link_mbps);
    CAPTURE(static_cast<int>(options.fault));
    const auto report = simulate_spread(options);
    CHECK(report.delays.size() >= 30);
    CHECK(report.longest <= options.apply_within);
    CHECK(report.regressions == 0);
    CHECK(report.corrupted == 0);
}

} // namespace

// Guards against changes that come into force late on some balancers, as whole
// configurations were sent in bursts and begun again with each version.
TEST_CASE("each change of a large configuration is in force in time on thin "
          "links") {
    check_in_time({.routes = 4'200});
}

// Guards against a fleet that stops watching the store, as balancers that wake
// take old confirmations for new ones and pass them on.
TEST_CASE("changes are in force in time while the balancers that watch the "
          "store are frozen or cut off or killed one after the other") {
    for (const auto fault :
         {watcher_fault::freeze, watcher_fault::cut_off, watcher_fault::kill})
        for (const std::uint64_t seed : {1, 2, 3})
            check_in_time({.seed = seed, .fault = fault});
}

// Guards against the same while other balancers freeze and wake: the case 8 of
// the second review.
TEST_CASE("changes are in force in time while the watchers are cut off and "
          "others freeze and wake") {
    for (const std::uint64_t seed : {1, 2, 3})
        check_in_time({.seed = seed,
                       .balancers = 20,
                       .fault = watcher_fault::cut_off,
                       .fault_interval = seconds{12},
                       .fault_length = milliseconds{5'900},
                       .frozen_share = 0.1});
}

// Guards against a balancer that waits for the next digest because one request
// was lost, and so is late after a partition.
TEST_CASE("changes are in force in time although three messages in ten are "
          "lost and the watchers are cut off one after the other") {
    for (const std::uint64_t seed : {1, 2, 3})
        check_in_time({.seed = seed,
                       .change_interval = seconds{1},
                       .apply_within = seconds{3},
                       .loss = 0.3,
                       .fault = watcher_fault::cut_off,
                       .fault_length = milliseconds{2'500}});
}

// Guards against a bound that holds for some sizes, rates, losses and faults
// only.
TEST_CASE("changes are in force in time at any size and rate and loss and with "
          "any fault of the watchers") {
    constexpr std::array faults{watcher_fault::none, watcher_fault::freeze,
                                watcher_fault::cut_off, watcher_fault::kill};
    for (const std::size_t routes : {10, 1'000, 4'200})
        for (const auto interval :
             {milliseconds{100}, milliseconds{1'000}, milliseconds{10'000}})
            for (const auto loss : {0.0, 0.3})
                for (const auto fault : faults)
                    check_in_time({.routes = routes,
                                   .change_interval = interval,
                                   .length = seconds{10},
                                   .loss = loss,
                                   .fault = fault});
}

// Guards against the same for the configuration of the largest fleet. The links
// pass the whole of it, as the store sends it, in an eighth of the bound.
TEST_CASE("changes of 13 000 routes are in force in time with any fault of the "
          "watchers") {
    for (const auto fault :
         {watcher_fault::freeze, watcher_fault::cut_off, watcher_fault::kill})
        check_in_time({.routes = 13'000,
                       .length = seconds{10},
                       .loss = 0.1,
                       .link_mbps = 40,
                       .fault = fault});
}
