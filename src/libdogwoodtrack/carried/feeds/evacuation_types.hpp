#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "carried/feeds/store_revision.hpp"

namespace dogwoodtrack::carried {

/// A failure domain whose upstreams get no new flows.
struct evacuated_domain {
    std::string name;         ///< name of the store's entry
    std::uint32_t domain = 0; ///< `hash_name` of the failure domain

    auto operator<=>(const evacuated_domain &) const = default;
};

/// Entry of the store that requests the evacuation of a failure domain, or the
/// removal of such an entry.
struct evacuation_entry {
    evacuated_domain domain;
    bool removed = false;
    /// Store revision of the entry's last change or, if it is removed, a
    /// revision at which it is known to be removed.
    store_revision changed_at;
};

/// The set of evacuated failure domains. The set is the store's from the
/// revision `feed_version::content` of the feed to its `as_of`.
struct evacuation_state {
    std::vector<evacuated_domain> domains; ///< sorted
    /// Those in `domains` that a restored store did not list. They stay until
    /// their entry is written or removed in the era of the store.
    std::vector<evacuated_domain> kept;
    std::uint64_t changes = 0; ///< of `domains`, since the start
    /// Names in `domains` that were reported as unknown, see
    /// `take_unknown_evacuations`.
    std::vector<std::string> reported_unknown;
    /// Value of `changes` when unknown names were last looked for.
    std::uint64_t unknown_checked = 0;
    /// Value of `changes` when a refusal because of evacuations was last
    /// logged.
    std::uint64_t refusal_logged = 0;
};

} // namespace dogwoodtrack::carried
