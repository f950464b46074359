#include "control_loop.hpp"

#include <charconv>
#include <future>

#include <nlohmann/json.hpp>

#include "conditions.hpp"
#include "copying.hpp"
#include "documents.hpp"
#include "health.hpp"
#include "load_reports.hpp"
#include "membership.hpp"
#include "view_builder.hpp"

namespace dogwoodtrack {

namespace {

constexpr milliseconds loop_wait{20};
constexpr milliseconds slow_tick{1000};
constexpr milliseconds membership_turn{50};
constexpr std::size_t messages_per_turn = 256;
// Peers and the fabric need this long to learn that an instance leaves.
constexpr milliseconds leave_notice{1000};
constexpr milliseconds quiet_before_exit{1000};

auto handle_message(control_context &it, const wire::Envelope &message,
                    time_point now, control_actions &actions) -> void {
    auto &board = it.board;
    board.events->clock().observe(message.hlc());
    note_heard(board, message.from(), now);
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
        return on_loads(board, message.loads());
    case wire::Envelope::BODY_NOT_SET:
        ++it.broken_messages;
    }
}

auto read_messages(control_context &it, control_actions &actions) -> void {
    auto wait = loop_wait;
    for (std::size_t i = 0; i < messages_per_turn; ++i) {
        const auto bytes = it.channel.receive(wait);
        wait = milliseconds{0};
        if (!bytes)
            return;
        const auto now = monotonic::now();
        if (now - it.board.last_tick >= it.board.options.lease ||
            now < it.board.deaf_until)
            continue;
        wire::Envelope message;
        if (!message.ParseFromString(*bytes)) {
            ++it.broken_messages;
            continue;
        }
        handle_message(it, message, now, actions);
    }
}

auto read_platform(control_context &it, time_point now,
                   control_actions &actions) -> void {
    for (const auto &document : it.feed.take())
        accept_document(
            it.board, document.name,
            {.generation = document.generation, .json = document.json}, now,
            actions);
}

auto read_reports(control_context &it, control_actions &actions) -> void {
    for (auto &worker : it.workers) {
        worker_report *report = nullptr;
        while (worker->reports.pop(report)) {
            const std::unique_ptr<worker_report> owned(report);
            if (owned->exported)
                on_records_exported(it.board, owned->records, owned->next,
                                    it.workers.size(), actions);
            if (!owned->expired.empty())
                announce_expired(it.board, owned->expired, actions);
        }
    }
}

auto answer_questions(control_context &it) -> void {
    std::vector<std::function<void()>> questions;
    {
        const std::lock_guard lock(it.questions_mutex);
        questions.swap(it.questions);
    }
    for (const auto &question : questions)
        question();
}

auto push_input(packet_worker &worker, worker_input input) -> void {
    auto *item = new worker_input(std::move(input));
    while (!worker.inputs.push(item))
        std::this_thread::sleep_for(milliseconds{1});
}

auto publish_view(control_context &it, time_point now) -> void {
    if (!it.board.view_stale)
        return;
    rebuild_view(it.board, now);
    for (auto &worker : it.workers)
        push_input(*worker, {.view = it.board.view, .request = {}});
}

auto carry_out(control_context &it, control_actions &actions) -> void {
    for (auto &action : actions.messages) {
        if (it.faults.blocks(action.to.address))
            continue;
        action.message.set_from(it.board.self.id);
        action.message.set_hlc(it.board.events->clock().next());
        it.channel.send(action.to, action.message.SerializeAsString());
    }
    for (const auto &request : actions.requests) {
        if (request.what == worker_request::kind::export_records) {
            push_input(*it.workers[request.worker],
                       {.view = {}, .request = request});
            continue;
        }
        for (auto &worker : it.workers)
            push_input(*worker, {.view = {}, .request = request});
    }
    actions.messages.clear();
    actions.requests.clear();
}

auto write_condition(control_context &it, const condition_change &change)
    -> void {
    const nlohmann::ordered_json status{
        {"conditions", nlohmann::ordered_json::array(
                           {{{"type", "CapacityExhausted"},
                             {"status", change.set ? "True" : "False"},
                             {"service", change.service},
                             {"message", change.set ? change.reason : ""}}})}};
    it.feed.write_status(change.customer, status.dump());
}

auto do_slow_tick(control_context &it, time_point now, control_actions &actions)
    -> void {
    if (now < it.next_slow_tick)
        return;
    it.next_slow_tick = now + slow_tick;
    // Reachability depends on the time since the start, too.
    if (now - it.board.started < it.board.options.settle + 2 * slow_tick)
        it.board.view_stale = true;
    tick_health(it.board, now);
    it.feed.set_watching(is_watcher(it.board));
    for (const auto &change : tick_conditions(it.board, now))
        write_condition(it, change);
    announce_trouble(it.board, actions);
}

auto last_packet(const control_context &it) -> time_point {
    time_point last{};
    for (const auto &worker : it.workers)
        last = std::max(
            last, time_point(time_point::duration(worker->last_packet.load())));
    return last;
}

auto take_membership_turn(control_context &it, time_point now,
                          control_actions &actions) -> void {
    auto &board = it.board;
    if (now < board.next_membership_turn)
        return;
    board.next_membership_turn = now + membership_turn;
    tick_membership(board, now, actions);
    renew_lease(board, now, actions);
    publish_view(it, now);
    report_loads(board);
    send_loads(board, now, actions);
    tick_record_sync(board, now, actions);
    announce_synced(board, now, actions);
}

// First peers that have the records, then the announcement, then the last
// packets; the deadline cuts it short.
auto stop_is_done(control_context &it, time_point now, control_actions &actions)
    -> bool {
    auto &board = it.board;
    if (board.self.status == member_status::live) {
        if (!may_leave(board))
            return false;
        board.self.status = member_status::leaving;
        ++board.version;
        it.left_at = now;
        announce_self(board, now, actions);
        return false;
    }
    return now - it.left_at > leave_notice &&
           now - last_packet(it) > quiet_before_exit;
}

} // namespace

auto ask_control(control_context &it, const std::function<void()> &question)
    -> void {
    auto answered = std::make_shared<std::promise<void>>();
    auto done = answered->get_future();
    {
        const std::lock_guard lock(it.questions_mutex);
        it.questions.emplace_back([&question, answered] {
            question();
            answered->set_value();
        });
    }
    done.wait();
}

auto run_control(control_context &it, const std::atomic<bool> &stop) -> bool {
    auto &board = it.board;
    control_actions actions;
    board.started = monotonic::now();
    while (true) {
        auto now = monotonic::now();
        notice_pause(board, now, actions);
        publish_view(it, now);
        read_messages(it, actions);
        now = monotonic::now();
        if (now - board.last_tick >= board.options.lease)
            continue;
        read_platform(it, now, actions);
        read_reports(it, actions);
        answer_questions(it);
        take_membership_turn(it, now, actions);
        publish_view(it, now);
        do_slow_tick(it, now, actions);
        if (stop && it.stop_asked == time_point{}) {
            it.stop_asked = now;
            board.events->record(event_kind::stopping, board.self.name);
        }
        const auto stopped = stop && stop_is_done(it, now, actions);
        publish_view(it, now);
        carry_out(it, actions);
        if (stopped)
            return true;
        if (stop && now - it.stop_asked > it.options.stop_deadline) {
            board.events->record(event_kind::stop_deadline_missed,
                                 board.self.name);
            return false;
        }
    }
}

} // namespace dogwoodtrack
