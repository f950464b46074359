#include "endpoints.hpp"

#include <cstring>

namespace dogwoodtrack::standin {

namespace {

constexpr std::size_t answer_part_size = 1200;
constexpr milliseconds sample_interval{100};
constexpr milliseconds settled_age{1000};

struct arrival {
    const inner_packet &packet;
    const endpoint &from;
    clock_point now;
};

auto send_back(endpoints &it, const upstream_state &upstream, const arrival &in,
               std::uint8_t flags, std::span<const std::uint8_t> payload = {},
               clock_point when = {}) -> void {
    const auto &service = it.services[upstream.profile.service];
    std::string side;
    const auto flow = it.by_caller.find(number_of(in.packet.source));
    if (flow != it.by_caller.end())
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

auto find_flow(endpoints &it, const arrival &in) -> caller_flow * {
    const auto found = it.by_caller.find(number_of(in.packet.source));
    return found == it.by_caller.end() ? nullptr : &it.flows[found->second];
}

auto open_connection(endpoints &it, upstream_state &upstream, const arrival &in,
                     std::uint64_t flow) -> void {
    auto &slot = upstream.connections[number_of(in.packet.source)];
    const auto was_open = slot.flow != 0 && slot.open;
    slot = {.flow = flow, .sequence = in.packet.tcp_sequence};
    if (was_open)
        return;
    ++upstream.open;
    if (upstream.open > upstream.profile.limit)
        ++it.report.capacity_exceeded;
    if (upstream.leaving && in.now > upstream.leaving_since)
        ++it.report.new_flows_to_leaving_after_limit;
}

auto close_connection(upstream_state &upstream, upstream_connection &connection)
    -> void {
    if (!connection.open)
        return;
    connection.open = false;
    --upstream.open;
}

// A request counts as duplicated when a second upstream gets its payload.
auto note_payload(endpoints &it, std::size_t index, const arrival &in,
                  const payload_header &header) -> void {
    auto *flow = find_flow(it, in);
    if (flow == nullptr || flow->id != header.flow)
        return;
    const auto mark = static_cast<std::uint16_t>(index + 1);
    // Any request of one flow at a second upstream is a duplicate, too: the
    // flow has one upstream for life.
    const auto second_request =
        flow->request_at != 0 && flow->request_at != mark;
    const auto second_upstream =
        flow->answered_by != 0 && flow->answered_by != mark;
    if (second_request || second_upstream)
        ++it.report.payloads_duplicated;
    flow->request_at = mark;
}

auto answer(endpoints &it, upstream_state &upstream, std::size_t index,
            const arrival &in, const payload_header &request) -> void {
    const auto speed =
        upstream.profile.capacity > 0 ? upstream.profile.capacity : 1.0;
    const std::chrono::duration<double, std::milli> spent(
        static_cast<double>(upstream.profile.service_time.count()) / speed);
    const auto when =
        in.now + std::chrono::duration_cast<clock_point::duration>(spent);
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

auto receive_request(endpoints &it, std::size_t index, const arrival &in,
                     const payload_header &header) -> void {
    auto &upstream = it.upstreams[index];
    if (header.service != upstream.profile.service) {
        ++it.report.packets_misdelivered;
        return;
    }
    note_payload(it, index, in, header);
    const auto number = number_of(in.packet.source);
    auto found = upstream.connections.find(number);
    const auto is_tcp = in.packet.protocol == transport::tcp;
    const auto unknown = found == upstream.connections.end() ||
                         found->second.flow != header.flow;
    if (unknown && is_tcp)
        return send_back(it, upstream, in, tcp_rst);
    if (unknown) {
        open_connection(it, upstream, in, header.flow);
        found = upstream.connections.find(number);
    }
    const auto *flow = find_flow(it, in);
    if (flow != nullptr)
        note_relaying(it, *flow, in.packet, in.now);
    found->second.last_request = header.request;
    answer(it, upstream, index, in, header);
}

auto receive_syn(endpoints &it, std::size_t index, const arrival &in) -> void {
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
    const auto known = upstream.connections.find(number_of(in.packet.source));
    const auto repeated =
        known != upstream.connections.end() && known->second.flow == flow->id;
    if (!repeated)
        open_connection(it, upstream, in, flow->id);
    send_back(it, upstream, in, tcp_syn | tcp_ack);
}

auto service_imbalance(const endpoints &it, double &worst) -> bool {
    double open = 0;
    double capacity = 0;
    double most = 0;
    for (const auto &one : it.upstreams) {
        if (one.profile.service != it.measured_service || one.leaving ||
            one.profile.down)
            continue;
        open += one.open;
        capacity += one.profile.capacity;
        most = std::max(most, one.open / one.profile.capacity);
    }
    if (open <= 0 || capacity <= 0)
        return false;
    worst = most / (open / capacity);
    return true;
}

} // namespace

auto note_relaying(endpoints &it, const caller_flow &flow,
                   const inner_packet &packet, clock_point now) -> void {
    if (now - flow.opened < settled_age)
        return;
    ++it.report.midflow_packets;
    if (packet.time_to_live < initial_time_to_live)
        ++it.report.midflow_relayed;
}

auto upstream_receives(endpoints &it, std::size_t index,
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
    if (read_header(payload_of(packet), header))
        return receive_request(it, index, in, header);
    if ((packet.tcp_flags & tcp_syn) != 0)
        return receive_syn(it, index, in);
    const auto found = upstream.connections.find(number_of(packet.source));
    if (found == upstream.connections.end())
        return;
    if ((packet.tcp_flags & tcp_rst) != 0)
        return close_connection(upstream, found->second);
    if ((packet.tcp_flags & tcp_fin) == 0)
        return;
    close_connection(upstream, found->second);
    send_back(it, upstream, in, tcp_fin | tcp_ack);
}

auto sample_imbalance(endpoints &it, clock_point now) -> void {
    if (!it.measuring || now < it.next_sample)
        return;
    it.next_sample = now + sample_interval;
    double worst = 0;
    if (!service_imbalance(it, worst))
        return;
    it.imbalance_sum += worst;
    ++it.imbalance_samples;
    it.report.imbalance_mean =
        it.imbalance_sum / static_cast<double>(it.imbalance_samples);
    it.report.imbalance_peak = std::max(it.report.imbalance_peak, worst);
}

} // namespace dogwoodtrack::standin
