#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

namespace dogwoodtrack {

/// Network partition simulated by tests: the addresses that this process must
/// not send to, and whether the platform is blocked. Blocks nothing unless the
/// daemon runs with --fault-injection. Thread safe.
class fault_filter {
public:
    /// Maximum number of blocked addresses. `set` ignores the rest.
    static constexpr std::size_t max_addresses = 512;

    /// Replaces the blocked addresses by `addresses`. Blocks access to the
    /// platform if `platform` is true, and unblocks it otherwise.
    auto set(const std::vector<std::uint32_t> &addresses, bool platform)
        -> void {
        count_.store(0);
        const auto n = std::min(max_addresses, addresses.size());
        for (std::size_t i = 0; i < n; ++i)
            addresses_[i].store(addresses[i]);
        count_.store(n);
        platform_.store(platform);
    }

    /// Returns whether packets and messages to `address` are to be dropped.
    auto blocks(std::uint32_t address) const -> bool {
        const auto n = count_.load(std::memory_order_relaxed);
        for (std::size_t i = 0; i < n; ++i) {
            if (addresses_[i].load(std::memory_order_relaxed) == address)
                return true;
        }
        return false;
    }

    /// Returns a flag that is true while the platform is blocked.
    auto blocks_platform() const -> const std::atomic<bool> & {
        return platform_;
    }

private:
    std::array<std::atomic<std::uint32_t>, max_addresses> addresses_{};
    std::atomic<std::size_t> count_{0};
    std::atomic<bool> platform_{false};
};

} // namespace dogwoodtrack
