#pragma once

#include <deque>
#include <random>
#include <set>

#include "packet.hpp"
#include "store.hpp"

namespace standin {

/// What a host took: for the checks of the cases.
struct taken_opening {
    double when = 0;
    address client;
    std::string host;
};

/// A host: takes flows over UDP in the form `echo`, works on at most `slots`
/// requests at a time, queues `queue` more, and keeps its entry in the store.
class host {
public:
    struct options {
        std::string id;
        std::string service;
        std::string zone;
        address where;
        unsigned slots = 3;
        unsigned queue = 12;
        std::size_t max_flows = 2'000;
    };

    host(world &it, store &entries, options given)
        : world_(it), store_(entries), options_(std::move(given)),
          random_(static_cast<unsigned>(options_.where.ip)) {}

    /// Starts a new incarnation under the same id.
    auto start() -> bool {
        fd_ = open_socket(SOCK_DGRAM, options_.where);
        if (fd_ < 0)
            return false;
        const auto since_epoch =
            std::chrono::system_clock::now().time_since_epoch();
        born_ = static_cast<std::uint64_t>(
            std::chrono::duration<double, std::milli>(since_epoch).count());
        flows_.clear();
        busy_ = 0;
        waiting_.clear();
        ++incarnation_;
        up = true;
        state_ = "ready";
        write_entry();
        beat(incarnation_);
        world_.watch(fd_, [this] { read(); });
        return true;
    }

    /// Its entry as it would write it now.
    auto entry() const -> std::string {
        return R"({"service":")" + options_.service + R"(","address":")" +
               text_of(options_.where) + R"(","zone":")" + options_.zone +
               R"(","version":"v1","slots":)" + std::to_string(options_.slots) +
               R"(,"state":")" + state_ +
               R"(","cold_remaining_ms":0,"sequence":1,"born":)" +
               std::to_string(born_) + "}";
    }

    /// Ends the process without a word.
    auto crash() -> void {
        if (fd_ < 0)
            return;
        world_.unwatch(fd_);
        close(fd_);
        fd_ = -1;
        up = false;
        ++incarnation_;
    }

    auto drain() -> std::uint64_t {
        state_ = "draining";
        return write_entry();
    }

    auto id() const -> const std::string & {
        return options_.id;
    }

    bool up = false;
    std::vector<taken_opening> openings;
    std::vector<std::string> ran; ///< ids of the requests that it worked on

