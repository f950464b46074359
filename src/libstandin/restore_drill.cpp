#include "restore_drill.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <thread>

#include <arpa/inet.h>
#include <boost/endian/conversion.hpp>
#include <fmt/format.h>
#include <httplib.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process.hpp"
#include "store_standin.hpp"

namespace dogwoodtrack::standin {

namespace {

using boost::endian::load_big_u16;
using boost::endian::load_big_u32;
using boost::endian::store_big_u16;
using boost::endian::store_big_u32;

constexpr std::size_t upstream_count = 6;
constexpr std::size_t draining_one = 0;
constexpr std::size_t removed_one = 1;
constexpr std::size_t added_one = upstream_count - 1;
/// Time within which a change must be in force, as the balancers are told.
constexpr milliseconds time_bound{3'000};
constexpr milliseconds opening_interval{20};
/// Time for which a flow stays open. Each balancer has about 20 flows, more
/// than there are upstreams, and so uses them all.
constexpr milliseconds flow_time{400};
constexpr std::uint16_t link_port = 4'000;
constexpr std::uint16_t peer_port = 4'001;
constexpr std::uint16_t operator_port = 4'002;
constexpr std::uint16_t ready_port = 4'003;
constexpr std::uint16_t upstream_port = 5'000;
constexpr std::uint32_t service_address = 0xc6120001;
constexpr std::uint16_t service_port = 443;

// Layout of a packet, see platform/packet_codec.cpp.
constexpr std::size_t header_size = 32;
constexpr std::size_t delivery_size = 8;
constexpr std::size_t flags_offset = 2;
constexpr std::size_t acknowledged_offset = 8;
constexpr std::size_t binding_offset = 12;
constexpr std::size_t source_port_offset = 16;
constexpr std::size_t source_offset = 18;
constexpr std::size_t destination_offset = 22;
constexpr std::size_t destination_port_offset = 26;
constexpr std::uint8_t flag_open = 1;
constexpr std::uint8_t flag_acknowledge = 4;
constexpr std::uint8_t flag_reset = 16;
constexpr std::uint8_t flag_finish = 64;

using packet = std::array<std::uint8_t, header_size>;

auto to_socket_address(const endpoint &it) -> sockaddr_in {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(it.address);
    address.sin_port = htons(it.port);
    return address;
}

auto open_socket(const endpoint &local) -> int {
    const auto fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    const auto address = to_socket_address(local);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address),
             sizeof address) == 0)
        return fd;
    close(fd);
    return -1;
}

auto make_packet(std::uint32_t caller, std::uint16_t port, std::uint8_t flags)
    -> packet {
    packet it{};
    it[flags_offset] = flags;
    store_big_u16(it.data() + source_port_offset, port);
    store_big_u32(it.data() + source_offset, caller);
    store_big_u32(it.data() + destination_offset, service_address);
    store_big_u16(it.data() + destination_port_offset, service_port);
    return it;
}

auto host_of(std::uint32_t address) -> std::string {
    const auto text = to_string(endpoint{.address = address, .port = 1});
    return text.substr(0, text.find(':'));
}

/// One drill. The load is sent and received by a thread of its own.
class drill {
public:
    drill(drill_kind kind, std::string daemon, store_standin store)
        : kind_(kind), daemon_(std::move(daemon)), store_(std::move(store)),
          left_at_(upstream_count) {}

    ~drill() {
        stop_ = true;
        if (load_.joinable())
            load_.join();
        for (const auto fd : sockets_)
            close(fd);
    }

    auto run() -> drill_report {
        if (!open_sockets())
            return {.problem = "cannot open a UDP socket"};
        write_first_state();
        start_balancers();
        if (!wait_until_serving())
            return {.problem = "a balancer does not serve"};
        load_ = std::thread([this] { run_load(); });
        play();
        stop_ = true;
        load_.join();
        count_calls();
        report_.lowest_era = lowest_era();
        report_.up_to_date = count_up_to_date();
        return report_;
    }

private:
    auto address(std::uint32_t last) const -> std::uint32_t {
        constexpr std::uint32_t network = 0x7f5a0000; // 127.90.0.0
        return network + (static_cast<std::uint32_t>(kind_) << 8) + last;
    }
    auto balancer_address(std::size_t i) const -> std::uint32_t {
        return address(static_cast<std::uint32_t>(10 + i));
    }
    auto upstream_address(std::size_t i) const -> endpoint {
        return {.address = address(static_cast<std::uint32_t>(100 + i)),
                .port = upstream_port};
    }
    auto caller() const -> std::uint32_t {
        return address(250);
    }

