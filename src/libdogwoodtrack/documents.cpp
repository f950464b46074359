#include "documents.hpp"

#include <algorithm>

#include <arpa/inet.h>
#include <fmt/format.h>

#include "json_fields.hpp"
#include "membership.hpp"

namespace dogwoodtrack {

namespace {

using nlohmann::json;

constexpr std::size_t watchers_per_domain = 2;

// Ports of an EndpointSlice of the platform.
struct slice_ports {
    std::uint16_t data = 0;    ///< of a balancer's link, or of an upstream
    std::uint16_t control = 0; ///< of a balancer's control endpoint
};

auto read_ports(const json &slice) -> slice_ports {
    slice_ports ports;
    for (const auto &it : array_field(slice, "ports")) {
        const auto port = number_field<std::uint16_t>(it, "port");
        if (text_field(it, "name") == "control")
            ports.control = port;
        else
            ports.data = port;
    }
    return ports;
}

auto read_address(const json &entry) -> std::uint32_t {
    const auto &list = array_field(entry, "addresses");
    in_addr parsed{};
    if (list.empty() || !list[0].is_string() ||
        inet_pton(AF_INET, list[0].get_ref<const std::string &>().c_str(),
                  &parsed) != 1)
        return 0;
    return ntohl(parsed.s_addr);
}

// The platform sets `ready` to false while an instance terminates. The instance
// still counts as ready here as long as it is `serving`.
auto read_state(const json &entry) -> listed_instance {
    const auto &conditions = object_field(entry, "conditions");
    return {.ready = bool_field(conditions, "ready", true) ||
                     bool_field(conditions, "serving", false),
            .terminating = bool_field(conditions, "terminating", false)};
}

auto apply_balancers(blackboard &board, const json &slice, time_point now)
    -> void {
    const auto ports = read_ports(slice);
    board.balancers.clear();
    for (const auto &it : array_field(slice, "endpoints")) {
        const auto address = read_address(it);
        const auto name = text_field(object_field(it, "targetRef"), "name");
        if (address == 0 || name.empty())
            continue;
        board.balancers[name] = {
            .name = name,
            .failure_domain = text_field(it, "zone"),
            .link = {.address = address, .port = ports.data},
            .control = {.address = address, .port = ports.control},
            .state = read_state(it)};
    }
    board.balancers_known = true;
    on_balancers_listed(board, now);
}

// Rebuilds the table of listed upstreams from all instance lists other than
// that of the balancers.
auto apply_upstream_lists(blackboard &board) -> void {
    board.listed_upstreams.clear();
    for (const auto &[name, value] : board.documents) {
        if (!name.starts_with(live_prefix) || name == balancer_list)
            continue;
        const auto slice = parse_json(value.json);
        const auto ports = read_ports(slice);
        for (const auto &it : array_field(slice, "endpoints")) {
            const auto address = read_address(it);
            if (address != 0)
                board.listed_upstreams[{.address = address,
                                        .port = ports.data}] = read_state(it);
        }
    }
}

auto reject_document(blackboard &board, const std::string &name,
                     std::uint64_t generation, const error &why) -> bool {
    board.events->record(event_kind::contract_rejected, name, generation,
                         why.message());
    return false;
}

auto apply_contract(blackboard &board, const std::string &name,
                    const document &value) -> bool {
    const auto customer = name.substr(std::string_view(contract_prefix).size());
    auto parsed = parse_contract(customer, value.generation, value.json);
    if (!parsed)
        return reject_document(board, name, value.generation, parsed.error());
    const auto disjoint = check_overlap(parsed.value(), board.contracts);
    if (!disjoint)
        return reject_document(board, name, value.generation, disjoint.error());
    auto &all = board.contracts;
    const auto it =
        std::find_if(all.begin(), all.end(), [&](const contract &one) {
            return one.customer == customer;
        });
    if (it == all.end())
        all.push_back(std::move(parsed.value()));
    else
        *it = std::move(parsed.value());
    board.events->record(event_kind::contract_accepted, customer,
                         value.generation);
    return true;
}

auto apply_instance_list(blackboard &board, const std::string &name,
                         const document &value, time_point now) -> bool {
    const auto slice = parse_json(value.json);
    if (!slice.is_object())
        return reject_document(board, name, value.generation,
                               {error_kind::platform_refused,
                                "the instance list is not a JSON object"});
    if (name == balancer_list)
        apply_balancers(board, slice, now);
    return true;
}

auto generation_of(const blackboard &board, const std::string &name)
    -> std::uint64_t {
    const auto it = board.documents.find(name);
    return it == board.documents.end() ? 0 : it->second.generation;
}

auto send_document(const blackboard &board, const peer_state &peer,
                   const std::string &name, control_actions &actions) -> void {
    const auto it = board.documents.find(name);
    if (it == board.documents.end())
        return;
    wire::Envelope message;
    auto &body = *message.mutable_document();
    body.set_name(name);
    body.set_generation(it->second.generation);
    body.set_json(it->second.json);
    send_to(actions, peer, message);
}

// Offers a new generation of a document to the neighbours and to one balancer
// in every other failure domain. They receive its name and generation; those
// that lack this generation pull the document and then offer it in the same
// way. With `push_documents` they receive the whole document instead and need
// not pull it.
auto offer_document(blackboard &board, const std::string &name,
                    std::uint64_t generation, control_actions &actions)
    -> void {
    wire::Envelope message;
    auto *version = message.mutable_digest()->add_versions();
    version->set_name(name);
    version->set_generation(generation);
    auto recipients = neighbours_of(board);
    const auto domain_recipients = domain_contacts(board);
    recipients.insert(recipients.end(), domain_recipients.begin(),
                      domain_recipients.end());
    for (const auto *peer : recipients) {
        if (peer->info.status == member_status::dead)
            continue;
        if (board.options.push_documents)
            send_document(board, *peer, name, actions);
        else
            send_to(actions, *peer, message);
    }
}

} // namespace

auto accept_document(blackboard &board, const std::string &name,
                     const document &value, time_point now,
                     control_actions &actions) -> bool {
    if (value.generation <= generation_of(board, name))
        return false;
    const auto is_contract = name.starts_with(contract_prefix);
    const auto accepted = is_contract
                              ? apply_contract(board, name, value)
                              : apply_instance_list(board, name, value, now);
    if (!accepted)
        return false;
    const auto version_digest = [&](std::uint64_t generation) {
        return hash_pair(hash_name(name), generation);
    };
    if (const auto old = generation_of(board, name); old != 0)
        board.documents_digest ^= version_digest(old);
    board.documents_digest ^= version_digest(value.generation);
    board.documents[name] = value;
    if (!is_contract)
        apply_upstream_lists(board);
    board.view_stale = true;
    offer_document(board, name, value.generation, actions);
    return true;
}

auto on_digest(blackboard &board, const wire::Envelope &message,
               control_actions &actions) -> void {
    const auto sender = board.peers.find(message.from());
    if (sender == board.peers.end())
        return;
    wire::Envelope reply;
    for (const auto &it : message.digest().versions()) {
        const auto own = generation_of(board, it.name());
        if (it.generation() > own)
            reply.mutable_pull()->add_names(it.name());
        else if (it.generation() < own)
            send_document(board, sender->second, it.name(), actions);
    }
    if (reply.has_pull())
        send_to(actions, sender->second, reply);
}

auto on_pull(blackboard &board, const wire::Envelope &message,
             control_actions &actions) -> void {
    const auto sender = board.peers.find(message.from());
    if (sender == board.peers.end())
        return;
    for (const auto &it : message.pull().names())
        send_document(board, sender->second, it, actions);
}

auto on_document(blackboard &board, const wire::Envelope &message,
                 time_point now, control_actions &actions) -> void {
    const auto &body = message.document();
    accept_document(board, body.name(),
                    {.generation = body.generation(), .json = body.json()}, now,
                    actions);
}

auto offer_versions(const blackboard &board, const peer_state &peer,
                    control_actions &actions) -> void {
    wire::Envelope message;
    for (const auto &[name, it] : board.documents) {
        auto *version = message.mutable_digest()->add_versions();
        version->set_name(name);
        version->set_generation(it.generation);
    }
    send_to(actions, peer, message);
}

auto is_watcher(const blackboard &board) -> bool {
    const auto members = all_members(board);
    const auto order = rank_members(members, board.self.failure_domain,
                                    hash_name("platform watcher"));
    for (std::size_t i = 0; i < std::min(watchers_per_domain, order.size());
         ++i) {
        if (order[i]->id == board.self.id)
            return true;
    }
    return false;
}

} // namespace dogwoodtrack
