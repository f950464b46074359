#include "carried/balancer_context.hpp"

#include <algorithm>
#include <cstring>
#include <sys/socket.h>
#include <utility>

#include "carried/evacuation_log.hpp"
#include "dogwoodtrack/event_log.hpp"
#include "sockets.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Largest number of packets handled per iteration of the event loop.
constexpr int packet_batch = 64;
/// Interval between attempts to decide about held packets.
constexpr milliseconds held_retry_interval{8};

// Forwards a packet that carries the binding code `binding`.
auto forward(balancer_context &it, std::span<std::uint8_t> packet,
             const verdict &decision, std::uint32_t binding) -> void {
    const auto &upstream = it.state.steering.upstreams.all[decision.to];
    if (decision.code != binding)
        it.codec.write_binding(packet, decision.code);
    std::span<std::uint8_t> space(packet.data() - delivery_headroom,
                                  delivery_headroom);
    const auto size =
        it.codec.write_delivery(space, upstream.record.delivery_id);
    send_datagram(it.link, upstream.record.address, packet.data() - size,
                  packet.size() + size);
    ++it.state.counters.forwarded;
}

auto reset(balancer_context &it, const flow_endpoints &endpoints,
           std::uint32_t acknowledged) -> void {
    std::array<std::uint8_t, 64> buf{};
    const auto size = it.codec.make_reset(endpoints, acknowledged, buf);
    send_datagram(
        it.link,
        {.address = endpoints.caller.address, .port = it.options.link.port},
        buf.data(), size);
}

auto record_refusal(balancer_context &it, const packet_header &header,
                    const verdict &decision) -> void {
    ++it.state.counters.refused[static_cast<std::size_t>(decision.why)];
    if (decision.why == refusal::evacuated)
        log_evacuation_refusal(it.state, header.endpoints.service);
    if (!is_logged(severity::debug))
        return;
    log_event(severity::debug, "packet_refused",
              {{"why", std::string(to_string(decision.why))},
               {"caller", to_string(header.endpoints.caller)},
               {"service", to_string(header.endpoints.service)},
               {"rejected", decision.kind == verdict_kind::reject},
               {"opens", header.opens}});
}

auto record_correction(balancer_context &it, const packet_header &header,
                       const verdict &decision) -> void {
    ++it.state.counters.corrected_bindings;
    if (!is_logged(severity::debug))
        return;
    log_event(
        severity::debug, "binding_corrected",
        {{"caller", to_string(header.endpoints.caller)},
         {"service", to_string(header.endpoints.service)},
         {"upstream", it.state.steering.upstreams.all[decision.to].record.id}});
}

auto track_opening(balancer_context &it, const packet_header &header,
                   std::span<const std::uint8_t> packet, time_point now)
    -> void {
    pending_opening pending{.due = now + opening_retry_delay,
                            .endpoints = header.endpoints,
                            .bytes = {},
                            .size = packet.size()};
    if (header.retransmission > 0 || packet.size() > pending.bytes.size())
        return;
    std::memcpy(pending.bytes.data(), packet.data(), packet.size());
    it.openings.push_back(pending);
}

// Executes a decision. Does nothing for `hold`: holding the packet is left to
// the caller of this function.
auto execute(balancer_context &it, std::span<std::uint8_t> packet,
             const packet_header &header, const verdict &decision,
             time_point now) -> void {
    switch (decision.kind) {
    case verdict_kind::forward:
        if (header.opens)
            track_opening(it, header, packet, now);
        else if (decision.code != header.binding)
            record_correction(it, header, decision);
        return forward(it, packet, decision, header.binding);
    case verdict_kind::reject:
        reset(it, header.endpoints, header.acknowledged);
        return record_refusal(it, header, decision);
    case verdict_kind::drop:
        return record_refusal(it, header, decision);
    case verdict_kind::queue:
        return store_queued_packet(it.state.steering.admission.queue,
                                   header.endpoints, packet);
    case verdict_kind::hold:
        return;
    }
}

auto hold_packet(balancer_context &it, std::span<const std::uint8_t> packet,
                 const packet_header &header, time_point now) -> void {
    ++it.state.counters.held;
    hold_packet(it.waiting,
                {.header = header,
                 .bytes = {packet.begin(), packet.end()},
                 .attempt_started = attempt_start(header.retransmission, now)});
}

auto handle_packet(balancer_context &it, std::span<std::uint8_t> packet,
                   time_point now) -> void {
    const auto header = it.codec.read(packet);
    if (!header) {
        ++it.state.counters.malformed;
        return;
    }
    const auto decision = steer(it.state.steering, *header, now);
    if (decision.kind == verdict_kind::hold)
        hold_packet(it, packet, *header, now);
    else
        execute(it, packet, *header, decision, now);
}

// Rejects an opening packet about which this balancer could not decide in time,
// so that its caller can retry immediately. Packets of existing flows are
// dropped without a reset, since their callers retransmit them.
auto reject_opening(balancer_context &it, const held_packet &packet) -> void {
    if (!packet.header.opens)
        return;
    reset(it, packet.header.endpoints, packet.header.acknowledged);
    record_refusal(
        it, packet.header,
        {.kind = verdict_kind::reject, .why = refusal::no_configuration});
}

