#include <benchmark/benchmark.h>

#include <fmt/format.h>

#include "documents.hpp"
#include "membership.hpp"
#include "record_sync.hpp"
#include "view_builder.hpp"

namespace dogwoodtrack::bench {

namespace {

constexpr std::size_t upstreams_per_service = 7;
constexpr std::size_t services_per_customer = 13;

struct control_fixture {
    timeline events{"bench"};
    placement_lease lease;
    blackboard board;

    control_fixture() {
        board.events = &events;
        board.lease = &lease;
        board.self.name = "bench";
        board.self.id = hash_name("bench");
        board.domain_name = "d0";
        board.self.failure_domain = hash_name("d0");
    }

    auto add_members(std::size_t n, std::size_t domains) -> void {
        for (std::size_t i = 0; i < n; ++i) {
            auto name = fmt::format("member-{}", i);
            auto &peer = board.peers[hash_name(name)];
            peer.info.id = hash_name(name);
            peer.info.name = name;
            peer.domain_name = fmt::format("d{}", i % domains);
            peer.info.failure_domain = hash_name(peer.domain_name);
            peer.incarnation = 1;
            peer.last_heard = time_point{seconds{1}};
        }
    }

    auto add_contracts(std::size_t services, std::size_t domains) -> void {
        std::uint32_t host = 0;
        for (std::size_t i = 0; i < services; ++i) {
            if (i % services_per_customer == 0)
                board.contracts.push_back(
                    {.customer = fmt::format("customer-{}", i),
                     .generation = 1});
            service_spec service{
                .name = fmt::format("service-{}", i),
                .address = {.address =
                                0xc6000000 + static_cast<std::uint32_t>(i),
                            .port = 443}};
            for (std::size_t k = 0; k < upstreams_per_service; ++k)
                service.upstreams.push_back(
                    {.name = fmt::format("u{}", host),
                     .address = {.address = 0xac000000 + host++, .port = 80},
                     .failure_domain =
                         fmt::format("d{}", (i + k % 3) % domains),
                     .connections = 2000});
            board.contracts.back().services.push_back(std::move(service));
        }
    }
};

// Resident set size of this process, 0 if it cannot be read.
auto rss_bytes() -> double {
    std::FILE *in = std::fopen("/proc/self/statm", "r");
    long total = 0;
    long resident = 0;
    if (in == nullptr || std::fscanf(in, "%ld %ld", &total, &resident) != 2)
        resident = 0;
    if (in != nullptr)
        std::fclose(in);
    return static_cast<double>(resident) * 4096;
}

// Measures the time to build the routing view, by number of services, with 20
// members in each of three failure domains.
auto build_routing_view(benchmark::State &run) -> void {
    const auto before = rss_bytes();
    control_fixture fixture;
    fixture.add_members(60, 3);
    fixture.add_contracts(static_cast<std::size_t>(run.range(0)), 3);
    for (auto _ : run)
        rebuild_view(fixture.board, time_point{seconds{2}});
    run.counters["rss_bytes_per_service"] =
        (rss_bytes() - before) / static_cast<double>(run.range(0));
}

// Measures the time to handle one heartbeat from a known member, by number of
// known members.
auto receive_heartbeat(benchmark::State &run) -> void {
    control_fixture fixture;
    fixture.add_members(static_cast<std::size_t>(run.range(0)), 19);
    wire::Envelope message;
    message.set_from(hash_name("member-0"));
    message.mutable_heartbeat()->set_incarnation(1);
    const auto bytes = message.SerializeAsString();
    for (auto _ : run) {
        control_actions actions;
        wire::Envelope parsed;
        parsed.ParseFromString(bytes);
        on_heartbeat(fixture.board, parsed, time_point{seconds{2}}, actions);
        benchmark::DoNotOptimize(actions);
    }
}

// Measures the time that one call of tick_membership() and one of renew_lease()
// take together, by number of known members, and reports how many messages the
// two calls send together.
auto membership_turn(benchmark::State &run) -> void {
    control_fixture fixture;
    fixture.add_members(static_cast<std::size_t>(run.range(0)), 19);
    // Keeps all members live for the whole benchmark.
    for (auto &[id, peer] : fixture.board.peers)
        peer.last_heard = time_point{std::chrono::hours{100'000}};
    auto now = time_point{std::chrono::hours{1}};
    double messages = 0;
    for (auto _ : run) {
        control_actions actions;
        now += milliseconds{250};
        tick_membership(fixture.board, now, actions);
        renew_lease(fixture.board, now, actions);
        messages += static_cast<double>(actions.messages.size());
    }
    run.counters["messages"] = messages / static_cast<double>(run.iterations());
}

// Measures the time to accept a new generation of a contract, by number of
// services, and reports the size of the document.
auto accept_contract(benchmark::State &run) -> void {
    std::string services;
    for (std::int64_t i = 0; i < run.range(0); ++i) {
        std::string upstreams;
        for (std::size_t k = 0; k < upstreams_per_service; ++k)
            upstreams +=
                fmt::format(R"({}{{"name":"u{}","address":"172.{}.{}.{}:80",)"
                            R"("failureDomain":"d0","connections":2000}})",
                            k == 0 ? "" : ",", k, 16 + i / 250, i % 250, k + 1);
        services +=
            fmt::format(R"({}{{"name":"s{}","address":"198.18.{}.{}:443",)"
                        R"("upstreams":[{}]}})",
                        i == 0 ? "" : ",", i, i / 250, i % 250, upstreams);
    }
    const auto spec = fmt::format(R"({{"services":[{}]}})", services);
    control_fixture fixture;
    fixture.events.clock();
    std::uint64_t generation = 0;
    // Discards the log line that each accepted contract writes.
    std::freopen("/dev/null", "w", stderr);
    for (auto _ : run) {
        control_actions actions;
        accept_document(fixture.board, "contract/big",
                        {.generation = ++generation, .json = spec},
                        time_point{seconds{2}}, actions);
    }
    run.counters["document_bytes"] = static_cast<double>(spec.size());
}

// Measures the time to serialize flow records for a sync batch, by number of
// records.
auto pack_flow_records(benchmark::State &run) -> void {
    std::vector<flow_record> records(static_cast<std::size_t>(run.range(0)));
    for (auto _ : run)
        benchmark::DoNotOptimize(pack_records(records));
    run.counters["bytes_per_record"] =
        static_cast<double>(pack_records(records).size()) /
        static_cast<double>(records.size());
}

} // namespace

BENCHMARK(build_routing_view)
    ->Arg(100)
    ->Arg(1'000)
    ->Arg(4'000)
    ->Arg(13'000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(receive_heartbeat)->Arg(9)->Arg(100)->Arg(400)->Arg(7'500);
BENCHMARK(membership_turn)->Arg(9)->Arg(100)->Arg(400)->Arg(7'500);
BENCHMARK(accept_contract)
    ->Arg(1)
    ->Arg(10)
    ->Arg(100)
    ->Arg(1'000)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(pack_flow_records)->Arg(100)->Arg(10'000);

} // namespace dogwoodtrack::bench
