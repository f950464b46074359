#include "spread_model.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>

#include "carried/feeds/gossip.hpp"
#include "carried/feeds/store_answers.hpp"
#include "carried/feeds/store_watch.hpp"

namespace dogwoodtrack::model {

namespace {

using namespace carried;

constexpr milliseconds step_interval{10};
constexpr milliseconds warm_up{7'000};
/// Time after the last version in which it may still come into force.
constexpr milliseconds final_wait{10'000};
constexpr milliseconds latency{4};
/// Time without an answer after which a call to the store fails, in addition to
/// the wait of a watch.
constexpr milliseconds store_timeout{1'000};
constexpr milliseconds restart_time{1'000};
/// Longest time that a message waits for its link; others are lost.
constexpr milliseconds max_link_queue{100};
constexpr std::size_t socket_buffer_size = 1 << 19;
constexpr std::size_t datagram_header_size = 28;
/// Sizes of the store's answers, in bytes.
constexpr std::size_t stored_route_size = 240;
constexpr std::size_t empty_answer_size = 200;
constexpr double bytes_per_mbit = 125'000;
constexpr double large_link_mbps = 200;
constexpr std::uint16_t large_capacity = 500;
constexpr std::uint16_t small_capacity = 38;

/// One direction of a balancer's link.
struct simulated_link {
    double bytes_per_second = 0;
    time_point free_at{};

    // Returns when a message of this size has passed, if its wait is at most
    // `longest_wait`.
    auto pass(std::size_t size, time_point now, milliseconds longest_wait)
        -> std::optional<time_point> {
        const auto begin = std::max(now, free_at);
        if (begin - now > longest_wait)
            return std::nullopt;
        free_at =
            begin + std::chrono::duration_cast<monotonic::duration>(
                        std::chrono::duration<double>(
                            static_cast<double>(size) / bytes_per_second));
        return free_at;
    }
};

struct spread_balancer {
    blackboard state;
    simulated_link outgoing;
    simulated_link incoming;
    bool up = true;
    bool frozen = false;
    bool cut_off = false;
    std::uint64_t incarnation = 1; ///< rises with each restart
    /// What arrived while the balancer was frozen, in order.
    std::vector<std::function<void()>> socket;
    std::size_t socket_size = 0; ///< bytes of datagrams in `socket`
    time_point next_digest{};
    time_point last_read{};    ///< of the configuration in the store
    time_point undisturbed{};  ///< end of the last fault
    std::size_t in_force = 0;  ///< versions known to be in force here
    std::uint64_t version = 0; ///< in force when last checked
    std::size_t bytes_sent = 0;
};

struct spread_watch {
    std::size_t balancer;
    std::uint64_t incarnation;
    store_call call;
    time_point started;
};

class spread_simulation {
public:
    explicit spread_simulation(const spread_options &options)
        : options_(options), random_(options.seed) {
        make_balancers();
        write_version();
        for (auto at = warm_up; at < warm_up + options.length;
             at += options.change_interval)
            at_time(start_ + at, [this] { write_version(); });
        for (auto at = warm_up - milliseconds{500};
             options.fault != watcher_fault::none &&
             at < warm_up + options.length;
             at += options.fault_interval)
            at_time(start_ + at, [this] { strike_watchers(); });
        for (auto at = warm_up - options.fault_length;
             options.frozen_share > 0 && at < warm_up + options.length;
             at += options.freeze_interval)
            at_time(start_ + at, [this] { freeze_at_random(); });
    }

    auto run() -> spread_report {
        const auto end = start_ + warm_up + options_.length + final_wait;
        while (!events_.empty() && events_.begin()->first <= end) {
            const auto next = events_.extract(events_.begin());
            now_ = next.key();
            next.mapped()();
        }
        complete_report();
        return report_;
    }

private:
    auto at_time(time_point when, std::function<void()> action) -> void {
        events_.emplace(when, std::move(action));
    }

    auto random_fraction() -> double {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    auto make_balancers() -> void {
        balancers_.resize(std::size_t{options_.domains} * options_.balancers);
        for (std::size_t i = 0; i < balancers_.size(); ++i) {
            auto &it = balancers_[i];
            it.state = make_blackboard(i, true);
            const auto mbps =
                is_large(i) ? large_link_mbps : options_.link_mbps;
            it.outgoing.bytes_per_second = mbps * bytes_per_mbit;
            it.incoming.bytes_per_second = mbps * bytes_per_mbit;
            at_time(start_ + milliseconds{i % 9}, [this, i] { step(i); });
        }
    }

    auto is_large(std::size_t i) const -> bool {
        return i / options_.domains < 2;
    }

    auto make_blackboard(std::size_t i, bool first_start) const -> blackboard {
        blackboard it;
        it.started = now_;
        it.first_start = first_start;
        it.apply_within = options_.apply_within;
        it.members.self = {
            .address = static_cast<std::uint32_t>(i + 1),
            .failure_domain = static_cast<std::uint32_t>(i % options_.domains),
            .capacity = is_large(i) ? large_capacity : small_capacity,
            .last_heard = now_};
        it.members.seeds = {1, 2, 3};
        it.members.random.seed(
            static_cast<unsigned>(options_.seed * 1'000 + i) + 1);
        return it;
    }

    // ---- store

    auto write_version() -> void {
        const auto n = written_.size() + 1;
        auto next = std::make_shared<configuration>(
            written_.empty() ? configuration{} : *written_.back());
        next->version = n;
        next->revision = {.number = 100 + n};
        while (next->routes.size() < options_.routes)
            next->routes.push_back(make_route(next->routes.size()));
        for (std::size_t i = 0; i < options_.changed_routes; ++i) {
            auto &route = next->routes[(n * options_.changed_routes + i) %
                                       next->routes.size()];
            route.timeout = milliseconds{static_cast<std::int64_t>(n) * 10};
        }
        sort_routes(*next);
        written_.push_back(std::move(next));
        acknowledged_.push_back(now_);
        for (const auto &it : std::exchange(watches_, {}))
            answer(it, latency);
    }

    static auto make_route(std::size_t i) -> route_spec {
        constexpr std::uint32_t first_address = 0xc6120001;
        constexpr std::size_t ports = 50;
        return {.address = {.address = first_address +
                                       static_cast<std::uint32_t>(i / ports),
                            .port = static_cast<std::uint16_t>(i % ports + 1)},
                .target_latency = milliseconds{500},
                .timeout = milliseconds{4'000},
                .services = {{.service = hash_name64("bookings")}}};
    }

    auto start_call(std::size_t i, const store_call &call) -> void {
        const spread_watch it{.balancer = i,
                              .incarnation = balancers_[i].incarnation,
                              .call = call,
                              .started = now_};
        if (call.what == feed::configuration) {
            ++report_.store_calls;
            balancers_[i].last_read = now_;
        }
        if (balancers_[i].cut_off)
            return at_time(now_ + store_timeout + call.wait,
                           [this, it] { deliver_answer(it, false); });
        if (call.list || has_change(call))
            return answer(it, 2 * latency);
        at_time(now_ + latency + call.wait, [this, it] { end_watch(it); });
        watches_.push_back(it);
    }

    auto has_change(const store_call &call) const -> bool {
        return call.what == feed::configuration &&
               written_.back()->revision > call.since;
    }

    auto end_watch(const spread_watch &ended) -> void {
        const auto found = std::find_if(
            watches_.begin(), watches_.end(), [&](const spread_watch &it) {
                return it.balancer == ended.balancer &&
                       it.incarnation == ended.incarnation &&
                       it.started == ended.started &&
                       it.call.what == ended.call.what;
            });
        if (found == watches_.end())
            return;
        watches_.erase(found);
        answer(ended, latency);
    }

    // Sends the answer through the balancer's link.
    auto answer(const spread_watch &it, milliseconds delay) -> void {
        auto &receiver = balancers_[it.balancer];
        const auto size = it.call.list || has_change(it.call)
                              ? stored_route_size * options_.routes
                              : empty_answer_size;
        const auto result =
            std::make_shared<store_answer>(make_answer(it.call));
        const auto arrival = receiver.incoming.pass(
            size, now_ + delay, milliseconds::max() / 2'000'000);
        at_time(*arrival,
                [this, it, result] { deliver_answer(it, true, result); });
    }

    auto make_answer(const store_call &call) const -> store_answer {
        store_answer it{.what = call.what,
                        .outcome = call.list ? store_outcome::listed
                                             : store_outcome::changed,
                        .as_of = written_.back()->revision,
                        .may_be_stale = call.may_be_stale};
        if (call.what == feed::configuration && (call.list || has_change(call)))
            it.latest_configuration =
                std::make_shared<configuration>(*written_.back());
        return it;
    }

    // An answer that arrives while the balancer is cut off is held up until the
    // call fails.
    auto deliver_answer(const spread_watch &to, bool served,
                        const std::shared_ptr<store_answer> &result = nullptr)
        -> void {
        auto &it = balancers_[to.balancer];
        if (!it.up || it.incarnation != to.incarnation)
            return;
        if (it.frozen) {
            it.socket.emplace_back([this, to, served, result] {
                deliver_answer(to, served, result);
            });
            return;
        }
        if (served && it.cut_off)
            return at_time(
                std::max(now_, to.started + to.call.wait + store_timeout),
                [this, to] { deliver_answer(to, false); });
        const auto received =
            served ? *result : store_answer{.what = to.call.what};
        std::vector<outgoing_message> out;
        on_store_answer(it.state, received, now_, out);
        schedule_next_call(it.state, received, now_);
        send(to.balancer, out);
    }

    // ---- messages

    auto send(std::size_t from, const std::vector<outgoing_message> &out)
        -> void {
        auto &sender = balancers_[from];
        for (const auto &it : out) {
            const std::size_t to = it.to - 1;
            auto buf = std::make_shared<std::string>(encode(it.message));
            const auto size = buf->size() + datagram_header_size;
            const auto sent = sender.outgoing.pass(size, now_, max_link_queue);
            sender.bytes_sent += sent && now_ >= start_ + warm_up ? size : 0;
            if (!sent || to >= balancers_.size() || sender.cut_off ||
                random_fraction() < options_.loss)
                continue;
            at_time(*sent + latency,
                    [this, from, to, buf] { arrive(from, to, buf); });
        }
    }

    auto arrive(std::size_t from, std::size_t to,
                const std::shared_ptr<std::string> &buf) -> void {
        auto &it = balancers_[to];
        const auto size = buf->size() + datagram_header_size;
        const auto passed = it.incoming.pass(size, now_, max_link_queue);
        if (!passed || it.cut_off)
            return;
        at_time(*passed, [this, from, to, buf] { receive(from, to, buf); });
    }

    auto receive(std::size_t from, std::size_t to,
                 const std::shared_ptr<std::string> &buf) -> void {
        auto &it = balancers_[to];
        if (!it.up)
            return;
        if (it.frozen) {
            if (it.socket_size + buf->size() > socket_buffer_size)
                return;
            it.socket_size += buf->size();
            it.socket.emplace_back(
                [this, from, to, buf] { receive(from, to, buf); });
            return;
        }
        const auto message = decode_peer_message({buf->data(), buf->size()});
        std::vector<outgoing_message> out;
        if (message)
            on_peer_message(it.state, static_cast<std::uint32_t>(from + 1),
                            *message, now_, out);
        send(to, out);
    }

    auto step(std::size_t i) -> void {
        at_time(now_ + step_interval, [this, i] { step(i); });
        auto &it = balancers_[i];
        if (!it.up || it.frozen)
            return;
        for (const auto &arrived : std::exchange(it.socket, {}))
            arrived();
        it.socket_size = 0;
        it.state.unread_since = now_;
        for (const auto what : {feed::configuration, feed::upstreams}) {
            if (const auto call = next_store_call(it.state, what, now_))
                start_call(i, *call);
        }
        std::vector<outgoing_message> repeated;
        repeat_requests(it.state, now_, repeated);
        send(i, repeated);
        if (now_ >= it.next_digest) {
            it.next_digest = now_ + digest_interval;
            std::vector<outgoing_message> out;
            send_digests(it.state, now_, out);
            send(i, out);
        }
        check_in_force(it);
    }

    // ---- faults

    auto strike_watchers() -> void {
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < balancers_.size(); ++i) {
            const auto &it = balancers_[i];
            if (it.up && !it.frozen && !it.cut_off)
                order.push_back(i);
        }
        std::sort(order.begin(), order.end(), [&](auto a, auto b) {
            return balancers_[a].last_read > balancers_[b].last_read;
        });
        order.resize(std::min(order.size(), options_.faulted));
        for (const auto i : order)
            strike(i);
    }

    auto freeze_at_random() -> void {
        for (std::size_t i = 0; i < balancers_.size(); ++i) {
            const auto &it = balancers_[i];
            if (it.up && !it.frozen &&
                random_fraction() < options_.frozen_share)
                disturb(i, &spread_balancer::frozen);
        }
    }

    auto strike(std::size_t i) -> void {
        if (options_.fault == watcher_fault::freeze)
            return disturb(i, &spread_balancer::frozen);
        if (options_.fault == watcher_fault::cut_off)
            return disturb(i, &spread_balancer::cut_off);
        balancers_[i].up = false;
        at_time(now_ + restart_time, [this, i] { restart(i); });
    }

    // Sets a flag of a balancer for the length of a fault.
    auto disturb(std::size_t i, bool spread_balancer::*flag) -> void {
        balancers_[i].*flag = true;
        at_time(now_ + options_.fault_length, [this, i, flag] {
            balancers_[i].*flag = false;
            balancers_[i].undisturbed = now_;
        });
    }

    auto restart(std::size_t i) -> void {
        auto &it = balancers_[i];
        it.state = make_blackboard(i, false);
        it.socket.clear();
        it.socket_size = 0;
        ++it.incarnation;
        it.version = 0;
        it.up = true;
        it.next_digest = now_;
        it.undisturbed = now_;
    }

    // ---- results

    auto check_in_force(spread_balancer &it) -> void {
        const auto &current = it.state.steering.in_force;
        if (!current)
            return;
        if (current->version < it.version)
            ++report_.regressions;
        if (current->version == it.version)
            return;
        it.version = current->version;
        if (current->routes.size() != options_.routes ||
            !is_as_written(*current))
            ++report_.corrupted;
        while (it.in_force < current->version && !it.cut_off)
            note_delay(it, it.in_force++);
    }

    auto is_as_written(const configuration &current) const -> bool {
        const auto &written = written_.at(current.version - 1)->routes;
        return std::equal(written.begin(), written.end(),
                          current.routes.begin(),
                          [](const route_spec &a, const route_spec &b) {
                              return a.address == b.address &&
                                     a.timeout == b.timeout &&
                                     a.services.size() == b.services.size();
                          });
    }

    // Versions of the warm-up do not count.
    auto note_delay(const spread_balancer &it, std::size_t version) -> void {
        const auto since = std::max(acknowledged_[version], it.undisturbed);
        if (acknowledged_[version] >= start_ + warm_up)
            report_.delays.push_back(
                std::chrono::ceil<milliseconds>(now_ - since));
    }

    auto complete_report() -> void {
        std::size_t all = 0;
        std::size_t busiest = 0;
        for (auto &it : balancers_) {
            while (it.in_force < written_.size())
                note_delay(it, it.in_force++);
            all += it.bytes_sent;
            busiest = std::max(busiest, it.bytes_sent);
        }
        const auto time =
            std::chrono::duration<double>(options_.length + final_wait).count();
        report_.bytes_per_second = static_cast<double>(all) / time /
                                   static_cast<double>(balancers_.size());
        report_.busiest_bytes_per_second = static_cast<double>(busiest) / time;
        std::sort(report_.delays.begin(), report_.delays.end());
        if (!report_.delays.empty())
            report_.longest = report_.delays.back();
    }

    spread_options options_;
    std::mt19937 random_;
    const time_point start_{std::chrono::hours{1}};
    time_point now_ = start_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<spread_balancer> balancers_;
    std::vector<spread_watch> watches_;
    /// All versions of the configuration, and when they were acknowledged.
    std::vector<std::shared_ptr<configuration>> written_;
    std::vector<time_point> acknowledged_;
    spread_report report_;
};

} // namespace

auto simulate_spread(const spread_options &options) -> spread_report {
    return spread_simulation(options).run();
}

} // namespace dogwoodtrack::model
