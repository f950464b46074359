#include "bench.hpp"

#include <thread>

#include <fmt/format.h>
#include <pthread.h>

#include "dogwoodtrack/link.hpp"

namespace dogwoodtrack::bench {

namespace {

constexpr std::uint32_t flow_count = 10'000;
constexpr std::size_t payload_size = 200;
constexpr int generator_threads = 2;
constexpr endpoint loopback{.address = 0x7f000001, .port = 0};
constexpr endpoint service{.address = 0xc6120001, .port = 443};

auto pin_to_core(int core) -> void {
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(core, &set);
    pthread_setaffinity_np(pthread_self(), sizeof set, &set);
}

auto loopback_endpoint(std::uint16_t port) -> endpoint {
    return {.address = loopback.address, .port = port};
}

auto caller(std::uint32_t n) -> endpoint {
    return {.address = 0x0a000001 + n / 1000,
            .port = static_cast<std::uint16_t>(2000 + n % 1000)};
}

// Sends packets of many flows to `target`, as fast as the kernel accepts them.
auto send_packets(const endpoint &target, const std::atomic<bool> &stop)
    -> void {
    auto socket = std::move(link::open(loopback, false).value());
    std::vector<packet_buffer> packets(1024);
    static const std::array<std::uint8_t, payload_size> payload{};
    for (std::uint32_t n = 0; n < packets.size(); ++n)
        build_packet(packets[n], {.source = caller(n * 9 % flow_count),
                                  .destination = service,
                                  .tcp_flags = tcp_ack,
                                  .payload = payload});
    while (!stop) {
        for (const auto &it : packets)
            socket.send(target, it.view());
        socket.flush();
    }
}

auto discard_packets(link &socket, const std::atomic<bool> &stop) -> void {
    while (!stop)
        socket.receive(milliseconds{10});
}

// Sends packets to `target` and discards those that arrive at `sink`, in its
// own threads, until destroyed.
struct load_generator {
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;

    load_generator(const endpoint &target, link &sink) {
        for (int i = 0; i < generator_threads; ++i)
            threads.emplace_back([this, target, i] {
                pin_to_core(2 + i);
                send_packets(target, stop);
            });
        threads.emplace_back([this, &sink] {
            pin_to_core(4);
            discard_packets(sink, stop);
        });
    }

    ~load_generator() {
        stop = true;
        for (auto &it : threads)
            it.join();
    }
};

// Returns the number of packets per second that `handle` processes on one core.
// Precondition: the load generator sends more packets than one core can
// process.
template <typename Handle>
auto packets_per_second(link &socket, double run_seconds, Handle &&handle)
    -> double {
    const auto start = monotonic::now();
    const std::chrono::duration<double> time_limit(run_seconds);
    std::uint64_t packets = 0;
    while (monotonic::now() - start < time_limit) {
        auto batch = socket.receive(milliseconds{10});
        handle(batch);
        packets += batch.size();
    }
    const std::chrono::duration<double> elapsed = monotonic::now() - start;
    return static_cast<double>(packets) / elapsed.count();
}

} // namespace

auto make_view(std::size_t upstreams) -> std::shared_ptr<routing_view> {
    auto view = std::make_shared<routing_view>();
    view->self = 1;
    view->failure_domain = 2;
    service_route route{.id = 3,
                        .address = service,
                        .replicas = 0,
                        .idle_timeout = seconds{3600}};
    domain_route domain{.failure_domain = 2,
                        .capacity = 1,
                        .reachable = true,
                        .load = std::make_shared<domain_load>(),
                        .owner = 1};
    for (std::uint32_t i = 0; i < upstreams; ++i) {
        const endpoint address{.address = 0xac100001 + i, .port = 8443};
        domain.upstreams.push_back(i);
        view->by_upstream[route_key(address, transport::tcp)] = i;
        view->upstreams.push_back({.address = address,
                                   .id = hash_name(to_string(address)),
                                   .failure_domain = 2,
                                   .limit = 1'000'000,
                                   .load = std::make_shared<upstream_load>()});
    }
    route.domains.push_back(std::move(domain));
    view->by_service[route_key(service, transport::tcp)] = 0;
    view->services.push_back(std::move(route));
    return view;
}

auto compare_packet_path(double run_seconds) -> int {
    auto socket = std::move(link::open(loopback, false).value());
    auto sink = std::move(link::open(loopback, false).value());
    const auto target = loopback_endpoint(socket.local().port);
    const auto fabric = loopback_endpoint(sink.local().port);
    placement_lease lease;
    lease.valid_until = std::numeric_limits<time_point::rep>::max();
    packet_counters counters;
    packet_state state({.fabric = fabric}, monotonic::now(), lease, counters);
    state.view = make_view(14);
    for (std::uint32_t n = 0; n < flow_count; ++n) {
        packet_buffer buf;
        handle_packet(state,
                      build_packet(buf, {.source = caller(n),
                                         .destination = service,
                                         .tcp_flags = tcp_syn}),
                      monotonic::now());
        state.out.clear();
    }
    const load_generator generator(target, sink);
    pin_to_core(1);
    double echo_rate_sum = 0;
    double forward_rate_sum = 0;
    // Alternates between sending packets unchanged (echo) and forwarding them,
    // so that a change of the load on the machine affects both alike.
    constexpr int rounds = 5;
    for (int i = 0; i < rounds; ++i) {
        echo_rate_sum +=
            packets_per_second(socket, run_seconds / rounds, [&](auto batch) {
                for (auto &it : batch)
                    socket.send(fabric, it.view());
                socket.flush();
            });
        forward_rate_sum +=
            packets_per_second(socket, run_seconds / rounds, [&](auto batch) {
                const auto now = monotonic::now();
                for (auto &it : batch)
                    handle_packet(state, it.view(), now);
                for (const auto &it : state.out)
                    socket.send(it.to, it.outer);
                socket.flush();
                state.out.clear();
                state.scratch_used = 0;
            });
    }
    const auto forwarded =
        counters.values[static_cast<std::size_t>(packet_counter::forwarded)]
            .load();
    fmt::print("{{\"echo_packets_per_second\": {:.0f}, "
               "\"forward_packets_per_second\": {:.0f}, \"share\": {:.3f}, "
               "\"forwarded\": {}, \"packet_bytes\": {}}}\n",
               echo_rate_sum / rounds, forward_rate_sum / rounds,
               forward_rate_sum / echo_rate_sum, forwarded, payload_size + 48);
    return 0;
}

} // namespace dogwoodtrack::bench
