#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dogwoodtrack/flow_records.hpp"
#include "dogwoodtrack/routing.hpp"
#include "dogwoodtrack/timeline.hpp"
#include "wire/peer.pb.h"

namespace dogwoodtrack {

/// Settings of the controllers.
struct control_options {
    milliseconds heartbeat{300};
    /// Interval of the heartbeats to other failure domains. It is lengthened if
    /// there are more than two other domains.
    milliseconds domain_heartbeat{600};
    milliseconds load_report{1000}; ///< interval of the load reports
    /// Interval between announcements of the services for which this instance
    /// has become synced. Synced means that it has all their flow records.
    milliseconds sync_announce_interval{3000};
    /// Duration of the placement lease: for this long after the last messages
    /// from a majority of the failure domain, this instance may place flows.
    milliseconds lease{1000};
    /// Time without a message after which a monitored peer counts as dead.
    milliseconds dead_after{1500};
    /// Time without a message from a failure domain after which the domain
    /// counts as cut off. Lengthened by the same factor as `domain_heartbeat`.
    milliseconds domain_cut_after{3000};
    /// Time after the start during which this instance becomes the owner only
    /// of services whose records it has copied from a peer. During that time, a
    /// failure domain counts as reachable even if none of its members is known
    /// to be alive.
    milliseconds settle_time{2500};
    /// Number of peers to which this instance sends heartbeats: its successors
    /// on the ring of the failure domain.
    std::size_t neighbours = 4;
    std::size_t sync_bytes_per_second = 2048;
    bool push_documents = false; ///< send whole documents instead of versions
};

/// Known state of one other balancer.
struct peer_state {
    member info;
    std::string domain_name;
    /// Number of the peer's process, higher after each restart. 0 while the
    /// peer is known only from the platform's list, without its state.
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0; ///< of its state, within the incarnation
    time_point last_heard{};   ///< last message received from it directly
    time_point dead_since{};
    /// Whether this instance is one of the neighbours that the peer sends its
    /// heartbeats to. Only then do missing messages mean that the peer failed.
    bool monitored = false;
    time_point monitored_since{};
    bool graceful = false; ///< has announced that it is leaving
};

/// One document from the platform: a contract (`contract/<customer>`) or a
/// list of instances (`live/<name>`).
struct document {
    std::uint64_t generation = 0;
    std::string json;
};

/// State of an instance as listed by the platform.
struct listed_instance {
    bool ready = true;
    bool terminating = false;
};

/// One balancer as listed by the platform.
struct listed_balancer {
    std::string name;
    std::string failure_domain;
    endpoint link;
    endpoint control;
    listed_instance state;
};

/// Progress of copying one service's records from its owner.
struct sync_progress {
    std::uint32_t source = 0;   ///< member id of the owner
    time_point last_activity{}; ///< last request sent or batch received
};

/// A job that copies one service's records from this instance to a peer.
struct sync_job {
    std::uint32_t peer = 0;
    std::uint32_t service = 0;
    milliseconds age{};     ///< only flows opened or closed within this time
    std::size_t worker = 0; ///< index of the worker to export from
    std::size_t cursor = 0; ///< position in that worker's flow table
    bool export_pending = false; ///< that worker is exporting records
};

/// Health of one upstream: the counters of its `upstream_load` at the previous
/// check, and whether and until when it is ejected.
struct health_state {
    std::uint32_t retransmitted = 0;
    std::uint32_t reset = 0;
    std::uint32_t answered = 0;
    std::uint32_t placed = 0;
    bool ejected = false;
    time_point ejected_until{};
    time_point returned_at{}; ///< end of the last ejection
};

/// The condition `CapacityExhausted` of a service, set and cleared with
/// hysteresis.
struct condition_state {
    /// Time of the first check that found no free capacity. Unchanged while the
    /// condition is set, even if later checks find free capacity. Zero if the
    /// condition is not set and the last check found free capacity.
    time_point exhausted_since{};
    time_point last_exhausted{}; ///< last check that found no free capacity
    bool set = false;
    std::string reason;
};

/// Shared state of the controllers (membership, documents, record sync, health
/// and others), through which they exchange their results. Not thread safe:
/// only the control thread uses it, and the packet workers see the routing
/// views built from it.
struct blackboard {
    control_options options;
    member self;
    std::string domain_name;
    std::uint64_t incarnation = 0; ///< as `peer_state::incarnation`
    std::uint64_t version = 1;     ///< raised with each change of `self`
    bool stopping = false;
    time_point started{};
    time_point last_tick{}; ///< of the control loop; a long gap is a pause
    /// Messages received before this time are discarded, as they may have been
    /// queued while the process was paused.
    time_point ignore_messages_until{};
    /// Time since which the records of `stale_services` may be out of date.
    time_point records_stale_since{};
    /// Services for which this instance was synced until their records became
    /// stale, and whose records it has not copied again since.
    std::set<std::uint32_t> stale_services;

