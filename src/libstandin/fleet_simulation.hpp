#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "carried/feeds/evacuations.hpp"
#include "carried/feeds/gossip.hpp"
#include "carried/feeds/store_watch.hpp"
#include "carried/flows/steering.hpp"
#include "carried/members/rotation.hpp"
#include "carried/upstreams/outlier_detection.hpp"
#include "fleet_model.hpp"

namespace dogwoodtrack::model {

using namespace carried;

/// Interval at which each balancer runs its control loop.
inline constexpr milliseconds step_interval{10};
/// Interval at which the fabric checks whether each balancer runs and reports
/// that it is in rotation.
inline constexpr milliseconds rotation_check_interval{500};
/// Consecutive checks that a balancer has to fail before the fabric takes it
/// out of rotation.
inline constexpr unsigned max_missed_checks = 2;
/// Interval at which each balancer resets the flows of upstreams that it has
/// found dead or cut off.
inline constexpr milliseconds reset_check_interval{100};
/// One-way latency between callers and balancers or upstreams.
inline constexpr milliseconds caller_latency{3};
/// One-way latency between balancers, and from balancers to upstreams.
inline constexpr milliseconds internal_latency{1};
/// Time that the store takes to answer a call or to report a change to a watch.
inline constexpr milliseconds store_latency{4};
/// Time after which a call to an unreachable store fails.
inline constexpr milliseconds store_timeout{1'000};
/// Time from the crash of an upstream until the store drops the upstream's
/// entry.
inline constexpr milliseconds entry_ttl{3'600};
/// Time from the end of a store outage until upstreams have written their
/// entries again.
inline constexpr milliseconds entry_restore_delay{1'500};
/// Time after which a caller starts the next attempt if its opening packet is
/// unanswered. A balancer that resumes after it was frozen for this time drops
/// the opening packets that it held.
inline constexpr milliseconds attempt_timeout{1'400};
/// Times after the start of an attempt at which its opening packet is
/// retransmitted. The first one is also the time after which a request packet
/// that did not reach the upstream is retransmitted.
inline constexpr std::array retransmission_delays{milliseconds{200},
                                                  milliseconds{600}};
/// Attempts that a caller makes for a request in addition to the first one.
inline constexpr unsigned max_retries = 2;
/// Sizes of an error response and of a successful one.
inline constexpr std::uint32_t error_response_bytes = 100;
inline constexpr std::uint32_t response_bytes = 1'000;
inline const service_key bookings = hash_name64("bookings");
inline const endpoint service_address{.address = 0xc6120001, .port = 443};

/// An upstream and the faults injected into it.
struct simulated_upstream {
    upstream_record record;
    bool crashed = false;
    bool failing = false;
    bool hanging = false;
    /// When the store recorded that this upstream drains; default value: not
    /// draining.
    time_point draining_since{};
    unsigned busy_slots = 0; ///< requests being processed
    /// Requests that wait for a free slot.
    std::deque<std::function<void()>> queue;
    std::size_t requests_served = 0;
};

/// A store call that awaits its answer. The answer is dropped if the balancer
/// has restarted, that is, has another incarnation.
struct pending_store_call {
    std::size_t balancer;
    std::uint64_t incarnation;
    store_call call;
    time_point deadline; ///< when a watch ends without a change
};

/// A balancer process and the fabric's view of it.
struct simulated_balancer {
    blackboard state;
    bool up = true;
    bool frozen = false;
    bool in_rotation = false;
    unsigned missed_checks = 0;    ///< consecutive failed rotation checks
    std::uint64_t incarnation = 1; ///< rises with each restart
    /// Revision of the configuration that the balancer used last.
    store_revision last_revision;
    time_point next_digest{};
    time_point next_reset_check{};
    /// Opening packets that the balancer holds: when it last steered each, and
    /// a function that steers the packet again.
    std::vector<std::pair<time_point, std::function<void()>>> held_packets;
};

/// A caller's request. Each attempt uses a flow of its own.
struct simulated_request {
    unsigned domain = 0;
    time_point started;
    unsigned attempts = 0;  ///< attempts started
    bool done = false;      ///< answered successfully or given up
    std::uint16_t port = 0; ///< caller's port in the current attempt
    std::uint32_t caller_address = 0;
    /// Whether the opening packet of the current attempt was answered.
    bool established = false;
};

using request_ptr = std::shared_ptr<simulated_request>;

/// A request sent to one incarnation of an upstream.
struct pending_request {
    request_ptr request;
    std::size_t upstream = 0;
    std::uint64_t born = 0; ///< the upstream's incarnation
};

/// Discrete-event simulation of a fleet. This class simulates the callers, the
/// store, the upstreams and the fabric. Each balancer is a blackboard that the
/// production decision code reads and updates. Not thread safe.
class simulation {
public:
    explicit simulation(const model_options &options)
        : options_(options), random_(options.seed) {
        const auto traffic_seconds =
            static_cast<std::size_t>(options.length / seconds{1}) + 1;
        report_.asked_by_second.resize(traffic_seconds);
        report_.in_time_by_second.resize(traffic_seconds);
        make_upstreams();
        make_balancers();
        for (const auto &it : options.faults)
            schedule_at(start_ + warm_up_ + it.at,
                        [this, it] { inject_fault(it); });
        for (unsigned i = 0; i < options.domains; ++i)
            schedule_at(start_ + warm_up_, [this, i] { handle_arrival(i); });
    }

    /// Runs until 4 s after the end of the traffic and returns the report.
    /// Preconditions: not called before; `options.deadline` is at most 4 s, so
    /// that every request ends within the run.
    auto run() -> model_report;

private:
    struct event {
        time_point when;
        std::uint64_t order; ///< orders events of the same time
        std::shared_ptr<std::function<void()>> action;

        // Reversed, so that the priority queue yields the earliest event.
        auto operator<(const event &other) const -> bool {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    auto schedule_at(time_point when, std::function<void()> action) -> void;

    auto schedule_after(milliseconds delay, std::function<void()> action)
        -> void;

    auto random_fraction() -> double;

    auto make_upstreams() -> void;

    auto make_balancers() -> void;

    auto make_blackboard(unsigned i, bool first_start) -> blackboard;

    /// Sets the state of an upstream and writes its entry in the store. If
    /// `state` is `gone`, erases the entry instead.
    auto write_entry(std::size_t i, upstream_state state) -> void;

    auto write_configuration() -> void;

    auto can_reach_store(std::size_t i) const -> bool;

    auto make_store_answer(const store_call &call) const -> store_answer;

    auto start_store_call(std::size_t i, const store_call &call) -> void;

    auto has_changes(const store_call &call) const -> bool;

    auto same_watch(const pending_store_call &a,
                    const pending_store_call &b) const -> bool;

    /// Ends a watch at its deadline, unless it was answered before.
    auto end_watch(const pending_store_call &pending) -> void;

    /// Answers the watches of a feed after a change. Watches of balancers that
    /// cannot reach the store stay open.
    auto answer_watches(feed what) -> void;

    /// Gives a balancer the answer to its call, or a failure if `served` is
    /// false. Does nothing if the balancer has been killed since the call.
    auto deliver_store_answer(const pending_store_call &pending, bool served)
        -> void;

    auto domain_of(std::size_t i) const -> unsigned;

    /// Whether a failure domain is cut off from the store and other domains.
    auto is_cut_off(unsigned domain) const -> bool;

    auto are_partitioned(unsigned a, unsigned b) const -> bool;

    auto send(std::size_t from, const std::vector<outgoing_message> &out)
        -> void;

    auto deliver(std::size_t from, std::size_t to, const peer_message &message)
        -> void;

    /// Runs the control loop of a balancer once and schedules the next run.
    auto step(std::size_t i) -> void;

    auto refresh_balancer(simulated_balancer &it) -> void;

    /// Whether the balancer is up and not frozen, so that it handles packets
    /// and messages.
    static auto is_running(const simulated_balancer &it) -> bool;

    auto reset_dead_flows(std::size_t i) -> void;

    auto handle_reset(const flow_endpoints &endpoints, std::size_t balancer)
        -> void;

    auto balancers_of(unsigned domain, bool only_in_rotation) const
        -> std::vector<std::size_t>;

    auto freeze_balancers(const fault &it) -> void;

    /// Checks all balancers as the fabric does, updates which of them are in
    /// rotation, and schedules the next check.
    auto check_rotation() -> void;

    auto pick_balancer(const simulated_request &request) const -> std::size_t;

    /// Starts a request in a failure domain and schedules the next one.
    auto handle_arrival(unsigned domain) -> void;

    /// Second of the traffic in which a request started.
    auto arrival_second(const simulated_request &request) const -> std::size_t;

    auto fail_request(const request_ptr &request) -> void;

    auto start_attempt(const request_ptr &request) -> void;

    static auto header_of(const simulated_request &request, std::uint16_t port)
        -> packet_header;

    auto send_opening(const request_ptr &request, std::uint16_t port,
                      std::uint32_t retransmission) -> void;

    auto handle_opening(const request_ptr &request, const packet_header &header,
                        std::size_t balancer) -> void;

    auto upstream_of(std::size_t balancer, const verdict &decision) const
        -> std::size_t;

    auto forward_opening(const request_ptr &request,
                         const packet_header &header, std::size_t balancer,
                         const verdict &decision) -> void;

    auto send_request(const request_ptr &request, std::size_t upstream,
                      std::uint32_t code) -> void;

    auto handle_request(const request_ptr &request, std::size_t upstream,
                        std::size_t balancer, const packet_header &header)
        -> void;

    auto serve_request(const request_ptr &request, std::size_t upstream,
                       std::size_t balancer, const packet_header &header)
        -> void;

    auto send_response(const request_ptr &request, std::size_t balancer,
                       packet_header header, std::uint32_t bytes, bool success)
        -> void;

    /// `share` of `all` balancers or upstreams, rounded to a whole number.
    auto affected_count(std::size_t all, double share) const -> std::size_t;

    auto inject_fault(const fault &it) -> void;

    auto kill_balancers(std::size_t n, milliseconds downtime) -> void;

    auto crash_upstreams(std::size_t n, milliseconds duration) -> void;

    /// Sets a flag of the first `n` upstreams for the given duration.
    auto set_flag(std::size_t n, milliseconds duration,
                  bool simulated_upstream::*flag) -> void;

    auto start_store_outage(milliseconds duration) -> void;

    /// Writes or removes the entry that evacuates the first failure domain.
    auto write_evacuation(bool removed) -> void;

    /// Counts an opening packet that a balancer forwards to an evacuated domain
    /// too late, or to the first domain near the end of the traffic.
    auto count_placement(const simulated_upstream &receiver) -> void;

    auto complete_report() -> void;

    const model_options options_;
    /// Time before the start of the traffic, in which the balancers read the
    /// configuration and the upstreams from the store.
    const milliseconds warm_up_{5'000};
    const time_point start_{std::chrono::hours{1}}; ///< of the simulation
    time_point now_ = start_;
    std::mt19937_64 random_;
    std::priority_queue<event> events_;
    std::uint64_t next_event_order_ = 0;
    std::vector<simulated_balancer> balancers_;
    std::vector<simulated_upstream> upstreams_;
    /// Requests that await a response, by the caller's address and port.
    std::map<std::pair<std::uint32_t, std::uint16_t>, pending_request>
        pending_requests_;
    std::vector<pending_store_call> watches_;
    std::map<std::string, upstream_record> entries_;
    std::vector<upstream_record> history_; ///< all changes of entries
    configuration configuration_;
    std::vector<evacuation_entry> evacuation_history_; ///< all changes
    /// When the evacuation of the first domain began; default value: it is not
    /// evacuated.
    time_point evacuated_since_{};
    std::uint64_t revision_ = 0;
    /// Number of attempts of all callers so far. It determines the address and
    /// port of the next attempt, so that each attempt has a flow of its own.
    std::uint32_t attempt_count_ = 0;
    bool store_unreachable_ = false;
    bool first_domain_cut_off_ = false;
    model_report report_;
};

} // namespace dogwoodtrack::model
