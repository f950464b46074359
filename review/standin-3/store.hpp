#pragma once

#include <deque>
#include <memory>

#include "world.hpp"

namespace standin {

/// The platform's metadata store: lists in pages, watches, and reads that may
/// be stale. Two copies serve stale reads; the calls of one connection go to
/// them in turn.
class store {
public:
    store(world &it, const address &where) : world_(it), address_(where) {}

    auto open() -> bool {
        listener_ = open_socket(SOCK_STREAM, address_);
        if (listener_ < 0 || listen(listener_, 64) != 0)
            return false;
        world_.watch(listener_, [this] { accept_all(); });
        return true;
    }

    /// Creates or replaces an object; returns its revision.
    auto put(const std::string &kind, const std::string &name,
             const std::string &spec) -> std::uint64_t {
        return write({.kind = kind, .name = name, .spec = spec});
    }
    auto remove(const std::string &kind, const std::string &name)
        -> std::uint64_t {
        return write({.kind = kind, .name = name, .spec = "", .deleted = true});
    }

    /// The latest `spec` of an object; empty if there is none.
    auto current(const std::string &kind, const std::string &name) const
        -> std::string {
        for (auto it = log_.rbegin(); it != log_.rend(); ++it)
            if (it->kind == kind && it->name == name)
                return it->spec;
        return "";
    }

    double fresh_lag_ms = 100;   ///< of the first copy for stale reads
    double late_lag_ms = 3'000;  ///< of the second copy
    std::size_t page_size = 500; ///< entries in one page of a list

private:
    struct change {
        std::string kind;
        std::string name;
        std::string spec;
        bool deleted = false;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        double when = 0;
    };
    struct connection {
        int fd = -1;
        std::string unread;
        unsigned stale_calls = 0;
    };

    auto write(change next) -> std::uint64_t {
        next.revision = ++revision_;
        next.when = world_.now();
        next.created = next.revision;
        for (const auto &it : log_)
            if (it.kind == next.kind && it.name == next.name)
                next.created = it.deleted ? next.revision : it.created;
        log_.push_back(next);
        answer_watches();
        return next.revision;
    }

    auto accept_all() -> void {
        while (true) {
            const auto fd = accept4(listener_, nullptr, nullptr,
                                    SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0)
                return;
            auto it = std::make_shared<connection>();
            it->fd = fd;
            world_.watch(fd, [this, it] { read(it); });
        }
    }

    auto drop(const std::shared_ptr<connection> &it) -> void {
        if (it->fd < 0)
            return;
        world_.unwatch(it->fd);
        close(it->fd);
        it->fd = -1;
    }

