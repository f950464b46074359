#include <array>
#include <deque>

#include "carried/feeds/gossip.hpp"
#include "carried/quota/cold_quota.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;

namespace {

constexpr std::uint32_t balancer_count = 5;
constexpr std::uint32_t quota = 20;
const endpoint service_address{.address = 0xc6120001, .port = 443};
const time_point start{std::chrono::hours{1}};

auto make_balancer(std::uint32_t address) -> blackboard {
    blackboard it;
    it.started = start;
    it.members.self = {.address = address, .failure_domain = 1};
    it.steering.position.failure_domain = 1;
    it.steering.upstreams_known = true;
    it.steering.upstreams.cold.bounds = {.overage = 1.5, .slack = 5};
    auto next = std::make_shared<configuration>();
    next->revision = {.number = 1};
    next->routes.push_back({.address = service_address,
                            .services = {{.service = 1, .cold_per_s = 10}}});
    activate_configuration(it, next);
    apply_record(it.steering.upstreams,
                 {.id = "a",
                  .address = {.address = 1, .port = 1},
                  .service = 1,
                  .failure_domain = 1,
                  .cold_remaining = std::chrono::hours{1},
                  .revision = {.number = 1}},
                 start);
    return it;
}

// Lets the balancers hear of each other as far as the bits of `heard` say.
auto exchange(std::array<blackboard, balancer_count> &all, std::uint8_t heard,
              time_point now) -> void {
    for (std::uint32_t i = 0; i < balancer_count; ++i) {
        for (std::uint32_t k = 0; k < balancer_count; ++k) {
            auto member = all[k].members.self;
            member.last_heard = now;
            if ((heard >> i & 1) != 0 && (heard >> k & 1) != 0)
                update_member(all[i].members, member);
        }
        refresh_steering(all[i], now);
    }
}

} // namespace

// Plays five balancers in front of one cold upstream. Each byte is a new flow
// at a balancer, a packet of a flow, an exchange between some balancers, or a
// step in time. No second may have more new flows than the quota, as long as
// no cut lasts for longer than `min_quota_hold`.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    std::array<blackboard, balancer_count> all;
    for (std::uint32_t i = 0; i < balancer_count; ++i)
        all[i] = make_balancer(i + 1);
    auto now = start;
    const auto everyone = std::uint8_t{0xff};
    for (int second = 0; second < 8; ++second)
        exchange(all, everyone, now += seconds{1});
    auto last_exchange = now;
    std::deque<time_point> placed;
    for (std::size_t i = 0; i < size; ++i) {
        const auto value = static_cast<std::uint8_t>(data[i] >> 2);
        auto &at = all[value % balancer_count];
        packet_header packet{
            .endpoints = {.caller = {.address = 9,
                                     .port = static_cast<std::uint16_t>(i)},
                          .service = service_address},
            .opens = true};
        switch (data[i] & 3) {
        case 0:
            if (steer(at.steering, packet, now).kind != verdict_kind::forward)
                break;
            placed.push_back(now);
            while (now - placed.front() >= seconds{1})
                placed.pop_front();
            if (placed.size() > quota)
                __builtin_trap();
            break;
        case 1:
            packet.opens = false;
            packet.finishes = (value & 8) != 0;
            packet.payload = value;
            packet.acknowledged = value;
            packet.binding = at.steering.upstreams.all[0].code;
            packet.endpoints.caller.port = static_cast<std::uint16_t>(
                i - std::min<std::size_t>(i, value % 16));
            steer(at.steering, packet, now);
            break;
        case 2:
            exchange(all, value, now);
            break;
        default:
            now += milliseconds{value * 4};
            sweep_flows(at.steering.flows, at.steering.upstreams, 256, now);
            if (now - last_exchange < min_quota_hold / 3)
                break;
            last_exchange = now;
            exchange(all, everyone, now);
        }
    }
    return 0;
}
