#include "fleet_world.hpp"

namespace dogwoodtrack::model {

auto world::arrive(unsigned domain) -> void {
    const auto mean = 1'000.0 / options_.arrivals_per_second;
    const std::chrono::duration<double, std::milli> gap(
        std::exponential_distribution<double>(1 / mean)(random_));
    const auto next =
        now_ + std::chrono::duration_cast<time_point::duration>(gap);
    if (next < start_ + lead_ + options_.length)
        at(next, [this, domain] { arrive(domain); });
    auto it = std::make_shared<request>();
    it->domain = domain;
    it->began = now_;
    ++report_.asked;
    ++report_.asked_by_second[second_of(*it)];
    at(it->began + options_.deadline, [this, it] { give_up(it); });
    attempt(it);
}

auto world::second_of(const request &it) const -> std::size_t {
    return static_cast<std::size_t>((it.began - start_ - lead_) / seconds{1});
}

auto world::give_up(const request_ptr &it) -> void {
    if (it->done)
        return;
    it->done = true;
    ++report_.failed;
}

auto world::attempt(const request_ptr &it) -> void {
    if (it->done)
        return;
    if (it->tries++ > retries)
        return give_up(it);
    it->port = static_cast<std::uint16_t>(++ports_ % 60'000 + 1);
    it->caller = 0x64400000 + ports_ / 60'000;
    it->answered_opening = false;
    const auto port = it->port;
    send_opening(it, port, 0);
    for (std::size_t i = 0; i < copy_times.size(); ++i)
        after(copy_times[i], [this, it, port, i] {
            send_opening(it, port, static_cast<std::uint32_t>(i + 1));
        });
    after(attempt_time, [this, it, port] {
        if (it->port == port && !it->answered_opening)
            attempt(it);
    });
}

auto world::head_of(const request &it, std::uint16_t port) -> packet_header {
    return {.endpoints = {.caller = {.address = it.caller, .port = port},
                          .service = service_address}};
}

auto world::send_opening(const request_ptr &it, std::uint16_t port,
                         std::uint32_t retransmission) -> void {
    if (it->done || it->port != port || it->answered_opening)
        return;
    const auto i = pick_balancer(*it);
    auto head = head_of(*it, port);
    head.opens = true;
    head.retransmission = retransmission;
    after(to_caller, [this, it, head, i] { take_opening(it, head, i); });
}

auto world::take_opening(const request_ptr &it, const packet_header &head,
                         std::size_t i) -> void {
    auto &by = balancers_[i];
    if (!runs(by))
        return;
    const auto what = steer(by.state.steering, head, now_);
    if (what.kind == verdict_kind::hold)
        by.held.emplace_back(
            now_, [this, it, head, i] { take_opening(it, head, i); });
    if (what.kind == verdict_kind::reject)
        after(to_caller, [this, it, port = head.endpoints.caller.port] {
            if (it->port == port && !it->answered_opening)
                attempt(it);
        });
    if (what.kind != verdict_kind::forward)
        return;
    open_at(it, head, i, what);
    if (head.retransmission > 0)
        return;
    after(opening_retry_delay, [this, it, head, i] {
        const auto again =
            steer_retry(balancers_[i].state.steering, head.endpoints, now_);
        if (runs(balancers_[i]) && again.kind == verdict_kind::forward)
            open_at(it, head, i, again);
    });
}

auto world::host_of(std::size_t i, const verdict &what) const -> std::size_t {
    const auto &upstreams = balancers_[i].state.steering.upstreams;
    return upstreams.all[what.to].record.delivery_id - 1;
}

auto world::open_at(const request_ptr &it, const packet_header &head,
                    std::size_t i, const verdict &what) -> void {
    const auto h = host_of(i, what);
    auto &to = hosts_[h];
    if (to.left != time_point{} && now_ - to.left > options_.bound)
        ++report_.late_placements;
    if (to.dark || separated(domain_of(i), to.record.failure_domain))
        return;
    after(to_upstream + to_caller, [this, it, head, h, code = what.code] {
        if (it->done || it->answered_opening ||
            it->port != head.endpoints.caller.port)
            return;
        it->answered_opening = true;
        ask(it, h, code);
    });
}

// The request goes through a balancer again, which sees only its packet.
auto world::ask(const request_ptr &it, std::size_t h, std::uint32_t code)
    -> void {
    const auto i = pick_balancer(*it);
    auto head = head_of(*it, it->port);
    head.binding = code;
    head.payload = 100;
    head.acknowledged = 1;
    after(to_caller, [this, it, h, i, head] {
        auto &by = balancers_[i];
        if (it->done || it->port != head.endpoints.caller.port)
            return;
        asked_[{head.endpoints.caller.address, head.endpoints.caller.port}] = {
            .request = it, .host = h, .born = hosts_[h].record.born};
        if (!runs(by))
            return after(copy_times[0], [this, it, h, head] {
                if (!it->done && it->port == head.endpoints.caller.port)
                    ask(it, h, head.binding);
            });
        const auto what = steer(by.state.steering, head, now_);
        if (what.kind == verdict_kind::reject)
            return note_reset(head.endpoints, i);
        if (what.kind != verdict_kind::forward ||
            separated(domain_of(i), hosts_[h].record.failure_domain))
            return after(copy_times[0], [this, it, h, head] {
                if (!it->done && it->port == head.endpoints.caller.port)
                    ask(it, h, head.binding);
            });
        after(to_upstream, [this, it, h, i, head] { work(it, h, i, head); });
    });
}

auto world::work(const request_ptr &it, std::size_t h, std::size_t i,
                 const packet_header &head) -> void {
    auto &to = hosts_[h];
    if (to.dark)
        return;
    if (to.hanging) {
        ++report_.hung;
        return;
    }
    if (to.failing)
        return after(milliseconds{1}, [this, it, i, head] {
            ++report_.errors;
            finish_answer(it, i, head, error_bytes, false);
        });
    if (to.busy >= options_.slots && to.waiting.size() >= options_.queue) {
        ++report_.shed;
        return finish_answer(it, i, head, error_bytes, false);
    }
    auto job = [this, it, h, i, head] { run_job(it, h, i, head); };
    if (to.busy >= options_.slots)
        to.waiting.emplace_back(std::move(job));
    else
        job();
}

auto world::run_job(const request_ptr &it, std::size_t h, std::size_t i,
                    const packet_header &head) -> void {
    ++hosts_[h].busy;
    ++hosts_[h].served;
    const auto mean = static_cast<double>(options_.work.count());
    const milliseconds takes{static_cast<std::int64_t>(
        std::exponential_distribution<double>(1 / mean)(random_) + 1)};
    after(takes, [this, it, h, i, head] {
        auto &to = hosts_[h];
        --to.busy;
        if (!to.waiting.empty()) {
            const auto next = std::move(to.waiting.front());
            to.waiting.pop_front();
            next();
        }
        if (!to.dark)
            finish_answer(it, i, head, answer_bytes, true);
    });
}

auto world::finish_answer(const request_ptr &it, std::size_t i,
                          packet_header head, std::uint32_t bytes, bool good)
    -> void {
    head.payload = 0;
    head.acknowledged += bytes;
    head.finishes = true;
    after(to_caller, [this, it, i, head, good] {
        if (runs(balancers_[i]))
            steer(balancers_[i].state.steering, head, now_);
        asked_.erase(
            {head.endpoints.caller.address, head.endpoints.caller.port});
        if (it->done || it->port != head.endpoints.caller.port)
            return;
        if (!good)
            return attempt(it);
        it->done = true;
        if (now_ - it->began > options_.target) {
            ++report_.late;
            return;
        }
        ++report_.in_time;
        ++report_.in_time_by_second[second_of(*it)];
    });
}

} // namespace dogwoodtrack::model
