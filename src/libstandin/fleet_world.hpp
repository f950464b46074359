#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "carried/rotation.hpp"
#include "carried/shared_outcomes.hpp"
#include "carried/spread.hpp"
#include "carried/steering.hpp"
#include "carried/watch_duty.hpp"
#include "fleet_model.hpp"

namespace dogwoodtrack::model {

using namespace carried;

inline constexpr milliseconds step_interval{10};
inline constexpr milliseconds rotation_interval{500};
/// Checks missed in a row by a balancer that leaves rotation.
inline constexpr unsigned checks_missed = 2;
inline constexpr milliseconds tick_interval{100};
inline constexpr milliseconds to_caller{3};
inline constexpr milliseconds to_upstream{1};
inline constexpr milliseconds store_time{4};
inline constexpr milliseconds store_patience{1'000};
inline constexpr milliseconds entry_lapse{3'600};
inline constexpr milliseconds entry_return{1'500};
inline constexpr milliseconds attempt_time{1'400};
inline constexpr std::array copy_times{milliseconds{200}, milliseconds{600}};
inline constexpr unsigned retries = 2;
inline constexpr std::uint32_t error_bytes = 100;
inline constexpr std::uint32_t answer_bytes = 1'000;
inline const service_key bookings = hash_label("bookings");
inline const endpoint service_address{.address = 0xc6120001, .port = 443};

struct host {
    upstream_record record;
    bool dark = false;
    bool failing = false;
    bool hanging = false;
    time_point left{}; ///< when the store took the news that it leaves
    unsigned busy = 0;
    std::deque<std::function<void()>> waiting;
    std::size_t served = 0;
};

struct waiting_call {
    std::size_t balancer;
    std::uint64_t incarnation;
    store_call call;
    time_point until;
};

struct balancer {
    blackboard state;
    bool up = true;
    bool frozen = false;
    bool in_rotation = false;
    unsigned missed = 0; ///< checks of the fabric in a row
    std::uint64_t incarnation = 1;
    std::uint64_t newest_configuration = 0;
    time_point next_digest{};
    time_point next_look{}; ///< for dead upstreams
    std::vector<std::pair<time_point, std::function<void()>>> held;
};

struct request {
    unsigned domain = 0;
    time_point began;
    unsigned tries = 0;
    bool done = false;
    std::uint16_t port = 0;
    std::uint32_t caller = 0;
    bool answered_opening = false;
};

using request_ptr = std::shared_ptr<request>;

/// A request at one incarnation of an upstream.
struct asked_request {
    request_ptr request;
    std::size_t host = 0;
    std::uint64_t born = 0;
};

/// One play. The callers, the store and the upstreams are played by the
/// functions below; each balancer is a board with the real decision code.
class world {
public:
    explicit world(const model_options &options)
        : options_(options), random_(options.seed) {
        const auto seconds_played =
            static_cast<std::size_t>(options.length / seconds{1}) + 1;
        report_.asked_by_second.resize(seconds_played);
        report_.in_time_by_second.resize(seconds_played);
        make_hosts();
        make_balancers();
        for (const auto &it : options.faults)
            at(start_ + lead_ + it.at, [this, it] { strike(it); });
        for (unsigned i = 0; i < options.domains; ++i)
            at(start_ + lead_, [this, i] { arrive(i); });
    }

    /// Plays until a few seconds after the last arrival.
    auto run() -> model_report;

private:
    struct event {
        time_point when;
        std::uint64_t order;
        std::shared_ptr<std::function<void()>> what;

        auto operator<(const event &other) const -> bool {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    auto at(time_point when, std::function<void()> what) -> void;

    auto after(milliseconds delay, std::function<void()> what) -> void;

    auto chance() -> double;

    auto make_hosts() -> void;

    auto make_balancers() -> void;

    auto fresh_blackboard(unsigned i, bool first) -> blackboard;

    auto write_entry(std::size_t i, upstream_state state) -> void;

    auto write_configuration() -> void;

    auto reaches_store(std::size_t i) const -> bool;

    auto answer_to(const store_call &call) const -> store_answer;

    auto start_call(std::size_t i, const store_call &call) -> void;

    auto has_news(const store_call &call) const -> bool;

    auto same_watch(const waiting_call &a, const waiting_call &b) const -> bool;

    auto end_watch(const waiting_call &waiting) -> void;

    auto answer_watches(feed what) -> void;

    auto answer(const waiting_call &waiting, bool served) -> void;

    auto domain_of(std::size_t i) const -> unsigned;

    auto is_cut(unsigned domain) const -> bool;

    auto separated(unsigned a, unsigned b) const -> bool;

    auto send(std::size_t from, const std::vector<outgoing_message> &out)
        -> void;

    auto deliver(std::size_t from, std::size_t to, const peer_message &message)
        -> void;

    auto step(std::size_t i) -> void;

    auto tick(balancer &it) -> void;

    /// Whether the balancer takes packets and messages.
    static auto runs(const balancer &it) -> bool;

    auto free_callers(std::size_t i) -> void;

    auto note_reset(const flow_endpoints &endpoints, std::size_t i) -> void;

    auto balancers_of(unsigned domain, bool only_in_rotation) const
        -> std::vector<std::size_t>;

    auto freeze(const fault &it) -> void;

    auto check_rotation() -> void;

    auto pick_balancer(const request &it) const -> std::size_t;

    auto arrive(unsigned domain) -> void;

    auto second_of(const request &it) const -> std::size_t;

    auto give_up(const request_ptr &it) -> void;

    auto attempt(const request_ptr &it) -> void;

    static auto head_of(const request &it, std::uint16_t port) -> packet_header;

    auto send_opening(const request_ptr &it, std::uint16_t port,
                      std::uint32_t retransmission) -> void;

    auto take_opening(const request_ptr &it, const packet_header &head,
                      std::size_t i) -> void;

    auto host_of(std::size_t i, const verdict &what) const -> std::size_t;

    auto open_at(const request_ptr &it, const packet_header &head,
                 std::size_t i, const verdict &what) -> void;

    auto ask(const request_ptr &it, std::size_t h, std::uint32_t code) -> void;

    auto work(const request_ptr &it, std::size_t h, std::size_t i,
              const packet_header &head) -> void;

    auto run_job(const request_ptr &it, std::size_t h, std::size_t i,
                 const packet_header &head) -> void;

    auto finish_answer(const request_ptr &it, std::size_t i, packet_header head,
                       std::uint32_t bytes, bool good) -> void;

    auto part_of(std::size_t all, double share) const -> std::size_t;

    auto strike(const fault &it) -> void;

    auto kill(std::size_t n, milliseconds down) -> void;

    auto crash(std::size_t n, milliseconds duration) -> void;

    auto mark(std::size_t n, milliseconds duration, bool host::*what) -> void;

    auto take_store_away(milliseconds duration) -> void;

    auto finish() -> void;

    const model_options options_;
    const milliseconds lead_{5'000};
    const time_point start_{std::chrono::hours{1}};
    time_point now_ = start_;
    std::mt19937_64 random_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::vector<balancer> balancers_;
    std::vector<host> hosts_;
    /// Requests that wait for an answer, by their callers' ends.
    std::map<std::pair<std::uint32_t, std::uint16_t>, asked_request> asked_;
    std::vector<waiting_call> watches_;
    std::map<std::string, upstream_record> entries_;
    std::vector<upstream_record> history_;
    configuration configuration_;
    std::uint64_t revision_ = 0;
    std::uint32_t ports_ = 0;
    bool store_away_ = false;
    bool cut_ = false;
    model_report report_;
};

} // namespace dogwoodtrack::model