    auto read(const std::shared_ptr<connection> &it) -> void {
        char buf[4'096];
        const auto n = recv(it->fd, buf, sizeof buf, 0);
        if (n <= 0)
            return drop(it);
        it->unread.append(buf, static_cast<std::size_t>(n));
        const auto end = it->unread.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        const auto begin = it->unread.find(' ') + 1;
        const auto target =
            it->unread.substr(begin, it->unread.find(' ', begin) - begin);
        it->unread.erase(0, end + 4);
        // An answer takes 4 ms.
        world_.after(4, [this, it, target] { call(it, target); });
    }

    static auto parameter(const std::string &target, const std::string &name)
        -> std::string {
        auto at = target.find("?" + name + "=");
        if (at == std::string::npos)
            at = target.find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        at += name.size() + 2;
        return target.substr(at, target.find('&', at) - at);
    }

    auto call(const std::shared_ptr<connection> &it, const std::string &target)
        -> void {
        const std::string prefix = "/objects/";
        const auto kind =
            target.substr(prefix.size(), target.find('?') - prefix.size());
        const auto watch = parameter(target, "watch");
        if (!watch.empty())
            return start_watch(it, kind, std::stoull(watch),
                               std::stod(parameter(target, "wait_ms")));
        auto as_of = revision_;
        const auto stale = parameter(target, "allow_stale") == "1";
        if (stale)
            as_of = revision_at(world_.now() - (it->stale_calls++ % 2 == 0
                                                    ? fresh_lag_ms
                                                    : late_lag_ms));
        const auto after = parameter(target, "after");
        world_.record("store: list of %s after '%s', %s, as of %llu",
                      kind.c_str(), after.c_str(), stale ? "stale" : "current",
                      static_cast<unsigned long long>(as_of));
        answer(it, list(kind, as_of, after));
    }

    auto revision_at(double when) const -> std::uint64_t {
        std::uint64_t found = first_revision_;
        for (const auto &it : log_)
            if (it.when <= when)
                found = it.revision;
        return found;
    }

    static auto object(const change &it) -> std::string {
        return R"({"meta":{"name":")" + it.name + R"(","revision":)" +
               std::to_string(it.revision) + R"(,"create_rev":)" +
               std::to_string(it.created) +
               R"(,"finalizers":[],"deleting":false},"spec":)" +
               (it.spec.empty() ? "null" : it.spec) + R"(,"status":null})";
    }

    auto list(const std::string &kind, std::uint64_t as_of,
              const std::string &after) const -> std::string {
        std::map<std::string, const change *> latest;
        for (const auto &it : log_)
            if (it.kind == kind && it.revision <= as_of)
                latest[it.name] = &it;
        std::string items;
        std::size_t n = 0;
        auto more = false;
        for (const auto &[name, it] : latest) {
            if (it->deleted || name <= after)
                continue;
            more = n == page_size;
            if (more)
                break;
            items += (n++ == 0 ? "" : ",") + object(*it);
        }
        return R"({"items":[)" + items + R"(],"has_more":)" +
               (more ? "true" : "false") + R"(,"as_of":)" +
               std::to_string(as_of) + "}";
    }

    auto events(const std::string &kind, std::uint64_t since) const
        -> std::string {
        std::string list;
        for (const auto &it : log_)
            if (it.kind == kind && it.revision > since)
                list += (list.empty() ? "" : ",") +
                        (R"({"object":)" + object(it) + R"(,"deleted":)") +
                        (it.deleted ? "true}" : "false}");
        return list;
    }

    struct waiting_watch {
        std::shared_ptr<connection> from;
        std::string kind;
        std::uint64_t since = 0;
        double end = 0;
    };

    auto start_watch(const std::shared_ptr<connection> &it,
                     const std::string &kind, std::uint64_t since, double wait)
        -> void {
        watches_.push_back({it, kind, since, world_.now() + wait});
        world_.after(wait, [this] { answer_watches(); });
        answer_watches();
    }

    auto answer_watches() -> void {
        for (auto it = watches_.begin(); it != watches_.end();) {
            const auto found = events(it->kind, it->since);
            if (found.empty() && world_.now() < it->end) {
                ++it;
                continue;
            }
            answer(it->from, R"({"events":[)" + found + R"(],"as_of":)" +
                                 std::to_string(revision_) + "}");
            it = watches_.erase(it);
        }
    }

    auto answer(const std::shared_ptr<connection> &it, const std::string &body)
        -> void {
        if (it->fd < 0)
            return;
        send_all(it, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    auto send_all(const std::shared_ptr<connection> &it,
                  const std::string &bytes) -> void {
        const auto n = send(it->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN)
            return drop(it);
        const auto sent = n < 0 ? 0 : static_cast<std::size_t>(n);
        if (sent < bytes.size())
            world_.after(1, [this, it, rest = bytes.substr(sent)] {
                if (it->fd >= 0)
                    send_all(it, rest);
            });
    }

    world &world_;
    address address_;
    int listener_ = -1;
    std::uint64_t first_revision_ = 500;
    std::uint64_t revision_ = first_revision_;
    std::vector<change> log_;
    std::deque<waiting_watch> watches_;
};

} // namespace standin
