#pragma once

#include <array>
#include <string_view>
#include <vector>

#include "carried/admission/caller_history.hpp"
#include "carried/admission/opening_queue.hpp"
#include "carried/load/load_plan_state.hpp"

namespace dogwoodtrack::carried {

/// What became of an opening to which a limit applied, for metrics.
enum class admission_outcome : std::uint8_t {
    admitted,            ///< on arrival
    admitted_from_queue, ///< after waiting
    no_room,             ///< rejected on arrival
    displaced,           ///< rejected in favour of another opening
    caller_cap,          ///< rejected because its caller has others that wait
    expired,             ///< rejected after waiting in vain
    count                ///< number of values above
};

/// Name of an outcome in metrics. Precondition: `outcome` is not `count`.
/// Thread safe.
auto to_string(admission_outcome outcome) -> std::string_view;

/// Numbers of openings by outcome and priority.
using admission_counters =
    std::array<std::array<std::uint64_t, priority_count>,
               static_cast<std::size_t>(admission_outcome::count)>;

/// Admission of one priority of one service.
struct admission_class {
    /// Error of the admissions on arrival: each opening adds its part, each
    /// admission takes 1.
    float credit = 0;
    /// Admissions left for queued openings: those of openings that were
    /// expected and did not arrive, and of openings that had to give way. Below
    /// 0 if more openings arrived than expected.
    float spare = 0;
    float rate = 0;             ///< openings per second in the previous window
    std::uint32_t arrivals = 0; ///< in the current window
    time_point window_began{};
    time_point updated{};
};

/// Admission of one service to which a limit applies.
struct service_admission {
    std::array<admission_class, priority_count> classes{};
    time_point last_limited{}; ///< when the limit was last seen to apply
};

/// The limit began or ceased to apply to the openings of a service.
struct admission_change {
    service_key service = 0;
    bool limited = false;
};

/// Admission of this balancer. Not thread safe.
struct admission_state {
    bool enabled = false;
    /// Initial `admission_class::credit`, from 0 to 1. It differs between
    /// balancers, so that they do not all reject their first openings of a
    /// small fraction.
    float phase = 0.5F;
    /// Services to which a limit applies or did a short time ago.
    boost::unordered_flat_map<service_key, service_admission> services;
    /// Changes of the keys of `services` that were not taken for logging yet.
    std::vector<admission_change> changes;
    caller_history callers;
    opening_queue queue;
    /// Displaced openings that `take_due_openings` has not returned yet.
    std::vector<queued_opening> displaced;
    admission_counters counters{};
};

enum class admission_decision : std::uint8_t { admit, queue, reject };

/// Value for `admission_state::phase` of the balancer with this address. Thread
/// safe.
auto admission_phase(std::uint32_t address) -> float;

/// An opening to be decided about.
struct opening_request {
    const packet_header &header;
    service_key service = 0;
    std::uint8_t priority = 0; ///< of the route
    milliseconds target_latency{0};
};

/// Part of the new flows of a priority that the plan admits, from 0 to 1; 1
/// without a plan or if the plan's value is not a number. `priority` is an
/// index, see `priority_index`. Thread safe.
auto admit_fraction(const service_plan *plan, std::size_t priority) -> float;

/// Whether the plan admits less than all new flows of any priority. Thread
/// safe.
auto is_limited(const service_plan *plan) -> bool;

/// Decides about an opening that is not known yet. With a fraction of 1 or
/// without a plan it is admitted and no state is touched. Otherwise the
/// fraction of the openings is admitted, evenly spaced (error diffusion).
/// Openings that follow a rejection of their caller, and a part of the openings
/// of a greedy caller, do not count; their part of the fraction goes to queued
/// openings, which they may become. The others are queued if there is a
/// prospect of admission in time, else rejected. A returning opening is
/// admitted from the queue after a delay that depends on its endpoints, so that
/// a crowd that was rejected at once does not return at once. `queue` means
/// that the opening is queued now or was before; the packet is to be stored by
/// `store_queued_packet`.
auto decide_opening(admission_state &it, const opening_request &request,
                    const service_plan *plan, time_point now)
    -> admission_decision;

/// Queued openings about which a decision was made.
struct due_openings {
    std::vector<queued_opening> admitted;
    std::vector<queued_opening> rejected;
};

/// Removes and returns the queued openings that are admitted or have to be
/// rejected now. Without a limit all of them are admitted.
auto take_due_openings(admission_state &it, const load_plan_state &plans,
                       time_point now) -> due_openings;

/// Removes the services to which no limit has applied for `limit_memory`.
auto forget_unlimited(admission_state &it, const load_plan_state &plans,
                      time_point now) -> void;

/// Whether `take_due_openings` has something to decide.
auto has_openings(const admission_state &it) -> bool;

/// A limit that did not apply for this time has ceased to apply. Plans follow
/// one another within 250 ms to 1 s and may alternate at the limit.
inline constexpr milliseconds limit_memory{2'000};

/// Interval between calls of `take_due_openings` while openings are queued.
inline constexpr milliseconds queue_interval{8};

} // namespace dogwoodtrack::carried
