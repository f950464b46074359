#include "flows.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Late packets of a closed flow are expected for this long.
constexpr milliseconds closed_kept{2'000};
/// An answered flow without packets no longer counts as work.
constexpr milliseconds answered_idle{1'000};
/// An opening without an answer no longer counts as work: its caller may
/// have given up.
constexpr milliseconds opening_counted{120};
/// A flow without packets is dropped from the count.
constexpr milliseconds silent_kept{20'000};
/// An opening without an answer is dropped.
constexpr milliseconds opening_kept{3'000};
/// A request unanswered for so many times the usual time counts as hanging,
constexpr float hanging_factor = 10;
constexpr milliseconds hanging_least{400};
/// or after this time while the usual time is unknown.
constexpr milliseconds hanging_unknown{1'500};
/// A request unanswered for this time is a sign that its upstream is dead.
constexpr milliseconds silent_after{300};
constexpr std::size_t answers_kept = 1'024;
constexpr float service_weight = 0.15F;
constexpr std::uint32_t served_enough = 4;

auto milliseconds_between(time_point from, time_point to) -> float {
    return std::chrono::duration<float, std::milli>(to - from).count();
}

auto note_served(upstream_observations &seen, float ms) -> void {
    if (seen.served < served_enough)
        seen.service_ms =
            (seen.service_ms * static_cast<float>(seen.served) + ms) /
            static_cast<float>(seen.served + 1);
    else
        seen.service_ms += service_weight * (ms - seen.service_ms);
    ++seen.served;
}

auto note_alive(upstream_observations &seen, time_point now) -> void {
    seen.last_answer = now;
    seen.silent_flows = 0;
}

auto note_asked(upstream_observations &seen, time_point now) -> void {
    if (seen.silent_since <= seen.last_answer)
        seen.silent_since = now;
}

auto note_answered(flow &it, time_point now) -> void {
    it.stage = flow_stage::answered;
    if (it.asked != time_point{})
        it.answer_ms = milliseconds_between(it.asked, now);
}

// What the caller acknowledges has come from the upstream.
auto note_acknowledged(upstream_table &upstreams, flow &it, std::uint32_t bytes,
                       time_point now) -> void {
    if (bytes == it.latest_acknowledged)
        return;
    it.latest_acknowledged = bytes;
    if (it.to != no_upstream)
        note_alive(upstreams.all[it.to].seen, now);
}

auto note_opened(flow_table &flows, upstream_table &upstreams, flow &it,
                 const endpoint &service, time_point now) -> void {
    it.stage = flow_stage::open;
    if (it.to == no_upstream)
        return;
    if (it.tries == 1)
        learn_way(flows.usual[service], milliseconds_between(it.sent, now));
    count_flow(upstreams, it);
    auto &seen = upstreams.all[it.to].seen;
    seen.unanswered = 0;
    note_alive(seen, now);
}

// The whole answer is known when the caller closes the flow or asks again.
auto judge_answer(flow_table &flows, upstream_table &upstreams, const flow &it,
                  const packet_head &head, time_point now) -> void {
    if (it.stage != flow_stage::answered || it.to == no_upstream ||
        it.asked == time_point{})
        return;
    auto &usual = flows.usual[head.ends.service];
    const answer_seen answer{
        .ms = std::max(0.0F, it.answer_ms - usual.way_ms),
        .bytes = static_cast<float>(head.acknowledged - it.acknowledged)};
    if (looks_like_error(usual, answer))
        return note_outcome(upstreams, it.to, request_outcome::error, now);
    note_outcome(upstreams, it.to, request_outcome::answered, now);
    note_served(upstreams.all[it.to].seen, it.answer_ms);
    if (flows.answers_ms.size() < answers_kept)
        flows.answers_ms.push_back(it.answer_ms);
}

auto time_kept(const flow &it) -> milliseconds {
    if (it.stage == flow_stage::closed)
        return closed_kept;
    if (it.stage == flow_stage::opening)
        return opening_kept;
    return silent_kept;
}

auto hanging_after(const flow_table &flows, const endpoint &service)
    -> milliseconds {
    const auto found = flows.usual.find(service);
    if (found == flows.usual.end() || !is_learned(found->second))
        return hanging_unknown;
    const auto &usual = found->second;
    const auto ms =
        static_cast<std::int64_t>(usual.way_ms + usual.ms * hanging_factor);
    return std::max(hanging_least, milliseconds{ms});
}

// A flow counts once a request, as long as nothing came from its upstream.
auto note_silence(upstream_table &upstreams, flow &it, time_point now) -> void {
    if (it.stage != flow_stage::requested || it.silent ||
        it.to == no_upstream || now - it.asked < silent_after)
        return;
    auto &seen = upstreams.all[it.to].seen;
    if (it.asked <= seen.last_answer)
        return;
    it.silent = true;
    ++seen.silent_flows;
}

auto inspect(flow_table &flows, upstream_table &upstreams,
             const flow_ends &ends, flow &it, time_point now) -> void {
    if (it.stage == flow_stage::answered && now - it.last >= answered_idle)
        uncount_flow(upstreams, it);
    if (it.stage == flow_stage::opening && now - it.sent >= opening_counted)
        uncount_flow(upstreams, it);
    note_silence(upstreams, it, now);
    if (it.stage != flow_stage::requested || it.hung ||
        now - it.asked < hanging_least ||
        now - it.asked < hanging_after(flows, ends.service))
        return;
    it.hung = true;
    uncount_flow(upstreams, it);
    const auto may_have_left = it.asked <= flows.moved;
    if (it.to != no_upstream && !may_have_left)
        note_outcome(upstreams, it.to, request_outcome::hanging, now);
}

} // namespace

auto flow_ends_hash::operator()(const flow_ends &it) const -> std::size_t {
    const auto caller = std::uint64_t{it.caller.address} << 16 | it.caller.port;
    const auto service =
        std::uint64_t{it.service.address} << 16 | it.service.port;
    return hash_pair(caller, service);
}

auto find_flow(flow_table &flows, const flow_ends &ends) -> flow * {
    const auto found = flows.all.find(ends);
    return found == flows.all.end() ? nullptr : &found->second;
}

auto add_flow(flow_table &flows, const flow_ends &ends, time_point now)
    -> flow * {
    if (flows.all.size() >= flows.limit) {
        ++flows.overflowed;
        return nullptr;
    }
    auto &it = flows.all[ends];
    it.last = now;
    flows.sweep_order.push_back(ends);
    return &it;
}

auto count_flow(upstream_table &upstreams, flow &it) -> void {
    if (it.counted || it.to == no_upstream)
        return;
    it.counted = true;
    ++upstreams.all[it.to].seen.open;
}

auto uncount_flow(upstream_table &upstreams, flow &it) -> void {
    if (!it.counted)
        return;
    it.counted = false;
    auto &open = upstreams.all[it.to].seen.open;
    if (open > 0)
        --open;
}

auto is_established(const flow &it) -> bool {
    return it.stage != flow_stage::opening && it.stage != flow_stage::closed;
}

auto close_flow(upstream_table &upstreams, flow &it) -> void {
    uncount_flow(upstreams, it);
    it.stage = flow_stage::closed;
}

auto bind_flow(upstream_table &upstreams, flow &it, upstream_index to) -> void {
    uncount_flow(upstreams, it);
    it.to = to;
    it.code = upstreams.all[to].code;
    count_flow(upstreams, it);
}

auto note_packet(flow_table &flows, upstream_table &upstreams, flow &it,
                 const packet_head &head, time_point now) -> void {
    it.last = now;
    if (it.stage == flow_stage::closed)
        return;
    if (it.stage == flow_stage::opening) {
        note_opened(flows, upstreams, it, head.ends.service, now);
        it.acknowledged = head.acknowledged;
        it.latest_acknowledged = head.acknowledged;
    }
    note_acknowledged(upstreams, it, head.acknowledged, now);
    if (it.stage == flow_stage::requested &&
        head.acknowledged != it.acknowledged)
        note_answered(it, now);
    if (head.payload > 0 && it.stage != flow_stage::requested) {
        judge_answer(flows, upstreams, it, head, now);
        it.stage = flow_stage::requested;
        it.asked = now;
        it.hung = false;
        it.silent = false;
        it.acknowledged = head.acknowledged;
        count_flow(upstreams, it);
        if (it.to != no_upstream)
            note_asked(upstreams.all[it.to].seen, now);
    }
    if (head.finishes)
        judge_answer(flows, upstreams, it, head, now);
    if (head.finishes || head.aborts)
        close_flow(upstreams, it);
}

auto sweep_flows(flow_table &flows, upstream_table &upstreams, std::size_t most,
                 time_point now) -> void {
    most = std::min(most, flows.sweep_order.size());
    for (std::size_t i = 0; i < most; ++i) {
        const auto ends = flows.sweep_order.front();
        flows.sweep_order.pop_front();
        const auto found = flows.all.find(ends);
        if (found == flows.all.end())
            continue;
        auto &it = found->second;
        inspect(flows, upstreams, ends, it, now);
        if (now - it.last < time_kept(it)) {
            flows.sweep_order.push_back(ends);
            continue;
        }
        uncount_flow(upstreams, it);
        flows.all.erase(found);
    }
}

} // namespace dogwoodtrack::carried
