#include "fleet_world.hpp"

#include <algorithm>
#include <cmath>

namespace dogwoodtrack::model {

auto world::run() -> model_report {
    const auto end = start_ + lead_ + options_.length + seconds{4};
    while (!events_.empty() && events_.top().when <= end) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.when;
        (*next.what)();
    }
    finish();
    return report_;
}

auto world::at(time_point when, std::function<void()> what) -> void {
    events_.push({when, order_++,
                  std::make_shared<std::function<void()>>(std::move(what))});
}

auto world::after(milliseconds delay, std::function<void()> what) -> void {
    at(now_ + delay, std::move(what));
}

auto world::chance() -> double {
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

auto world::make_hosts() -> void {
    for (unsigned i = 0; i < options_.domains * options_.upstreams; ++i) {
        host it;
        it.record = {.id = "u-" + std::to_string(i),
                     .delivery_id = i + 1,
                     .born = 1,
                     .address = {.address = 0x0a800000 + i, .port = 80},
                     .service = bookings,
                     .failure_domain = i % options_.domains,
                     .slots = static_cast<std::uint16_t>(options_.slots)};
        hosts_.push_back(std::move(it));
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i)
        write_entry(i, upstream_state::ready);
    write_configuration();
}

auto world::make_balancers() -> void {
    const auto n = options_.domains * options_.balancers;
    balancers_.resize(n);
    for (unsigned i = 0; i < n; ++i) {
        balancers_[i].state = fresh_blackboard(i, true);
        const milliseconds offset{static_cast<int>(chance() * 9)};
        at(start_ + offset, [this, i] { step(i); });
    }
    at(start_, [this] { check_rotation(); });
}

auto world::fresh_blackboard(unsigned i, bool first) -> blackboard {
    blackboard it;
    it.started = now_;
    it.first_start = first;
    it.apply_within = options_.bound;
    it.members.self = {.address = i + 1,
                       .failure_domain = i % options_.domains,
                       .last_heard = now_};
    it.members.seeds = {1, 2, 3};
    it.members.random.seed(options_.seed * 1'000 + i + 1);
    it.steering.position.failure_domain = i % options_.domains;
    return it;
}

auto world::part_of(std::size_t all, double share) const -> std::size_t {
    return std::min(all, static_cast<std::size_t>(
                             std::lround(share * static_cast<double>(all))));
}

auto world::strike(const fault &it) -> void {
    const auto n = part_of(hosts_.size(), it.share);
    switch (it.kind) {
    case fault_kind::kill_balancers:
        return kill(part_of(balancers_.size(), it.share), it.duration);
    case fault_kind::freeze_balancers:
        return freeze(it);
    case fault_kind::store_unreachable:
        return take_store_away(it.duration);
    case fault_kind::crash_upstreams:
        return crash(n, it.duration);
    case fault_kind::fail_upstreams:
        return mark(n, it.duration, &host::failing);
    case fault_kind::hang_upstreams:
        return mark(n, it.duration, &host::hanging);
    case fault_kind::drain_upstreams:
        for (std::size_t i = 0; i < n; ++i) {
            write_entry(i, upstream_state::draining);
            hosts_[i].left = now_;
        }
        return;
    case fault_kind::cut_domain:
        cut_ = true;
        return after(it.duration, [this] { cut_ = false; });
    case fault_kind::new_configuration:
        return write_configuration();
    }
}

auto world::mark(std::size_t n, milliseconds duration, bool host::*what)
    -> void {
    for (std::size_t i = 0; i < n; ++i)
        hosts_[i].*what = true;
    after(duration, [this, n, what] {
        for (std::size_t i = 0; i < n; ++i)
            hosts_[i].*what = false;
    });
}

auto world::freeze(const fault &it) -> void {
    const auto frozen = balancers_of(0, false);
    const auto n = part_of(frozen.size(), it.share);
    for (std::size_t i = 0; i < n; ++i) {
        balancers_[frozen[i]].frozen = true;
        after(it.duration,
              [this, at = frozen[i]] { balancers_[at].frozen = false; });
    }
}

auto world::kill(std::size_t n, milliseconds down) -> void {
    for (std::size_t i = 0; i < n; ++i) {
        auto &it = balancers_[i];
        it.up = false;
        it.held.clear();
        after(down, [this, i] {
            auto &again = balancers_[i];
            again.state = fresh_blackboard(static_cast<unsigned>(i), false);
            again.newest_configuration = 0;
            ++again.incarnation;
            again.up = true;
            again.next_digest = now_;
        });
    }
}

auto world::crash(std::size_t n, milliseconds duration) -> void {
    for (std::size_t i = 0; i < n; ++i) {
        hosts_[i].dark = true;
        hosts_[i].waiting.clear();
        after(entry_lapse, [this, i] {
            if (hosts_[i].dark)
                write_entry(i, upstream_state::gone);
        });
        after(duration, [this, i] {
            hosts_[i].dark = false;
            ++hosts_[i].record.born;
            write_entry(i, upstream_state::ready);
        });
    }
}

// All entries vanish while the store is away, and come back after it.
auto world::take_store_away(milliseconds duration) -> void {
    store_away_ = true;
    after(duration, [this] {
        store_away_ = false;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            const auto state = hosts_[i].record.state;
            if (state == upstream_state::gone)
                continue;
            write_entry(i, upstream_state::gone);
            after(entry_return, [this, i, state] {
                if (!hosts_[i].dark)
                    write_entry(i, state);
            });
        }
    });
}

auto world::finish() -> void {
    std::size_t most = 0;
    std::size_t sum = 0;
    for (const auto &it : hosts_) {
        most = std::max(most, it.served);
        sum += it.served;
    }
    if (sum > 0)
        report_.busiest_to_mean = static_cast<double>(most) *
                                  static_cast<double>(hosts_.size()) /
                                  static_cast<double>(sum);
    for (const auto &it : balancers_) {
        report_.withdrawals += it.state.counters.withdrawals;
        const auto &current = it.state.steering.in_force;
        if (!current || current->revision != configuration_.revision)
            ++report_.stale_balancers;
    }
}

} // namespace dogwoodtrack::model
