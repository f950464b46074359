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
    milliseconds domain_heartbeat{600}; ///< with up to two other domains
    milliseconds load_report{1000};
    milliseconds adoption{3000}; ///< between announcements of new services
    milliseconds lease{1000};
    milliseconds dead_after{1500};
    milliseconds domain_cut_after{3000};
    milliseconds settle{2500}; ///< wait before starting without records
    std::size_t neighbours = 4;
    std::size_t sync_bytes_per_second = 2048;
    bool push_documents = false; ///< whole documents instead of versions
};

/// What is known of one other balancer.
struct peer_state {
    member info;
    std::string domain_name;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    time_point heard{}; ///< last message straight from it
    time_point silent_since{};
    /// Its heartbeats come here since then; only then silence tells.
    bool monitored = false;
    time_point monitored_since{};
    bool graceful = false; ///< it said that it is leaving
};

/// One document from the platform: a contract (`contract/<customer>`) or a
/// list of instances (`live/<name>`).
struct document {
    std::uint64_t generation = 0;
    std::string json;
};

/// State of an instance in the platform's list.
struct listed_instance {
    bool ready = true;
    bool terminating = false;
};

/// One balancer in the platform's list.
struct listed_balancer {
    std::string name;
    std::string failure_domain;
    endpoint link;
    endpoint control;
    listed_instance state;
};

/// Copying of one service's records from its owner to this instance.
struct sync_progress {
    std::uint32_t source = 0;
    time_point requested{};
};

/// Copying of one service's records from this instance to a peer.
struct sync_job {
    std::uint32_t peer = 0;
    std::uint32_t service = 0;
    milliseconds age{};
    std::size_t worker = 0;
    std::size_t cursor = 0;
    bool waiting = false; ///< a worker is collecting records
};

/// What the controllers remember of one upstream to judge its health.
struct health_state {
    std::uint32_t retried = 0;
    std::uint32_t reset = 0;
    std::uint32_t answered = 0;
    std::uint32_t placed = 0;
    bool ejected = false;
    time_point ejected_until{};
    time_point returned{};
};

/// A promise of a contract that may be broken, with its hysteresis.
struct condition_state {
    time_point first_bad{};
    time_point last_bad{};
    bool set = false;
    std::string reason;
};

/// Everything the controllers read and write. One thread uses it; the
/// packet workers see only the routing views made from it.
struct blackboard {
    control_options options;
    member self;
    std::string domain_name;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 1;
    bool stopping = false;
    time_point started{};
    time_point last_tick{};
    time_point deaf_until{};   ///< messages of before a pause are ignored
    time_point absent_since{}; ///< records may be out of date since then
    std::set<std::uint32_t> outdated_services; ///< synced until then

    std::map<std::uint32_t, peer_state> peers;
    /// The same peers by failure domain, made anew when one was added.
    std::map<std::uint32_t, std::vector<peer_state *>> by_domain;
    std::size_t indexed_peers = 0;
    std::vector<std::uint32_t> listed_here; ///< ready, in this domain
    std::uint64_t peers_digest = 0;         ///< of all their states
    std::uint64_t documents_digest = 0;     ///< of all documents' versions
    std::vector<endpoint> seeds;
    std::map<std::string, document> documents;
    std::vector<contract> contracts;
    std::map<endpoint, listed_instance> listed;
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
    std::map<std::uint32_t, time_point> domain_heard;
    std::set<std::uint32_t> cut_domains;
    std::map<std::string, condition_state> conditions;
    /// When a domain's owner last said that a service has no room there.
    std::map<std::pair<std::uint32_t, std::uint32_t>, time_point> troubled;

    placement_lease *lease = nullptr;
    bool lease_was_held = false;
    timeline *events = nullptr;
    std::shared_ptr<const routing_view> view;
    bool view_stale = true;

    time_point next_membership_turn{};
    time_point next_heartbeat{};
    time_point next_domain_heartbeat{};
    time_point next_load_report{};
    time_point next_anti_entropy{};
    /// Services whose records are complete but that are not announced yet.
    std::vector<std::uint32_t> newly_synced;
    time_point next_adoption{};
    std::size_t domain_rotation = 0;
};

/// A message for a peer, addressed by member or by control endpoint.
struct peer_action {
    endpoint to;
    wire::Envelope message;
};

/// Work for the packet workers.
struct worker_request {
    enum class kind {
        import_records,
        export_records,
        erase_unconfirmed,    ///< own placements that nobody has answered
        erase_service_records ///< all records of one service
    };
    kind what{};
    std::size_t worker = 0; ///< of `export_records`
    std::vector<flow_record> records;
    endpoint service;
    transport protocol = transport::tcp;
    milliseconds age{};
    std::size_t cursor = 0;
};

/// What a controller wants done.
struct control_actions {
    std::vector<peer_action> messages;
    std::vector<worker_request> requests;
};

/// Adds a message for `peer`.
auto send_to(control_actions &actions, const peer_state &peer,
             wire::Envelope message) -> void;

/// This instance and its peers as routing sees them.
auto all_members(const blackboard &board) -> std::vector<member>;

/// The service with this identifier in the current view, or null.
auto service_by_id(const blackboard &board, std::uint32_t id)
    -> const service_route *;

/// Whether this instance has records of the service's flows.
auto is_synced(const blackboard &board, std::uint32_t service) -> bool;

} // namespace dogwoodtrack
