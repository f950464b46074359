#include "endpoint_simulation.hpp"

#include <cstring>

namespace dogwoodtrack::standin {

namespace {

constexpr std::size_t answer_part_size = 1200;
constexpr milliseconds sample_interval{100};
constexpr milliseconds min_midflow_age{1000};

// A packet that an upstream received from the balancer `from`.
struct arrival {
    const inner_packet &packet;
    const endpoint &from;
    clock_point now;
};

auto send_back(endpoint_simulation &sim, const upstream_state &upstream,
               const arrival &in, std::uint8_t flags,
               std::span<const std::uint8_t> payload = {},
               clock_point when = {}) -> void {
    const auto &service = sim.services[upstream.profile.service];
    std::string side;
    const auto flow = sim.flow_by_caller.find(endpoint_key(in.packet.source));
    if (flow != sim.flow_by_caller.end())
        side = sim.sources[sim.flows[flow->second].profile].profile.side;
    spray(sim, {.protocol = service.protocol,
                .source = upstream.profile.address,
                .destination = in.packet.source,
                .flags = flags,
                .sequence = in.packet.tcp_sequence ^ 0x5a5a5a5aU,
                .acknowledgement = in.packet.tcp_sequence + 1,
                .payload = payload,
                .side = side,
                .when = when});
}

auto find_flow(endpoint_simulation &sim, const arrival &in) -> caller_flow * {
    const auto found = sim.flow_by_caller.find(endpoint_key(in.packet.source));
    return found == sim.flow_by_caller.end() ? nullptr
                                             : &sim.flows[found->second];
}

auto open_connection(endpoint_simulation &sim, upstream_state &upstream,
                     const arrival &in, std::uint64_t flow) -> void {
    auto &slot = upstream.connections[endpoint_key(in.packet.source)];
    const auto was_open = slot.flow != 0 && slot.open;
    slot = {.flow = flow, .sequence = in.packet.tcp_sequence};
    if (was_open)
        return;
    ++upstream.open;
    if (upstream.open > upstream.profile.limit)
        ++sim.report.capacity_exceeded;
    if (upstream.leaving && in.now > upstream.leaving_deadline)
        ++sim.report.new_flows_to_leaving_after_limit;
}

auto close_connection(upstream_state &upstream, upstream_connection &connection)
    -> void {
    if (!connection.open)
        return;
    connection.open = false;
    --upstream.open;
}

// Counts a request as duplicated if another upstream has already received it,
// or has answered an earlier request of the flow. Records upstream `index` as
// the last one that received the request.
auto count_duplicate_payload(endpoint_simulation &sim, std::size_t index,
                             const arrival &in, const payload_header &header)
    -> void {
    auto *flow = find_flow(sim, in);
    if (flow == nullptr || flow->id != header.flow)
        return;
    const auto upstream_number = static_cast<std::uint16_t>(index + 1);
    const auto reached_second_upstream =
        flow->requested_upstream != 0 &&
        flow->requested_upstream != upstream_number;
    // A flow keeps its upstream for its whole life, so a later request that
    // reaches another upstream counts as well.
    const auto answered_by_another =
        flow->answered_by != 0 && flow->answered_by != upstream_number;
    if (reached_second_upstream || answered_by_another)
        ++sim.report.payloads_duplicated;
    flow->requested_upstream = upstream_number;
}

auto answer(endpoint_simulation &sim, upstream_state &upstream,
            std::size_t index, const arrival &in, const payload_header &request)
    -> void {
    const auto speed =
        upstream.profile.capacity > 0 ? upstream.profile.capacity : 1.0;
    const std::chrono::duration<double, std::milli> processing_time(
        static_cast<double>(upstream.profile.service_time.count()) / speed);
    const auto when =
        in.now +
        std::chrono::duration_cast<clock_point::duration>(processing_time);
    std::vector<std::uint8_t> payload(answer_part_size);
    const auto parts = request.part;
    for (std::uint16_t part = 0; part < parts; ++part) {
        const payload_header header{
            .magic = answer_magic,
            .request = request.request,
            .flow = request.flow,
            .part = part,
            .parts = parts,
            .service = static_cast<std::uint16_t>(upstream.profile.service),
            .upstream = static_cast<std::uint16_t>(index)};
        std::memcpy(payload.data(), &header, sizeof header);
        const auto size =
            part + 1 < parts ? answer_part_size : answer_part_size / 2;
        send_back(sim, upstream, in, tcp_ack, {payload.data(), size}, when);
    }
}

auto receive_request(endpoint_simulation &sim, std::size_t index,
                     const arrival &in, const payload_header &header) -> void {
    auto &upstream = sim.upstreams[index];
    if (header.service != upstream.profile.service) {
        ++sim.report.packets_misdelivered;
        return;
    }
    count_duplicate_payload(sim, index, in, header);
    const auto key = endpoint_key(in.packet.source);
    auto found = upstream.connections.find(key);
    const auto is_tcp = in.packet.protocol == transport::tcp;
    const auto unknown = found == upstream.connections.end() ||
                         found->second.flow != header.flow;
    if (unknown && is_tcp)
        return send_back(sim, upstream, in, tcp_rst);
    if (unknown) {
        open_connection(sim, upstream, in, header.flow);
        found = upstream.connections.find(key);
    }
    const auto *flow = find_flow(sim, in);
    if (flow != nullptr)
        count_midflow_packet(sim, *flow, in.packet, in.now);
    found->second.last_request = header.request;
    answer(sim, upstream, index, in, header);
}

auto receive_syn(endpoint_simulation &sim, std::size_t index, const arrival &in)
    -> void {
    auto &upstream = sim.upstreams[index];
    auto *flow = find_flow(sim, in);
    if (flow == nullptr)
        return;
    const auto &profile = sim.sources[flow->profile].profile;
    if (profile.service != upstream.profile.service) {
        ++sim.report.packets_misdelivered;
        return;
    }
    if (upstream.profile.shedding)
        return send_back(sim, upstream, in, tcp_rst | tcp_ack);
    flow->reached_upstream = true;
    const auto existing =
        upstream.connections.find(endpoint_key(in.packet.source));
    const auto retransmitted = existing != upstream.connections.end() &&
                               existing->second.flow == flow->id;
    if (!retransmitted)
        open_connection(sim, upstream, in, flow->id);
    send_back(sim, upstream, in, tcp_syn | tcp_ack);
}

// Sets `peak_to_mean` to the highest load of an upstream of the measured
// service divided by the mean load. Upstreams that are leaving or down are not
// included. Returns false if the included upstreams have no open flows.
auto service_imbalance(const endpoint_simulation &sim, double &peak_to_mean)
    -> bool {
    double open = 0;
    double capacity = 0;
    double highest_load = 0;
    for (const auto &one : sim.upstreams) {
        if (one.profile.service != sim.measured_service || one.leaving ||
            one.profile.down)
            continue;
        open += one.open;
        capacity += one.profile.capacity;
        highest_load = std::max(highest_load, one.open / one.profile.capacity);
    }
    if (open <= 0 || capacity <= 0)
        return false;
    peak_to_mean = highest_load / (open / capacity);
    return true;
}

} // namespace

auto count_midflow_packet(endpoint_simulation &sim, const caller_flow &flow,
                          const inner_packet &packet, clock_point now) -> void {
    if (now - flow.opened < min_midflow_age)
        return;
    ++sim.report.midflow_packets;
    if (packet.time_to_live < initial_time_to_live)
        ++sim.report.midflow_relayed;
}

auto on_upstream_packet(endpoint_simulation &sim, std::size_t index,
                        const inner_packet &packet, const endpoint &from,
                        clock_point now) -> void {
    auto &upstream = sim.upstreams[index];
    const arrival in{.packet = packet, .from = from, .now = now};
    const auto &service = sim.services[upstream.profile.service];
    if (packet.protocol != service.protocol) {
        ++sim.report.packets_misdelivered;
        return;
    }
    if (upstream.profile.down)
        return;
    payload_header header;
    if (read_payload_header(payload_of(packet), header))
        return receive_request(sim, index, in, header);
    if ((packet.tcp_flags & tcp_syn) != 0)
        return receive_syn(sim, index, in);
    const auto found = upstream.connections.find(endpoint_key(packet.source));
    if (found == upstream.connections.end())
        return;
    if ((packet.tcp_flags & tcp_rst) != 0)
        return close_connection(upstream, found->second);
    if ((packet.tcp_flags & tcp_fin) == 0)
        return;
    close_connection(upstream, found->second);
    send_back(sim, upstream, in, tcp_fin | tcp_ack);
}

auto sample_imbalance(endpoint_simulation &sim, clock_point now) -> void {
    if (!sim.measuring_imbalance || now < sim.next_sample)
        return;
    sim.next_sample = now + sample_interval;
    double peak_to_mean = 0;
    if (!service_imbalance(sim, peak_to_mean))
        return;
    sim.imbalance_sum += peak_to_mean;
    ++sim.imbalance_samples;
    sim.report.imbalance_mean =
        sim.imbalance_sum / static_cast<double>(sim.imbalance_samples);
    sim.report.imbalance_peak =
        std::max(sim.report.imbalance_peak, peak_to_mean);
}

} // namespace dogwoodtrack::standin
