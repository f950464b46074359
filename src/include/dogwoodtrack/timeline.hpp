#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// Kinds of events on the time line.
enum class event_kind : std::uint8_t {
    started,
    stopping,
    stopped,
    member_joined,
    member_leaving,
    member_dead,
    member_gone,
    domain_cut,
    domain_healed,
    owner_changed,
    lease_lost,
    lease_held,
    pause_noticed,
    sync_started,
    sync_done,
    contract_accepted,
    contract_rejected,
    upstream_ejected,
    upstream_returned,
    condition_set,
    condition_cleared,
    platform_lost,
    platform_back,
    stop_deadline_missed,
    count
};

/// Returns the name of an event kind, for example `owner_changed`. Thread safe.
auto to_string(event_kind kind) -> std::string;

/// One event. `stamp` is a hybrid logical clock: milliseconds since the
/// epoch in the upper 48 bits, a counter in the lower 16.
struct timeline_event {
    std::uint64_t stamp = 0;
    event_kind kind{};
    std::string instance; ///< instance that recorded the event
    std::string subject;  ///< service, upstream, instance or customer
    std::uint64_t generation = 0;
    std::string detail;
};

/// A hybrid logical clock. Thread safe.
class hybrid_clock {
public:
    /// Returns a stamp later than every stamp returned or observed so far.
    auto next() -> std::uint64_t;
    /// Advances the clock to a stamp received from a peer, if that is later.
    auto observe(std::uint64_t stamp) -> void;

private:
    std::atomic<std::uint64_t> last_{0};
};

/// A bounded buffer of events that discards the oldest. Thread safe.
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

/// Severity of a log line.
enum class log_level { info, warning, failure };

/// Writes one JSON line to standard error. Thread safe.
auto write_log(log_level level, const std::string &instance,
               const std::string &event, const std::string &subject,
               const std::string &detail) -> void;

} // namespace dogwoodtrack
