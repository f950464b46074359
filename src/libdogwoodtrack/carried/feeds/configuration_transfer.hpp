#pragma once

#include <deque>

#include <boost/unordered/unordered_flat_set.hpp>

#include "carried/feeds/configuration_blocks.hpp"
#include "carried/feeds/peer_messages.hpp"

namespace dogwoodtrack::carried {

/// Transfer of a configuration from a peer. The receiver asks for the blocks
/// that it lacks, a few at a time, and asks again for those that do not arrive.
/// Blocks that have arrived stay good for the next version. Not thread safe.
struct configuration_transfer {
    /// The configuration that is being received; no revision: none.
    configuration_outline target;
    reported_version version; ///< reported with `target`
    std::uint32_t source = 0; ///< address of the peer that is asked
    /// Blocks received for this target or earlier ones.
    boost::unordered_flat_map<block_name, configuration_block> received;
    /// Blocks of the target that were neither received nor known before.
    boost::unordered_flat_set<block_name> wanted;
    /// Blocks to be asked for, in order; some may no longer be wanted.
    std::deque<block_name> queue;
    /// Blocks that were asked for, and when.
    boost::unordered_flat_map<block_name, time_point> asked;
    std::size_t window = 0; ///< blocks that may be asked for at a time
    std::uint64_t blocks_received = 0;
    std::uint64_t blocks_repeated = 0; ///< asked for again
};

/// The configurations that this balancer passes on: the one in force, cut into
/// blocks when it is first needed, and the ones before it, whose transfers to
/// others may be under way. Not thread safe.
using served_configurations = std::deque<std::shared_ptr<const block_tree>>;

/// The configuration in force, cut into blocks. Precondition: `in_force` is not
/// null.
auto blocks_in_force(served_configurations &served,
                     const std::shared_ptr<const configuration> &in_force)
    -> const block_tree &;

/// The block of this name among the configurations passed on, or null.
auto find_block(const served_configurations &served, block_name name)
    -> const configuration_block *;

/// Begins to receive the configuration that a peer has outlined, or goes on
/// with it from this peer, and requests blocks. Returns the configuration if
/// all of its blocks are known already, else null.
auto begin_transfer(configuration_transfer &transfer,
                    const served_configurations &served, std::uint32_t from,
                    const outline_message &message, time_point now,
                    std::vector<outgoing_message> &out)
    -> std::shared_ptr<configuration>;

/// Adds a block that has arrived and requests further ones. Returns the
/// configuration once it is complete, else null. Blocks that are not wanted are
/// ignored.
auto add_block(configuration_transfer &transfer,
               const served_configurations &served,
               const configuration_block &block, time_point now,
               std::vector<outgoing_message> &out)
    -> std::shared_ptr<configuration>;

/// Requests blocks again that have not arrived within `block_timeout`.
auto repeat_block_requests(configuration_transfer &transfer, time_point now,
                           std::vector<outgoing_message> &out) -> void;

/// Ends the transfer of a configuration that is no longer needed. Blocks stay.
auto end_transfer(configuration_transfer &transfer) -> void;

/// Whether a configuration is being received.
auto is_active(const configuration_transfer &transfer) -> bool;

/// Time after which a block that has not arrived is requested again.
inline constexpr milliseconds block_timeout{100};

} // namespace dogwoodtrack::carried
