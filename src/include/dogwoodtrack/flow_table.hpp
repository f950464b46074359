#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// Source of a flow entry.
enum class flow_role : std::uint8_t {
    /// Taken from an upstream's answer or the owner's reply to a lookup, and
    /// possibly outdated.
    learned,
    /// Placed or adopted by this instance as the owner, or copied from the
    /// owner.
    authoritative
};

/// Connection state of a flow.
enum class flow_phase : std::uint8_t {
    opening,
    established,
    closing, ///< one side has sent a FIN
    closed   ///< both FINs or a RST seen; kept to route late packets
};

/// One flow. Times are in units of `flow_tick` since the start of the packet
/// worker (`packet_state::started`).
struct flow_entry {
    flow_key key;
    /// Upstream that serves the flow. Port 0 means that the flow was forwarded
    /// to the failure domain whose identifier `address` holds.
    endpoint upstream;
    flow_role role = flow_role::learned;
    flow_phase phase = flow_phase::opening;
    /// Who has sent a FIN or RST: bit 0 the caller, bit 1 the upstream.
    std::uint8_t fin_seen = 0;
    bool confirmed : 1 = false;   ///< the upstream has answered
    bool placed_here : 1 = false; ///< this instance selected the upstream
    std::uint32_t last_seen = 0;  ///< time of the last packet
    std::uint32_t opened = 0;     ///< time at which `upstream` was set
    /// Time at which the owner was last told that the flow is still in use.
    std::uint32_t last_refresh = 0;
    std::uint32_t initial_sequence = 0; ///< TCP sequence number of the SYN

    /// Identifier of the failure domain that the flow was forwarded to, or 0
    /// if it was not forwarded.
    auto forwarded_domain() const -> std::uint32_t {
        return upstream.port == 0 ? upstream.address : 0;
    }
};

/// Resolution of the times in `flow_entry`.
inline constexpr milliseconds flow_tick{1};

/// Fixed-size hash table of flows with open addressing and linear probing.
/// Lookups and inserts do not allocate after construction. Not thread safe:
/// one thread uses a table at a time.
class flow_table {
public:
    /// Allocates all slots for `capacity` flows.
    explicit flow_table(std::size_t capacity);

    /// Returns the entry of `key`, or null. The pointer is valid until the next
    /// insert or erase.
    auto find(const flow_key &key) -> flow_entry *;

    /// Returns the entry of `key`, created if absent, or null when the table
    /// is full. The pointer is valid until the next insert or erase.
    auto insert(const flow_key &key) -> flow_entry *;

    /// Removes the entry of `key`, if any.
    auto erase(const flow_key &key) -> void;

    /// Examines `count` slots, starting where the previous call stopped, and
    /// removes the entries for which `expired` returns true.
    auto sweep(std::size_t count,
               const std::function<bool(flow_entry &)> &expired) -> void;

    /// Calls `visit` for every entry. Precondition: `visit` does not insert or
    /// erase.
    auto for_each(const std::function<void(flow_entry &)> &visit) -> void;

    /// Calls `visit` for the entries in the `count` slots that start at slot
    /// `cursor`. Returns the cursor for the next call, or `slots()` if no slots
    /// are left.
    auto visit_from(std::size_t cursor, std::size_t count,
                    const std::function<void(const flow_entry &)> &visit)
        -> std::size_t;

    /// Removes all entries for which `drop` returns true. Allocates a list of
    /// the removed keys.
    auto erase_if(const std::function<bool(const flow_entry &)> &drop) -> void;

    /// Number of flows in the table.
    auto size() const -> std::size_t;
    /// Maximum number of flows.
    auto capacity() const -> std::size_t;
    /// Number of slots, which is larger than `capacity()`.
    auto slots() const -> std::size_t;
    /// Memory used by the slots, in bytes.
    auto bytes() const -> std::size_t;

private:
    // First slot of the probe sequence of `key`.
    auto home_slot(const flow_key &key) const -> std::size_t;
    auto next_slot(std::size_t at) const -> std::size_t;
    // Slot of `key`, or the free slot in which it would be inserted.
    auto locate(const flow_key &key) const -> std::size_t;
    auto erase_at(std::size_t at) -> void;

    std::vector<flow_entry> slots_;
    std::size_t size_ = 0;
    std::size_t capacity_ = 0;
    std::size_t sweep_cursor_ = 0;
};

} // namespace dogwoodtrack
