#include <benchmark/benchmark.h>

#include <fmt/format.h>

#include "carried/blackboard.hpp"
#include "carried/quota/cold_quota.hpp"

namespace dogwoodtrack::carried {

namespace {

constexpr std::uint32_t domains = 3;
constexpr std::size_t upstream_count = 5'000;
constexpr service_key service = 1;
const time_point now{std::chrono::hours{1}};

// A fleet with this number of balancers, all in the own failure domain if
// `own_domain`, else spread over `domains`.
auto make_fleet(std::int64_t balancers, bool own_domain) -> fleet {
    fleet it;
    it.self = {.address = 1, .failure_domain = 0};
    for (std::uint32_t i = 1; i < balancers; ++i)
        update_member(it, {.address = i + 1,
                           .failure_domain = own_domain ? 0 : i % domains,
                           .last_heard = now});
    return it;
}

// Upstreams in all failure domains. If `cold`, all are cold and have a limit.
auto make_upstreams(std::int64_t balancers, bool cold) -> upstream_table {
    upstream_table it;
    for (std::uint32_t i = 0; i < upstream_count; ++i)
        apply_record(it,
                     {.id = fmt::format("u-{}", i),
                      .address = {.address = 0x0a000000 + i, .port = 80},
                      .service = service,
                      .failure_domain = i % domains,
                      .slots = 2,
                      .cold_remaining = seconds{cold ? 60 : 0},
                      .revision = {.number = i + 1}},
                     now);
    configuration in_force;
    in_force.routes.push_back(
        {.services = {{.service = service, .cold_per_s = 20}}});
    if (cold)
        update_cold_limits(it.cold, &in_force, {.overage = 1.5, .slack = 5});
    const auto known = make_fleet(balancers, false);
    update_quota_members(it.cold.members, known, now - seconds{60},
                         now - seconds{10});
    update_quota_members(it.cold.members, known, now - seconds{60}, now);
    return it;
}

auto choose(benchmark::State &run, bool cold) -> void {
    const auto balancers = run.range(0);
    auto table = make_upstreams(balancers, cold);
    const domain_position position{
        .count = static_cast<std::uint32_t>(balancers / domains + 1)};
    for (auto _ : run) {
        const auto to =
            choose_upstream(table, {.service = service}, position, now);
        benchmark::DoNotOptimize(to);
    }
}

// Measures the choice among 5,000 warm upstreams, by number of balancers.
auto choose_upstream_warm(benchmark::State &run) -> void {
    choose(run, false);
}

// Measures the choice among 5,000 cold upstreams with limits, by number of
// balancers.
auto choose_upstream_cold(benchmark::State &run) -> void {
    choose(run, true);
}

// Measures the computation of the share in the quota of one upstream, by number
// of balancers in the own failure domain. Done once for each cold upstream
// after a change of the members.
auto share_of_quota(benchmark::State &run) -> void {
    quota_members members;
    const auto known = make_fleet(run.range(0), true);
    update_quota_members(members, known, now - seconds{60}, now);
    members.fresh = false;
    std::uint64_t purpose = 0;
    for (auto _ : run)
        benchmark::DoNotOptimize(quota_share(members, 31, ++purpose));
}

// Measures the update of the members among which quotas are divided, by number
// of balancers. Done twice per second.
auto update_members(benchmark::State &run) -> void {
    const auto known = make_fleet(run.range(0), false);
    quota_members members;
    for (auto _ : run) {
        update_quota_members(members, known, now - seconds{60}, now);
        members.last_update = now - seconds{1};
    }
}

} // namespace

BENCHMARK(choose_upstream_warm)->Arg(10)->Arg(300)->Arg(7'500);
BENCHMARK(choose_upstream_cold)->Arg(10)->Arg(300)->Arg(7'500);
BENCHMARK(share_of_quota)->Arg(10)->Arg(300)->Arg(7'500);
BENCHMARK(update_members)->Arg(10)->Arg(300)->Arg(7'500);

} // namespace dogwoodtrack::carried
