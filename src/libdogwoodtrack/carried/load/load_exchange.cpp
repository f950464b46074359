#include "carried/load/load_exchange.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// A balancer that is not elected sends the load of its domain to the others
/// only if at least this part of the domain's balancers reports to it.
constexpr float speaker_part = 0.5F;
/// A service counts as overloaded for this time after the last plan that said
/// so. Full upstreams reject requests that have waited there.
constexpr milliseconds overload_memory{1'000};

// Clock for `domain_loads_message::sent_us`.
auto clock_us(time_point now) -> std::uint64_t {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(
            0, std::chrono::duration_cast<std::chrono::microseconds>(
                   now.time_since_epoch())
                   .count()) +
        1);
}

auto own_address(const blackboard &board) -> std::uint32_t {
    return board.members.self.address;
}

// Addresses of the other active balancers of the own failure domain.
auto active_neighbours(const fleet &members, time_point now)
    -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> addresses;
    for (const auto &[address, member] : members.others) {
        if (is_active_in_own_domain(members, member, now))
            addresses.push_back(address);
    }
    return addresses;
}

// Elects the coordinator and updates what is known of the members. In a large
// fleet, gossip takes seconds, and walks over all members are expensive.
auto update_members(blackboard &board, time_point now) -> void {
    constexpr std::size_t large_fleet = 1'000;
    auto &load = board.load;
    const auto interval = board.members.others.size() < large_fleet
                              ? milliseconds{0}
                              : idle_plan_interval;
    if (now - load.members_updated < interval &&
        !is_coordinator_silent(load.choice, now))
        return;
    load.members_updated = now;
    elect_coordinator(load.choice, board.members, now);
    load.neighbours = active_neighbours(board.members, now);
    load.other_domains =
        elect_in_other_domains(board.members, load_purpose, now);
}

// ---- reports

auto report(blackboard &board, time_point now,
            std::vector<outgoing_message> &out) -> void {
    auto &load = board.load;
    const auto tracked = take_report(board.steering.flows.load, now);
    load.own = tracked.report;
    const auto coordinator = load.choice.elected;
    if (!has_traffic(tracked.report) && tracked.unanswered.empty())
        return;
    const auto messages = split_report(tracked);
    if (coordinator == own_address(board)) {
        for (const auto &one : messages)
            add_report(load.reports, coordinator, one, now);
        return;
    }
    add_messages(coordinator, messages, out);
    load.counters.reports_sent += messages.size();
    record_report_sent(load.choice, now);
}

// ---- coordinator

// Whether another balancer reports to this one.
auto has_reporters(const blackboard &board) -> bool {
    return std::any_of(
        board.load.reports.latest.begin(), board.load.reports.latest.end(),
        [&](const auto &entry) { return entry.first != own_address(board); });
}

auto is_elected(const blackboard &board) -> bool {
    return board.load.choice.elected == own_address(board);
}

// Whether this balancer computes plans. Just after its start it may know too
// few others to see that it is not the elected one; then it does so only if
// others elect it.
auto is_coordinator(const blackboard &board, time_point now) -> bool {
    if (!board.steering.in_force)
        return false;
    return has_reporters(board) ||
           (is_elected(board) && now - board.started >= membership_warm_up);
}

// Part of the domain's active balancers that reports to this one.
auto reporting_part(const blackboard &board) -> float {
    const auto active = board.load.neighbours.size() + 1;
    return std::min(1.0F, static_cast<float>(board.load.reports.latest.size()) /
                              static_cast<float>(active));
}

// Part of each limit that this coordinator allocates. If another balancer
// coordinates part of the domain, each allocates in proportion to those who
// report to it. Otherwise the balancers that do not report have no traffic.
auto limit_part(const blackboard &board, time_point now) -> float {
    const auto is_sole =
        is_elected(board) && (board.load.foreign_plan == time_point{} ||
                              now - board.load.foreign_plan >= plan_lifetime);
    return is_sole ? 1 : reporting_part(board);
}

auto unreachable_domains(const steering_state &steering)
    -> std::vector<std::uint32_t> {
    auto domains = steering.unreachable_domains;
    for (const auto *more : {&steering.upstreams.suspected_domains,
                             &steering.upstreams.unresponsive_domains})
        domains.insert(domains.end(), more->begin(), more->end());
    return domains;
}

