#include "fleet_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace dogwoodtrack::model {

auto simulation::run() -> model_report {
    const auto end = start_ + warm_up_ + options_.length + seconds{4};
    while (!events_.empty() && events_.top().when <= end) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.when;
        (*next.action)();
    }
    complete_report();
    return report_;
}

auto simulation::schedule_at(time_point when, std::function<void()> action)
    -> void {
    events_.push({when, next_event_order_++,
                  std::make_shared<std::function<void()>>(std::move(action))});
}

auto simulation::schedule_after(milliseconds delay,
                                std::function<void()> action) -> void {
    schedule_at(now_ + delay, std::move(action));
}

auto simulation::random_fraction() -> double {
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

auto simulation::make_upstreams() -> void {
    for (unsigned i = 0; i < options_.domains * options_.upstreams; ++i) {
        simulated_upstream it;
        it.record = {.id = "u-" + std::to_string(i),
                     .delivery_id = i + 1,
                     .born = 1,
                     .address = {.address = 0x0a800000 + i, .port = 80},
                     .service = bookings,
                     .failure_domain = i % options_.domains,
                     .slots = static_cast<std::uint16_t>(options_.slots)};
        upstreams_.push_back(std::move(it));
    }
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
        write_entry(i, upstream_state::ready);
    write_configuration();
}

auto simulation::make_balancers() -> void {
    const auto n = options_.domains * options_.balancers;
    balancers_.resize(n);
    for (unsigned i = 0; i < n; ++i) {
        balancers_[i].state = make_blackboard(i, true);
        const milliseconds offset{static_cast<int>(random_fraction() * 9)};
        schedule_at(start_ + offset, [this, i] { step(i); });
    }
    schedule_at(start_, [this] { check_rotation(); });
}

auto simulation::make_blackboard(unsigned i, bool first_start) -> blackboard {
    blackboard it;
    it.started = now_;
    it.first_start = first_start;
    it.apply_within = options_.apply_within;
    set_evacuate_within(it, options_.evacuate_within);
    it.members.self = {.address = i + 1,
                       .failure_domain = i % options_.domains,
                       .last_heard = now_};
    it.members.seeds = {1, 2, 3};
    it.members.random.seed(options_.seed * 1'000 + i + 1);
    it.steering.position.failure_domain = i % options_.domains;
    return it;
}

auto simulation::affected_count(std::size_t all, double share) const
    -> std::size_t {
    return std::min(all, static_cast<std::size_t>(
                             std::lround(share * static_cast<double>(all))));
}

auto simulation::inject_fault(const fault &it) -> void {
    const auto n = affected_count(upstreams_.size(), it.share);
    switch (it.kind) {
    case fault_kind::kill_balancers:
        return kill_balancers(affected_count(balancers_.size(), it.share),
                              it.duration);
    case fault_kind::freeze_balancers:
        return freeze_balancers(it);
    case fault_kind::store_unreachable:
        return start_store_outage(it.duration);
    case fault_kind::crash_upstreams:
        return crash_upstreams(n, it.duration);
    case fault_kind::fail_upstreams:
        return set_flag(n, it.duration, &simulated_upstream::failing);
    case fault_kind::hang_upstreams:
        return set_flag(n, it.duration, &simulated_upstream::hanging);
    case fault_kind::drain_upstreams:
        for (std::size_t i = 0; i < n; ++i) {
            write_entry(i, upstream_state::draining);
            upstreams_[i].draining_since = now_;
        }
        return;
    case fault_kind::cut_domain:
        first_domain_cut_off_ = true;
        return schedule_after(it.duration,
                              [this] { first_domain_cut_off_ = false; });
    case fault_kind::new_configuration:
        return write_configuration();
    case fault_kind::evacuate_domain:
        write_evacuation(false);
        return schedule_after(it.duration, [this] { write_evacuation(true); });
    }
}

auto simulation::set_flag(std::size_t n, milliseconds duration,
                          bool simulated_upstream::*flag) -> void {
    for (std::size_t i = 0; i < n; ++i)
        upstreams_[i].*flag = true;
    schedule_after(duration, [this, n, flag] {
        for (std::size_t i = 0; i < n; ++i)
            upstreams_[i].*flag = false;
    });
}

auto simulation::freeze_balancers(const fault &it) -> void {
    const auto balancers = balancers_of(0, false);
    const auto n = affected_count(balancers.size(), it.share);
    for (std::size_t i = 0; i < n; ++i) {
        balancers_[balancers[i]].frozen = true;
        schedule_after(it.duration, [this, at = balancers[i]] {
            balancers_[at].frozen = false;
        });
    }
}

auto simulation::kill_balancers(std::size_t n, milliseconds downtime) -> void {
    for (std::size_t i = 0; i < n; ++i) {
        auto &it = balancers_[i];
        it.up = false;
        it.held_packets.clear();
        schedule_after(downtime, [this, i] {
            auto &restarted = balancers_[i];
            restarted.state = make_blackboard(static_cast<unsigned>(i), false);
            restarted.last_revision = {};
            ++restarted.incarnation;
            restarted.up = true;
            restarted.next_digest = now_;
        });
    }
}

auto simulation::crash_upstreams(std::size_t n, milliseconds duration) -> void {
    for (std::size_t i = 0; i < n; ++i) {
        upstreams_[i].crashed = true;
        upstreams_[i].queue.clear();
        schedule_after(entry_ttl, [this, i] {
            if (upstreams_[i].crashed)
                write_entry(i, upstream_state::gone);
        });
        schedule_after(duration, [this, i] {
            upstreams_[i].crashed = false;
            ++upstreams_[i].record.born;
            write_entry(i, upstream_state::ready);
        });
    }
}

// All entries expire during the outage, but balancers learn this only when the
// store recovers. The upstreams write their entries again `entry_restore_delay`
// after the recovery.
auto simulation::start_store_outage(milliseconds duration) -> void {
    store_unreachable_ = true;
    schedule_after(duration, [this] {
        store_unreachable_ = false;
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            const auto state = upstreams_[i].record.state;
            if (state == upstream_state::gone)
                continue;
            write_entry(i, upstream_state::gone);
            schedule_after(entry_restore_delay, [this, i, state] {
                if (!upstreams_[i].crashed)
                    write_entry(i, state);
            });
        }
    });
}

auto simulation::complete_report() -> void {
    std::size_t max_served = 0;
    std::size_t total_served = 0;
    for (const auto &it : upstreams_) {
        max_served = std::max(max_served, it.requests_served);
        total_served += it.requests_served;
    }
    if (total_served > 0)
        report_.busiest_to_mean = static_cast<double>(max_served) *
                                  static_cast<double>(upstreams_.size()) /
                                  static_cast<double>(total_served);
    for (const auto &it : balancers_) {
        report_.withdrawals += it.state.counters.withdrawals;
        const auto &current = it.state.steering.in_force;
        if (!current || current->revision != configuration_.revision)
            ++report_.stale_balancers;
    }
}

} // namespace dogwoodtrack::model
