#pragma once

#include <cstdint>

namespace dogwoodtrack::carried {

/// Whether a message with `sequence` was sent before the latest one from the
/// same balancer, which has `latest`. A much lower number means that the sender
/// was restarted: a new incarnation counts from 1. Once what the latest message
/// said has expired, any number is accepted. Thread safe.
constexpr auto is_outdated(std::uint32_t sequence, std::uint32_t latest,
                           bool expired) -> bool {
    return sequence < latest && sequence > latest / 2 && !expired;
}

} // namespace dogwoodtrack::carried
