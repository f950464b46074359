#pragma once

#include <array>

#include "carried/feeds/configuration_transfer.hpp"
#include "carried/feeds/feed_progress.hpp"
#include "carried/feeds/reassembly.hpp"
#include "carried/feeds/store.hpp"
#include "carried/feeds/store_era.hpp"
#include "carried/flows/steering.hpp"
#include "carried/load/load_exchange_state.hpp"
#include "carried/members/fleet.hpp"
#include "carried/members/probes.hpp"

namespace dogwoodtrack::carried {

/// State of this balancer's calls to the store for one feed.
struct store_call_state {
    bool in_flight = false;
    /// The store no longer has the changes after `feed_version::as_of`: the
    /// next call lists the whole feed.
    bool needs_list = false;
    /// This balancer has taken over watching the store from the first balancers
    /// by `watch_rank`, which seem to have failed, see `next_store_call`.
    bool taken_over = false;
    /// The era of the last answer was not believed.
    bool ignored = false;
    store_revision since; ///< of the last watch
    time_point started{}; ///< when the last call was started
    milliseconds wait{0}; ///< of the last call, see `store_call::wait`
    /// Where to watch from if the store has gone back without a new era; else
    /// no revision, and `feed_version::as_of` applies.
    store_revision went_back_to;
    unsigned failures = 0; ///< consecutive calls that were refused or failed
    time_point last_failure{};
    /// Part by which this balancer waits longer than a turn after the last
    /// failure, in percent.
    int turn_jitter_percent = 0;
    time_point not_before{}; ///< earliest time of the next call
    /// Time of the last answer other than `refused` or `failed`.
    time_point last_success{};
    /// Latest time at which the store confirmed the feed to another balancer,
    /// as far as peers reported.
    time_point last_peer_confirmation{};
};

/// Whether this balancer has withdrawn from rotation (the set of balancers that
/// receive callers' packets), and the numbers of probe rounds that decide when
/// it withdraws or returns, see `rotation.hpp`.
struct rotation_state {
    bool withdrawn = false;
    /// Consecutive probe rounds in which fewer than half of the balancers of
    /// the own failure domain could serve flows.
    unsigned rounds_degraded = 0;
    /// Consecutive probe rounds in which at least half of those balancers could
    /// serve flows, or too few probe results were known.
    unsigned rounds_recovered = 0;
    /// Consecutive probe rounds in which no other failure domain was able to
    /// take over the own domain's packets.
    unsigned rounds_without_alternative = 0;
};

/// Counters since the start of this balancer, for metrics.
struct blackboard_counters {
    std::array<std::uint64_t, static_cast<std::size_t>(refusal::count)>
        refused{};
    std::uint64_t forwarded = 0; ///< packets sent to upstreams
    /// Opening packets that were also sent to a second upstream.
    std::uint64_t retried_openings = 0;
    /// Packets of established flows whose binding code was that of an upstream
    /// that the flow does not use.
    std::uint64_t corrected_bindings = 0;
    /// Flows reset because their upstream was dead or cut off.
    std::uint64_t flows_reset = 0;
    /// Packets held because the configuration or the upstreams were not known.
    std::uint64_t held = 0;
    std::uint64_t malformed = 0; ///< malformed packets and peer messages
    std::uint64_t store_calls = 0;
    std::uint64_t rejected_entries = 0; ///< unusable entries of the store
    std::uint64_t peer_messages = 0;
    std::uint64_t withdrawals = 0; ///< times this balancer left rotation
};

/// State of this balancer, read and updated by its parts: gossip, probing,
/// rotation, the store watch, outlier detection and packet handling. Not thread
/// safe: all of it belongs to one thread.
struct blackboard {
    steering_state steering;
    fleet members;
    probe_table probes;
    rotation_state rotation;
    store_era_state store_era;
    std::array<feed_version, feed_count> versions{};
    std::array<store_call_state, feed_count> calls{};
    std::array<feed_progress, feed_count> progress{};
    /// When each feed was last requested from a peer, or a part of it last
    /// arrived; reset once all parts have arrived.
    std::array<time_point, feed_count> last_pulled{};
    /// Addresses of starting balancers, and when this balancer last sent them
    /// the feeds that they lacked, or a digest if the state is large.
    boost::unordered_flat_map<std::uint32_t, time_point> bootstrapped_peers;
    /// The messages that are being read arrived after this time, when none was
    /// left unread; default value: they have just arrived.
    time_point unread_since{};
    /// When a peer was last asked about a confirmation that seemed later than
    /// the own one.
    time_point last_asked{};
    configuration_transfer incoming_configuration;
    served_configurations served;
    partial_records incoming_records;
    partial_evacuations incoming_evacuations;
    time_point started{};
    /// Time of the first answer after the store's last outage.
    time_point store_recovered{};
    /// The last call to the store was refused or failed.
    bool store_unreachable = false;
    bool first_start = false; ///< the whole system starts for the first time
    /// Time within which a change accepted by the store has to be in force on
    /// every balancer.
    milliseconds apply_within{3'000};
    bool leaving = false; ///< a planned stop has begun
    blackboard_counters counters;
    /// Time within which an evacuation accepted by the store has to take effect
    /// on every balancer; 0 if the feed is not used. Changed by
    /// `set_evacuate_within`.
    milliseconds evacuate_within{0};
    evacuation_state evacuations;
    load_exchange_state load;
};

auto version_of(blackboard &board, feed what) -> feed_version &;
auto version_of(const blackboard &board, feed what) -> const feed_version &;

/// Whether a feed is read from the store and exchanged with peers. Only the
/// evacuations can be disabled.
auto is_enabled(const blackboard &board, feed what) -> bool;

/// Time within which a change of a feed has to be in force on every balancer.
auto time_bound(const blackboard &board, feed what) -> milliseconds;

/// Whether new flows can be served: all enabled feeds were read at least once,
/// from the store or from a peer.
auto can_serve(const blackboard &board) -> bool;

/// Earliest time at which a message that is read now can have arrived. Ages in
/// it count from this time: it may have lain unread while this balancer stood
/// still.
auto earliest_arrival(const blackboard &board, time_point now) -> time_point;

/// Updates the part of `steering` that is derived from the rest of the
/// blackboard: when the configuration was last confirmed, and the rank of this
/// balancer in its failure domain.
auto refresh_steering(blackboard &board, time_point now) -> void;

/// Time since `since` in milliseconds, for logs and metrics; -1 if `since` is
/// the default value, which stands for never. Thread safe.
auto age_ms(time_point since, time_point now) -> std::int64_t;

} // namespace dogwoodtrack::carried
