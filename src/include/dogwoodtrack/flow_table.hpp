#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// How this instance came to know a flow.
enum class flow_role : std::uint8_t {
    learned,      ///< seen in an upstream's answer, may be out of date
    authoritative ///< placed here, or replicated from the owner
};

/// Where a flow is in its life.
enum class flow_phase : std::uint8_t {
    opening,
    established,
    closing, ///< one side has sent its FIN
    closed   ///< both sides ended; kept so that late packets find their way
};

/// One flow. Times count ticks of `flow_tick` since the table was made.
struct flow_entry {
    flow_key key;
    endpoint upstream; ///< address 0 and a domain in `forwarded_domain`
                       ///< when another failure domain took the flow
    flow_role role = flow_role::learned;
    flow_phase phase = flow_phase::opening;
    std::uint8_t fin_seen = 0;    ///< bit 0 caller, bit 1 upstream
    bool confirmed : 1 = false;   ///< its upstream has answered
    bool placed_here : 1 = false; ///< this instance chose the upstream
    std::uint32_t last_seen = 0;
    std::uint32_t opened = 0;
    std::uint32_t last_refresh = 0;
    std::uint32_t initial_sequence = 0;

    /// Hash of the failure domain that took the flow, 0 if this one has it.
    auto forwarded_domain() const -> std::uint32_t {
        return upstream.port == 0 ? upstream.address : 0;
    }
};

/// Resolution of the times in `flow_entry`.
inline constexpr milliseconds flow_tick{1};

/// A fixed-size hash table of flows with open addressing: no allocation
/// after construction. One thread uses a table at a time.
class flow_table {
public:
    /// Room for `capacity` flows, allocated at once.
    explicit flow_table(std::size_t capacity);

    /// The entry of `key`, or null. Valid until the next insert or erase.
    auto find(const flow_key &key) -> flow_entry *;

    /// The entry of `key`, made if absent; null when the table is full.
    auto insert(const flow_key &key) -> flow_entry *;

    /// Removes the entry of `key`, if any.
    auto erase(const flow_key &key) -> void;

    /// Visits up to `count` slots from where the last sweep stopped.
    /// `expired` returns true for entries to remove.
    auto sweep(std::size_t count,
               const std::function<bool(flow_entry &)> &expired) -> void;

    /// Visits every entry; `visit` must not insert or erase.
    auto for_each(const std::function<void(flow_entry &)> &visit) -> void;

    /// Visits occupied slots from `cursor`, at most `count` slots, and
    /// returns the next cursor, `slots()` at the end.
    auto visit_from(std::size_t cursor, std::size_t count,
                    const std::function<void(const flow_entry &)> &visit)
        -> std::size_t;

    /// Removes all entries for which `drop` returns true.
    auto erase_if(const std::function<bool(const flow_entry &)> &drop) -> void;

    auto size() const -> std::size_t;
    auto capacity() const -> std::size_t;
    auto slots() const -> std::size_t;
    /// Bytes of memory held by the table.
    auto bytes() const -> std::size_t;

private:
    auto home_of(const flow_key &key) const -> std::size_t;
    auto next(std::size_t at) const -> std::size_t;
    auto locate(const flow_key &key) const -> std::size_t;
    auto erase_at(std::size_t at) -> void;

    std::vector<flow_entry> slots_;
    std::size_t size_ = 0;
    std::size_t capacity_ = 0;
    std::size_t sweep_at_ = 0;
};

} // namespace dogwoodtrack