    // The upstreams' sockets come first, then that of the callers.
    auto open_sockets() -> bool {
        for (std::size_t i = 0; i < upstream_count; ++i)
            sockets_.push_back(open_socket(upstream_address(i)));
        sockets_.push_back(
            open_socket({.address = caller(), .port = link_port}));
        return std::find(sockets_.begin(), sockets_.end(), -1) ==
               sockets_.end();
    }

    // ---- store

    auto write_upstream(std::size_t i, const char *state) -> void {
        const auto it = upstream_address(i);
        store_.write(
            "servers", fmt::format("i-{:02x}", i + 1),
            fmt::format(R"({{"service":"bookings","address":"{}","zone":"{}",)"
                        R"("version":"1","slots":50,"state":"{}",)"
                        R"("cold_remaining_ms":0,"sequence":1,"born":{}}})",
                        to_string(it), i % 2 == 0 ? "a" : "b", state,
                        1'000 + i));
    }

    auto write_configuration(int version) -> void {
        store_.write(
            "config", "main",
            fmt::format(R"({{"version":{},"routes":[{{"host":"198.18.0.1",)"
                        R"("path_prefix":"/443/","route_type":"read",)"
                        R"("priority":2,"target_latency_ms":500,)"
                        R"("timeout_ms":3000,"service":"bookings"}}]}})",
                        version));
    }

    auto write_first_state() -> void {
        store_.report_era(kind_ != drill_kind::without_header);
        write_configuration(1);
        for (std::size_t i = 0; i < added_one; ++i)
            write_upstream(i, "ready");
        store_.take_copy();
    }

    // Writes what the copy lacks.
    auto write_later_state() -> void {
        write_upstream(draining_one, "draining");
        store_.remove("servers", fmt::format("i-{:02x}", removed_one + 1));
        write_upstream(added_one, "ready");
        write_configuration(2);
        set_left(draining_one, monotonic::now());
        set_left(removed_one, monotonic::now());
    }

    // Writes what was lost, within 1.5 s of the return, as the operator and the
    // upstreams of the platform do.
    auto write_again() -> void {
        std::this_thread::sleep_for(milliseconds{500});
        write_upstream(draining_one, "draining");
        // Balancers that have restarted cannot know that it had left before.
        if (kind_ == drill_kind::restarted)
            set_left(draining_one, monotonic::now());
        std::this_thread::sleep_for(milliseconds{500});
        write_configuration(2);
        std::this_thread::sleep_for(milliseconds{500});
        write_upstream(added_one, "ready");
    }

    auto set_reachable(bool reachable) -> void {
        for (std::size_t i = 0; i < store_endpoint_count; ++i)
            store_.set_reachable(i, reachable);
    }

    // Cuts the store off, brings the copy back and lets it be reached again.
    auto return_from_copy() -> void {
        set_reachable(false);
        std::this_thread::sleep_for(milliseconds{500});
        if (kind_ == drill_kind::restarted) {
            balancers_.clear();
            set_left(removed_one, {});
            set_left(draining_one, {});
            start_balancers();
        }
        std::this_thread::sleep_for(milliseconds{500});
        store_.restore();
        store_.set_reachable(0, true);
        store_.set_reachable(1, kind_ != drill_kind::half_unreachable);
        returns_.push_back(monotonic::now());
        write_again();
    }

    auto play() -> void {
        std::this_thread::sleep_for(milliseconds{1'500});
        write_later_state();
        std::this_thread::sleep_for(time_bound);
        return_from_copy();
        if (kind_ == drill_kind::twice) {
            std::this_thread::sleep_for(milliseconds{1'500});
            return_from_copy();
        }
        if (kind_ == drill_kind::half_unreachable) {
            std::this_thread::sleep_for(milliseconds{3'500});
            store_.set_reachable(1, true);
        }
        std::this_thread::sleep_until(returns_.back() + seconds{10});
    }

    auto count_calls() -> void {
        const auto calls = store_.calls();
        for (const auto &first : calls) {
            if (first.at < returns_.front())
                continue;
            report_.lost_histories += first.lost_history ? 1 : 0;
            const auto in_second = std::count_if(
                calls.begin(), calls.end(), [&](const handled_call &it) {
                    return it.at >= first.at && it.at < first.at + seconds{1};
                });
            report_.busiest_second = std::max(
                report_.busiest_second, static_cast<std::size_t>(in_second));
        }
    }

    // ---- balancers

    auto start_balancers() -> void {
        for (std::size_t i = 0; i < drill_balancers; ++i) {
            const auto at = [&](std::uint16_t port) {
                return to_string(
                    endpoint{.address = balancer_address(i), .port = port});
            };
            const auto store = store_.endpoints()[i % store_endpoint_count];
            const auto seed = to_string(
                endpoint{.address = balancer_address(0), .port = peer_port});
            auto started = process::start(
                daemon_,
                {"--name=b" + std::to_string(i),
                 fmt::format("--failure-domain={}", i < 2 ? "a" : "b"),
                 "--link=" + at(link_port), "--peers=" + at(peer_port),
                 "--operators=" + at(operator_port),
                 "--ready=" + at(ready_port), "--store=" + to_string(store),
                 "--seed=" + seed,
                 fmt::format("--apply-within-ms={}", time_bound.count())},
                "/dev/null");
            if (started)
                balancers_.push_back(std::move(started.value()));
        }
    }

    auto ask(std::size_t i, const char *path) const -> std::string {
        httplib::Client client(host_of(balancer_address(i)), operator_port);
        const auto answer = client.Get(path);
        return answer ? answer->body : "";
    }

    auto wait_until_serving() const -> bool {
        constexpr int attempts = 100;
        for (int attempt = 0; attempt < attempts; ++attempt) {
            std::size_t serving = 0;
            for (std::size_t i = 0; i < drill_balancers; ++i) {
                const auto status = ask(i, "/status");
                serving +=
                    status.find(R"("can_serve":true)") != std::string::npos;
            }
            if (serving == drill_balancers)
                return true;
            std::this_thread::sleep_for(milliseconds{50});
        }
        return false;
    }

    // Number of balancers that place flows on the upstream that was added.
    auto count_up_to_date() const -> std::size_t {
        const auto added =
            fmt::format(R"("id":"i-{:02x}","address":"{}","state":"ready",)"
                        R"("placeable":true)",
                        added_one + 1, to_string(upstream_address(added_one)));
        std::size_t n = 0;
        for (std::size_t i = 0; i < drill_balancers; ++i)
            n += ask(i, "/status").find(added) != std::string::npos;
        return n;
    }

    auto lowest_era() const -> std::uint64_t {
        constexpr std::string_view gauge = "\ndogwoodtrack_store_era ";
        auto lowest = ~std::uint64_t{0};
        for (std::size_t i = 0; i < drill_balancers; ++i) {
            const auto metrics = ask(i, "/metrics");
            const auto found = metrics.find(gauge);
            const auto era =
                found == std::string::npos
                    ? 0
                    : std::strtoull(metrics.c_str() + found + gauge.size(),
                                    nullptr, 10);
            lowest = std::min<std::uint64_t>(lowest, era);
        }
        return lowest;
    }

    // ---- load

    auto set_left(std::size_t i, time_point at) -> void {
        const std::lock_guard lock(mutex_);
        left_at_[i] = at;
    }

    auto send_packet(std::size_t balancer, const packet &it) const -> void {
        const auto to = to_socket_address(
            {.address = balancer_address(balancer), .port = link_port});
        sendto(sockets_.back(), it.data(), it.size(), 0,
               reinterpret_cast<const sockaddr *>(&to), sizeof to);
    }

    // A packet of a flow that an upstream has answered.
    auto make_later_packet(std::uint16_t port, const std::uint8_t *binding,
                           std::uint8_t flags) const -> packet {
        constexpr std::uint32_t acknowledged = 500;
        auto it = make_packet(caller(), port, flags);
        store_big_u32(it.data() + acknowledged_offset, acknowledged);
        std::copy_n(binding, sizeof acknowledged, it.data() + binding_offset);
        return it;
    }

    // Sends the last packets of the flows that have been open for `flow_time`.
    auto end_flows(time_point now) -> void {
        while (!open_.empty() && open_.front().first <= now) {
            const auto &last = open_.front().second;
            send_packet(load_big_u16(last.data() + source_port_offset) %
                            drill_balancers,
                        last);
            open_.pop_front();
        }
    }

    // Opens one flow at each balancer.
    auto open_flows() -> void {
        constexpr std::uint16_t first_port = 1'024;
        for (std::size_t i = 0; i < drill_balancers; ++i) {
            const auto port = static_cast<std::uint16_t>(
                first_port + next_flow_ % (drill_balancers * 12'000));
            ++next_flow_;
            ++report_.openings;
            send_packet(port % drill_balancers,
                        make_packet(caller(), port, flag_open));
        }
    }

    auto receive_at_upstream(std::size_t i, const std::uint8_t *received)
        -> void {
        if ((received[flags_offset] & flag_open) == 0)
            return;
        ++report_.delivered;
        const auto now = monotonic::now();
        {
            const std::lock_guard lock(mutex_);
            const auto left = left_at_[i];
            if (left != time_point{} && now > left + time_bound)
                ++report_.misplaced;
        }
        const auto port = load_big_u16(received + source_port_offset);
        const auto *binding = received + binding_offset;
        send_packet(port % drill_balancers,
                    make_later_packet(port, binding, flag_acknowledge));
        open_.emplace_back(
            now + flow_time,
            make_later_packet(port, binding, flag_acknowledge | flag_finish));
    }

    auto receive_all() -> void {
        std::array<std::uint8_t, 256> buf;
        for (std::size_t i = 0; i < sockets_.size(); ++i) {
            const auto at_upstream = i < upstream_count;
            const auto skipped = at_upstream ? delivery_size : 0;
            ssize_t size = 0;
            while ((size = recv(sockets_[i], buf.data(), buf.size(), 0)) > 0) {
                if (static_cast<std::size_t>(size) < header_size + skipped)
                    continue;
                if (at_upstream)
                    receive_at_upstream(i, buf.data() + skipped);
                else if ((buf[flags_offset] & flag_reset) != 0)
                    ++report_.refused;
            }
        }
    }

    auto run_load() -> void {
        std::vector<pollfd> polled;
        for (const auto fd : sockets_)
            polled.push_back({.fd = fd, .events = POLLIN, .revents = 0});
        auto next = monotonic::now();
        while (!stop_) {
            const auto now = monotonic::now();
            if (now >= next) {
                open_flows();
                next = std::max(next + opening_interval, now);
            }
            end_flows(now);
            constexpr int wait_ms = 2;
            poll(polled.data(), polled.size(), wait_ms);
            receive_all();
        }
    }

    drill_kind kind_;
    std::string daemon_;
    store_standin store_;
    std::vector<std::unique_ptr<process>> balancers_;
    std::vector<int> sockets_;
    std::thread load_;
    std::atomic<bool> stop_{false};
    std::mutex mutex_; ///< guards `left_at_`
    /// When each upstream began to drain or its entry was removed.
    std::vector<time_point> left_at_;
    std::vector<time_point> returns_; ///< of the store
    /// Last packets of the open flows, and when they are to be sent.
    std::deque<std::pair<time_point, packet>> open_;
    std::size_t next_flow_ = 0;
    drill_report report_;
};

} // namespace

auto to_string(drill_kind kind) -> std::string {
    static constexpr std::array names{"once", "twice", "half unreachable",
                                      "restarted", "without header"};
    return names[static_cast<std::size_t>(kind)];
}

auto run_restore_drill(drill_kind kind, const std::string &daemon)
    -> drill_report {
    constexpr std::uint32_t first_store_address = 0x7f5a00c8; // 127.90.0.200
    auto store = store_standin::start(first_store_address +
                                      (static_cast<std::uint32_t>(kind) << 8));
    if (!store)
        return {.problem = store.error().message()};
    return drill(kind, daemon, std::move(store.value())).run();
}

} // namespace dogwoodtrack::standin