private:
    struct flow {
        std::uint32_t first_seq = 0; ///< of the SYN+ACK
        std::uint32_t own_seq = 0;   ///< next byte to send
        std::uint32_t next_seq = 0;  ///< next byte expected
        std::uint32_t echo = 0;
        bool open = false;
        bool ended = false;
        std::string unacked;
        std::uint32_t unacked_seq = 0;
        std::uint8_t unacked_flags = ack_flag;
        int repeats = 0;
    };
    using key = std::pair<address, address>; ///< client's end, route's end
    struct job {
        key of;
        std::string request;
    };

    auto write_entry() -> std::uint64_t {
        return store_.put("servers", options_.id, entry());
    }

    // Writes the entry again and again. The store takes that for a change only
    // if the entry has become another one meanwhile.
    auto beat(int incarnation) -> void {
        world_.after(heartbeat_ms, [this, incarnation] {
            if (incarnation != incarnation_)
                return;
            if (store_.current("servers", options_.id) != entry()) {
                write_entry();
                world_.record("host %s writes its entry again",
                              options_.id.c_str());
            }
            beat(incarnation);
        });
    }

    auto read() -> void {
        char buf[2'048];
        while (fd_ >= 0) {
            const auto n = recv(fd_, buf, sizeof buf, 0);
            if (n < 0)
                return;
            const std::string bytes(buf, static_cast<std::size_t>(n));
            if (bytes.size() < 8)
                continue;
            const auto wanted = get(bytes, 0, 8);
            const auto it = decode(bytes.substr(8));
            // The digits of the id name the host that is meant.
            if (!it ||
                (wanted != 0 &&
                 wanted != std::stoull(options_.id.substr(2), nullptr, 16)))
                continue;
            if (it->sum != sum_of(*it))
                world_.record("host %s got a changed packet",
                              options_.id.c_str());
            else
                take(*it);
        }
    }

    auto reply(const packet &to, std::uint8_t flags, std::uint32_t seq,
               std::uint32_t ack, std::uint32_t echo, const std::string &data)
        -> void {
        send_client({to.from, to.to}, flags, seq, ack, echo, data);
    }
    auto send_client(const key &of, std::uint8_t flags, std::uint32_t seq,
                     std::uint32_t ack, std::uint32_t echo,
                     const std::string &data) -> void {
        // Clients read at the port number of `datagram_addr`.
        send_to(fd_, {of.first.ip, link_port},
                encode({.flags = flags,
                        .seq = seq,
                        .ack = ack,
                        .echo = echo,
                        .from = of.second,
                        .to = of.first,
                        .data = data}));
    }

    auto take(const packet &it) -> void {
        const key of{it.from, it.to};
        const auto found = flows_.find(of);
        if ((it.flags & syn) != 0)
            return take_opening(of, it);
        if (found == flows_.end())
            return reply(it, rst, it.ack, 0, it.echo, "");
        auto &one = found->second;
        if (!one.open) {
            if (it.ack != one.own_seq)
                return reply(it, rst, it.ack, 0, it.echo, "");
            one.open = true;
        }
        one.echo = it.echo;
        if (it.ack == one.own_seq)
            one.unacked.clear();
        if ((it.flags & rst) != 0) {
            flows_.erase(found);
            return;
        }
        if (one.ended && !it.data.empty())
            return reply(it, rst, it.ack, 0, it.echo, "");
        if (!it.data.empty() && it.seq == one.next_seq) {
            one.next_seq += static_cast<std::uint32_t>(it.data.size());
            accept(of, it.data);
        } else if (!it.data.empty()) {
            reply(it, ack_flag, one.own_seq, one.next_seq, one.echo, "");
        }
        if ((it.flags & fin) != 0) {
            one.ended = true;
            reply(it, ack_flag, one.own_seq, it.seq + 1, one.echo, "");
        }
    }

    auto take_opening(const key &of, const packet &it) -> void {
        // A full host sends nothing.
        if (flows_.size() >= options_.max_flows && !flows_.contains(of))
            return;
        auto &one = flows_[of];
        if (one.next_seq != it.seq + 1) {
            one = {};
            one.first_seq = random_();
            one.own_seq = one.first_seq + 1;
            one.next_seq = it.seq + 1;
        }
        if (one.open)
            return;
        openings.push_back({world_.now(), it.from, options_.id});
        one.echo = it.echo;
        reply(it, syn | ack_flag, one.first_seq, one.next_seq, one.echo, "");
    }

    auto accept(const key &of, const std::string &request) -> void {
        if (busy_ >= options_.slots && waiting_.size() >= options_.queue) {
            respond(of, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n");
            return;
        }
        waiting_.push_back({of, request});
        start_jobs();
    }

    static auto header(const std::string &request, const std::string &name)
        -> std::string {
        const auto at = request.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return "";
        const auto begin = at + name.size() + 4;
        return request.substr(begin, request.find("\r\n", begin) - begin);
    }

    auto start_jobs() -> void {
        while (busy_ < options_.slots && !waiting_.empty()) {
            const auto next = waiting_.front();
            waiting_.pop_front();
            ++busy_;
            const auto id = header(next.request, "Request-Id");
            const auto work = header(next.request, "Work-Ms");
            ran.push_back(id);
            world_.record("host %s begins request %s", options_.id.c_str(),
                          id.c_str());
            world_.after(
                std::stod(work), [this, next, id, incarnation = incarnation_] {
                    if (incarnation != incarnation_)
                        return;
                    --busy_;
                    world_.record("host %s answers request %s",
                                  options_.id.c_str(), id.c_str());
                    respond(next.of, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                                         "\r\nResponse-Signature: s" + id +
                                         "\r\nContent-Length: 600\r\n\r\n" +
                                         std::string(600, 'x'));
                    start_jobs();
                });
        }
    }

    auto respond(const key &of, const std::string &response) -> void {
        const auto found = flows_.find(of);
        if (found == flows_.end())
            return;
        auto &one = found->second;
        one.unacked = response;
        one.unacked_seq = one.own_seq;
        one.own_seq += static_cast<std::uint32_t>(response.size());
        one.repeats = 0;
        send_response(of, incarnation_, response);
    }

    auto send_response(const key &of, int incarnation,
                       const std::string &response) -> void {
        const auto found = flows_.find(of);
        if (incarnation != incarnation_ || found == flows_.end() ||
            found->second.unacked != response || found->second.repeats > 8)
            return;
        auto &one = found->second;
        send_client(of, ack_flag, one.unacked_seq, one.next_seq, one.echo,
                    response);
        const auto pause = std::min(200.0 * (1 << one.repeats++), 1'600.0);
        world_.after(pause, [this, of, incarnation, response] {
            send_response(of, incarnation, response);
        });
    }

public:
    static constexpr double heartbeat_ms = 1'200;
    static inline std::uint16_t link_port = 0;

private:
    world &world_;
    store &store_;
    options options_;
    std::mt19937 random_;
    int fd_ = -1;
    int incarnation_ = 0;
    std::uint64_t born_ = 0;
    std::string state_ = "ready";
    std::map<key, flow> flows_;
    unsigned busy_ = 0;
    std::deque<job> waiting_;
};

} // namespace standin
