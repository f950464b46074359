#include "view_builder.hpp"

#include <algorithm>

namespace dogwoodtrack {

namespace {

auto find_or_create_load(blackboard &board, const endpoint &address,
                         transport protocol) -> std::shared_ptr<upstream_load> {
    auto &load = board.loads[route_key(address, protocol)];
    if (!load)
        load = std::make_shared<upstream_load>();
    return load;
}

// Whether an upstream is in service: neither set to `leaving` in its contract
// nor listed as terminating by the platform. Health checks do not affect this;
// they only change the weight of the upstream.
auto is_in_service(const blackboard &board, const upstream_spec &spec) -> bool {
    if (spec.leaving)
        return false;
    const auto it = board.listed_upstreams.find(spec.address);
    return it == board.listed_upstreams.end() || !it->second.terminating;
}

auto find_or_create_domain(blackboard &board, service_route &service,
                           std::uint32_t id) -> domain_route & {
    for (auto &it : service.domains) {
        if (it.failure_domain == id)
            return it;
    }
    auto &load = board.domain_loads[{service.id, id}];
    if (!load)
        load = std::make_shared<domain_load>();
    service.domains.push_back({.failure_domain = id, .load = load});
    return service.domains.back();
}

auto add_upstream(blackboard &board, routing_view &view, service_route &service,
                  const service_spec &spec, const upstream_spec &it) -> void {
    const auto index = static_cast<std::uint32_t>(view.upstreams.size());
    const auto domain_id = hash_name(it.failure_domain);
    auto &domain = find_or_create_domain(board, service, domain_id);
    domain.upstreams.push_back(index);
    const auto in_service = is_in_service(board, it);
    if (!it.leaving)
        domain.capacity += it.capacity;
    view.by_upstream[route_key(it.address, spec.protocol)] = index;
    view.upstreams.push_back(
        {.name = it.name,
         .address = it.address,
         .id = hash_name(to_string(it.address)),
         .service = static_cast<std::uint32_t>(view.services.size()),
         .failure_domain = domain_id,
         .capacity = it.capacity,
         .limit = spec.limit == limit_kind::slots ? it.slots : it.connections,
         .in_service = in_service,
         .load = find_or_create_load(board, it.address, spec.protocol)});
}

auto is_reachable(const blackboard &board, const std::vector<member> &members,
                  std::uint32_t domain, time_point now) -> bool {
    if (domain != board.self.failure_domain &&
        board.cut_domains.contains(domain))
        return false;
    const auto known =
        std::any_of(members.begin(), members.end(), [&](const member &it) {
            return it.failure_domain == domain &&
                   it.status != member_status::dead;
        });
    // Shortly after the start, a domain counts as reachable even if none of its
    // members is known to be alive yet, so that its flows are not placed in
    // another domain.
    return known || now - board.started < board.options.settle_time;
}

auto member_name(const blackboard &board, std::uint32_t id) -> std::string {
    if (id == board.self.id)
        return board.self.name;
    const auto it = board.peers.find(id);
    return it == board.peers.end() ? "none" : it->second.info.name;
}

// Sets the time of the last change of owner, and records a change in this
// failure domain as an event.
auto update_owner(blackboard &board, const service_route &service,
                  domain_route &domain, time_point now) -> void {
    const std::pair key{service.id, domain.failure_domain};
    const auto known = board.owners.find(key);
    if (known != board.owners.end() && known->second == domain.owner) {
        domain.owned_since = board.owned_since[key];
        return;
    }
    board.owners[key] = domain.owner;
    board.owned_since[key] = now;
    domain.owned_since = now;
    if (domain.failure_domain == board.self.failure_domain)
        board.events->record(event_kind::owner_changed,
                             service.customer + "/" + service.name, 0,
                             member_name(board, domain.owner));
}

auto add_service(blackboard &board, routing_view &view,
                 const std::vector<member> &members,
                 const contract &customer_contract, const service_spec &spec,
                 time_point now) -> void {
    service_route service{.id =
                              service_id(customer_contract.customer, spec.name),
                          .customer = customer_contract.customer,
                          .name = spec.name,
                          .address = spec.address,
                          .protocol = spec.protocol,
                          .overload = spec.overload,
                          .idempotent = spec.idempotent,
                          .imbalance_tolerance = spec.imbalance_tolerance,
                          .replicas = spec.replicas,
                          .idle_timeout = spec.idle_timeout,
                          .domains = {}};
    for (const auto &it : spec.upstreams)
        add_upstream(board, view, service, spec, it);
    for (auto &domain : service.domains) {
        domain.reachable =
            is_reachable(board, members, domain.failure_domain, now);
        assign_owner(members, service, domain);
        update_owner(board, service, domain, now);
    }
    view.by_service[route_key(spec.address, spec.protocol)] =
        static_cast<std::uint32_t>(view.services.size());
    view.services.push_back(std::move(service));
}

auto add_links(const blackboard &board, routing_view &view) -> void {
    for (const auto &[id, it] : board.peers) {
        if (it.info.status == member_status::dead ||
            board.cut_domains.contains(it.info.failure_domain))
            continue;
        view.links[id] = it.info.link;
    }
}

} // namespace

auto send_to(control_actions &actions, const peer_state &peer,
             wire::Envelope message) -> void {
    actions.messages.push_back({peer.info.control, std::move(message)});
}

auto all_members(const blackboard &board) -> std::vector<member> {
    std::vector<member> members{board.self};
    members.reserve(board.peers.size() + 1);
    for (const auto &[id, it] : board.peers) {
        if (it.incarnation != 0)
            members.push_back(it.info);
    }
    return members;
}

auto service_by_id(const blackboard &board, std::uint32_t id)
    -> const service_route * {
    if (!board.view)
        return nullptr;
    for (const auto &it : board.view->services) {
        if (it.id == id)
            return &it;
    }
    return nullptr;
}

auto is_synced(const blackboard &board, std::uint32_t service) -> bool {
    const auto holds = [&](const std::vector<std::uint32_t> &list) {
        return std::find(list.begin(), list.end(), service) != list.end();
    };
    return holds(board.self.synced) || holds(board.newly_synced);
}

auto rebuild_view(blackboard &board, time_point now) -> void {
    auto view = std::make_shared<routing_view>();
    view->self = board.self.id;
    view->failure_domain = board.self.failure_domain;
    const auto members = all_members(board);
    for (const auto &it : board.contracts) {
        if (it.withdrawn)
            continue;
        for (const auto &service : it.services)
            add_service(board, *view, members, it, service, now);
    }
    add_links(board, *view);
    board.view = std::move(view);
    board.view_stale = false;
}

} // namespace dogwoodtrack
