#pragma once

#include <optional>
#include <string>
#include <vector>

#include "carried/feeds/peer_messages.hpp"

namespace dogwoodtrack::carried {

/// A set of records that is being received in parts.
struct partial_records {
    std::uint32_t sender = 0;  ///< address of the balancer that sends the set
    store_revision from;       ///< see `records_message::from`
    store_revision as_of;      ///< store revision that the set shows
    std::vector<bool> arrived; ///< which parts were received
    std::size_t missing = 0;   ///< parts not yet received
    /// Identifiers of the upstreams in the parts received.
    std::vector<std::string> ids;
};

/// A set of evacuated failure domains that is being received in parts.
struct partial_evacuations {
    std::uint32_t sender = 0;  ///< address of the balancer that sends the set
    store_revision content;    ///< version of the set
    std::vector<bool> arrived; ///< which parts were received
    std::size_t missing = 0;   ///< parts not yet received
    std::vector<evacuated_domain> domains;
};

/// Marks one part of a set of records as received; returns the sorted
/// identifiers of the upstreams in the set once it is complete. When a part of
/// another set arrives, the parts received before are discarded, unless that
/// other set has only one part. The caller of this function applies the records
/// of every part.
auto add_records_part(partial_records &partial, std::uint32_t sender,
                      const records_message &message)
    -> std::optional<std::vector<std::string>>;

/// Adds one part of a set of evacuated failure domains; returns the set once
/// all parts were received. When a part of another set arrives, the parts
/// received before are discarded.
auto add_evacuations_part(partial_evacuations &partial, std::uint32_t sender,
                          const evacuations_message &message)
    -> std::optional<std::vector<evacuated_domain>>;

} // namespace dogwoodtrack::carried