auto compute_plans(blackboard &board, const summed_load &sum, time_point now)
    -> void {
    const auto &steering = board.steering;
    const auto unreachable = unreachable_domains(steering);
    compute_plans(board.load.planner, sum,
                  {.in_force = *steering.in_force,
                   .upstreams = steering.upstreams,
                   .flows = steering.flows,
                   .domains = board.load.domains,
                   .failure_domain = board.members.self.failure_domain,
                   .unreachable_domains = unreachable,
                   .limit_part = limit_part(board, now),
                   .price_ms_per_kib = board.load.price_ms_per_kib,
                   .min_share = board.load.min_share},
                  now);
}

auto is_plan_due(const load_exchange_state &load, bool binds, time_point now)
    -> bool {
    return binds || load.was_binding || load.new_reporter ||
           now - load.last_plan_sent >= idle_plan_interval;
}

// Receivers of a plan: the balancers that report here, leaving ones included,
// and unless this balancer takes another one for the coordinator, all active
// balancers of the domain.
auto plan_receivers(const blackboard &board) -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> addresses;
    if (is_elected(board))
        addresses = board.load.neighbours;
    for (const auto &[address, latest] : board.load.reports.latest) {
        if (address != own_address(board))
            addresses.push_back(address);
    }
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()),
                    addresses.end());
    return addresses;
}

// Notes which services are overloaded by the plans in use.
auto update_overloaded(blackboard &board, time_point now) -> void {
    auto &overloaded = board.steering.upstreams.overloaded_until;
    for (const auto &known : board.steering.plans.services) {
        const auto &plan = known.plan;
        if (plan.limit > 0 &&
            std::max(plan.in_flight, plan.demand) > plan.limit &&
            is_coordinated(board.steering.plans, plan.service, now))
            overloaded[plan.service] = now + overload_memory;
    }
    boost::unordered::erase_if(
        overloaded, [&](const auto &entry) { return now >= entry.second; });
}

auto send_plan(blackboard &board, time_point now,
               std::vector<outgoing_message> &out) -> void {
    auto &load = board.load;
    const auto binds = is_binding(load.planner);
    if (load.reports.latest.empty() || !is_plan_due(load, binds, now))
        return;
    load.was_binding = binds;
    load.new_reporter = false;
    load.last_plan_sent = now;
    auto plan = make_plan(load.planner);
    if (is_elected(board))
        apply_plan(board.steering.plans, own_address(board), plan, now);
    update_overloaded(board, now);
    select_upstreams(load.planner, plan, now);
    const auto messages = split_plan(plan);
    for (const auto to : plan_receivers(board)) {
        add_messages(to, messages, out);
        load.counters.plans_sent += messages.size();
    }
}

// ---- other failure domains

// What the balancers that report here have under way at upstreams of each
// other failure domain, by service.
auto in_flight_elsewhere(const blackboard &board, const summed_load &sum)
    -> std::vector<domain_load> {
    std::vector<domain_load> loads;
    for (const auto &[code, one] : sum.upstreams) {
        const auto index = index_by_code(board.steering.upstreams, code);
        if (index == no_upstream || one.in_flight == 0)
            continue;
        const auto &record = board.steering.upstreams.all[index].record;
        if (record.failure_domain == board.members.self.failure_domain)
            continue;
        auto found =
            std::find_if(loads.begin(), loads.end(), [&](const auto &load) {
                return load.service == record.service &&
                       load.failure_domain == record.failure_domain;
            });
        if (found == loads.end())
            found =
                loads.insert(found, {.service = record.service,
                                     .failure_domain = record.failure_domain});
        found->in_flight += static_cast<float>(one.in_flight);
    }
    return loads;
}

auto loads_for(const blackboard &board, std::uint32_t domain,
               const std::vector<domain_load> &elsewhere)
    -> std::vector<domain_load> {
    std::vector<domain_load> loads;
    for (const auto &[service, one] : board.load.planner.services)
        loads.push_back(one.load);
    std::copy_if(elsewhere.begin(), elsewhere.end(), std::back_inserter(loads),
                 [&](const auto &one) { return one.failure_domain == domain; });
    return loads;
}

auto make_domain_loads(const blackboard &board, std::uint32_t domain,
                       std::uint32_t to, time_point now)
    -> domain_loads_message {
    const auto &exchange = board.load.domains;
    domain_loads_message message{
        .sequence = exchange.sequence, .sent_us = clock_us(now), .loads = {}};
    const auto known = exchange.domains.find(domain);
    if (known == exchange.domains.end() || known->second.coordinator != to)
        return message;
    message.echo_us = known->second.sent_us;
    message.held_us = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            now - known->second.received)
            .count());
    return message;
}

