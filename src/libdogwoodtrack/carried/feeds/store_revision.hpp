#pragma once

#include <compare>
#include <cstdint>

namespace dogwoodtrack::carried {

/// A revision of the platform's store. After the store was restored from an
/// older copy its revisions go back and are assigned again, so that numbers are
/// comparable within an era only; a later era is later altogether. There is no
/// conversion from a number, so that a number without its era cannot be
/// compared by accident. Thread safe.
struct store_revision {
    /// Number of times the store was restored. Stores that do not report it
    /// are in era 0.
    std::uint64_t era = 0;
    std::uint64_t number = 0; ///< 0: none

    auto operator<=>(const store_revision &) const = default;
};

} // namespace dogwoodtrack::carried
