#include "control_loop.hpp"

#include <charconv>
#include <future>

#include <nlohmann/json.hpp>

#include "conditions.hpp"
#include "documents.hpp"
#include "health.hpp"
#include "load_reports.hpp"
#include "membership.hpp"
#include "record_sync.hpp"
#include "view_builder.hpp"

namespace dogwoodtrack {

namespace {

constexpr milliseconds receive_timeout{20};
constexpr milliseconds periodic_check_interval{1000};
constexpr milliseconds controller_tick_interval{50};
constexpr std::size_t max_messages_per_iteration = 256;
// Time for peers and the fabric to learn that this instance is leaving.
constexpr milliseconds leave_notice{1000};
// Time without packets after which a leaving instance may exit.
constexpr milliseconds idle_before_exit{1000};

// Passes a peer's message to the controller that handles messages of its kind.
auto handle_message(control_context &context, const wire::Envelope &message,
                    time_point now, control_actions &actions) -> void {
    auto &board = context.board;
    board.events->clock().observe(message.hlc());
    update_last_heard(board, message.from(), now);
    switch (message.body_case()) {
    case wire::Envelope::kHeartbeat: {
        on_heartbeat(board, message, now, actions);
        const auto peer = board.peers.find(message.from());
        const auto differs =
            message.heartbeat().documents_digest() != documents_digest(board);
        if (differs && peer != board.peers.end() &&
            now >= board.next_anti_entropy) {
            board.next_anti_entropy = now + 2 * board.options.heartbeat;
            offer_versions(board, peer->second, actions);
        }
        return;
    }
    case wire::Envelope::kDigest:
        return on_digest(board, message, actions);
    case wire::Envelope::kPull:
        return on_pull(board, message, actions);
    case wire::Envelope::kDocument:
        return on_document(board, message, now, actions);
    case wire::Envelope::kSyncRequest:
        return on_sync_request(board, message, actions);
    case wire::Envelope::kSyncBatch:
        return on_sync_batch(board, message, now, actions);
    case wire::Envelope::kLoads:
        return on_load_report(board, message.loads());
    case wire::Envelope::BODY_NOT_SET:
        ++context.broken_messages;
    }
}

auto read_messages(control_context &context, control_actions &actions) -> void {
    auto wait = receive_timeout;
    for (std::size_t i = 0; i < max_messages_per_iteration; ++i) {
        const auto bytes = context.channel.receive(wait);
        wait = milliseconds{0};
        if (!bytes)
            return;
        const auto now = monotonic::now();
        // Discards messages that may have been queued before or during a pause
        // of this process.
        if (now - context.board.last_tick >= context.board.options.lease ||
            now < context.board.ignore_messages_until)
            continue;
        wire::Envelope message;
        if (!message.ParseFromString(*bytes)) {
            ++context.broken_messages;
            continue;
        }
        handle_message(context, message, now, actions);
    }
}

auto read_platform_documents(control_context &context, time_point now,
                             control_actions &actions) -> void {
    for (const auto &document : context.feed.take())
        accept_document(
            context.board, document.name,
            {.generation = document.generation, .json = document.json}, now,
            actions);
}

auto read_worker_reports(control_context &context, control_actions &actions)
    -> void {
    for (auto &worker : context.workers) {
        worker_report *report = nullptr;
        while (worker->reports.pop(report)) {
            const std::unique_ptr<worker_report> owned(report);
            if (owned->answers_export)
                on_records_exported(context.board, owned->records,
                                    owned->next_cursor, context.workers.size(),
                                    actions);
            if (!owned->expired.empty())
                announce_expired(context.board, owned->expired, actions);
        }
    }
}

auto run_tasks(control_context &context) -> void {
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock(context.tasks_mutex);
        tasks.swap(context.tasks);
    }
    for (const auto &task : tasks)
        task();
}

auto push_input(packet_worker &worker, worker_input input) -> void {
    auto *item = new worker_input(std::move(input));
    while (!worker.inputs.push(item))
        std::this_thread::sleep_for(milliseconds{1});
}

// Rebuilds the routing view if it is stale, and passes it to the packet
// workers.
auto publish_view(control_context &context, time_point now) -> void {
    if (!context.board.view_stale)
        return;
    rebuild_view(context.board, now);
    for (auto &worker : context.workers)
        push_input(*worker, {.view = context.board.view, .request = {}});
}

// Sends the messages and worker requests that the controllers have issued.
auto execute_actions(control_context &context, control_actions &actions)
    -> void {
    for (auto &outgoing : actions.messages) {
        if (context.faults.blocks(outgoing.to.address))
            continue;
        outgoing.message.set_from(context.board.self.id);
        outgoing.message.set_hlc(context.board.events->clock().next());
        context.channel.send(outgoing.to, outgoing.message.SerializeAsString());
    }
    for (const auto &request : actions.requests) {
        if (request.operation == worker_request::kind::export_records) {
            push_input(*context.workers[request.worker],
                       {.view = {}, .request = request});
            continue;
        }
        for (auto &worker : context.workers)
            push_input(*worker, {.view = {}, .request = request});
    }
    actions.messages.clear();
    actions.requests.clear();
}

auto write_condition(control_context &context, const condition_change &change)
    -> void {
    const nlohmann::ordered_json status{
        {"conditions", nlohmann::ordered_json::array(
                           {{{"type", "CapacityExhausted"},
                             {"status", change.set ? "True" : "False"},
                             {"service", change.service},
                             {"message", change.set ? change.reason : ""}}})}};
    context.feed.write_status(change.customer, status.dump());
}

auto run_periodic_checks(control_context &context, time_point now,
                         control_actions &actions) -> void {
    if (now < context.next_periodic_check)
        return;
    context.next_periodic_check = now + periodic_check_interval;
    // Shortly after the start, the reachability of failure domains changes with
    // time (`settle_time`), so the view is rebuilt even without other changes.
    if (now - context.board.started <
        context.board.options.settle_time + 2 * periodic_check_interval)
        context.board.view_stale = true;
    tick_health(context.board, now);
    context.feed.set_watching(is_watcher(context.board));
    for (const auto &change : tick_conditions(context.board, now))
        write_condition(context, change);
    announce_exhausted_services(context.board, actions);
}

// Latest time at which one of the packet workers received a packet.
auto last_packet_time(const control_context &context) -> time_point {
    time_point last{};
    for (const auto &worker : context.workers)
        last = std::max(
            last, time_point(time_point::duration(worker->last_packet.load())));
    return last;
}

auto tick_controllers(control_context &context, time_point now,
                      control_actions &actions) -> void {
    auto &board = context.board;
    if (now < board.next_controller_tick)
        return;
    board.next_controller_tick = now + controller_tick_interval;
    tick_membership(board, now, actions);
    renew_lease(board, now, actions);
    publish_view(context, now);
    update_own_loads(board);
    send_load_reports(board, now, actions);
    tick_record_sync(board, now, actions);
    announce_synced(board, now, actions);
}

// Performs the next step of the planned stop without blocking. Does nothing
// while `may_leave` is false: the failure domain has other live balancers, but
// none of them has the flow records of some service that this instance owns.
// When `may_leave` becomes true, announces that this instance is leaving. After
// that, returns true when `leave_notice` has passed and no packets have arrived
// for `idle_before_exit`: the stop is then complete. `run_control` aborts the
// stop when `stop_deadline` has passed.
auto advance_stop(control_context &context, time_point now,
                  control_actions &actions) -> bool {
    auto &board = context.board;
    if (board.self.status == member_status::live) {
        if (!may_leave(board))
            return false;
        board.self.status = member_status::leaving;
        ++board.version;
        context.leaving_since = now;
        announce_self(board, now, actions);
        return false;
    }
    return now - context.leaving_since > leave_notice &&
           now - last_packet_time(context) > idle_before_exit;
}

} // namespace

