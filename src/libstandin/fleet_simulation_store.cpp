#include "carried/feeds/store_answers.hpp"
#include "fleet_simulation.hpp"

#include <algorithm>

namespace dogwoodtrack::model {

auto simulation::write_entry(std::size_t i, upstream_state state) -> void {
    auto &record = upstreams_[i].record;
    record.state = state;
    record.revision = {.number = ++revision_};
    record.changed_at = record.revision;
    if (state == upstream_state::gone)
        entries_.erase(record.id);
    else
        entries_[record.id] = record;
    history_.push_back(record);
    answer_watches(feed::upstreams);
}

auto simulation::write_configuration() -> void {
    configuration next;
    next.version = ++revision_;
    next.revision = {.number = revision_};
    next.routes.push_back({.address = service_address,
                           .target_latency = options_.target_latency,
                           .services = {{.service = bookings}}});
    sort_routes(next);
    configuration_ = next;
    answer_watches(feed::configuration);
}

auto simulation::write_evacuation(bool removed) -> void {
    evacuation_history_.push_back({.domain = {.name = "first", .domain = 0},
                                   .removed = removed,
                                   .changed_at = {.number = ++revision_}});
    evacuated_since_ = removed ? time_point{} : now_;
    answer_watches(feed::evacuations);
}

auto simulation::count_placement(const simulated_upstream &receiver) -> void {
    if (receiver.record.failure_domain != 0)
        return;
    if (evacuated_since_ != time_point{} &&
        now_ - evacuated_since_ > options_.evacuate_within)
        ++report_.evacuated_placements;
    if (now_ > start_ + warm_up_ + options_.length - seconds{2})
        ++report_.final_placements_in_first_domain;
}

auto simulation::can_reach_store(std::size_t i) const -> bool {
    return !store_unreachable_ && !is_cut_off(domain_of(i));
}

auto simulation::make_store_answer(const store_call &call) const
    -> store_answer {
    store_answer it{.what = call.what, .as_of = {.number = revision_}};
    it.outcome = call.list ? store_outcome::listed : store_outcome::changed;
    it.may_be_stale = call.may_be_stale;
    if (call.what == feed::configuration) {
        if (call.list || configuration_.revision > call.since)
            it.latest_configuration =
                std::make_shared<configuration>(configuration_);
        return it;
    }
    if (call.what == feed::evacuations) {
        for (const auto &entry : evacuation_history_) {
            if (call.list || entry.changed_at > call.since)
                it.evacuations.push_back(entry);
        }
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

auto simulation::start_store_call(std::size_t i, const store_call &call)
    -> void {
    ++report_.store_calls;
    const pending_store_call pending{.balancer = i,
                                     .incarnation = balancers_[i].incarnation,
                                     .call = call,
                                     .deadline = now_ + call.wait};
    if (!can_reach_store(i))
        return schedule_after(store_timeout, [this, pending] {
            deliver_store_answer(pending, false);
        });
    schedule_after(store_latency, [this, pending] {
        if (pending.call.list || has_changes(pending.call))
            return deliver_store_answer(pending, true);
        watches_.push_back(pending);
        schedule_at(pending.deadline, [this, pending] { end_watch(pending); });
    });
}

auto simulation::has_changes(const store_call &call) const -> bool {
    if (call.what == feed::configuration)
        return configuration_.revision > call.since;
    if (call.what == feed::evacuations)
        return !evacuation_history_.empty() &&
               evacuation_history_.back().changed_at > call.since;
    return !history_.empty() && history_.back().revision > call.since;
}

auto simulation::same_watch(const pending_store_call &a,
                            const pending_store_call &b) const -> bool {
    return a.balancer == b.balancer && a.incarnation == b.incarnation &&
           a.call.what == b.call.what && a.deadline == b.deadline;
}

auto simulation::end_watch(const pending_store_call &pending) -> void {
    const auto found = std::find_if(
        watches_.begin(), watches_.end(),
        [&](const pending_store_call &it) { return same_watch(it, pending); });
    if (found == watches_.end())
        return;
    watches_.erase(found);
    deliver_store_answer(pending, can_reach_store(pending.balancer));
}

auto simulation::answer_watches(feed what) -> void {
    std::vector<pending_store_call> kept;
    for (const auto &it : watches_) {
        if (it.call.what != what || !can_reach_store(it.balancer))
            kept.push_back(it);
        else
            schedule_after(store_latency,
                           [this, it] { deliver_store_answer(it, true); });
    }
    watches_ = std::move(kept);
}

auto simulation::deliver_store_answer(const pending_store_call &pending,
                                      bool served) -> void {
    auto &it = balancers_[pending.balancer];
    if (!it.up || it.incarnation != pending.incarnation)
        return;
    const auto result = served ? make_store_answer(pending.call)
                               : store_answer{.what = pending.call.what};
    std::vector<outgoing_message> out;
    on_store_answer(it.state, result, now_, out);
    schedule_next_call(it.state, result, now_);
    send(pending.balancer, out);
}

} // namespace dogwoodtrack::model
