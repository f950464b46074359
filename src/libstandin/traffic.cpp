#include "traffic.hpp"

#include <atomic>
#include <cstring>
#include <mutex>
#include <thread>

#include "endpoint_simulation.hpp"

namespace dogwoodtrack::standin {

namespace {

constexpr milliseconds receive_timeout{1};
constexpr int batches_per_lock = 32;

auto choose_balancer(endpoint_simulation &sim, const std::string &side)
    -> const balancer_target * {
    double total = 0;
    for (const auto &one : sim.balancers) {
        if (one.receives && (side.empty() || one.failure_domain == side))
            total += one.weight;
    }
    auto remaining =
        std::uniform_real_distribution<double>(0, total)(sim.random);
    const balancer_target *chosen = nullptr;
    for (const auto &one : sim.balancers) {
        if (!one.receives || !(side.empty() || one.failure_domain == side))
            continue;
        chosen = &one;
        remaining -= one.weight;
        if (remaining < 0)
            break;
    }
    return chosen;
}

auto happens(endpoint_simulation &sim, double probability) -> bool {
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(
                                  sim.random) < probability;
}

auto build(packet_buffer &buf, const outgoing_packet &packet)
    -> std::span<std::uint8_t> {
    return build_packet(buf, {.protocol = packet.protocol,
                              .source = packet.source,
                              .destination = packet.destination,
                              .tcp_flags = packet.flags,
                              .sequence = packet.sequence,
                              .acknowledgement = packet.acknowledgement,
                              .payload = packet.payload});
}

auto send_to_balancer(endpoint_simulation &sim, const std::string &side,
                      std::span<const std::uint8_t> outer) -> void {
    const auto *balancer = choose_balancer(sim, side);
    if (balancer == nullptr)
        return;
    ++sim.report.packets_sent;
    sim.socket.send_copy(balancer->link, outer);
}

auto send_now(endpoint_simulation &sim, const outgoing_packet &packet) -> void {
    packet_buffer buf;
    send_to_balancer(sim, packet.side, build(buf, packet));
}

auto process_packet(endpoint_simulation &sim, std::span<std::uint8_t> outer,
                    const endpoint &from, clock_point now) -> void {
    static const mac_key no_key{};
    auto outcome = parse_packet(outer, no_key);
    if (!outcome.packet) {
        // A balancer that refuses the first datagram of a flow answers with an
        // ICMP message, which is neither TCP nor UDP.
        if (outcome.reason == drop_kind::foreign_protocol)
            ++sim.report.flows_refused;
        else if (outcome.reason == drop_kind::bad_checksum)
            ++sim.report.bad_checksums;
        return;
    }
    const auto &inner = outcome.packet->inner;
    if (!transport_checksum_valid(inner)) {
        ++sim.report.bad_checksums;
        return;
    }
    const auto upstream =
        sim.upstream_index.find(endpoint_key(inner.destination));
    if (upstream != sim.upstream_index.end())
        return on_upstream_packet(sim, upstream->second, inner, from, now);
    on_caller_packet(sim, inner, now);
}

auto send_delayed(endpoint_simulation &sim, clock_point now) -> void {
    while (!sim.delayed.empty() && sim.delayed.top().when <= now) {
        const auto &packet = sim.delayed.top();
        send_to_balancer(sim, packet.side, packet.outer);
        sim.delayed.pop();
    }
}

} // namespace

auto spray(endpoint_simulation &sim, const outgoing_packet &packet) -> void {
    if (happens(sim, sim.faults.loss))
        return;
    if (happens(sim, sim.faults.duplicate))
        send_now(sim, packet);
    auto when = packet.when;
    if (sim.faults.reorder.count() > 0) {
        const auto extra = std::uniform_int_distribution<int>(
            0, static_cast<int>(sim.faults.reorder.count()))(sim.random);
        when = std::max(when, std::chrono::steady_clock::now()) +
               milliseconds(extra);
    }
    if (when == clock_point{})
        return send_now(sim, packet);
    packet_buffer buf;
    const auto outer = build(buf, packet);
    sim.delayed.push({when, {outer.begin(), outer.end()}, packet.side});
}

auto endpoint_key(const endpoint &value) -> std::uint64_t {
    return (static_cast<std::uint64_t>(value.address) << 16) | value.port;
}

auto read_payload_header(std::span<const std::uint8_t> payload,
                         payload_header &header) -> bool {
    if (payload.size() < sizeof header)
        return false;
    std::memcpy(&header, payload.data(), sizeof header);
    return header.magic == request_magic || header.magic == answer_magic;
}

struct traffic::state {
    explicit state(link opened, std::uint64_t seed)
        : sim(std::move(opened), seed) {}

    endpoint_simulation sim;
    mutable std::mutex mutex;
    std::atomic<bool> stop{false};
    std::atomic<int> lock_waiters{0};
    std::thread thread;

