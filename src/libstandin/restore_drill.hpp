#pragma once

#include <string>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::standin {

/// Variants of the drill in which the store comes back from an older copy.
enum class drill_kind : std::uint8_t {
    once,             ///< restored while it is cut off
    twice,            ///< cut off again 3 s later, and restored
    half_unreachable, ///< half of the balancers reach it only 5 s later
    restarted,        ///< all balancers restart while it is cut off
    without_header,   ///< does not report its era
    count
};

/// Name of a variant in test output. Thread safe.
auto to_string(drill_kind kind) -> std::string;

/// Number of balancers in a drill.
inline constexpr std::size_t drill_balancers = 4;

/// What was seen in one drill.
struct drill_report {
    std::string problem; ///< why the drill could not be carried out
    /// Largest number of store calls within one second in the ten seconds after
    /// the store's return, and calls whose watch had lost its history.
    std::size_t busiest_second = 0;
    std::size_t lost_histories = 0;
    std::size_t openings = 0;  ///< opening packets sent
    std::size_t delivered = 0; ///< opening packets that reached an upstream
    /// Opening packets that reached an upstream longer than the time bound
    /// after it had begun to drain or its entry had been removed.
    std::size_t misplaced = 0;
    std::size_t refused = 0; ///< resets sent to callers
    /// Balancers that in the end place flows on the upstream that was added
    /// after the copy.
    std::size_t up_to_date = 0;
    /// Lowest of the eras that the balancers report in the end.
    std::uint64_t lowest_era = 0;
};

/// Carries out one drill: starts balancers (the program `daemon`) and a store
/// on loopback addresses that depend on `kind`, and sends a steady load of new
/// flows. After the copy of the store one upstream drains, one is removed and
/// one is added; what was written is lost, and the draining and the added
/// upstream write again after the return. Takes 16 to 20 s, by its pauses.
auto run_restore_drill(drill_kind kind, const std::string &daemon)
    -> drill_report;

} // namespace dogwoodtrack::standin