auto reject_queued(balancer_context &it, const queued_opening &opening)
    -> void {
    reset(it, opening.header.endpoints, opening.header.acknowledged);
    record_refusal(it, opening.header,
                   {.kind = verdict_kind::reject, .why = refusal::overload});
}

auto reject_expired_openings(balancer_context &it, time_point now) -> void {
    for (const auto &one : take_expired(it.waiting, now))
        reject_opening(it, one);
}

auto to_string(upstream_death why) -> std::string {
    static constexpr std::array names{"none", "silent", "cut_off",
                                      "superseded"};
    return names[static_cast<std::size_t>(why)];
}

auto log_death(const upstream &it, std::size_t flows) -> void {
    if (it.death == upstream_death::cut_off && flows == 0)
        return;
    log_event(severity::info, "upstream_dead",
              {{"upstream", it.record.id},
               {"address", to_string(it.record.address)},
               {"why", to_string(it.death)},
               {"silent_flows", std::uint64_t{it.stats.silent_flows}},
               {"openings_unanswered", std::uint64_t{it.stats.unanswered}},
               {"flows_reset", std::uint64_t{flows}}});
}

} // namespace

auto reset_flows_at_dead_upstreams(balancer_context &it, time_point now)
    -> void {
    for (const auto &[index, flows] :
         take_flows_to_reset(it.state.steering, now)) {
        log_death(it.state.steering.upstreams.all[index], flows.size());
        for (const auto &one : flows)
            reset(it, one.endpoints, one.acknowledged);
        it.state.counters.flows_reset += flows.size();
    }
}

auto receive_packets(balancer_context &it) -> void {
    std::array<std::uint8_t, delivery_headroom + max_packet_size> buf;
    const auto now = monotonic::now();
    for (int i = 0; i < packet_batch; ++i) {
        const auto size =
            recv(it.link, buf.data() + delivery_headroom, max_packet_size, 0);
        if (size <= 0)
            return;
        it.last_packet_at = now;
        handle_packet(
            it,
            {buf.data() + delivery_headroom, static_cast<std::size_t>(size)},
            now);
    }
}

auto retry_held_packets(balancer_context &it, time_point now) -> void {
    if (it.waiting.all.empty() || now < it.next_held_retry)
        return;
    it.next_held_retry = now + held_retry_interval;
    reject_expired_openings(it, now);
    if (!can_serve(it.state))
        return;
    std::array<std::uint8_t, delivery_headroom + max_packet_size> buf;
    for (const auto &one : std::exchange(it.waiting.all, {})) {
        std::span<std::uint8_t> packet(buf.data() + delivery_headroom,
                                       one.bytes.size());
        std::memcpy(packet.data(), one.bytes.data(), one.bytes.size());
        execute(it, packet, one.header,
                steer(it.state.steering, one.header, now), now);
    }
}

auto serve_opening_queue(balancer_context &it, time_point now) -> void {
    auto &admission = it.state.steering.admission;
    if (!has_openings(admission) ||
        (admission.displaced.empty() && now < it.next_queue_service))
        return;
    const auto due = take_due_openings(admission, it.state.steering.plans, now);
    for (const auto &one : due.rejected)
        reject_queued(it, one);
    std::array<std::uint8_t, delivery_headroom + max_packet_size> buf;
    for (const auto &one : due.admitted) {
        std::span<std::uint8_t> packet(buf.data() + delivery_headroom,
                                       one.bytes.size());
        std::memcpy(packet.data(), one.bytes.data(), one.bytes.size());
        execute(it, packet, one.header,
                steer_admitted(it.state.steering, one.header, now), now);
    }
    it.next_queue_service =
        std::min(now + queue_interval, next_queue_deadline(admission.queue));
}

auto reject_held_openings(balancer_context &it) -> void {
    for (const auto &one : std::exchange(it.waiting.all, {}))
        reject_opening(it, one);
    auto &admission = it.state.steering.admission;
    for (const auto &one : std::exchange(admission.displaced, {}))
        reject_queued(it, one);
    for (const auto &one : std::exchange(admission.queue.all, {}))
        reject_queued(it, one);
}

auto retry_openings(balancer_context &it, time_point now) -> void {
    std::array<std::uint8_t, delivery_headroom + 64> buf;
    while (!it.openings.empty() && it.openings.front().due <= now) {
        const auto pending = it.openings.front();
        it.openings.pop_front();
        const auto decision =
            steer_retry(it.state.steering, pending.endpoints, now);
        if (decision.kind != verdict_kind::forward)
            continue;
        std::span<std::uint8_t> packet(buf.data() + delivery_headroom,
                                       pending.size);
        std::memcpy(packet.data(), pending.bytes.data(), pending.size);
        forward(it, packet, decision, no_binding);
        ++it.state.counters.retried_openings;
        if (is_logged(severity::debug))
            log_event(
                severity::debug, "opening_tried_again",
                {{"caller", to_string(pending.endpoints.caller)},
                 {"service", to_string(pending.endpoints.service)},
                 {"upstream",
                  it.state.steering.upstreams.all[decision.to].record.id}});
    }
}

} // namespace dogwoodtrack::carried