    auto run() -> void {
        while (!stop) {
            // Lets threads that wait in lock_state() lock the mutex first:
            // std::mutex is not fair, so this thread could otherwise lock it
            // again before a waiting thread gets it.
            while (lock_waiters > 0)
                std::this_thread::yield();
            const std::lock_guard lock(mutex);
            auto timeout = receive_timeout;
            for (int i = 0; i < batches_per_lock; ++i) {
                auto batch = sim.socket.receive(timeout);
                timeout = milliseconds{0};
                const auto now = std::chrono::steady_clock::now();
                for (std::size_t k = 0; k < batch.size(); ++k)
                    process_packet(sim, batch[k].view(),
                                   sim.socket.source_of(k), now);
                advance_callers(sim, now);
                send_delayed(sim, now);
                sample_imbalance(sim, now);
                sim.socket.flush();
                if (batch.empty())
                    break;
            }
        }
    }

    auto lock_state() const -> std::unique_lock<std::mutex> {
        auto &count = const_cast<std::atomic<int> &>(lock_waiters);
        ++count;
        std::unique_lock lock(mutex);
        --count;
        return lock;
    }
};

traffic::traffic(std::unique_ptr<state> new_state)
    : state_(std::move(new_state)) {}

traffic::~traffic() {
    state_->stop = true;
    state_->thread.join();
}

auto traffic::open(const endpoint &fabric, std::uint64_t seed)
    -> result<std::unique_ptr<traffic>> {
    auto socket = link::open(fabric, false);
    if (!socket)
        return socket.error();
    auto new_state = std::make_unique<state>(std::move(socket.value()), seed);
    new_state->thread = std::thread([raw = new_state.get()] { raw->run(); });
    return std::unique_ptr<traffic>(new traffic(std::move(new_state)));
}

auto traffic::add_service(const service_profile &service) -> std::size_t {
    const auto lock = state_->lock_state();
    state_->sim.services.push_back(service);
    return state_->sim.services.size() - 1;
}

auto traffic::set_upstream(const upstream_profile &upstream) -> void {
    const auto lock = state_->lock_state();
    auto &sim = state_->sim;
    const auto [slot, fresh] = sim.upstream_index.try_emplace(
        endpoint_key(upstream.address), sim.upstreams.size());
    if (fresh)
        sim.upstreams.push_back({.profile = upstream});
    else
        sim.upstreams[slot->second].profile = upstream;
}

auto traffic::set_balancer(const balancer_target &balancer) -> void {
    const auto lock = state_->lock_state();
    for (auto &it : state_->sim.balancers) {
        if (it.name == balancer.name) {
            it = balancer;
            return;
        }
    }
    state_->sim.balancers.push_back(balancer);
}

auto traffic::set_faults(const fabric_faults &faults) -> void {
    const auto lock = state_->lock_state();
    state_->sim.faults = faults;
}

auto traffic::add_flows(const flow_profile &flows) -> void {
    const auto lock = state_->lock_state();
    state_->sim.sources.push_back(
        {.profile = flows, .next = std::chrono::steady_clock::now()});
}

auto traffic::stop_opening() -> void {
    const auto lock = state_->lock_state();
    for (auto &it : state_->sim.sources)
        it.active = false;
}

auto traffic::mark_leaving(const std::string &upstream, milliseconds limit)
    -> void {
    const auto lock = state_->lock_state();
    for (auto &it : state_->sim.upstreams) {
        if (it.profile.name != upstream)
            continue;
        it.leaving = true;
        it.leaving_deadline = std::chrono::steady_clock::now() + limit;
    }
}

auto traffic::unmark_leaving(const std::string &upstream) -> void {
    const auto lock = state_->lock_state();
    for (auto &it : state_->sim.upstreams) {
        if (it.profile.name == upstream)
            it.leaving = false;
    }
}

auto traffic::measure_imbalance(std::size_t service) -> void {
    const auto lock = state_->lock_state();
    auto &sim = state_->sim;
    sim.measuring_imbalance = true;
    sim.measured_service = service;
    sim.imbalance_sum = 0;
    sim.imbalance_samples = 0;
    sim.report.imbalance_mean = 0;
    sim.report.imbalance_peak = 0;
}

auto traffic::stop_measuring() -> void {
    const auto lock = state_->lock_state();
    state_->sim.measuring_imbalance = false;
}

auto traffic::report() const -> traffic_report {
    const auto lock = state_->lock_state();
    auto report = state_->sim.report;
    report.open_flows = state_->sim.flows.size();
    return report;
}

auto traffic::open_at(const std::string &upstream) const -> std::uint32_t {
    const auto lock = state_->lock_state();
    for (const auto &it : state_->sim.upstreams) {
        if (it.profile.name == upstream)
            return it.open;
    }
    return 0;
}

auto traffic::reset_relay_counts() -> void {
    const auto lock = state_->lock_state();
    state_->sim.report.midflow_packets = 0;
    state_->sim.report.midflow_relayed = 0;
}

} // namespace dogwoodtrack::standin