auto run_on_control_thread(control_context &context,
                           const std::function<void()> &task) -> void {
    auto finished = std::make_shared<std::promise<void>>();
    auto done = finished->get_future();
    {
        const std::lock_guard lock(context.tasks_mutex);
        context.tasks.emplace_back([&task, finished] {
            task();
            finished->set_value();
        });
    }
    done.wait();
}

auto run_control(control_context &context, const std::atomic<bool> &stop)
    -> bool {
    auto &board = context.board;
    control_actions actions;
    board.started = monotonic::now();
    while (true) {
        auto now = monotonic::now();
        detect_pause(board, now, actions);
        publish_view(context, now);
        read_messages(context, actions);
        now = monotonic::now();
        // The process was paused after `detect_pause`, which therefore has to
        // run again before the controllers.
        if (now - board.last_tick >= board.options.lease)
            continue;
        read_platform_documents(context, now, actions);
        read_worker_reports(context, actions);
        run_tasks(context);
        tick_controllers(context, now, actions);
        publish_view(context, now);
        run_periodic_checks(context, now, actions);
        if (stop && context.stop_requested_at == time_point{}) {
            context.stop_requested_at = now;
            board.events->record(event_kind::stopping, board.self.name);
        }
        const auto stopped = stop && advance_stop(context, now, actions);
        publish_view(context, now);
        execute_actions(context, actions);
        if (stopped)
            return true;
        if (stop &&
            now - context.stop_requested_at > context.options.stop_deadline) {
            board.events->record(event_kind::stop_deadline_missed,
                                 board.self.name);
            return false;
        }
    }
}

} // namespace dogwoodtrack
