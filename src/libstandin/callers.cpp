#include "endpoints.hpp"

#include <cstring>

namespace dogwoodtrack::standin {

namespace {

constexpr milliseconds first_retry{300};
constexpr unsigned retry_doublings = 3;
constexpr std::uint16_t first_port = 1024;
constexpr std::uint32_t ports_per_caller = 60'000;
constexpr std::uint32_t caller_network = 10U << 24;
constexpr milliseconds fin_patience{1500};

auto profile_of(const endpoints &it, const caller_flow &flow)
    -> const flow_profile & {
    return it.sources[flow.profile].profile;
}

auto service_of(const endpoints &it, const caller_flow &flow)
    -> const service_profile & {
    return it.services[profile_of(it, flow).service];
}

auto take_caller(endpoints &it, bool reuse) -> endpoint {
    auto number = it.next_caller;
    if (reuse && !it.free_callers.empty()) {
        number = it.free_callers.front();
        it.free_callers.pop_front();
        return {.address = static_cast<std::uint32_t>(number >> 16),
                .port = static_cast<std::uint16_t>(number)};
    }
    ++it.next_caller;
    return {.address = caller_network + 1 +
                       static_cast<std::uint32_t>(number / ports_per_caller),
            .port = static_cast<std::uint16_t>(first_port +
                                               number % ports_per_caller)};
}

auto schedule(endpoints &it, caller_flow &flow, clock_point when) -> void {
    flow.due = when;
    it.timers.push({when, flow.id});
}

auto retry_delay(const caller_flow &flow) -> milliseconds {
    return first_retry * (1U << std::min(flow.tries, retry_doublings));
}

auto send(endpoints &it, const caller_flow &flow, std::uint8_t flags,
          std::span<const std::uint8_t> payload = {}) -> void {
    const auto &service = service_of(it, flow);
    spray(it, {.protocol = service.protocol,
               .source = flow.caller,
               .destination = service.address,
               .flags = flags,
               .sequence = flow.sequence,
               .payload = payload,
               .side = profile_of(it, flow).side});
}

auto send_request(endpoints &it, const caller_flow &flow) -> void {
    const auto &profile = profile_of(it, flow);
    std::vector<std::uint8_t> payload(
        std::max<std::size_t>(profile.request_size, sizeof(payload_header)));
    const payload_header header{
        .magic = request_magic,
        .request = flow.request,
        .flow = flow.id,
        .part = static_cast<std::uint16_t>(profile.answer_size / 1200 + 1),
        .service = static_cast<std::uint16_t>(profile.service)};
    std::memcpy(payload.data(), &header, sizeof header);
    send(it, flow, tcp_ack, payload);
}

auto ask(endpoints &it, caller_flow &flow, clock_point now) -> void {
    ++flow.request;
    ++flow.sequence;
    ++it.report.requests;
    flow.state = flow_state::asking;
    flow.parts_seen = 0;
    flow.request_at = 0;
    flow.tries = 0;
    flow.asked = now;
    send_request(it, flow);
    schedule(it, flow, now + retry_delay(flow));
}

auto forget(endpoints &it, std::uint64_t id, bool reuse) -> void {
    const auto found = it.flows.find(id);
    const auto number = number_of(found->second.caller);
    it.by_caller.erase(number);
    if (reuse)
        it.free_callers.push_back(number);
    it.flows.erase(found);
}

// A datagram flow has no end on the wire: its upstream is told directly.
auto close_datagram_flow(endpoints &it, const caller_flow &flow) -> void {
    if (flow.answered_by == 0 ||
        service_of(it, flow).protocol != transport::udp)
        return;
    auto &upstream = it.upstreams[flow.answered_by - 1];
    const auto found = upstream.connections.find(number_of(flow.caller));
    if (found == upstream.connections.end() || !found->second.open)
        return;
    found->second.open = false;
    --upstream.open;
}

auto finish(endpoints &it, std::uint64_t id) -> void {
    close_datagram_flow(it, it.flows[id]);
    const auto reuse = profile_of(it, it.flows[id]).reuse_ports;
    ++it.report.flows_finished;
    forget(it, id, reuse);
}

auto break_flow(endpoints &it, std::uint64_t id) -> void {
    auto &flow = it.flows[id];
    constexpr std::uint32_t settled_answers = 3;
    if (flow.state == flow_state::opening) {
        ++it.report.flows_unanswered;
    } else {
        ++it.report.flows_broken;
        if (flow.answers >= settled_answers)
            ++it.report.flows_broken_settled;
    }
    forget(it, id, false);
}

auto open_flow(endpoints &it, std::size_t source, clock_point now) -> void {
    auto &from = it.sources[source];
    const auto id = it.next_flow++;
    auto &flow = it.flows[id];
    flow = {.id = id,
            .profile = source,
            .caller = take_caller(it, from.profile.reuse_ports),
            .sequence = static_cast<std::uint32_t>(it.random()),
            .opened = now,
            .asked = now};
    it.by_caller[number_of(flow.caller)] = id;
    ++it.report.flows_opened;
    ++from.opened;
    if (service_of(it, flow).protocol == transport::udp) {
        ++it.report.flows_established;
        flow.established = now;
        return ask(it, flow, now);
    }
    send(it, flow, tcp_syn);
    schedule(it, flow, now + retry_delay(flow));
}

auto open_due(endpoints &it, clock_point now) -> void {
    constexpr int burst_limit = 200;
    for (std::size_t i = 0; i < it.sources.size(); ++i) {
        for (int n = 0; n < burst_limit; ++n) {
            auto &from = it.sources[i];
            const auto &profile = from.profile;
            if (!from.active || from.next > now ||
                (profile.count > 0 && from.opened >= profile.count))
                break;
            // Arrivals are a Poisson process.
            const std::chrono::duration<double> gap(
                std::exponential_distribution<double>(profile.rate)(it.random));
            from.next += std::chrono::duration_cast<clock_point::duration>(gap);
            open_flow(it, i, now);
        }
    }
}

auto repeat(endpoints &it, caller_flow &flow, clock_point now) -> void {
    const auto &profile = profile_of(it, flow);
    if (now - flow.asked > profile.patience)
        return break_flow(it, flow.id);
    if (flow.state == flow_state::opening)
        send(it, flow, tcp_syn);
    else if (flow.state == flow_state::asking)
        send_request(it, flow);
    else
        send(it, flow, tcp_fin | tcp_ack);
    ++flow.tries;
    schedule(it, flow, now + retry_delay(flow));
}

auto end_or_ask(endpoints &it, caller_flow &flow, clock_point now) -> void {
    const auto &profile = profile_of(it, flow);
    if (now - flow.opened < profile.life)
        return ask(it, flow, now);
    if (service_of(it, flow).protocol == transport::udp)
        return finish(it, flow.id);
    flow.state = flow_state::ending;
    flow.tries = 0;
    flow.asked = now;
    ++flow.sequence;
    send(it, flow, tcp_fin | tcp_ack);
    schedule(it, flow, now + retry_delay(flow));
}

auto on_timer(endpoints &it, const timer &due, clock_point now) -> void {
    const auto found = it.flows.find(due.flow);
    if (found == it.flows.end() || found->second.due != due.when)
        return;
    auto &flow = found->second;
    // The last packets of a flow may cross; nothing is lost by then.
    if (flow.state == flow_state::ending && now - flow.asked > fin_patience)
        return finish(it, flow.id);
    if (flow.state == flow_state::resting)
        return end_or_ask(it, flow, now);
    repeat(it, flow, now);
}

auto on_reset(endpoints &it, caller_flow &flow) -> void {
    if (flow.state == flow_state::ending)
        return finish(it, flow.id);
    if (flow.state != flow_state::opening) {
        ++it.report.refused_midflow;
        return break_flow(it, flow.id);
    }
    ++it.report.flows_refused;
    if (flow.reached_upstream)
        ++it.report.refused_but_run;
    forget(it, flow.id, false);
}

auto on_answer(endpoints &it, caller_flow &flow, const payload_header &head,
               clock_point now) -> void {
    if (head.flow != flow.id || head.service != profile_of(it, flow).service) {
        ++it.report.answers_mixed;
        return;
    }
    if (flow.answered_by == 0)
        flow.answered_by = head.upstream + 1;
    if (flow.answered_by != head.upstream + 1)
        ++it.report.answers_mixed;
    if (flow.state != flow_state::asking || head.request != flow.request)
        return; // a repeated answer to an earlier request
    flow.parts_seen |= std::uint64_t{1} << head.part;
    if (flow.parts_seen != (std::uint64_t{1} << head.parts) - 1)
        return;
    ++flow.answers;
    ++it.report.answers;
    flow.state = flow_state::resting;
    schedule(it, flow, now + profile_of(it, flow).gap);
}

} // namespace

auto drive_callers(endpoints &it, clock_point now) -> void {
    open_due(it, now);
    while (!it.timers.empty() && it.timers.top().when <= now) {
        const auto due = it.timers.top();
        it.timers.pop();
        on_timer(it, due, now);
    }
}

auto caller_receives(endpoints &it, const inner_packet &packet, clock_point now)
    -> void {
    const auto found = it.by_caller.find(number_of(packet.destination));
    if (found == it.by_caller.end())
        return; // the flow is over
    auto &flow = it.flows[found->second];
    const auto &service = service_of(it, flow);
    if (packet.source != service.address ||
        packet.protocol != service.protocol) {
        ++it.report.packets_misdelivered;
        return;
    }
    payload_header header;
    if (read_header(payload_of(packet), header)) {
        note_relaying(it, flow, packet, now);
        return on_answer(it, flow, header, now);
    }
    if ((packet.tcp_flags & tcp_rst) != 0)
        return on_reset(it, flow);
    if ((packet.tcp_flags & tcp_syn) != 0 &&
        flow.state == flow_state::opening) {
        ++it.report.flows_established;
        flow.established = now;
        ++flow.sequence;
        send(it, flow, tcp_ack);
        return ask(it, flow, now);
    }
    if ((packet.tcp_flags & tcp_fin) != 0 && flow.state == flow_state::ending) {
        ++flow.sequence;
        send(it, flow, tcp_ack);
        finish(it, flow.id);
    }
}

} // namespace dogwoodtrack::standin
