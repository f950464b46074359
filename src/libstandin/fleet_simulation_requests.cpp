#include "fleet_simulation.hpp"

namespace dogwoodtrack::model {

auto simulation::handle_arrival(unsigned domain) -> void {
    const auto mean = 1'000.0 / options_.arrivals_per_second;
    const std::chrono::duration<double, std::milli> gap(
        std::exponential_distribution<double>(1 / mean)(random_));
    const auto next =
        now_ + std::chrono::duration_cast<time_point::duration>(gap);
    if (next < start_ + warm_up_ + options_.length)
        schedule_at(next, [this, domain] { handle_arrival(domain); });
    auto request = std::make_shared<simulated_request>();
    request->domain = domain;
    request->started = now_;
    ++report_.asked;
    ++report_.asked_by_second[arrival_second(*request)];
    schedule_at(request->started + options_.deadline,
                [this, request] { fail_request(request); });
    start_attempt(request);
}

auto simulation::arrival_second(const simulated_request &request) const
    -> std::size_t {
    return static_cast<std::size_t>((request.started - start_ - warm_up_) /
                                    seconds{1});
}

auto simulation::fail_request(const request_ptr &request) -> void {
    if (request->done)
        return;
    request->done = true;
    ++report_.failed;
}

auto simulation::start_attempt(const request_ptr &request) -> void {
    if (request->done)
        return;
    if (request->attempts++ > max_retries)
        return fail_request(request);
    request->port = static_cast<std::uint16_t>(++attempt_count_ % 60'000 + 1);
    request->caller_address = 0x64400000 + attempt_count_ / 60'000;
    request->established = false;
    const auto port = request->port;
    send_opening(request, port, 0);
    for (std::size_t i = 0; i < retransmission_delays.size(); ++i)
        schedule_after(retransmission_delays[i], [this, request, port, i] {
            send_opening(request, port, static_cast<std::uint32_t>(i + 1));
        });
    schedule_after(attempt_timeout, [this, request, port] {
        if (request->port == port && !request->established)
            start_attempt(request);
    });
}

auto simulation::header_of(const simulated_request &request, std::uint16_t port)
    -> packet_header {
    return {.endpoints = {
                .caller = {.address = request.caller_address, .port = port},
                .service = service_address}};
}

auto simulation::send_opening(const request_ptr &request, std::uint16_t port,
                              std::uint32_t retransmission) -> void {
    if (request->done || request->port != port || request->established)
        return;
    const auto balancer = pick_balancer(*request);
    auto header = header_of(*request, port);
    header.opens = true;
    header.retransmission = retransmission;
    schedule_after(caller_latency, [this, request, header, balancer] {
        handle_opening(request, header, balancer);
    });
}

auto simulation::handle_opening(const request_ptr &request,
                                const packet_header &header,
                                std::size_t balancer) -> void {
    auto &receiver = balancers_[balancer];
    if (!is_running(receiver))
        return;
    const auto decision = steer(receiver.state.steering, header, now_);
    if (decision.kind == verdict_kind::hold)
        receiver.held_packets.emplace_back(
            now_, [this, request, header, balancer] {
                handle_opening(request, header, balancer);
            });
    if (decision.kind == verdict_kind::reject)
        schedule_after(caller_latency,
                       [this, request, port = header.endpoints.caller.port] {
                           if (request->port == port && !request->established)
                               start_attempt(request);
                       });
    if (decision.kind != verdict_kind::forward)
        return;
    forward_opening(request, header, balancer, decision);
    if (header.retransmission > 0)
        return;
    schedule_after(opening_retry_delay, [this, request, header, balancer] {
        const auto retry = steer_retry(balancers_[balancer].state.steering,
                                       header.endpoints, now_);
        if (is_running(balancers_[balancer]) &&
            retry.kind == verdict_kind::forward)
            forward_opening(request, header, balancer, retry);
    });
}

auto simulation::upstream_of(std::size_t balancer,
                             const verdict &decision) const -> std::size_t {
    const auto &upstreams = balancers_[balancer].state.steering.upstreams;
    return upstreams.all[decision.to].record.delivery_id - 1;
}

auto simulation::forward_opening(const request_ptr &request,
                                 const packet_header &header,
                                 std::size_t balancer, const verdict &decision)
    -> void {
    const auto upstream = upstream_of(balancer, decision);
    auto &receiver = upstreams_[upstream];
    if (receiver.draining_since != time_point{} &&
        now_ - receiver.draining_since > options_.apply_within)
        ++report_.late_placements;
    count_placement(receiver);
    if (receiver.crashed ||
        are_partitioned(domain_of(balancer), receiver.record.failure_domain))
        return;
    schedule_after(internal_latency + caller_latency,
                   [this, request, header, upstream, code = decision.code] {
                       if (request->done || request->established ||
                           request->port != header.endpoints.caller.port)
                           return;
                       request->established = true;
                       send_request(request, upstream, code);
                   });
}

// Sends the request packet of an established flow. The fabric chooses a
// balancer for each packet. If the rotation has changed since the opening
// packet, the request packet may go to another balancer, which knows about the
// flow only what the request packet carries.
auto simulation::send_request(const request_ptr &request, std::size_t upstream,
                              std::uint32_t code) -> void {
    const auto balancer = pick_balancer(*request);
    auto header = header_of(*request, request->port);
    header.binding = code;
    header.payload = 100;
    header.acknowledged = 1;
    schedule_after(caller_latency, [this, request, upstream, balancer, header] {
        auto &receiver = balancers_[balancer];
        if (request->done || request->port != header.endpoints.caller.port)
            return;
        pending_requests_[{header.endpoints.caller.address,
                           header.endpoints.caller.port}] = {
            .request = request,
            .upstream = upstream,
            .born = upstreams_[upstream].record.born};
        if (!is_running(receiver))
            return schedule_after(
                retransmission_delays[0], [this, request, upstream, header] {
                    if (!request->done &&
                        request->port == header.endpoints.caller.port)
                        send_request(request, upstream, header.binding);
                });
        const auto decision = steer(receiver.state.steering, header, now_);
        if (decision.kind == verdict_kind::reject)
            return handle_reset(header.endpoints, balancer);
        if (decision.kind != verdict_kind::forward ||
            are_partitioned(domain_of(balancer),
                            upstreams_[upstream].record.failure_domain))
            return schedule_after(
                retransmission_delays[0], [this, request, upstream, header] {
                    if (!request->done &&
                        request->port == header.endpoints.caller.port)
                        send_request(request, upstream, header.binding);
                });
        schedule_after(internal_latency,
                       [this, request, upstream, balancer, header] {
                           handle_request(request, upstream, balancer, header);
                       });
    });
}

auto simulation::handle_request(const request_ptr &request,
                                std::size_t upstream, std::size_t balancer,
                                const packet_header &header) -> void {
    auto &receiver = upstreams_[upstream];
    if (receiver.crashed)
        return;
    if (receiver.hanging) {
        ++report_.hung;
        return;
    }
    if (receiver.failing)
        return schedule_after(milliseconds{1},
                              [this, request, balancer, header] {
                                  ++report_.errors;
                                  send_response(request, balancer, header,
                                                error_response_bytes, false);
                              });
    if (receiver.busy_slots >= options_.slots &&
        receiver.queue.size() >= options_.queue_limit) {
        ++report_.shed;
        return send_response(request, balancer, header, error_response_bytes,
                             false);
    }
    auto job = [this, request, upstream, balancer, header] {
        serve_request(request, upstream, balancer, header);
    };
    if (receiver.busy_slots >= options_.slots)
        receiver.queue.emplace_back(std::move(job));
    else
        job();
}

auto simulation::serve_request(const request_ptr &request, std::size_t upstream,
                               std::size_t balancer,
                               const packet_header &header) -> void {
    ++upstreams_[upstream].busy_slots;
    ++upstreams_[upstream].requests_served;
    const auto mean = static_cast<double>(options_.mean_service_time.count());
    const milliseconds service_time{static_cast<std::int64_t>(
        std::exponential_distribution<double>(1 / mean)(random_) + 1)};
    schedule_after(service_time, [this, request, upstream, balancer, header] {
        auto &receiver = upstreams_[upstream];
        --receiver.busy_slots;
        if (!receiver.queue.empty()) {
            const auto next = std::move(receiver.queue.front());
            receiver.queue.pop_front();
            next();
        }
        if (!receiver.crashed)
            send_response(request, balancer, header, response_bytes, true);
    });
}

auto simulation::send_response(const request_ptr &request, std::size_t balancer,
                               packet_header header, std::uint32_t bytes,
                               bool success) -> void {
    header.payload = 0;
    header.acknowledged += bytes;
    header.finishes = true;
    schedule_after(caller_latency, [this, request, balancer, header, success] {
        if (is_running(balancers_[balancer]))
            steer(balancers_[balancer].state.steering, header, now_);
        pending_requests_.erase(
            {header.endpoints.caller.address, header.endpoints.caller.port});
        if (request->done || request->port != header.endpoints.caller.port)
            return;
        if (!success)
            return start_attempt(request);
        request->done = true;
        if (now_ - request->started > options_.target_latency) {
            ++report_.late;
            return;
        }
        ++report_.in_time;
        ++report_.in_time_by_second[arrival_second(*request)];
    });
}

} // namespace dogwoodtrack::model
