#include "balancer_context.hpp"

#include <cstring>
#include <sys/socket.h>
#include <utility>

#include "dogwoodtrack/event_log.hpp"
#include "sockets.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Packets taken before other work is looked at.
constexpr int packet_batch = 64;
/// Waiting packets are tried again so often.
constexpr milliseconds waiting_retry{8};

auto forward(context &it, std::span<std::uint8_t> packet, const verdict &to,
             bool opens) -> void {
    const auto &upstream = it.state.steering.upstreams.all[to.to];
    if (opens)
        it.format.write_binding(packet, to.code);
    std::span<std::uint8_t> space(packet.data() - delivery_room, delivery_room);
    const auto size =
        it.format.write_delivery(space, upstream.record.delivery_id);
    send_datagram(it.link, upstream.record.address, packet.data() - size,
                  packet.size() + size);
    ++it.state.counters.forwarded;
}

auto reset(context &it, const flow_endpoints &endpoints,
           std::uint32_t acknowledged) -> void {
    std::array<std::uint8_t, 64> buf{};
    const auto size = it.format.make_reset(endpoints, acknowledged, buf);
    send_datagram(
        it.link,
        {.address = endpoints.caller.address, .port = it.options.link.port},
        buf.data(), size);
}

auto note_refusal(context &it, const packet_header &head, const verdict &what)
    -> void {
    ++it.state.counters.refused[static_cast<std::size_t>(what.why)];
    if (!is_logged(severity::debug))
        return;
    log_event(severity::debug, "packet_refused",
              {{"why", std::string(to_string(what.why))},
               {"caller", to_string(head.endpoints.caller)},
               {"service", to_string(head.endpoints.service)},
               {"rejected", what.kind == verdict_kind::reject},
               {"opens", head.opens}});
}

auto remember_opening(context &it, const packet_header &head,
                      std::span<const std::uint8_t> packet, time_point now)
    -> void {
    pending_opening pending{.due = now + opening_retry_delay,
                            .endpoints = head.endpoints,
                            .bytes = {},
                            .size = packet.size()};
    if (head.retransmission > 0 || packet.size() > pending.bytes.size())
        return;
    std::memcpy(pending.bytes.data(), packet.data(), packet.size());
    it.openings.push_back(pending);
}

// Carries out a decision; `hold` is left to the caller.
auto carry_out(context &it, std::span<std::uint8_t> packet,
               const packet_header &head, const verdict &what, time_point now)
    -> void {
    switch (what.kind) {
    case verdict_kind::forward:
        if (head.opens)
            remember_opening(it, head, packet, now);
        return forward(it, packet, what, head.opens);
    case verdict_kind::reject:
        reset(it, head.endpoints, head.acknowledged);
        return note_refusal(it, head, what);
    case verdict_kind::drop:
        return note_refusal(it, head, what);
    case verdict_kind::hold:
        return;
    }
}

auto wait_for_state(context &it, std::span<const std::uint8_t> packet,
                    const packet_header &head, time_point now) -> void {
    ++it.state.counters.held;
    hold_packet(it.waiting,
                {.header = head,
                 .bytes = {packet.begin(), packet.end()},
                 .attempt_started = attempt_start(head.retransmission, now)});
}

auto take_packet(context &it, std::span<std::uint8_t> packet, time_point now)
    -> void {
    const auto head = it.format.read(packet);
    if (!head) {
        ++it.state.counters.malformed;
        return;
    }
    const auto what = steer(it.state.steering, *head, now);
    if (what.kind == verdict_kind::hold)
        wait_for_state(it, packet, *head, now);
    else
        carry_out(it, packet, *head, what, now);
}

// The caller of an opening packet that waited in vain may try again at once;
// other packets are sent again by their callers.
auto reject_opening(context &it, const held_packet &waited) -> void {
    if (!waited.header.opens)
        return;
    reset(it, waited.header.endpoints, waited.header.acknowledged);
    note_refusal(
        it, waited.header,
        {.kind = verdict_kind::reject, .why = refusal::no_configuration});
}

auto give_up_hopeless(context &it, time_point now) -> void {
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

auto reset_flows_at_dead_upstreams(context &it, time_point now) -> void {
    for (const auto &[index, flows] :
         take_flows_to_reset(it.state.steering, now)) {
        log_death(it.state.steering.upstreams.all[index], flows.size());
        for (const auto &one : flows)
            reset(it, one.endpoints, one.acknowledged);
        it.state.counters.flows_reset += flows.size();
    }
}

auto take_packets(context &it) -> void {
    std::array<std::uint8_t, delivery_room + packet_limit> buf;
    const auto now = monotonic::now();
    for (int i = 0; i < packet_batch; ++i) {
        const auto size =
            recv(it.link, buf.data() + delivery_room, packet_limit, 0);
        if (size <= 0)
            return;
        it.last_packet = now;
        take_packet(
            it, {buf.data() + delivery_room, static_cast<std::size_t>(size)},
            now);
    }
}

auto try_waiting_packets(context &it, time_point now) -> void {
    if (it.waiting.all.empty() || now < it.next_waiting)
        return;
    it.next_waiting = now + waiting_retry;
    give_up_hopeless(it, now);
    if (!can_serve(it.state))
        return;
    std::array<std::uint8_t, delivery_room + packet_limit> buf;
    for (const auto &one : std::exchange(it.waiting.all, {})) {
        std::span<std::uint8_t> packet(buf.data() + delivery_room,
                                       one.bytes.size());
        std::memcpy(packet.data(), one.bytes.data(), one.bytes.size());
        carry_out(it, packet, one.header,
                  steer(it.state.steering, one.header, now), now);
    }
}

auto reject_waiting(context &it) -> void {
    for (const auto &one : std::exchange(it.waiting.all, {}))
        reject_opening(it, one);
}

auto try_openings_again(context &it, time_point now) -> void {
    std::array<std::uint8_t, delivery_room + 64> buf;
    while (!it.openings.empty() && it.openings.front().due <= now) {
        const auto pending = it.openings.front();
        it.openings.pop_front();
        const auto what =
            steer_retry(it.state.steering, pending.endpoints, now);
        if (what.kind != verdict_kind::forward)
            continue;
        std::span<std::uint8_t> packet(buf.data() + delivery_room,
                                       pending.size);
        std::memcpy(packet.data(), pending.bytes.data(), pending.size);
        forward(it, packet, what, true);
        ++it.state.counters.retried_openings;
        if (is_logged(severity::debug))
            log_event(severity::debug, "opening_tried_again",
                      {{"caller", to_string(pending.endpoints.caller)},
                       {"service", to_string(pending.endpoints.service)},
                       {"upstream",
                        it.state.steering.upstreams.all[what.to].record.id}});
    }
}

} // namespace dogwoodtrack::carried
