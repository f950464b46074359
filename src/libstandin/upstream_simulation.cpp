#include "endpoint_simulation.hpp"

#include <cstring>

namespace dogwoodtrack::standin {

namespace {

constexpr std::size_t answer_part_size = 1200;
constexpr milliseconds sample_interval{100};
constexpr milliseconds midflow_age{1000};

struct arrival {
    const inner_packet &packet;
    const endpoint &from;
    clock_point now;
};

auto send_back(endpoint_simulation &it, const upstream_state &upstream,
               const arrival &in, std::uint8_t flags,
               std::span<const std::uint8_t> payload = {},
               clock_point when = {}) -> void {
    const auto &service = it.services[upstream.profile.service];
    std::string side;
    const auto flow = it.flow_by_caller.find(endpoint_key(in.packet.source));
    if (flow != it.flow_by_caller.end())
        side = it.sources[it.flows[flow->second].profile].profile.side;
    spray(it, {.protocol = service.protocol,
               .source = upstream.profile.address,
               .destination = in.packet.source,
               .flags = flags,
               .sequence = in.packet.tcp_sequence ^ 0x5a5a5a5aU,
               .acknowledgement = in.packet.tcp_sequence + 1,
               .payload = payload,
               .side = side,
               .when = when});
}

auto find_flow(endpoint_simulation &it, const arrival &in) -> caller_flow * {
    const auto found = it.flow_by_caller.find(endpoint_key(in.packet.source));
    return found == it.flow_by_caller.end() ? nullptr
                                            : &it.flows[found->second];
}

auto open_connection(endpoint_simulation &it, upstream_state &upstream,
                     const arrival &in, std::uint64_t flow) -> void {
    auto &slot = upstream.connections[endpoint_key(in.packet.source)];
    const auto was_open = slot.flow != 0 && slot.open;
    slot = {.flow = flow, .sequence = in.packet.tcp_sequence};
    if (was_open)
        return;
    ++upstream.open;
    if (upstream.open > upstream.profile.limit)
        ++it.report.capacity_exceeded;
    if (upstream.leaving && in.now > upstream.leaving_deadline)
        ++it.report.new_flows_to_leaving_after_limit;
}

auto close_connection(upstream_state &upstream, upstream_connection &connection)
    -> void {
    if (!connection.open)
        return;
    connection.open = false;
    --upstream.open;
}

// Counts a request as duplicated if a second upstream receives its payload.
auto count_duplicate_payload(endpoint_simulation &it, std::size_t index,
                             const arrival &in, const payload_header &header)
    -> void {
    auto *flow = find_flow(it, in);
    if (flow == nullptr || flow->id != header.flow)
        return;
    const auto upstream_number = static_cast<std::uint16_t>(index + 1);
    // A flow keeps its upstream for life, so any later request that reaches
    // another upstream counts as well.
    const auto second_request = flow->requested_upstream != 0 &&
                                flow->requested_upstream != upstream_number;
    const auto second_upstream =
        flow->answered_by != 0 && flow->answered_by != upstream_number;
    if (second_request || second_upstream)
        ++it.report.payloads_duplicated;
    flow->requested_upstream = upstream_number;
}

auto answer(endpoint_simulation &it, upstream_state &upstream,
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
        send_back(it, upstream, in, tcp_ack, {payload.data(), size}, when);
    }
}

auto receive_request(endpoint_simulation &it, std::size_t index,
                     const arrival &in, const payload_header &header) -> void {
    auto &upstream = it.upstreams[index];
    if (header.service != upstream.profile.service) {
        ++it.report.packets_misdelivered;
        return;
    }
    count_duplicate_payload(it, index, in, header);
    const auto key = endpoint_key(in.packet.source);
    auto found = upstream.connections.find(key);
    const auto is_tcp = in.packet.protocol == transport::tcp;
    const auto unknown = found == upstream.connections.end() ||
                         found->second.flow != header.flow;
    if (unknown && is_tcp)
        return send_back(it, upstream, in, tcp_rst);
    if (unknown) {
        open_connection(it, upstream, in, header.flow);
        found = upstream.connections.find(key);
    }
    const auto *flow = find_flow(it, in);
    if (flow != nullptr)
        count_midflow_packet(it, *flow, in.packet, in.now);
    found->second.last_request = header.request;
    answer(it, upstream, index, in, header);
}

auto receive_syn(endpoint_simulation &it, std::size_t index, const arrival &in)
    -> void {
    auto &upstream = it.upstreams[index];
    auto *flow = find_flow(it, in);
    if (flow == nullptr)
        return;
    const auto &profile = it.sources[flow->profile].profile;
    if (profile.service != upstream.profile.service) {
        ++it.report.packets_misdelivered;
        return;
    }
    if (upstream.profile.shedding)
        return send_back(it, upstream, in, tcp_rst | tcp_ack);
    flow->reached_upstream = true;
    const auto existing =
        upstream.connections.find(endpoint_key(in.packet.source));
    const auto retransmitted = existing != upstream.connections.end() &&
                               existing->second.flow == flow->id;
    if (!retransmitted)
        open_connection(it, upstream, in, flow->id);
    send_back(it, upstream, in, tcp_syn | tcp_ack);
}

auto service_imbalance(const endpoint_simulation &it, double &peak_to_mean)
    -> bool {
    double open = 0;
    double capacity = 0;
    double highest_load = 0;
    for (const auto &one : it.upstreams) {
        if (one.profile.service != it.measured_service || one.leaving ||
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

auto count_midflow_packet(endpoint_simulation &it, const caller_flow &flow,
                          const inner_packet &packet, clock_point now) -> void {
    if (now - flow.opened < midflow_age)
        return;
    ++it.report.midflow_packets;
    if (packet.time_to_live < initial_time_to_live)
        ++it.report.midflow_relayed;
}

auto on_upstream_packet(endpoint_simulation &it, std::size_t index,
                        const inner_packet &packet, const endpoint &from,
                        clock_point now) -> void {
    auto &upstream = it.upstreams[index];
    const arrival in{.packet = packet, .from = from, .now = now};
    const auto &service = it.services[upstream.profile.service];
    if (packet.protocol != service.protocol) {
        ++it.report.packets_misdelivered;
        return;
    }
    if (upstream.profile.down)
        return;
    payload_header header;
    if (read_payload_header(payload_of(packet), header))
        return receive_request(it, index, in, header);
    if ((packet.tcp_flags & tcp_syn) != 0)
        return receive_syn(it, index, in);
    const auto found = upstream.connections.find(endpoint_key(packet.source));
    if (found == upstream.connections.end())
        return;
    if ((packet.tcp_flags & tcp_rst) != 0)
        return close_connection(upstream, found->second);
    if ((packet.tcp_flags & tcp_fin) == 0)
        return;
    close_connection(upstream, found->second);
    send_back(it, upstream, in, tcp_fin | tcp_ack);
}

auto sample_imbalance(endpoint_simulation &it, clock_point now) -> void {
    if (!it.measuring_imbalance || now < it.next_sample)
        return;
    it.next_sample = now + sample_interval;
    double peak_to_mean = 0;
    if (!service_imbalance(it, peak_to_mean))
        return;
    it.imbalance_sum += peak_to_mean;
    ++it.imbalance_samples;
    it.report.imbalance_mean =
        it.imbalance_sum / static_cast<double>(it.imbalance_samples);
    it.report.imbalance_peak = std::max(it.report.imbalance_peak, peak_to_mean);
}

} // namespace dogwoodtrack::standin
