#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// Kinds of events on the timeline, which records what happened to this
/// instance and what it observed.
enum class event_kind : std::uint8_t {
    started,
    stopping,
    stopped,
    member_joined,
    member_leaving,
    member_dead,   ///< the member's status changed to `member_status::dead`
    member_gone,   ///< currently never recorded
    domain_cut,    ///< no message from a failure domain within the timeout
    domain_healed, ///< messages from a cut failure domain arrive again
    owner_changed,
    lease_lost, ///< the instance may no longer place flows
    lease_held,
    pause_noticed, ///< the process was suspended for at least the lease time
    sync_started,  ///< copying of flow records from the owner
    sync_done,
    contract_accepted,
    contract_rejected,
    upstream_ejected,
    upstream_returned, ///< its ejection has ended
    condition_set,
    condition_cleared,
    platform_lost, ///< the platform stopped answering
    platform_back, ///< the platform answers again
    stop_deadline_missed,
    count
};

/// Returns the name of an event kind, for example `owner_changed`. Thread safe.
auto to_string(event_kind kind) -> std::string;

/// One event. `stamp` is the time of a hybrid logical clock: milliseconds since
/// the epoch in the upper 48 bits, a counter in the lower 16.
struct timeline_event {
    std::uint64_t stamp = 0;
    event_kind kind{};
    std::string instance; ///< instance that recorded the event
    /// Name of the service, upstream, instance, failure domain, customer or
    /// document concerned, or `platform`.
    std::string subject;
    std::uint64_t generation = 0; ///< of the document concerned, or 0
    std::string detail;
};

/// A hybrid logical clock, which orders the events of all instances: an event
/// caused by a message has a later stamp than that message. Thread safe.
class hybrid_clock {
public:
    /// Returns a stamp later than every stamp returned or observed so far.
    auto next() -> std::uint64_t;
    /// Advances the clock to a stamp received from a peer, if that is later.
    auto observe(std::uint64_t stamp) -> void;

private:
    std::atomic<std::uint64_t> last_{0};
};

/// A buffer of the latest `capacity` events. Thread safe.
class timeline {
public:
    explicit timeline(std::string instance, std::size_t capacity = 4096);

    /// Adds an event with a new stamp and logs it as a JSON line.
    auto record(event_kind kind, const std::string &subject,
                std::uint64_t generation = 0, const std::string &detail = {})
        -> void;

    /// Returns the events with a stamp later than `after`, oldest first.
    auto since(std::uint64_t after) const -> std::vector<timeline_event>;

    auto clock() -> hybrid_clock &;

private:
    std::string instance_;
    std::size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<timeline_event> events_;
    hybrid_clock clock_;
};

/// Severity of a line written by `write_log`. `failure` is written as `error`.
enum class log_level { info, warning, failure };

/// Writes one JSON line to standard error. Thread safe.
auto write_log(log_level level, const std::string &instance,
               const std::string &event, const std::string &subject,
               const std::string &detail) -> void;

} // namespace dogwoodtrack
