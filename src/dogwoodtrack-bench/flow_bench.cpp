#include <benchmark/benchmark.h>

#include "bench.hpp"
#include "dogwoodtrack/flow_records.hpp"

namespace dogwoodtrack::bench {

namespace {

auto key_of(std::uint32_t n) -> flow_key {
    return {.caller = {.address = 0x0a000001 + n / 1000,
                       .port = static_cast<std::uint16_t>(2000 + n % 1000)},
            .service = {.address = 0xc6120001, .port = 443}};
}

// Measures the time to look up a flow, by number of flows in the table.
auto flow_table_find(benchmark::State &run) -> void {
    const auto n = static_cast<std::uint32_t>(run.range(0));
    flow_table table(500'000);
    for (std::uint32_t i = 0; i < n; ++i)
        table.insert(key_of(i));
    std::uint32_t index = 0;
    for (auto _ : run) {
        benchmark::DoNotOptimize(table.find(key_of(index)));
        index = (index + 7919) % n;
    }
    run.counters["bytes_per_flow"] =
        static_cast<double>(table.bytes()) / 500'000;
}

// Measures the time to insert a flow and erase it, by number of flows in the
// table.
auto flow_table_insert_erase(benchmark::State &run) -> void {
    const auto n = static_cast<std::uint32_t>(run.range(0));
    flow_table table(500'000);
    for (std::uint32_t i = 0; i < n - 1; ++i)
        table.insert(key_of(i));
    std::uint32_t next = 600'000;
    for (auto _ : run) {
        table.insert(key_of(next));
        table.erase(key_of(next));
        ++next;
    }
}

// Measures the time that the owner takes to place a new flow for a SYN, by
// number of upstreams.
auto place_flow(benchmark::State &run) -> void {
    placement_lease lease;
    lease.valid_until = std::numeric_limits<time_point::rep>::max();
    packet_counters counters;
    const auto now = monotonic::now();
    packet_state state({.flow_capacity = 500'000}, now, lease, counters);
    state.view = make_view(static_cast<std::size_t>(run.range(0)));
    packet_buffer buf;
    std::uint32_t n = 0;
    for (auto _ : run) {
        const auto key = key_of(n++ % 400'000);
        const auto outer = build_packet(buf, {.source = key.caller,
                                              .destination = key.service,
                                              .tcp_flags = tcp_syn});
        handle_packet(state, outer, now);
        state.out.clear();
        state.scratch_used = 0;
    }
}

} // namespace

BENCHMARK(flow_table_find)->Arg(1'000)->Arg(100'000)->Arg(500'000);
BENCHMARK(flow_table_insert_erase)->Arg(1'000)->Arg(100'000)->Arg(500'000);
BENCHMARK(place_flow)->Arg(5)->Arg(14)->Arg(50)->Arg(200);

} // namespace dogwoodtrack::bench
