#include "endpoint_simulation.hpp"

#include <cstring>

namespace dogwoodtrack::standin {

namespace {

constexpr milliseconds initial_retry_delay{300};
constexpr unsigned max_retry_doublings = 3;
constexpr std::uint16_t first_port = 1024;
constexpr std::uint32_t ports_per_caller = 60'000;
constexpr std::uint32_t caller_network = 10U << 24;
constexpr milliseconds fin_timeout{1500};

auto profile_of(const endpoint_simulation &sim, const caller_flow &flow)
    -> const flow_profile & {
    return sim.sources[flow.profile].profile;
}

auto service_of(const endpoint_simulation &sim, const caller_flow &flow)
    -> const service_profile & {
    return sim.services[profile_of(sim, flow).service];
}

// Chooses the address and port of a new caller. If `reuse` is set, prefers the
// address and port of a closed flow.
auto allocate_caller(endpoint_simulation &sim, bool reuse) -> endpoint {
    auto number = sim.next_caller;
    if (reuse && !sim.reusable_callers.empty()) {
        number = sim.reusable_callers.front();
        sim.reusable_callers.pop_front();
        return {.address = static_cast<std::uint32_t>(number >> 16),
                .port = static_cast<std::uint16_t>(number)};
    }
    ++sim.next_caller;
    return {.address = caller_network + 1 +
                       static_cast<std::uint32_t>(number / ports_per_caller),
            .port = static_cast<std::uint16_t>(first_port +
                                               number % ports_per_caller)};
}

auto schedule_timer(endpoint_simulation &sim, caller_flow &flow,
                    clock_point when) -> void {
    flow.timer_due = when;
    sim.timers.push({when, flow.id});
}

auto retry_delay(const caller_flow &flow) -> milliseconds {
    return initial_retry_delay *
           (1U << std::min(flow.retries, max_retry_doublings));
}

auto send(endpoint_simulation &sim, const caller_flow &flow, std::uint8_t flags,
          std::span<const std::uint8_t> payload = {}) -> void {
    const auto &service = service_of(sim, flow);
    spray(sim, {.protocol = service.protocol,
                .source = flow.caller,
                .destination = service.address,
                .flags = flags,
                .sequence = flow.sequence,
                .payload = payload,
                .side = profile_of(sim, flow).side});
}

auto send_request(endpoint_simulation &sim, const caller_flow &flow) -> void {
    const auto &profile = profile_of(sim, flow);
    std::vector<std::uint8_t> payload(
        std::max<std::size_t>(profile.request_size, sizeof(payload_header)));
    const payload_header header{
        .magic = request_magic,
        .request = flow.request,
        .flow = flow.id,
        .part = static_cast<std::uint16_t>(profile.answer_size / 1200 + 1),
        .service = static_cast<std::uint16_t>(profile.service)};
    std::memcpy(payload.data(), &header, sizeof header);
    send(sim, flow, tcp_ack, payload);
}

auto send_next_request(endpoint_simulation &sim, caller_flow &flow,
                       clock_point now) -> void {
    ++flow.request;
    ++flow.sequence;
    ++sim.report.requests;
    flow.state = flow_state::waiting_for_answer;
    flow.parts_received = 0;
    flow.requested_upstream = 0;
    flow.retries = 0;
    flow.step_started = now;
    send_request(sim, flow);
    schedule_timer(sim, flow, now + retry_delay(flow));
}

auto erase_flow(endpoint_simulation &sim, std::uint64_t id, bool reuse)
    -> void {
    const auto found = sim.flows.find(id);
    const auto key = endpoint_key(found->second.caller);
    sim.flow_by_caller.erase(key);
    if (reuse)
        sim.reusable_callers.push_back(key);
    sim.flows.erase(found);
}

// Marks the connection at the upstream as closed when a UDP flow ends, because
// UDP has no closing packet.
auto close_datagram_flow(endpoint_simulation &sim, const caller_flow &flow)
    -> void {
    if (flow.answered_by == 0 ||
        service_of(sim, flow).protocol != transport::udp)
        return;
    auto &upstream = sim.upstreams[flow.answered_by - 1];
    const auto found = upstream.connections.find(endpoint_key(flow.caller));
    if (found == upstream.connections.end() || !found->second.open)
        return;
    found->second.open = false;
    --upstream.open;
}

auto finish_flow(endpoint_simulation &sim, std::uint64_t id) -> void {
    close_datagram_flow(sim, sim.flows[id]);
    const auto reuse = profile_of(sim, sim.flows[id]).reuse_ports;
    ++sim.report.flows_finished;
    erase_flow(sim, id, reuse);
}

auto fail_flow(endpoint_simulation &sim, std::uint64_t id) -> void {
    auto &flow = sim.flows[id];
    constexpr std::uint32_t min_settled_answers = 3;
    if (flow.state == flow_state::opening) {
        ++sim.report.flows_unanswered;
    } else {
        ++sim.report.flows_broken;
        if (flow.answers >= min_settled_answers)
            ++sim.report.flows_broken_settled;
    }
    erase_flow(sim, id, false);
}

auto open_flow(endpoint_simulation &sim, std::size_t source, clock_point now)
    -> void {
    auto &from = sim.sources[source];
    const auto id = sim.next_flow++;
    auto &flow = sim.flows[id];
    flow = {.id = id,
            .profile = source,
            .caller = allocate_caller(sim, from.profile.reuse_ports),
            .sequence = static_cast<std::uint32_t>(sim.random()),
            .opened = now,
            .step_started = now};
    sim.flow_by_caller[endpoint_key(flow.caller)] = id;
    ++sim.report.flows_opened;
    ++from.opened;
    if (service_of(sim, flow).protocol == transport::udp) {
        ++sim.report.flows_established;
        flow.established = now;
        return send_next_request(sim, flow, now);
    }
    send(sim, flow, tcp_syn);
    schedule_timer(sim, flow, now + retry_delay(flow));
}

auto open_due_flows(endpoint_simulation &sim, clock_point now) -> void {
    constexpr int burst_limit = 200;
    for (std::size_t i = 0; i < sim.sources.size(); ++i) {
        for (int n = 0; n < burst_limit; ++n) {
            auto &from = sim.sources[i];
            const auto &profile = from.profile;
            if (!from.active || from.next > now ||
                (profile.count > 0 && from.opened >= profile.count))
                break;
            // Arrivals form a Poisson process.
            const std::chrono::duration<double> gap(
                std::exponential_distribution<double>(profile.rate)(
                    sim.random));
            from.next += std::chrono::duration_cast<clock_point::duration>(gap);
            open_flow(sim, i, now);
        }
    }
}

auto retransmit(endpoint_simulation &sim, caller_flow &flow, clock_point now)
    -> void {
    const auto &profile = profile_of(sim, flow);
    if (now - flow.step_started > profile.patience)
        return fail_flow(sim, flow.id);
    if (flow.state == flow_state::opening)
        send(sim, flow, tcp_syn);
    else if (flow.state == flow_state::waiting_for_answer)
        send_request(sim, flow);
    else
        send(sim, flow, tcp_fin | tcp_ack);
    ++flow.retries;
    schedule_timer(sim, flow, now + retry_delay(flow));
}

auto continue_or_close(endpoint_simulation &sim, caller_flow &flow,
                       clock_point now) -> void {
    const auto &profile = profile_of(sim, flow);
    if (now - flow.opened < profile.life)
        return send_next_request(sim, flow, now);
    if (service_of(sim, flow).protocol == transport::udp)
        return finish_flow(sim, flow.id);
    flow.state = flow_state::closing;
    flow.retries = 0;
    flow.step_started = now;
    ++flow.sequence;
    send(sim, flow, tcp_fin | tcp_ack);
    schedule_timer(sim, flow, now + retry_delay(flow));
}

auto on_timer(endpoint_simulation &sim, const timer &expired, clock_point now)
    -> void {
    const auto found = sim.flows.find(expired.flow);
    if (found == sim.flows.end() || found->second.timer_due != expired.when)
        return;
    auto &flow = found->second;
    // A FIN that is not answered in time does not count as a failure: all
    // requests have been answered, and the last packets of caller and upstream
    // may cross each other.
    if (flow.state == flow_state::closing &&
        now - flow.step_started > fin_timeout)
        return finish_flow(sim, flow.id);
    if (flow.state == flow_state::idle)
        return continue_or_close(sim, flow, now);
    retransmit(sim, flow, now);
}

auto on_reset(endpoint_simulation &sim, caller_flow &flow) -> void {
    if (flow.state == flow_state::closing)
        return finish_flow(sim, flow.id);
    if (flow.state != flow_state::opening) {
        ++sim.report.refused_midflow;
        return fail_flow(sim, flow.id);
    }
    ++sim.report.flows_refused;
    if (flow.reached_upstream)
        ++sim.report.refused_but_run;
    erase_flow(sim, flow.id, false);
}

auto on_answer(endpoint_simulation &sim, caller_flow &flow,
               const payload_header &header, clock_point now) -> void {
    if (header.flow != flow.id ||
        header.service != profile_of(sim, flow).service) {
        ++sim.report.answers_mixed;
        return;
    }
    if (flow.answered_by == 0)
        flow.answered_by = header.upstream + 1;
    if (flow.answered_by != header.upstream + 1)
        ++sim.report.answers_mixed;
    if (flow.state != flow_state::waiting_for_answer ||
        header.request != flow.request)
        return; // duplicate answer, or answer to an earlier request
    flow.parts_received |= std::uint64_t{1} << header.part;
    if (flow.parts_received != (std::uint64_t{1} << header.parts) - 1)
        return;
    ++flow.answers;
    ++sim.report.answers;
    flow.state = flow_state::idle;
    schedule_timer(sim, flow, now + profile_of(sim, flow).gap);
}

} // namespace

auto advance_callers(endpoint_simulation &sim, clock_point now) -> void {
    open_due_flows(sim, now);
    while (!sim.timers.empty() && sim.timers.top().when <= now) {
        const auto expired = sim.timers.top();
        sim.timers.pop();
        on_timer(sim, expired, now);
    }
}

auto on_caller_packet(endpoint_simulation &sim, const inner_packet &packet,
                      clock_point now) -> void {
    const auto found =
        sim.flow_by_caller.find(endpoint_key(packet.destination));
    if (found == sim.flow_by_caller.end())
        return; // the flow has been closed
    auto &flow = sim.flows[found->second];
    const auto &service = service_of(sim, flow);
    if (packet.source != service.address ||
        packet.protocol != service.protocol) {
        ++sim.report.packets_misdelivered;
        return;
    }
    payload_header header;
    if (read_payload_header(payload_of(packet), header)) {
        count_midflow_packet(sim, flow, packet, now);
        return on_answer(sim, flow, header, now);
    }
    if ((packet.tcp_flags & tcp_rst) != 0)
        return on_reset(sim, flow);
    if ((packet.tcp_flags & tcp_syn) != 0 &&
        flow.state == flow_state::opening) {
        ++sim.report.flows_established;
        flow.established = now;
        ++flow.sequence;
        send(sim, flow, tcp_ack);
        return send_next_request(sim, flow, now);
    }
    if ((packet.tcp_flags & tcp_fin) != 0 &&
        flow.state == flow_state::closing) {
        ++flow.sequence;
        send(sim, flow, tcp_ack);
        finish_flow(sim, flow.id);
    }
}

} // namespace dogwoodtrack::standin
