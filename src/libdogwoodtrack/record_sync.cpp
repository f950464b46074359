#include "record_sync.hpp"

#include <algorithm>
#include <cstring>

#include "membership.hpp"

namespace dogwoodtrack {

namespace {

constexpr std::size_t record_size = 13; // bytes per record in a batch
constexpr double tick_seconds = 0.05;   // interval of `tick_record_sync`
constexpr std::uint8_t flag_closed = 1;
constexpr std::uint8_t flag_forwarded = 2;
// If no batch arrives for this time after the last request or batch, the sync
// is requested again.
constexpr milliseconds sync_timeout{5000};
// A full sync copies only the flows opened or closed within this time.
constexpr milliseconds full_sync_age{24 * 3600 * 1000};
// If this instance's records of a service have been stale for less than this
// time, only the changes since they became stale are copied. Owners keep closed
// flows for 60 s (`closed_retention`): after a longer time, the changes would
// not include all flows that have closed.
constexpr milliseconds partial_sync_limit{30'000};
// The copy also includes the changes of this period before the records became
// stale.
constexpr milliseconds partial_sync_margin{5000};

auto append_u32(std::string &out, std::uint32_t value) -> void {
    out.append(reinterpret_cast<const char *>(&value), sizeof value);
}

auto append_u16(std::string &out, std::uint16_t value) -> void {
    out.append(reinterpret_cast<const char *>(&value), sizeof value);
}

// Rank of this instance, from 0, in the order of preference for owning the
// service, or the number of ranked members if this instance is not among them.
auto own_rank(const blackboard &board, std::uint32_t service) -> std::size_t {
    const auto members = all_members(board);
    const auto order =
        rank_members(members, board.self.failure_domain, service);
    for (std::size_t i = 0; i < order.size(); ++i) {
        if (order[i]->id == board.self.id)
            return i;
    }
    return order.size();
}

auto mark_synced(blackboard &board, std::uint32_t service) -> void {
    board.newly_synced.push_back(service);
    board.syncs.erase(service);
    board.stale_services.erase(service);
}

auto request_record_removal(blackboard &board, std::uint32_t id,
                            control_actions &actions) -> void {
    board.stale_services.erase(id);
    const auto *service = service_by_id(board, id);
    if (service != nullptr)
        actions.requests.push_back(
            {.operation = worker_request::kind::erase_service_records,
             .records = {},
             .service = service->address,
             .protocol = service->protocol});
}

auto request_sync(blackboard &board, std::uint32_t service, std::uint32_t owner,
                  time_point now, control_actions &actions) -> void {
    auto &progress = board.syncs[service];
    if (progress.source == owner && now - progress.last_activity < sync_timeout)
        return;
    const auto peer = board.peers.find(owner);
    if (peer == board.peers.end())
        return;
    if (progress.source != owner)
        board.events->record(event_kind::sync_started, peer->second.info.name,
                             0, std::to_string(service));
    progress = {.source = owner, .last_activity = now};
    const auto stale = board.stale_services.contains(service);
    const auto stale_duration = std::chrono::duration_cast<milliseconds>(
        now - board.records_stale_since);
    const auto partial = stale && stale_duration < partial_sync_limit;
    const auto age =
        partial ? stale_duration + partial_sync_margin : full_sync_age;
    if (stale && !partial)
        request_record_removal(board, service, actions);
    wire::Envelope message;
    message.mutable_sync_request()->add_services(service);
    message.mutable_sync_request()->set_age_ms(
        static_cast<std::uint64_t>(age.count()));
    send_to(actions, peer->second, message);
}

// Handles a service that has no owner to copy the flow records from. If this
// instance is ranked first for the service and holds the lease, it becomes
// synced for the service with the records that it already has. It does so only
// when `settle_time` has passed since the start and, after a pause, one lease
// duration since `ignore_messages_until`: by then, this instance has heard of
// any other synced member.
auto become_synced_without_owner(blackboard &board, std::uint32_t service,
                                 time_point now) -> void {
    const auto startup_over =
        now - board.started > board.options.settle_time &&
        now > board.ignore_messages_until + board.options.lease;
    if (startup_over && board.lease->holds(now) &&
        own_rank(board, service) == 0)
        mark_synced(board, service);
}

auto tick_service_sync(blackboard &board, const service_route &service,
                       const domain_route &domain, time_point now,
                       control_actions &actions) -> void {
    if (is_synced(board, service.id) ||
        board.self.status != member_status::live)
        return;
    if (domain.owner == 0)
        return become_synced_without_owner(board, service.id, now);
    if (own_rank(board, service.id) <= service.replicas)
        request_sync(board, service.id, domain.owner, now, actions);
}

// Asks a worker to export the next batch of records. Only one export may be
// pending at a time: the worker's answer does not identify the sync job, so the
// records of two services could be mixed up.
auto start_next_export(blackboard &board, control_actions &actions) -> void {
    const auto export_pending =
        std::any_of(board.sync_jobs.begin(), board.sync_jobs.end(),
                    [](const sync_job &it) { return it.export_pending; });
    if (export_pending || board.sync_jobs.empty() || board.sync_credit <= 0)
        return;
    auto &job = board.sync_jobs.front();
    const auto *service = service_by_id(board, job.service);
    if (service == nullptr) {
        board.sync_jobs.erase(board.sync_jobs.begin());
        return;
    }
    job.export_pending = true;
    actions.requests.push_back(
        {.operation = worker_request::kind::export_records,
         .worker = job.worker,
         .records = {},
         .service = service->address,
         .protocol = service->protocol,
         .age = job.age,
         .cursor = job.cursor});
}

auto send_batch(blackboard &board, const sync_job &job,
                const std::vector<flow_record> &records, bool done,
                control_actions &actions) -> void {
    const auto peer = board.peers.find(job.peer);
    if (peer == board.peers.end())
        return;
    wire::Envelope message;
    auto &batch = *message.mutable_sync_batch();
    batch.set_service(job.service);
    batch.set_records(pack_records(records));
    batch.set_done(done);
    board.sync_credit -= static_cast<double>(message.ByteSizeLong());
    send_to(actions, peer->second, message);
}

} // namespace

auto pack_records(const std::vector<flow_record> &records) -> std::string {
    std::string out;
    out.reserve(records.size() * record_size);
    for (const auto &it : records) {
        append_u32(out, it.key.caller.address);
        append_u16(out, it.key.caller.port);
        append_u32(out, it.upstream.address);
        append_u16(out, it.upstream.port);
        const auto flags =
            (it.closed ? flag_closed : 0) | (it.forwarded ? flag_forwarded : 0);
        out.push_back(static_cast<char>(flags));
    }
    return out;
}

auto unpack_records(const std::string &bytes, const endpoint &service,
                    transport protocol, std::vector<flow_record> &out) -> bool {
    if (bytes.size() % record_size != 0)
        return false;
    for (std::size_t offset = 0; offset < bytes.size(); offset += record_size) {
        flow_record it{.key = {.service = service, .protocol = protocol}};
        const auto *from = bytes.data() + offset;
        std::memcpy(&it.key.caller.address, from, 4);
        std::memcpy(&it.key.caller.port, from + 4, 2);
        std::memcpy(&it.upstream.address, from + 6, 4);
        std::memcpy(&it.upstream.port, from + 10, 2);
        it.closed = (from[12] & flag_closed) != 0;
        it.forwarded = (from[12] & flag_forwarded) != 0;
        out.push_back(it);
    }
    return true;
}

auto tick_record_sync(blackboard &board, time_point now,
                      control_actions &actions) -> void {
    if (!board.view)
        return;
    const auto rate = static_cast<double>(board.options.sync_bytes_per_second);
    board.sync_credit = std::min(rate, board.sync_credit + rate * tick_seconds);
    const auto view = board.view;
    for (const auto &service : view->services) {
        for (const auto &domain : service.domains) {
            if (domain.failure_domain == board.self.failure_domain)
                tick_service_sync(board, service, domain, now, actions);
        }
    }
    start_next_export(board, actions);
}

auto on_sync_request(blackboard &board, const wire::Envelope &message,
                     control_actions &actions) -> void {
    (void)actions;
    const auto &request = message.sync_request();
    for (const auto service : request.services()) {
        const auto is_duplicate = [&](const sync_job &it) {
            return it.peer == message.from() && it.service == service;
        };
        if (!is_synced(board, service) ||
            std::any_of(board.sync_jobs.begin(), board.sync_jobs.end(),
                        is_duplicate))
            continue;
        board.sync_jobs.push_back(
            {.peer = message.from(),
             .service = service,
             .age = milliseconds(std::min<std::uint64_t>(
                 request.age_ms(), full_sync_age.count()))});
    }
}

auto on_sync_batch(blackboard &board, const wire::Envelope &message,
                   time_point now, control_actions &actions) -> void {
    const auto &batch = message.sync_batch();
    const auto *service = service_by_id(board, batch.service());
    if (service == nullptr)
        return;
    worker_request request{.operation = worker_request::kind::import_records,
                           .records = {},
                           .service = service->address,
                           .protocol = service->protocol};
    if (!unpack_records(batch.records(), service->address, service->protocol,
                        request.records))
        return;
    if (!request.records.empty())
        actions.requests.push_back(request);
    const auto progress = board.syncs.find(batch.service());
    if (progress == board.syncs.end() ||
        progress->second.source != message.from())
        return;
    progress->second.last_activity = now;
    if (!batch.done())
        return;
    board.events->record(event_kind::sync_done,
                         service->customer + "/" + service->name);
    mark_synced(board, batch.service());
}

auto on_records_exported(blackboard &board,
                         const std::vector<flow_record> &records,
                         std::size_t next_cursor, std::size_t workers,
                         control_actions &actions) -> void {
    const auto job =
        std::find_if(board.sync_jobs.begin(), board.sync_jobs.end(),
                     [](const sync_job &it) { return it.export_pending; });
    if (job == board.sync_jobs.end())
        return;
    job->export_pending = false;
    job->cursor = next_cursor;
    if (next_cursor == 0)
        ++job->worker;
    const auto done = job->worker >= workers;
    if (!records.empty() || done)
        send_batch(board, *job, records, done, actions);
    if (done)
        board.sync_jobs.erase(job);
}

auto announce_expired(blackboard &board, const std::vector<expired_flow> &flows,
                      control_actions &actions) -> void {
    if (!board.view)
        return;
    std::map<std::uint32_t, std::vector<flow_record>> by_service;
    for (const auto &it : flows) {
        const auto *service =
            board.view->find_service(it.key.service, it.key.protocol);
        if (service != nullptr)
            by_service[service->id].push_back(
                {.key = it.key, .upstream = it.upstream, .closed = true});
    }
    for (const auto &[id, records] : by_service) {
        for (const auto &service : board.view->services) {
            for (const auto &domain : service.domains) {
                if (service.id != id ||
                    domain.failure_domain != board.self.failure_domain)
                    continue;
                for (std::uint8_t i = 0; i < domain.replica_count; ++i)
                    send_batch(board,
                               {.peer = domain.replicas[i], .service = id},
                               records, false, actions);
            }
        }
    }
}

auto announce_synced(blackboard &board, time_point now,
                     control_actions &actions) -> void {
    if (board.newly_synced.empty() || now < board.next_sync_announcement)
        return;
    board.next_sync_announcement = now + board.options.sync_announce_interval;
    board.self.synced.insert(board.self.synced.end(),
                             board.newly_synced.begin(),
                             board.newly_synced.end());
    board.newly_synced.clear();
    ++board.version;
    announce_self(board, now, actions);
}

auto may_leave(const blackboard &board) -> bool {
    if (!board.view)
        return true;
    for (const auto &service : board.view->services) {
        for (const auto &domain : service.domains) {
            if (domain.failure_domain != board.self.failure_domain ||
                domain.owner != board.self.id)
                continue;
            std::size_t live = 0;
            std::size_t synced = 0;
            for (const auto &[id, it] : board.peers) {
                if (it.info.failure_domain != board.self.failure_domain ||
                    it.info.status != member_status::live)
                    continue;
                ++live;
                synced += std::count(it.info.synced.begin(),
                                     it.info.synced.end(), service.id) > 0;
            }
            if (live > 0 && synced == 0)
                return false;
        }
    }
    return true;
}

} // namespace dogwoodtrack
