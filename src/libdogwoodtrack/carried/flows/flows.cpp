#include "carried/flows/flows.hpp"

#include "carried/quota/cold_flows.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// A closed flow is kept for this time after its last packet.
constexpr milliseconds closed_retention{2'000};
/// An answered flow without packets for this time is no longer counted as open.
constexpr milliseconds idle_after_response{1'000};
/// A flow whose opening is unanswered for this time is no longer counted as
/// open: its caller may have given up.
constexpr milliseconds opening_count_timeout{120};
/// An established flow without packets is removed from the table after this
/// time.
constexpr milliseconds idle_retention{20'000};
/// A flow whose opening is unanswered is removed from the table after this
/// time.
constexpr milliseconds opening_retention{3'000};
/// Request timeout, less the network round trip, as a multiple of the baseline
/// response time.
constexpr float timeout_factor = 10;
/// Lower limit of the request timeout.
constexpr milliseconds min_request_timeout{400};
/// Request timeout while the baseline response time is unknown.
constexpr milliseconds default_request_timeout{1'500};
/// A flow whose request is unanswered for this time counts as silent, see
/// `find_dead_upstreams`.
constexpr milliseconds silence_threshold{300};
/// Maximum number of response times kept until the metrics take them.
constexpr std::size_t max_response_times = 1'024;
/// Weight of one response in the smoothed service time.
constexpr float service_time_weight = 0.15F;
/// The first responses of an upstream, up to this number, are averaged with
/// equal weight.
constexpr std::uint32_t service_time_warmup = 4;

auto milliseconds_between(time_point from, time_point to) -> float {
    return std::chrono::duration<float, std::milli>(to - from).count();
}

auto record_response_time(upstream_stats &stats, float ms) -> void {
    if (stats.served < service_time_warmup)
        stats.service_ms =
            (stats.service_ms * static_cast<float>(stats.served) + ms) /
            static_cast<float>(stats.served + 1);
    else
        stats.service_ms += service_time_weight * (ms - stats.service_ms);
    ++stats.served;
}

auto record_activity(upstream_stats &stats, time_point now) -> void {
    stats.last_response = now;
    stats.silent_flows = 0;
}

auto record_request(upstream_stats &stats, time_point now) -> void {
    if (stats.silent_since <= stats.last_response)
        stats.silent_since = now;
}

// Counts a request under way. The first request of a flow that was opened
// through this balancer belongs to the opening.
auto begin_tracked_request(flow_table &flows, const upstream_table &upstreams,
                           flow &it) -> void {
    if (!flows.load.enabled || it.to == no_upstream)
        return;
    it.under_way = true;
    begin_request(flows.load, {.service = upstreams.all[it.to].record.service,
                               .code = it.code,
                               .priority = it.priority,
                               .follows_up = it.stage != flow_stage::open ||
                                             it.attempts == 0});
}

auto record_first_response(flow_table &flows, flow &it, time_point now)
    -> void {
    it.stage = flow_stage::answered;
    end_tracked_request(flows, it);
    if (it.request_seen != time_point{})
        it.response_ms = milliseconds_between(it.request_seen, now);
}

// A new acknowledgement number shows that the upstream is alive.
auto record_acknowledgement(upstream_table &upstreams, flow &it,
                            std::uint32_t acknowledged, time_point now)
    -> void {
    if (acknowledged == it.latest_acknowledged)
        return;
    it.latest_acknowledged = acknowledged;
    if (it.to != no_upstream)
        record_activity(upstreams.all[it.to].stats, now);
}

auto record_handshake(flow_table &flows, upstream_table &upstreams, flow &it,
                      const endpoint &service, time_point now) -> void {
    it.stage = flow_stage::open;
    if (it.to == no_upstream)
        return;
    if (it.attempts == 1)
        learn_round_trip(flows.profiles[service],
                         milliseconds_between(it.opening_sent, now));
    count_flow(upstreams, it);
    auto &stats = upstreams.all[it.to].stats;
    stats.unanswered = 0;
    record_activity(stats, now);
}

// Records the outcome of the flow's last request if a response to it was
// acknowledged. Called when the caller closes the flow or sends its next
// request, since only then the size of the response is known.
auto record_complete_response(flow_table &flows, upstream_table &upstreams,
                              const flow &it, const packet_header &header,
                              time_point now) -> void {
    if (it.stage != flow_stage::answered || it.to == no_upstream ||
        it.request_seen == time_point{})
        return;
    auto &profile = flows.profiles[header.endpoints.service];
    const response_sample response{
        .ms = std::max(0.0F, it.response_ms - profile.round_trip_ms),
        .bytes = static_cast<float>(header.acknowledged -
                                    it.acknowledged_at_request)};
    const auto service = upstreams.all[it.to].record.service;
    if (detect_error_or_learn(profile, response)) {
        count_rejection(flows.load, service, it.code);
        return record_outcome(upstreams, it.to, request_outcome::error, now);
    }
    count_answer(flows.load, service, it.code, response.ms);
    record_outcome(upstreams, it.to, request_outcome::answered, now);
    record_response_time(upstreams.all[it.to].stats, it.response_ms);
    if (flows.response_times_ms.size() < max_response_times)
        flows.response_times_ms.push_back(it.response_ms);
}

auto retention_time(const flow &it) -> milliseconds {
    if (it.stage == flow_stage::closed)
        return closed_retention;
    if (it.stage == flow_stage::opening)
        return opening_retention;
    return idle_retention;
}

auto request_timeout(const flow_table &flows, const endpoint &service)
    -> milliseconds {
    const auto found = flows.profiles.find(service);
    if (found == flows.profiles.end() || !is_learned(found->second))
        return default_request_timeout;
    const auto &profile = found->second;
    const auto ms = static_cast<std::int64_t>(profile.round_trip_ms +
                                              profile.ms * timeout_factor);
    return std::max(min_request_timeout, milliseconds{ms});
}

// Adds the flow to the silent flows of its upstream: at most once per request,
// and only if the upstream has answered no flow since that request was sent.
auto record_silence(upstream_table &upstreams, flow &it, time_point now)
    -> void {
    if (it.stage != flow_stage::requested || it.silent ||
        it.to == no_upstream || now - it.request_seen < silence_threshold)
        return;
    auto &stats = upstreams.all[it.to].stats;
    if (it.request_seen <= stats.last_response)
        return;
    it.silent = true;
    ++stats.silent_flows;
}

auto check_flow(flow_table &flows, upstream_table &upstreams,
                const flow_endpoints &endpoints, flow &it, time_point now)
    -> void {
    if (it.stage == flow_stage::answered &&
        now - it.last_packet >= idle_after_response)
        uncount_flow(upstreams, it);
    if (it.stage == flow_stage::opening &&
        now - it.opening_sent >= opening_count_timeout)
        uncount_flow(upstreams, it);
    record_silence(upstreams, it, now);
    if (it.stage != flow_stage::requested || it.timed_out ||
        now - it.request_seen < min_request_timeout ||
        now - it.request_seen < request_timeout(flows, endpoints.service))
        return;
    it.timed_out = true;
    uncount_flow(upstreams, it);
    end_tracked_request(flows, it);
    const auto may_have_moved = it.request_seen <= flows.last_rehash;
    if (it.to != no_upstream && !may_have_moved)
        record_outcome(upstreams, it.to, request_outcome::timed_out, now);
}

} // namespace

auto flow_endpoints_hash::operator()(const flow_endpoints &it) const
    -> std::size_t {
    const auto caller = std::uint64_t{it.caller.address} << 16 | it.caller.port;
    const auto service =
        std::uint64_t{it.service.address} << 16 | it.service.port;
    return hash_pair(caller, service);
}

auto find_flow(flow_table &flows, const flow_endpoints &endpoints) -> flow * {
    const auto found = flows.all.find(endpoints);
    return found == flows.all.end() ? nullptr : &found->second;
}

auto add_flow(flow_table &flows, const flow_endpoints &endpoints,
              time_point now) -> flow * {
    if (flows.all.size() >= flows.limit) {
        ++flows.overflowed;
        return nullptr;
    }
    auto &it = flows.all[endpoints];
    it.last_packet = now;
    flows.sweep_order.push_back(endpoints);
    return &it;
}

auto count_flow(upstream_table &upstreams, flow &it) -> void {
    if (it.counted || it.to == no_upstream)
        return;
    it.counted = true;
    ++upstreams.all[it.to].stats.open;
}

auto uncount_flow(upstream_table &upstreams, flow &it) -> void {
    if (!it.counted)
        return;
    it.counted = false;
    auto &open = upstreams.all[it.to].stats.open;
    if (open > 0)
        --open;
}

auto is_established(const flow &it) -> bool {
    return it.stage != flow_stage::opening && it.stage != flow_stage::closed;
}

auto end_tracked_request(flow_table &flows, flow &it) -> void {
    if (!it.under_way)
        return;
    it.under_way = false;
    end_request(flows.load, it.code);
}

auto close_flow(flow_table &flows, upstream_table &upstreams, flow &it)
    -> void {
    uncount_flow(upstreams, it);
    release_cold_flow(upstreams, it);
    end_tracked_request(flows, it);
    it.stage = flow_stage::closed;
}

auto bind_flow(upstream_table &upstreams, flow &it, upstream_index to) -> void {
    uncount_flow(upstreams, it);
    release_cold_flow(upstreams, it);
    it.to = to;
    it.code = upstreams.all[to].code;
    count_flow(upstreams, it);
}

auto track_packet(flow_table &flows, upstream_table &upstreams, flow &it,
                  const packet_header &header, time_point now) -> void {
    it.last_packet = now;
    if (it.stage == flow_stage::closed)
        return;
    if (it.stage == flow_stage::opening) {
        record_handshake(flows, upstreams, it, header.endpoints.service, now);
        it.acknowledged_at_request = header.acknowledged;
        it.latest_acknowledged = header.acknowledged;
    }
    record_acknowledgement(upstreams, it, header.acknowledged, now);
    if (it.stage == flow_stage::requested &&
        header.acknowledged != it.acknowledged_at_request)
        record_first_response(flows, it, now);
    if (header.payload > 0 && it.stage != flow_stage::requested) {
        record_complete_response(flows, upstreams, it, header, now);
        count_cold_request(upstreams, it, now);
        begin_tracked_request(flows, upstreams, it);
        it.stage = flow_stage::requested;
        it.request_seen = now;
        it.timed_out = false;
        it.silent = false;
        it.acknowledged_at_request = header.acknowledged;
        count_flow(upstreams, it);
        if (it.to != no_upstream)
            record_request(upstreams.all[it.to].stats, now);
    }
    if (header.finishes)
        record_complete_response(flows, upstreams, it, header, now);
    if (header.finishes || header.aborts)
        close_flow(flows, upstreams, it);
}

auto sweep_flows(flow_table &flows, upstream_table &upstreams,
                 std::size_t max_flows, time_point now) -> void {
    max_flows = std::min(max_flows, flows.sweep_order.size());
    for (std::size_t i = 0; i < max_flows; ++i) {
        const auto endpoints = flows.sweep_order.front();
        flows.sweep_order.pop_front();
        const auto found = flows.all.find(endpoints);
        if (found == flows.all.end())
            continue;
        auto &it = found->second;
        check_flow(flows, upstreams, endpoints, it, now);
        if (now - it.last_packet < retention_time(it)) {
            flows.sweep_order.push_back(endpoints);
            continue;
        }
        uncount_flow(upstreams, it);
        release_cold_flow(upstreams, it);
        end_tracked_request(flows, it);
        flows.all.erase(found);
    }
}

} // namespace dogwoodtrack::carried
