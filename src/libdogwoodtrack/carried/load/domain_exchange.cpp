#include "carried/load/domain_exchange.hpp"

#include <algorithm>

#include "carried/load/sequence.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Limits of what messages can make this balancer store.
constexpr std::size_t max_domains = 256;
constexpr std::size_t max_loads = 256;
/// A longer round trip is taken as wrong.
constexpr std::uint64_t max_round_trip_us = 2'000'000;
/// Growth of the round-trip time, which otherwise is the shortest one seen,
/// with each message: most of a long one is time spent waiting for a processor.
constexpr float round_trip_growth = 1.02F;

auto store(std::vector<received_domain_load> &list, const domain_load &load,
           time_point received) -> void {
    const auto found =
        std::find_if(list.begin(), list.end(), [&](const auto &one) {
            return one.load.service == load.service;
        });
    if (found != list.end())
        *found = {.load = load, .received = received};
    else if (list.size() < max_loads)
        list.push_back({.load = load, .received = received});
}

auto learn_round_trip(neighbour_domain &it, const domain_loads_message &message,
                      std::uint64_t now_us) -> void {
    const auto answered_us = message.echo_us + message.held_us;
    if (message.echo_us == 0 || message.held_us > now_us ||
        answered_us >= now_us || now_us - answered_us > max_round_trip_us)
        return;
    constexpr float us_per_ms = 1'000;
    const auto ms = static_cast<float>(now_us - answered_us) / us_per_ms;
    it.round_trip_ms = it.round_trip_ms == 0
                           ? ms
                           : std::min(ms, it.round_trip_ms * round_trip_growth);
}

auto expire(std::vector<received_domain_load> &list, time_point now) -> void {
    std::erase_if(list, [&](const auto &one) {
        return now - one.received >= domain_load_lifetime;
    });
}

} // namespace

auto add_domain_loads(domain_exchange &it, const fleet_member &sender,
                      std::uint32_t own_domain,
                      const domain_loads_message &message, std::uint64_t now_us,
                      time_point now) -> bool {
    if (sender.failure_domain == own_domain ||
        (!it.domains.contains(sender.failure_domain) &&
         it.domains.size() >= max_domains))
        return false;
    auto &known = it.domains[sender.failure_domain];
    const auto is_same_sender = known.coordinator == sender.address;
    if (is_same_sender &&
        is_outdated(message.sequence, known.sequence,
                    now - known.received >= domain_load_lifetime))
        return false;
    // A doubled message does not renew what the first one said.
    const auto is_part = is_same_sender && message.sequence == known.sequence;
    if (!is_part) {
        known.coordinator = sender.address;
        known.sequence = message.sequence;
        known.sent_us = message.sent_us;
        known.received = now;
        learn_round_trip(known, message, now_us);
    }
    for (const auto &load : message.loads) {
        if (load.failure_domain == sender.failure_domain)
            store(known.loads, load, known.received);
        else if (load.failure_domain == own_domain)
            store(known.placed, load, known.received);
    }
    return true;
}

auto expire_domain_loads(domain_exchange &it, time_point now) -> void {
    for (auto &[domain, known] : it.domains) {
        expire(known.loads, now);
        expire(known.placed, now);
    }
}

auto placed_by_others(const domain_exchange &it, service_key service) -> float {
    float sum = 0;
    for (const auto &[domain, known] : it.domains) {
        for (const auto &one : known.placed)
            sum += one.load.service == service ? one.load.in_flight : 0;
    }
    return sum;
}

auto coordinator_of(const domain_exchange &it, const elected_member &elected,
                    time_point now) -> std::uint32_t {
    const auto found = it.domains.find(elected.failure_domain);
    return found != it.domains.end() &&
                   now - found->second.received < domain_load_lifetime
               ? found->second.coordinator
               : elected.address;
}

} // namespace dogwoodtrack::carried
