#include "fleet_world.hpp"

#include <algorithm>

namespace dogwoodtrack::model {

auto world::write_entry(std::size_t i, upstream_state state) -> void {
    auto &record = hosts_[i].record;
    record.state = state;
    record.revision = ++revision_;
    record.changed_at = revision_;
    if (state == upstream_state::gone)
        entries_.erase(record.id);
    else
        entries_[record.id] = record;
    history_.push_back(record);
    answer_watches(feed::upstreams);
}

auto world::write_configuration() -> void {
    configuration next;
    next.version = ++revision_;
    next.revision = revision_;
    next.routes.push_back({.address = service_address,
                           .target_latency = options_.target,
                           .services = {{.service = bookings}}});
    sort_routes(next);
    configuration_ = next;
    answer_watches(feed::configuration);
}

auto world::reaches_store(std::size_t i) const -> bool {
    return !store_away_ && !is_cut(domain_of(i));
}

auto world::answer_to(const store_call &call) const -> store_answer {
    store_answer it{.what = call.what, .as_of = revision_};
    it.outcome = call.list ? store_outcome::listed : store_outcome::changed;
    it.may_be_stale = call.may_be_stale;
    if (call.what == feed::configuration) {
        if (call.list || configuration_.revision > call.since)
            it.settings = std::make_shared<configuration>(configuration_);
        return it;
    }
    if (call.list) {
        for (const auto &[id, record] : entries_)
            it.records.push_back(record);
        return it;
    }
    for (const auto &record : history_) {
        if (record.revision > call.since)
            it.records.push_back(record);
    }
    return it;
}

auto world::start_call(std::size_t i, const store_call &call) -> void {
    ++report_.store_calls;
    const waiting_call waiting{.balancer = i,
                               .incarnation = balancers_[i].incarnation,
                               .call = call,
                               .until = now_ + call.wait};
    if (!reaches_store(i))
        return after(store_patience,
                     [this, waiting] { answer(waiting, false); });
    after(store_time, [this, waiting] {
        if (waiting.call.list || has_news(waiting.call))
            return answer(waiting, true);
        watches_.push_back(waiting);
        at(waiting.until, [this, waiting] { end_watch(waiting); });
    });
}

auto world::has_news(const store_call &call) const -> bool {
    if (call.what == feed::configuration)
        return configuration_.revision > call.since;
    return !history_.empty() && history_.back().revision > call.since;
}

auto world::same_watch(const waiting_call &a, const waiting_call &b) const
    -> bool {
    return a.balancer == b.balancer && a.incarnation == b.incarnation &&
           a.call.what == b.call.what && a.until == b.until;
}

auto world::end_watch(const waiting_call &waiting) -> void {
    const auto found = std::find_if(
        watches_.begin(), watches_.end(),
        [&](const waiting_call &it) { return same_watch(it, waiting); });
    if (found == watches_.end())
        return;
    watches_.erase(found);
    answer(waiting, reaches_store(waiting.balancer));
}

auto world::answer_watches(feed what) -> void {
    std::vector<waiting_call> kept;
    for (const auto &it : watches_) {
        if (it.call.what != what || !reaches_store(it.balancer))
            kept.push_back(it);
        else
            after(store_time, [this, it] { answer(it, true); });
    }
    watches_ = std::move(kept);
}

auto world::answer(const waiting_call &waiting, bool served) -> void {
    auto &it = balancers_[waiting.balancer];
    if (!it.up || it.incarnation != waiting.incarnation)
        return;
    const auto result = served ? answer_to(waiting.call)
                               : store_answer{.what = waiting.call.what};
    std::vector<outgoing_message> out;
    on_store_answer(it.state, result, now_, out);
    schedule_next_call(it.state, result, now_);
    send(waiting.balancer, out);
}

} // namespace dogwoodtrack::model
