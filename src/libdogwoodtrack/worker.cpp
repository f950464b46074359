#include "worker.hpp"

#include <cstring>

namespace dogwoodtrack {

namespace {

constexpr milliseconds single_worker_receive_timeout{5};
// Shorter than with a single worker, as the receive call does not wake up for
// packets that other workers hand over.
constexpr milliseconds multi_worker_receive_timeout{1};
constexpr std::size_t slots_per_sweep = 512;
constexpr std::size_t slots_per_export = 65'536;
constexpr milliseconds sweep_interval{5};

struct worker_context {
    std::size_t index;
    const std::vector<std::unique_ptr<packet_worker>> &all;
    packet_worker &self;
    const fault_filter &faults;
};

// Passes a report to the control thread, or drops it if the queue is full.
auto send_report(packet_worker &self, worker_report value) -> void {
    auto *item = new worker_report(std::move(value));
    if (!self.reports.push(item))
        delete item;
}

auto handle_request(worker_context &context, const worker_request &request,
                    time_point now) -> void {
    auto &state = context.self.state;
    switch (request.operation) {
    case worker_request::kind::import_records:
        for (const auto &record : request.records) {
            if (hash_flow(record.key) % context.all.size() == context.index)
                import_record(state, record, now);
        }
        return;
    case worker_request::kind::export_records: {
        worker_report answer{
            .records = {}, .expired = {}, .answers_export = true};
        answer.next_cursor = export_records(
            state, request.service, request.protocol, request.age,
            request.cursor, slots_per_export, now, answer.records);
        return send_report(context.self, std::move(answer));
    }
    case worker_request::kind::erase_unconfirmed:
        return erase_unconfirmed(state);
    case worker_request::kind::erase_service_records:
        erase_service_records(state, request.service, request.protocol);
    }
}

auto process_inputs(worker_context &context, time_point now) -> void {
    worker_input *input = nullptr;
    while (context.self.inputs.pop(input)) {
        const std::unique_ptr<worker_input> owned(input);
        if (owned->view)
            context.self.state.view = owned->view;
        if (owned->request)
            handle_request(context, *owned->request, now);
    }
}

// Sends the packets in `state.out`, except to addresses that `faults` blocks.
auto send_queued_packets(worker_context &context) -> void {
    auto &state = context.self.state;
    for (const auto &packet : state.out) {
        if (!context.faults.blocks(packet.to.address))
            context.self.socket.send(packet.to, packet.outer);
    }
    context.self.socket.flush();
    state.out.clear();
    state.scratch_used = 0;
}

auto hand_over(worker_context &context, std::size_t target,
               std::span<const std::uint8_t> bytes) -> void {
    handover_packet packet;
    packet.size = static_cast<std::uint16_t>(bytes.size());
    std::memcpy(packet.bytes.data(), bytes.data(), bytes.size());
    if (!context.all[target]->handovers[context.index]->push(packet))
        drop_packet(context.self.state, drop_kind::queue_full);
}

auto process_packet(worker_context &context, std::span<std::uint8_t> bytes,
                    time_point now) -> void {
    auto &state = context.self.state;
    count(state, packet_counter::received);
    auto outcome = parse_packet(bytes, state.options.key);
    if (!outcome.packet)
        return drop_packet(state, outcome.reason);
    if (outcome.packet->relay)
        context.self.metrics.fill(metric::relay_hops,
                                  outcome.packet->relay->hops);
    if (context.all.size() > 1) {
        const auto target = worker_hash(*state.view, outcome.packet->inner) %
                            context.all.size();
        if (target != context.index)
            return hand_over(context, target, bytes);
    }
    handle_parsed_packet(state, *outcome.packet, now);
}

auto process_handovers(worker_context &context, time_point now) -> void {
    auto &state = context.self.state;
    packet_buffer buf;
    for (auto &queue : context.self.handovers) {
        handover_packet packet;
        while (queue->pop(packet)) {
            std::memcpy(buf.bytes.data() + packet_headroom, packet.bytes.data(),
                        packet.size);
            auto outcome =
                parse_packet({buf.bytes.data() + packet_headroom, packet.size},
                             state.options.key);
            if (outcome.packet)
                handle_parsed_packet(state, *outcome.packet, now);
            // Sends the packet before its buffer is reused.
            send_queued_packets(context);
        }
    }
}

auto process_batch(worker_context &context, std::span<packet_buffer> batch)
    -> void {
    auto &self = context.self;
    const auto start = monotonic::now();
    self.last_packet.store(start.time_since_epoch().count(),
                           std::memory_order_relaxed);
    for (auto &packet : batch)
        process_packet(context, packet.view(), start);
    const auto decision_end = monotonic::now();
    send_queued_packets(context);
    const std::chrono::duration<double, std::nano> decision_duration =
        decision_end - start;
    const std::chrono::duration<double, std::micro> batch_duration =
        monotonic::now() - start;
    self.metrics.fill(metric::decision_time,
                      decision_duration.count() /
                          static_cast<double>(batch.size()));
    self.metrics.fill(metric::batch_time, batch_duration.count());
    self.metrics.fill(metric::batch_size, static_cast<double>(batch.size()));
}

auto sweep(worker_context &context, time_point now) -> void {
    auto &state = context.self.state;
    expire_flows(state, slots_per_sweep, now);
    if (state.expired.empty())
        return;
    send_report(context.self,
                {.records = {}, .expired = std::move(state.expired)});
    state.expired.clear();
}

} // namespace

packet_worker::packet_worker(link link_socket, forwarding_options options,
                             time_point started, const placement_lease &lease)
    : socket(std::move(link_socket)), state(options, started, lease, counters) {
    state.view = std::make_shared<routing_view>();
}

packet_worker::~packet_worker() {
    inputs.consume_all([](worker_input *it) { delete it; });
    reports.consume_all([](worker_report *it) { delete it; });
}

auto run_worker(std::size_t index,
                const std::vector<std::unique_ptr<packet_worker>> &all,
                const fault_filter &faults, const std::atomic<bool> &stop)
    -> void {
    worker_context context{
        .index = index, .all = all, .self = *all[index], .faults = faults};
    const auto receive_timeout = all.size() > 1 ? multi_worker_receive_timeout
                                                : single_worker_receive_timeout;
    auto next_sweep = monotonic::now();
    while (!stop.load(std::memory_order_relaxed)) {
        const auto batch = context.self.socket.receive(receive_timeout);
        const auto now = monotonic::now();
        process_inputs(context, now);
        if (!batch.empty())
            process_batch(context, batch);
        process_handovers(context, now);
        if (now < next_sweep)
            continue;
        next_sweep = now + sweep_interval;
        sweep(context, now);
    }
}

} // namespace dogwoodtrack
