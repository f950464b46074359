#include "carried/balancer_context.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "carried/admission/admission_report.hpp"
#include "carried/evacuation_log.hpp"
#include "carried/explanation_report.hpp"
#include "carried/feeds/evacuations.hpp"
#include "carried/feeds/gossip.hpp"
#include "carried/http_responder.hpp"
#include "carried/load/load_exchange.hpp"
#include "carried/load/load_log.hpp"
#include "carried/members/rotation.hpp"
#include "carried/quota/cold_quota.hpp"
#include "carried/report.hpp"
#include "carried/upstreams/outlier_detection.hpp"
#include "dogwoodtrack/event_log.hpp"
#include "sockets.hpp"

namespace dogwoodtrack::carried {

namespace {

constexpr milliseconds tick_interval{100};
/// Flows checked by `sweep_flows` per tick.
constexpr std::size_t sweep_batch = 256;
/// A planned stop ends when no packet from the fabric has arrived for this
/// time.
constexpr milliseconds stop_idle_time{700};
/// Time after the start of a planned stop in which the fabric may not have
/// noticed yet that this balancer is leaving.
constexpr milliseconds leave_propagation_time{1'300};
/// Interval between checks for changed settings.
constexpr milliseconds reload_interval{1'000};
/// Shortest interval between logged changes of the division of quotas.
constexpr milliseconds division_log_interval{1'000};
/// Requested size of a socket's receive buffer, in bytes.
constexpr int receive_buffer_size = 1 << 19;

auto open_datagram_socket(const endpoint &local) -> result<int> {
    const auto fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    if (fd < 0 || !bind_to(fd, local))
        return error{error_kind::socket_failed,
                     fmt::format("cannot open UDP socket on {}: {}",
                                 to_string(local), std::strerror(errno))};
    // Best effort: a smaller receive buffer is sufficient, too.
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_size,
               sizeof receive_buffer_size);
    return fd;
}

auto log_can_serve(balancer_context &it, time_point now) -> void {
    if (it.can_serve_logged || !can_serve(it.state))
        return;
    it.can_serve_logged = true;
    const auto took =
        std::chrono::duration_cast<milliseconds>(now - it.state.started);
    log_event(
        severity::info, "can_serve",
        {{"after_ms", std::int64_t{took.count()}},
         {"routes", std::uint64_t{it.state.steering.in_force->routes.size()}},
         {"upstreams", std::uint64_t{it.state.steering.upstreams.by_id.size()}},
         {"waiting", std::uint64_t{it.waiting.all.size()}}});
}

auto log_ejection_changes(const balancer_context &it, time_point now) -> void {
    const auto &upstreams = it.state.steering.upstreams;
    for (const auto index : upstreams.ejection_changes) {
        const auto &one = upstreams.all[index];
        if (!is_ejected(one, now)) {
            log_event(severity::info, "upstream_returned",
                      {{"upstream", one.record.id}});
            continue;
        }
        const auto left =
            std::chrono::ceil<milliseconds>(one.stats.ejected_until - now);
        log_event(severity::info, "upstream_ejected",
                  {{"upstream", one.record.id},
                   {"address", to_string(one.record.address)},
                   {"for_ms", std::int64_t{left.count()}},
                   {"in_a_row", std::uint64_t{one.stats.ejections}}});
    }
}

auto send_outcomes(balancer_context &it, time_point now) -> void {
    log_ejection_changes(it, now);
    std::vector<outgoing_message> out;
    share_outcomes(it.state, now, out);
    send_messages(it, out);
}

// Logs changes of the division of quotas, at most once per second: while a
// fleet starts, members become known one after the other.
auto log_cold_division(balancer_context &it, time_point now) -> void {
    const auto &quota = it.state.steering.upstreams.cold;
    if (quota.members.generation == it.logged_division ||
        now < it.next_division_log ||
        (quota.limits.empty() && it.logged_division == 0))
        return;
    it.logged_division = quota.members.generation;
    it.next_division_log = now + division_log_interval;
    const auto division = describe_division(quota, it.state.members, now);
    log_event(severity::info, "cold_quota_changed",
              {{"services", std::uint64_t{division.services}},
               {"balancers", std::uint64_t{division.divisor}},
               {"silent", std::uint64_t{division.silent}},
               {"oldest_ms", std::int64_t{division.oldest.count()}},
               {"small_share", division.small_share}});
}

auto tick(balancer_context &it, time_point now) -> void {
    if (now < it.next_tick)
        return;
    it.next_tick = now + tick_interval;
    auto &steering = it.state.steering;
    refresh_steering(it.state, now);
    log_late_feeds(it, now);
    log_cold_division(it, now);
    expire_upstreams(steering.upstreams, it.options.flow_lifetime + seconds{5},
                     now);
    for (const auto ms : std::exchange(steering.flows.response_times_ms, {}))
        it.metrics.fill(metric::answer_time, ms);
    sweep_flows(steering.flows, steering.upstreams, sweep_batch, now);
    reset_flows_at_dead_upstreams(it, now);
    send_outcomes(it, now);
    log_unknown_evacuations(it.state, now);
    forget_unlimited(steering.admission, steering.plans, now);
    log_admission_changes(steering, now);
}

auto log_rotation_change(const balancer_context &it, time_point now) -> void {
    const auto &state = it.state;
    const auto own_domain =
        summarize_probes(state.probes, state.members.self.failure_domain, now);
    log_event(severity::warning,
              state.rotation.withdrawn ? "withdrawn_from_rotation"
                                       : "back_in_rotation",
              {{"neighbours_asked", std::uint64_t{own_domain.probed}},
               {"neighbours_serving", std::uint64_t{own_domain.serving}}});
}

auto update_and_log_rotation(balancer_context &it, time_point now) -> void {
    const auto was_withdrawn = it.state.rotation.withdrawn;
    std::vector<outgoing_message> out;
    update_rotation(it.state, now, out);
    if (it.state.rotation.withdrawn != was_withdrawn)
        log_rotation_change(it, now);
    send_messages(it, out);
}

auto send_due_digests(balancer_context &it, time_point now) -> void {
    if (now < it.next_digest)
        return;
    // A balancer that has not received the configuration and the upstreams
    // yet sends digests more often to obtain them sooner.
    it.next_digest =
        now + (can_serve(it.state) ? digest_interval : digest_interval / 3);
    std::vector<outgoing_message> out;
    send_digests(it.state, now, out);
    send_messages(it, out);
}

auto repeat_due_requests(balancer_context &it, time_point now) -> void {
    std::vector<outgoing_message> out;
    repeat_requests(it.state, now, out);
    send_messages(it, out);
}

auto exchange_due_load(balancer_context &it, time_point now) -> void {
    if (!it.options.load_plans || now < it.state.load.next_step)
        return;
    std::vector<outgoing_message> out;
    exchange_load(it.state, now, out);
    send_messages(it, out);
    log_load_changes(it.state, now);
}

auto next_wake_time(const balancer_context &it, time_point now) -> time_point {
    auto next =
        std::min({it.next_tick, it.next_digest, it.store.next_deadline(),
                  it.state.probes.last_round + probe_interval});
    if (is_active(it.state.incoming_configuration))
        next = std::min(next, now + block_timeout / 2);
    if (!it.openings.empty())
        next = std::min(next, it.openings.front().due);
    if (!it.waiting.all.empty())
        next = std::min(next, it.next_held_retry);
    if (it.options.load_plans)
        next = std::min(next, it.state.load.next_step);
    if (has_openings(it.state.steering.admission))
        next = std::min(next, it.next_queue_service);
    for (const auto &call : it.state.calls) {
        if (!call.in_flight && call.not_before > now)
            next = std::min(next, call.not_before);
    }
    return next;
}

auto configure_board(blackboard &it, const balancer_options &options) -> void {
    constexpr double millicores_per_core = 1'000;
    constexpr double max_capacity = 60'000;
    it.apply_within = options.apply_within;
    set_evacuate_within(it, options.evacuate_within);
    it.steering.flows.limit = options.flow_capacity;
    enable_load_exchange(it, options.load_plans);
    it.load.price_ms_per_kib = static_cast<float>(options.domain_traffic_price);
    it.load.min_share.fill(static_cast<float>(options.min_share));
    it.steering.admission.enabled = options.admission;
    it.members.self.capacity = static_cast<std::uint16_t>(
        std::clamp(options.cores * millicores_per_core, 1.0, max_capacity));
    auto &steering = it.steering;
    if (steering.upstreams.cold.bounds != options.cold)
        update_cold_limits(steering.upstreams.cold, steering.in_force.get(),
                           options.cold);
    it.members.seeds.clear();
    for (const auto &seed : options.seeds)
        it.members.seeds.push_back(seed.address);
}

auto make_blackboard(const balancer_options &options, time_point now)
    -> blackboard {
    blackboard it;
    const auto domain = hash_name(options.failure_domain);
    it.started = now;
    it.first_start = options.first_start;
    it.steering.position.failure_domain = domain;
    it.members.self = {.address = options.peers.address,
                       .failure_domain = domain,
                       .last_heard = now};
    it.members.random.seed(options.peers.address);
    it.steering.admission.phase = admission_phase(options.peers.address);
    configure_board(it, options);
    return it;
}

// Applies the settings that may change at run time. All others change only with
// a restart; if the link, the peer endpoint or the failure domain has changed,
// the event `settings_reloaded` says that a restart is needed.
auto apply_options(balancer_context &it, const balancer_options &next) -> void {
    it.options.apply_within = next.apply_within;
    it.options.evacuate_within = next.evacuate_within;
    it.options.stop_deadline = next.stop_deadline;
    it.options.flow_lifetime = next.flow_lifetime;
    it.options.cold = next.cold;
    it.options.flow_capacity = next.flow_capacity;
    it.options.cores = next.cores;
    it.options.seeds = next.seeds;
    it.options.load_plans = next.load_plans;
    it.options.domain_traffic_price = next.domain_traffic_price;
    it.options.admission = next.admission;
    it.options.min_share = next.min_share;
    configure_board(it.state, it.options);
    const auto restart = next.link != it.options.link ||
                         next.peers != it.options.peers ||
                         next.failure_domain != it.options.failure_domain;
    log_event(severity::info, "settings_reloaded",
              {{"needs_restart", restart}});
}

auto reload_settings(balancer_context &it, time_point now) -> void {
    if (!it.options.reload || now < it.next_reload)
        return;
    it.next_reload = now + reload_interval;
    if (const auto next = it.options.reload())
        apply_options(it, *next);
}

// Begins a planned stop on the first call. Returns whether the stop is
// complete: the fabric sends no more packets here, or the deadline has passed.
auto advance_stop(balancer_context &it, time_point now) -> bool {
    if (it.stop_requested_at == time_point{}) {
        it.stop_requested_at = now;
        it.state.leaving = true;
        it.state.members.self.leaving = true;
        it.next_digest = now;
        log_event(
            severity::info, "stopping",
            {{"flows", std::uint64_t{it.state.steering.flows.all.size()}}});
    }
    const auto waited = now - it.stop_requested_at;
    if (waited >= it.options.stop_deadline)
        return true;
    return waited >= leave_propagation_time &&
           now - it.last_packet_at >= stop_idle_time;
}

auto open_operator_endpoint(balancer_context &it)
    -> result<std::unique_ptr<http_responder>> {
    if (it.options.operators.port == 0)
        return std::unique_ptr<http_responder>{};
    return http_responder::open(
        it.options.operators, it.loop, [&it](std::string_view path) {
            constexpr unsigned not_found = 404;
            const auto now = monotonic::now();
            if (path == "/metrics")
                return http_reply{.body =
                                      metrics_text(it.state, it.metrics, now)};
            if (path == "/status")
                return http_reply{
                    .body = status_json(it.state, it.options.name, now),
                    .type = "application/json"};
            if (path.substr(0, path.find('?')) == explain_path)
                return explain_reply(it.state.steering, it.options.name, path,
                                     now);
            return http_reply{.status = not_found};
        });
}

// Runs the event loop once, and notes when no message of a peer was unread.
auto wait_for_events(balancer_context &it, time_point until) -> void {
    const auto begin = monotonic::now();
    it.peers_read = false;
    it.loop.run_once(until);
    if (!it.peers_read)
        it.state.unread_since = begin;
}

auto run_loop(balancer_context &it, const std::atomic<bool> &stop,
              std::atomic<bool> &ready) -> void {
    while (true) {
        const auto now = monotonic::now();
        handle_store_answers(it, now);
        start_store_calls(it, now);
        send_due_digests(it, now);
        repeat_due_requests(it, now);
        update_and_log_rotation(it, now);
        tick(it, now);
        exchange_due_load(it, now);
        reload_settings(it, now);
        log_can_serve(it, now);
        retry_held_packets(it, now);
        ready = is_in_rotation(it.state);
        if (stop && advance_stop(it, now))
            return;
        wait_for_events(it, next_wake_time(it, now));
        // Packets are read before openings are retried, so that an opening
        // whose answer is still in the socket's buffer does not count as
        // unanswered.
        receive_packets(it);
        retry_openings(it, monotonic::now());
        serve_opening_queue(it, monotonic::now());
    }
}

} // namespace

auto run_balancer(const balancer_options &options, const packet_codec &codec,
                  store_interface &store, event_loop &loop,
                  const std::atomic<bool> &stop, std::atomic<bool> &ready)
    -> result<void> {
    const auto now = monotonic::now();
    balancer_context it{.options = options,
                        .codec = codec,
                        .store = store,
                        .loop = loop,
                        .state = make_blackboard(options, now),
                        .metrics = {},
                        .waiting = {},
                        .openings = {}};
    BOOST_OUTCOME_TRY(it.link, open_datagram_socket(options.link));
    BOOST_OUTCOME_TRY(it.peers, open_datagram_socket(options.peers));
    loop.add(it.link, POLLIN, [](short) {});
    loop.add(it.peers, POLLIN, [&](short) { receive_peer_messages(it); });
    BOOST_OUTCOME_TRY(const auto port, open_operator_endpoint(it));
    log_event(severity::info, "started",
              {{"link", to_string(options.link)},
               {"failure_domain", options.failure_domain}});
    run_loop(it, stop, ready);
    reject_held_openings(it);
    loop.remove(it.link);
    loop.remove(it.peers);
    close(it.link);
    close(it.peers);
    log_event(severity::info, "stopped",
              {{"forwarded", it.state.counters.forwarded}});
    return boost::outcome_v2::success();
}

} // namespace dogwoodtrack::carried
