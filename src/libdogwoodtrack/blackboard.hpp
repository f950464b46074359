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
    /// Interval of the heartbeats to other domains; longer if there are more
    /// than two.
    milliseconds domain_heartbeat{600};
    milliseconds load_report{1000};
    /// Between announcements of newly synced services.
    milliseconds sync_announce_interval{3000};
    milliseconds lease{1000};
    milliseconds dead_after{1500};
    milliseconds domain_cut_after{3000};
    /// Time after the start in which this instance does not become owner
    /// without copied records, and in which failure domains without known
    /// members count as reachable.
    milliseconds settle_time{2500};
    std::size_t neighbours = 4;
    std::size_t sync_bytes_per_second = 2048;
    bool push_documents = false; ///< send whole documents instead of versions
};

/// Known state of one other balancer.
struct peer_state {
    member info;
    std::string domain_name;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    time_point last_heard{}; ///< last message received from it directly
    time_point silent_since{};
    /// Whether this instance receives its heartbeats. Only then does missing
    /// contact mean that the peer failed.
    bool monitored = false;
    time_point monitored_since{};
    bool graceful = false; ///< announced that it is leaving
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
    std::uint32_t source = 0;
    time_point requested{};
};

/// A job that copies one service's records from this instance to a peer.
struct sync_job {
    std::uint32_t peer = 0;
    std::uint32_t service = 0;
    milliseconds age{};
    std::size_t worker = 0;
    std::size_t cursor = 0;
    bool waiting = false; ///< a worker is exporting records
};

/// Health of one upstream: its counters at the previous check, and whether
/// and until when it is ejected.
struct health_state {
    std::uint32_t retried = 0;
    std::uint32_t reset = 0;
    std::uint32_t answered = 0;
    std::uint32_t placed = 0;
    bool ejected = false;
    time_point ejected_until{};
    time_point returned_at{};
};

/// A status condition of a service, set and cleared with hysteresis.
struct condition_state {
    time_point violated_since{};
    time_point last_violated{};
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
    std::uint64_t incarnation = 0;
    std::uint64_t version = 1;
    bool stopping = false;
    time_point started{};
    time_point last_tick{};
    /// Until then, messages are discarded: they were queued during a pause.
    time_point ignore_messages_until{};
    /// Since then, the records of `stale_services` may be out of date.
    time_point records_stale_since{};
    std::set<std::uint32_t> stale_services;

    std::map<std::uint32_t, peer_state> peers;
    /// The same peers by failure domain, rebuilt when a peer is added.
    std::map<std::uint32_t, std::vector<peer_state *>> peers_by_domain;
    std::size_t indexed_peers = 0;
    /// Balancers of this domain that the platform lists as ready.
    std::vector<std::uint32_t> listed_in_domain;
    std::uint64_t peers_digest = 0;     ///< of the states of all peers
    std::uint64_t documents_digest = 0; ///< of the versions of all documents
    std::vector<endpoint> seeds;
    std::map<std::string, document> documents;
    std::vector<contract> contracts;
    std::map<endpoint, listed_instance> listed_upstreams;
    std::map<std::string, listed_balancer> balancers;
    bool balancers_known = false;

    std::map<std::uint64_t, std::shared_ptr<upstream_load>> loads;
    std::map<std::pair<std::uint32_t, std::uint32_t>,
             std::shared_ptr<domain_load>>
        domain_loads;
    std::map<std::uint64_t, health_state> health;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> owners;
    std::map<std::pair<std::uint32_t, std::uint32_t>, time_point> owned_since;
    std::map<std::uint32_t, sync_progress> syncs;
    std::vector<sync_job> sync_jobs;
    double sync_credit = 0;
    std::map<std::uint32_t, time_point> domain_last_heard;
    std::set<std::uint32_t> cut_domains;
    std::map<std::string, condition_state> conditions;
    /// By service and failure domain: when the owner there last reported that
    /// all upstreams of the service are at their limits.
    std::map<std::pair<std::uint32_t, std::uint32_t>, time_point>
        exhausted_services;

    placement_lease *lease = nullptr;
    bool lease_was_held = false;
    timeline *events = nullptr;
    std::shared_ptr<const routing_view> view;
    bool view_stale = true;

    time_point next_membership_tick{};
    time_point next_heartbeat{};
    time_point next_domain_heartbeat{};
    time_point next_load_report{};
    time_point next_anti_entropy{};
    /// Services whose records are complete but not announced yet.
    std::vector<std::uint32_t> newly_synced;
    time_point next_sync_announcement{};
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
    kind what{};
    std::size_t worker = 0; ///< only for `export_records`
    std::vector<flow_record> records;
    endpoint service;
    transport protocol = transport::tcp;
    milliseconds age{};
    std::size_t cursor = 0;
};

/// Messages and worker requests that the controllers have issued.
struct control_actions {
    std::vector<outgoing_message> messages;
    std::vector<worker_request> requests;
};

/// Queues a message for `peer`.
auto send_to(control_actions &actions, const peer_state &peer,
             wire::Envelope message) -> void;

/// Returns this instance and the peers whose state is known.
auto all_members(const blackboard &board) -> std::vector<member>;

/// Returns the service with this identifier in the current view, or null.
auto service_by_id(const blackboard &board, std::uint32_t id)
    -> const service_route *;

/// Returns whether this instance has the records of the service's flows.
auto is_synced(const blackboard &board, std::uint32_t service) -> bool;

} // namespace dogwoodtrack
