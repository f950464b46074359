#pragma once

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "answers.hpp"
#include "fleet.hpp"
#include "probes.hpp"
#include "upstreams.hpp"

namespace dogwoodtrack::carried {

/// How far a peer knows a feed; `age` since the store last showed it.
struct told_version {
    std::uint64_t content = 0;
    std::uint64_t as_of = 0;
    milliseconds age{0};
    bool complete = false;
};

/// A member that a peer has heard of, and how long ago.
struct told_member {
    fleet_member member;
    milliseconds age{0};
};

/// A balancer's sign of life and what it knows, for a few peers.
struct digest_message {
    fleet_member sender;
    std::array<told_version, feed_count> versions;
    std::vector<told_member> members;
    bool wants_state = false; ///< the sender has just started
};

/// Asks for all of a feed that is newer than `since`.
struct pull_message {
    feed what{};
    std::uint64_t since = 0;
};

/// Part of the upstreams that changed after `from`.
struct records_message {
    std::uint64_t from = 0;
    told_version version;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<upstream_record> records;
};

/// Part of one configuration. `settings` is complete but for its routes.
struct routes_message {
    configuration settings;
    told_version version;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
};

/// What the sender's flows met at one upstream since it last told.
struct told_outcome {
    std::uint32_t code = 0;
    outcome_counts counts;
};

/// For the judge of these upstreams in the sender's failure domain.
struct outcomes_message {
    std::vector<told_outcome> items;
};

/// What the sender, as their judge, says of upstreams, for its failure
/// domain.
struct told_judgement {
    std::uint32_t code = 0;
    ejection_status said;
};

struct judgements_message {
    std::vector<told_judgement> items;
};

using peer_message =
    std::variant<digest_message, pull_message, records_message, routes_message,
                 outcomes_message, judgements_message, probe_message>;

/// A message on its way to a peer.
struct outgoing {
    std::uint32_t to = 0; ///< address of the balancer
    peer_message message;
};

/// Adds messages to one balancer.
template <typename Message>
auto add_messages(std::uint32_t to, const std::vector<Message> &messages,
                  std::vector<outgoing> &out) -> void {
    for (const auto &message : messages)
        out.push_back({.to = to, .message = message});
}

/// Largest datagram between balancers, bytes.
inline constexpr std::size_t peer_datagram_limit = 1'300;

/// Protocol-buffer encoding of a message, see proto/carried.proto.
auto encode(const peer_message &message) -> std::string;

/// Decodes a datagram; nothing if it is malformed. Never throws.
auto decode_peer_message(std::span<const char> bytes)
    -> std::optional<peer_message>;

/// Splits records over as many messages as their size asks for.
auto split_records(const std::vector<upstream_record> &records,
                   std::uint64_t from, const told_version &version)
    -> std::vector<records_message>;

/// Splits a configuration over as many messages as its size asks for.
auto split_routes(const configuration &whole, const told_version &version)
    -> std::vector<routes_message>;

} // namespace dogwoodtrack::carried
