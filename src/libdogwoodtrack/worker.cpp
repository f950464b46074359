#include "worker.hpp"

#include <cstring>

namespace dogwoodtrack {

namespace {

constexpr milliseconds single_worker_receive_timeout{5};
// Shorter, as the receive call does not wake up for packets handed over by
// other workers.
constexpr milliseconds multi_worker_receive_timeout{1};
constexpr std::size_t sweep_slots = 512;
constexpr std::size_t export_slots = 65'536;
constexpr milliseconds sweep_interval{5};

struct worker_context {
    std::size_t index;
    const std::vector<std::unique_ptr<packet_worker>> &all;
    packet_worker &self;
    const fault_filter &faults;
};

auto report(packet_worker &self, worker_report value) -> void {
    auto *item = new worker_report(std::move(value));
    if (!self.reports.push(item))
        delete item;
}

auto do_request(worker_context &it, const worker_request &request,
                time_point now) -> void {
    auto &state = it.self.state;
    switch (request.what) {
    case worker_request::kind::import_records:
        for (const auto &record : request.records) {
            if (hash_flow(record.key) % it.all.size() == it.index)
                import_record(state, record, now);
        }
        return;
    case worker_request::kind::export_records: {
        worker_report answer{.records = {}, .expired = {}, .exported = true};
        answer.next = export_records(state, request.service, request.protocol,
                                     request.age, request.cursor, export_slots,
                                     now, answer.records);
        return report(it.self, std::move(answer));
    }
    case worker_request::kind::erase_unconfirmed:
        return erase_unconfirmed(state);
    case worker_request::kind::erase_service_records:
        erase_service_records(state, request.service, request.protocol);
    }
}

auto read_inputs(worker_context &it, time_point now) -> void {
    worker_input *input = nullptr;
    while (it.self.inputs.pop(input)) {
        const std::unique_ptr<worker_input> owned(input);
        if (owned->view)
            it.self.state.view = owned->view;
        if (owned->request)
            do_request(it, *owned->request, now);
    }
}

auto flush(worker_context &it) -> void {
    auto &state = it.self.state;
    for (const auto &packet : state.out) {
        if (!it.faults.blocks(packet.to.address))
            it.self.socket.send(packet.to, packet.outer);
    }
    it.self.socket.flush();
    state.out.clear();
    state.scratch_used = 0;
}

auto hand_over(worker_context &it, std::size_t target,
               std::span<const std::uint8_t> bytes) -> void {
    handed_packet packet;
    packet.size = static_cast<std::uint16_t>(bytes.size());
    std::memcpy(packet.bytes.data(), bytes.data(), bytes.size());
    if (!it.all[target]->from_workers[it.index]->push(packet))
        drop_packet(it.self.state, drop_kind::queue_full);
}

auto take_packet(worker_context &it, std::span<std::uint8_t> bytes,
                 time_point now) -> void {
    auto &state = it.self.state;
    count(state, packet_counter::received);
    auto outcome = parse_packet(bytes, state.options.key);
    if (!outcome.packet)
        return drop_packet(state, outcome.reason);
    if (outcome.packet->relay)
        it.self.metrics.fill(metric::relay_hops, outcome.packet->relay->hops);
    if (it.all.size() > 1) {
        const auto target =
            worker_hash(*state.view, outcome.packet->inner) % it.all.size();
        if (target != it.index)
            return hand_over(it, target, bytes);
    }
    handle_parsed(state, *outcome.packet, now);
}

auto take_handed(worker_context &it, time_point now) -> void {
    auto &state = it.self.state;
    packet_buffer buf;
    for (auto &queue : it.self.from_workers) {
        handed_packet packet;
        while (queue->pop(packet)) {
            std::memcpy(buf.bytes.data() + packet_headroom, packet.bytes.data(),
                        packet.size);
            auto outcome =
                parse_packet({buf.bytes.data() + packet_headroom, packet.size},
                             state.options.key);
            if (outcome.packet)
                handle_parsed(state, *outcome.packet, now);
            // Sends the packet before its buffer is reused.
            flush(it);
        }
    }
}

auto take_batch(worker_context &it, std::span<packet_buffer> batch) -> void {
    auto &self = it.self;
    const auto start = monotonic::now();
    self.last_packet.store(start.time_since_epoch().count(),
                           std::memory_order_relaxed);
    for (auto &packet : batch)
        take_packet(it, packet.view(), start);
    const auto decided = monotonic::now();
    flush(it);
    const std::chrono::duration<double, std::nano> spent = decided - start;
    const std::chrono::duration<double, std::micro> whole =
        monotonic::now() - start;
    self.metrics.fill(metric::decision_time,
                      spent.count() / static_cast<double>(batch.size()));
    self.metrics.fill(metric::batch_time, whole.count());
    self.metrics.fill(metric::batch_size, static_cast<double>(batch.size()));
}

auto sweep(worker_context &it, time_point now) -> void {
    auto &state = it.self.state;
    expire_flows(state, sweep_slots, now);
    if (state.expired.empty())
        return;
    report(it.self, {.records = {}, .expired = std::move(state.expired)});
    state.expired.clear();
}

} // namespace

packet_worker::packet_worker(link bound, forwarding_options options,
                             time_point started, const placement_lease &lease)
    : socket(std::move(bound)), state(options, started, lease, counters) {
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
    worker_context it{
        .index = index, .all = all, .self = *all[index], .faults = faults};
    const auto wait = all.size() > 1 ? multi_worker_receive_timeout
                                     : single_worker_receive_timeout;
    auto next_sweep = monotonic::now();
    while (!stop.load(std::memory_order_relaxed)) {
        const auto batch = it.self.socket.receive(wait);
        const auto now = monotonic::now();
        read_inputs(it, now);
        if (!batch.empty())
            take_batch(it, batch);
        take_handed(it, now);
        if (now < next_sweep)
            continue;
        next_sweep = now + sweep_interval;
        sweep(it, now);
    }
}

} // namespace dogwoodtrack