    std::map<std::uint32_t, peer_state> peers;
    /// Pointers into `peers` by failure domain, rebuilt by `index_peers`.
    std::map<std::uint32_t, std::vector<peer_state *>> peers_by_domain;
    /// Size of `peers` when the index was built, 0 to force a rebuild.
    std::size_t indexed_peers = 0;
    /// Other balancers of this domain that the platform lists as ready.
    std::vector<std::uint32_t> listed_in_domain;
    std::uint64_t peers_digest = 0;     ///< of the versions of all peers
    std::uint64_t documents_digest = 0; ///< of the versions of all documents
    std::vector<endpoint> seeds; ///< peers to contact while none is known
    std::map<std::string, document> documents;
    std::vector<contract> contracts;
    std::map<endpoint, listed_instance> listed_upstreams;
    std::map<std::string, listed_balancer> balancers;
    bool balancers_known = false; ///< the platform's list was received

    /// By `route_key` of the upstream.
    std::map<std::uint64_t, std::shared_ptr<upstream_load>> loads;
    /// By service and failure domain, as are `owners` and `owned_since`.
    std::map<std::pair<std::uint32_t, std::uint32_t>,
             std::shared_ptr<domain_load>>
        domain_loads;
    std::map<std::uint64_t, health_state> health; ///< keys as in `loads`
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> owners;
    std::map<std::pair<std::uint32_t, std::uint32_t>, time_point> owned_since;
    std::map<std::uint32_t, sync_progress> syncs; ///< by service
    std::vector<sync_job> sync_jobs;
    double sync_credit = 0; ///< bytes of sync batches that may be sent now
    /// Time of the last message from each failure domain.
    std::map<std::uint32_t, time_point> domain_last_heard;
    std::set<std::uint32_t> cut_domains;
    /// By customer and name of the service, separated by `/`.
    std::map<std::string, condition_state> conditions;
    /// By service and failure domain: time of the owner's last report that the
    /// service has no free capacity in the domain.
    std::map<std::pair<std::uint32_t, std::uint32_t>, time_point>
        exhausted_services;

    placement_lease *lease = nullptr;
    bool lease_was_held = false;
    timeline *events = nullptr;
    std::shared_ptr<const routing_view> view;
    bool view_stale = true; ///< the view has to be rebuilt

    time_point next_controller_tick{};
    time_point next_heartbeat{};
    time_point next_domain_heartbeat{};
    time_point next_load_report{};
    /// Earliest time of the next anti-entropy message: all member states, or
    /// the versions of all documents, to a peer whose digest differs from that
    /// of this instance. Not a limit for a peer that requests states or whose
    /// latest state this instance lacks.
    time_point next_anti_entropy{};
    /// Services for which this instance has all flow records but has not yet
    /// announced to its peers that it is synced.
    std::vector<std::uint32_t> newly_synced;
    time_point next_sync_announcement{};
    /// Number of rounds of heartbeats to other failure domains. It selects the
    /// member of each domain that is contacted next.
    std::size_t domain_rotation = 0;
};

/// A message to the control endpoint of a peer.
struct outgoing_message {
    endpoint to;
    wire::Envelope message;
};

/// A request to the packet workers.
struct worker_request {
    enum class kind {
        import_records,
        export_records,
        /// Erases flows that this instance placed and no upstream has answered.
        erase_unconfirmed,
        erase_service_records ///< all records of one service
    };
    kind operation{};
    std::size_t worker = 0; ///< index of the worker, for `export_records`
    std::vector<flow_record> records;
    endpoint service;
    transport protocol = transport::tcp;
    milliseconds age{};     ///< as `sync_job::age`
    std::size_t cursor = 0; ///< as `sync_job::cursor`
};

/// Messages to peers and requests to packet workers that the controllers have
/// issued and that the control loop has yet to send.
struct control_actions {
    std::vector<outgoing_message> messages;
    std::vector<worker_request> requests;
};

/// Queues a message for `peer`.
auto send_to(control_actions &actions, const peer_state &peer,
             wire::Envelope message) -> void;

/// Returns this instance and the peers whose state has been received.
auto all_members(const blackboard &board) -> std::vector<member>;

/// Returns the service with this identifier in the current view, or null.
auto service_by_id(const blackboard &board, std::uint32_t id)
    -> const service_route *;

/// Returns whether this instance has all records of the service's flows in this
/// failure domain, whether or not it has announced this to its peers.
auto is_synced(const blackboard &board, std::uint32_t service) -> bool;

} // namespace dogwoodtrack