auto send_domain_loads(blackboard &board, const summed_load &sum,
                       time_point now, std::vector<outgoing_message> &out)
    -> void {
    auto &exchange = board.load.domains;
    if (now - exchange.last_sent < domain_loads_interval ||
        (!is_elected(board) && reporting_part(board) < speaker_part))
        return;
    exchange.last_sent = now;
    ++exchange.sequence;
    const auto elsewhere = in_flight_elsewhere(board, sum);
    for (const auto &elected : board.load.other_domains) {
        const auto domain = elected.failure_domain;
        const auto to = coordinator_of(exchange, elected, now);
        auto message = make_domain_loads(board, domain, to, now);
        message.loads = loads_for(board, domain, elsewhere);
        const auto messages = split_domain_loads(message);
        add_messages(to, messages, out);
        board.load.counters.domain_loads_sent += messages.size();
    }
}

auto coordinate(blackboard &board, time_point now,
                std::vector<outgoing_message> &out) -> void {
    auto &load = board.load;
    expire_reports(load.reports, now);
    expire_domain_loads(load.domains, now);
    load.coordinates = is_coordinator(board, now);
    if (!load.coordinates)
        return;
    const auto sum = sum_reports(load.reports, now);
    compute_plans(board, sum, now);
    send_plan(board, now, out);
    send_domain_loads(board, sum, now, out);
}

// ---- plans that this balancer follows

auto update_plans(blackboard &board, time_point now) -> void {
    const auto balancers = board.load.neighbours.size() + 1;
    update_own_shares(board.steering.plans,
                      {.own = board.load.own,
                       .balancers = static_cast<std::uint32_t>(balancers),
                       .min_share = board.load.min_share},
                      now);
    update_cautious_plans(board.steering.plans, board.steering.in_force.get());
}

} // namespace

auto enable_load_exchange(blackboard &board, bool enabled) -> void {
    if (board.steering.plans.enabled == enabled)
        return;
    board.steering.plans = {.enabled = enabled};
    board.steering.flows.load = {.enabled = enabled};
    board.load = {.price_ms_per_kib = board.load.price_ms_per_kib,
                  .min_share = board.load.min_share,
                  .counters = board.load.counters};
}

auto exchange_load(blackboard &board, time_point now,
                   std::vector<outgoing_message> &out) -> void {
    if (!board.steering.plans.enabled || now < board.load.next_step)
        return;
    board.load.next_step = now + report_interval;
    update_members(board, now);
    report(board, now, out);
    coordinate(board, now, out);
    update_plans(board, now);
}

auto on_load_report(blackboard &board, std::uint32_t from,
                    const load_report_message &message, time_point now)
    -> void {
    if (!board.steering.plans.enabled)
        return;
    auto &load = board.load;
    const auto sender = board.members.others.find(from);
    const auto is_known = load.reports.latest.contains(from);
    if (sender == board.members.others.end() ||
        sender->second.failure_domain != board.members.self.failure_domain ||
        !add_report(load.reports, from, message, now)) {
        ++load.counters.ignored;
        return;
    }
    load.new_reporter |= !is_known;
}

auto on_load_plan(blackboard &board, std::uint32_t from, const load_plan &plan,
                  time_point now) -> void {
    if (!board.steering.plans.enabled)
        return;
    auto &load = board.load;
    const auto sender = board.members.others.find(from);
    const auto is_neighbour =
        sender != board.members.others.end() &&
        sender->second.failure_domain == board.members.self.failure_domain;
    if (from != load.choice.elected) {
        if (is_neighbour)
            load.foreign_plan = now;
        ++load.counters.ignored;
        return;
    }
    if (!apply_plan(board.steering.plans, from, plan, now)) {
        ++load.counters.ignored;
        return;
    }
    update_overloaded(board, now);
    const auto binds =
        std::any_of(plan.services.begin(), plan.services.end(),
                    [](const auto &one) { return is_binding(one); });
    record_plan(load.choice, binds ? report_interval : idle_plan_interval, now);
}

auto on_domain_loads(blackboard &board, std::uint32_t from,
                     const domain_loads_message &message, time_point now)
    -> void {
    if (!board.steering.plans.enabled)
        return;
    const auto sender = board.members.others.find(from);
    if (sender == board.members.others.end() ||
        !add_domain_loads(board.load.domains, sender->second,
                          board.members.self.failure_domain, message,
                          clock_us(now), now))
        ++board.load.counters.ignored;
}

auto on_limit_flag(blackboard &board, const fleet_member &sender, bool binds,
                   time_point now) -> void {
    if (binds && sender.failure_domain == board.members.self.failure_domain)
        board.steering.plans.limit_reported = now;
}

} // namespace dogwoodtrack::carried
