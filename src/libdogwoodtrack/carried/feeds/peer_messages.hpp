#pragma once

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "carried/feeds/configuration_blocks.hpp"
#include "carried/feeds/evacuation_types.hpp"
#include "carried/feeds/load_messages.hpp"
#include "carried/members/fleet.hpp"
#include "carried/members/probes.hpp"
#include "carried/upstreams/outlier_ejection.hpp"
#include "carried/upstreams/upstreams.hpp"

namespace dogwoodtrack::carried {

/// Version of a feed as reported by a peer, see `feed_version`.
struct reported_version {
    store_revision content;
    store_revision as_of;
    milliseconds age{0}; ///< since the store last confirmed `as_of`
    bool complete = false;
    store_revision removals_since;
    /// When the receiver asked for this version, by its own clock; default
    /// value: it did not ask. The version and its age are at least as recent,
    /// however long the message was under way or lay unread.
    time_point asked_at{};
};

/// A member as reported by a peer.
struct reported_member {
    fleet_member member;
    milliseconds age{0}; ///< since any balancer last heard from it
};

/// Heartbeat of a balancer with a summary of its state, sent to a few peers.
struct digest_message {
    fleet_member sender;
    std::array<reported_version, feed_count> versions;
    std::vector<reported_member> members;
    /// The sender has not received the complete state since its start.
    bool wants_state = false;
    /// The sender follows a load plan that admits only a part of the new flows.
    bool limit_binds = false;
    /// Time of sending by the sender's clock, if the sender wants to be told of
    /// versions and confirmations that are later than its own.
    time_point asked_at{};
};

/// Requests everything in a feed that changed after store revision `since`.
struct pull_message {
    feed what{};
    store_revision since;
    time_point asked_at{}; ///< time of sending by the sender's clock
};

/// One part of the upstream records that changed after store revision `from`. A
/// set without `from` has all upstreams that the sender knows.
struct records_message {
    store_revision from;
    reported_version version;
    std::uint32_t part = 0;  ///< index of this part
    std::uint32_t parts = 1; ///< number of parts
    std::vector<upstream_record> records;
};

/// A configuration that fits into one datagram.
struct routes_message {
    configuration whole;
    reported_version version;
};

/// A larger configuration, whose routes are requested in blocks, see
/// `configuration_blocks.hpp`.
struct outline_message {
    configuration_outline outline;
    reported_version version;
};

/// Requests blocks of a configuration. Those that the receiver does not have
/// are left out.
struct block_request_message {
    std::vector<block_name> names;
};

/// A block of a configuration.
struct block_message {
    configuration_block block;
};

/// Request outcomes of the sender's flows at one upstream since the sender's
/// last report.
struct reported_outcome {
    std::uint32_t code = 0; ///< binding code of the upstream
    outcome_counts counts;
};

/// Request outcomes at several upstreams, sent to the balancer that is the
/// outlier detector of these upstreams in the sender's failure domain.
struct outcomes_message {
    std::vector<reported_outcome> items;
};

/// Ejection status of one upstream, decided by the sender as the outlier
/// detector of that upstream.
struct reported_ejection {
    std::uint32_t code = 0; ///< binding code of the upstream
    ejection_status status;
};

/// Ejection statuses of several upstreams, sent by the outlier detector of
/// these upstreams to the other balancers of its failure domain.
struct judgements_message {
    std::vector<reported_ejection> items;
};

/// One part of the set of evacuated failure domains.
struct evacuations_message {
    reported_version version;
    std::uint32_t part = 0;  ///< index of this part
    std::uint32_t parts = 1; ///< number of parts
    std::vector<evacuated_domain> domains;
};

using peer_message =
    std::variant<digest_message, pull_message, records_message, routes_message,
                 outcomes_message, judgements_message, probe_message,
                 evacuations_message, load_report_message, load_plan,
                 domain_loads_message, outline_message, block_request_message,
                 block_message>;

/// Name of the kind of a message in logs, for example `digest`. Thread safe.
auto message_name(const peer_message &message) -> std::string_view;

/// A message to be sent to a peer.
struct outgoing_message {
    std::uint32_t to = 0; ///< address of the receiving balancer
    peer_message message;
};

/// Appends `messages`, addressed to the balancer `to`, to `out`.
template <typename Message>
auto add_messages(std::uint32_t to, const std::vector<Message> &messages,
                  std::vector<outgoing_message> &out) -> void {
    for (const auto &message : messages)
        out.push_back({.to = to, .message = message});
}

/// Largest datagram between balancers, in bytes.
inline constexpr std::size_t max_peer_datagram_size = 1'300;

/// Encodes a message as a protocol buffer, see proto/carried.proto. Thread
/// safe.
auto encode(const peer_message &message) -> std::string;

/// Decodes a datagram. Returns nothing if it is malformed. Does not throw.
/// Thread safe.
auto decode_peer_message(std::span<const char> bytes)
    -> std::optional<peer_message>;

/// Splits `records`, which changed after store revision `from`, into as many
/// messages as the datagram limit requires, at least one. Thread safe.
auto split_records(const std::vector<upstream_record> &records,
                   const store_revision &from, const reported_version &version)
    -> std::vector<records_message>;

/// Whether a configuration fits into one datagram, as a `routes_message`.
/// Thread safe.
auto fits_one_datagram(const configuration &whole) -> bool;

/// Splits a set of evacuated failure domains into as many messages as the
/// datagram limit requires, at least one. Thread safe.
auto split_evacuations(const std::vector<evacuated_domain> &domains,
                       const reported_version &version)
    -> std::vector<evacuations_message>;

} // namespace dogwoodtrack::carried
