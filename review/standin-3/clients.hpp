#pragma once

#include "fleet.hpp"
#include "packet.hpp"

namespace standin {

/// What a client saw of one flow.
struct flow_report {
    int answered = 0;
    bool opened = false;
    bool failed_to_open = false;
    bool reset_by_system = false; ///< while the flow was open
    bool reset_by_host = false;
    bool timed_out = false;
    double reset_at = 0;
};

/// A client with one flow: sends requests on it, one after the other.
class client {
public:
    struct options {
        std::string name;
        std::string zone;
        address from; ///< the port is that of the flow
        address to;   ///< of the route
        int requests = 1;
        double work_ms = 52;
        double pause_ms = 0; ///< between two requests
        double next_at = 0;  ///< earliest time of the second request
        double deadline_ms = 2'500;
        std::string method = "POST";
    };

    client(world &it, fleet &system, options given)
        : world_(it), fleet_(system), options_(std::move(given)) {}

    auto begin() -> void {
        seq_ = 0x10000000U + options_.from.port;
        open(0);
    }

    auto take(const packet &it) -> void {
        if (ended_)
            return;
        if (is_system_reset(it))
            return take_system_reset(it);
        if (it.sum != sum_of(it)) {
            world_.record("client %s got a changed packet",
                          options_.name.c_str());
            return;
        }
        if ((it.flags & syn) != 0)
            return take_handshake(it);
        // As the page says: the last `echo` received on the flow.
        echo_ = it.echo;
        if ((it.flags & rst) != 0) {
            report.reset_by_host = true;
            world_.record("client %s: reset by a host", options_.name.c_str());
            ended_ = true;
            return;
        }
        if (it.data.empty() || !report.opened)
            return;
        if (it.seq != expected_)
            return send(ack_flag, seq_, "");
        expected_ += static_cast<std::uint32_t>(it.data.size());
        seq_ += static_cast<std::uint32_t>(request_.size());
        request_.clear();
        send(ack_flag, seq_, "");
        ++report.answered;
        world_.record("client %s: answer to %s", options_.name.c_str(),
                      id().c_str());
        ++number_;
        if (number_ < options_.requests)
            world_.at(
                std::max(world_.now() + options_.pause_ms, options_.next_at),
                [this] { request(); });
        else
            finish();
    }

    auto name() const -> const std::string & {
        return options_.name;
    }
    auto endpoint() const -> const address & {
        return options_.from;
    }

    flow_report report;

private:
    auto id() const -> std::string {
        return options_.name + "-" + std::to_string(number_);
    }

    auto send(std::uint8_t flags, std::uint32_t seq, const std::string &data)
        -> void {
        auto *via = fleet_.route(options_.zone, options_.from, options_.to);
        if (via == nullptr)
            return;
        if (via->name != last_via_)
            world_.record("client %s: packets go to %s now",
                          options_.name.c_str(), via->name.c_str());
        last_via_ = via->name;
        send_to(socket_of(options_.from.ip), via->link,
                encode({.flags = flags,
                        .seq = seq,
                        .ack = (flags & syn) != 0 ? repeats_ : expected_,
                        .echo = echo_,
                        .from = options_.from,
                        .to = options_.to,
                        .data = data}));
    }

    auto open(unsigned repeats) -> void {
        if (ended_ || report.opened)
            return;
        constexpr double delays[] = {200, 400, 800};
        if (repeats == 3) {
            report.failed_to_open = true;
            ended_ = true;
            return;
        }
        repeats_ = repeats;
        send(syn, seq_, "");
        world_.after(delays[repeats], [this, repeats] { open(repeats + 1); });
    }

    auto take_handshake(const packet &it) -> void {
        if (report.opened || it.ack != seq_ + 1)
            return;
        echo_ = it.echo;
        report.opened = true;
        expected_ = it.seq + 1;
        ++seq_;
        request();
    }

    auto request() -> void {
        if (ended_)
            return;
        request_ = options_.method + " / HTTP/1.1\r\nHost: route\r\n" +
                   "Request-Id: " + id() +
                   "\r\nWork-Ms: " + std::to_string(options_.work_ms) +
                   "\r\nContent-Length: 0\r\n\r\n";
        world_.record("client %s sends %s", options_.name.c_str(),
                      id().c_str());
        send_request(number_, 0);
        world_.after(options_.deadline_ms, [this, number = number_] {
            if (ended_ || number != number_)
                return;
            report.timed_out = true;
            ended_ = true;
            world_.record("client %s: the deadline of %s passes",
                          options_.name.c_str(), id().c_str());
        });
    }

    auto send_request(int number, int repeats) -> void {
        if (ended_ || number != number_ || request_.empty())
            return;
        send(ack_flag, seq_, request_);
        world_.after(std::min(200.0 * (1 << repeats), 1'600.0),
                     [this, number, repeats] {
                         send_request(number, std::min(repeats + 1, 3));
                     });
    }

    auto finish() -> void {
        send(ack_flag | fin, seq_, "");
        ended_ = true;
    }

    auto take_system_reset(const packet &it) -> void {
        constexpr std::int64_t window = 76'800;
        if (!report.opened) {
            report.failed_to_open = true;
            ended_ = true;
            world_.record("client %s: rejected", options_.name.c_str());
            return;
        }
        const auto distance = static_cast<std::int32_t>(it.seq - expected_);
        if (distance > window || distance < -window)
            return;
        report.reset_by_system = true;
        report.reset_at = world_.now();
        ended_ = true;
        world_.record("client %s: open flow reset by the system%s%s",
                      options_.name.c_str(),
                      request_.empty() ? "" : ", no answer to ",
                      request_.empty() ? "" : id().c_str());
    }

public:
    static inline std::function<int(std::uint32_t)> socket_of;

private:
    world &world_;
    fleet &fleet_;
    options options_;
    std::uint32_t seq_ = 0;
    std::uint32_t expected_ = 0;
    std::uint32_t echo_ = 0;
    std::uint32_t repeats_ = 0;
    int number_ = 0;
    bool ended_ = false;
    std::string request_;
    std::string last_via_;
};

/// All clients: reads their sockets and hands packets to their flows.
class client_group {
public:
    client_group(world &it, fleet &system) : world_(it), fleet_(system) {
        client::socket_of = [this](std::uint32_t ip) { return socket(ip); };
    }

    auto add(client::options given) -> client & {
        const auto end = given.from;
        auto &it = all[end];
        it = std::make_unique<client>(world_, fleet_, std::move(given));
        socket(end.ip);
        return *it;
    }

    std::map<address, std::unique_ptr<client>> all;

private:
    auto socket(std::uint32_t ip) -> int {
        const auto [at, added] = sockets_.try_emplace(ip, -1);
        if (added) {
            at->second = open_socket(SOCK_DGRAM, {ip, fleet::link_port});
            world_.watch(at->second, [this, fd = at->second] { read(fd); });
        }
        return at->second;
    }

    auto read(int fd) -> void {
        char buf[2'048];
        while (true) {
            const auto n = recv(fd, buf, sizeof buf, 0);
            if (n < 0)
                return;
            const auto it =
                decode(std::string(buf, static_cast<std::size_t>(n)));
            if (!it)
                continue;
            const auto found = all.find(it->to);
            if (found != all.end())
                found->second->take(*it);
        }
    }

    world &world_;
    fleet &fleet_;
    std::map<std::uint32_t, int> sockets_;
};

} // namespace standin
