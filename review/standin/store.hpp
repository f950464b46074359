#pragma once

#include <algorithm>
#include <memory>
#include <optional>

#include "event_loop.hpp"
#include "net.hpp"

namespace review {

/// Stand-in for the platform's store: the reading calls that balancers make,
/// over HTTP/1.1. The operator and the hosts write to it by method calls.
class store {
public:
    static constexpr milliseconds usual_answer_delay{4};
    static constexpr std::size_t page_size = 500;
    static constexpr std::size_t page_bytes = 1'000'000;

    store(event_loop &loop, const endpoint &local)
        : loop_(loop), listener_(open_socket(SOCK_STREAM, local)) {
        listen(listener_, 64);
        loop_.add(listener_, [this] { accept_all(); });
    }

    /// Writes an object; `spec` is JSON text. A write that changes nothing does
    /// not change the revision.
    auto put(const std::string &kind, const std::string &name,
             const std::string &spec) -> void {
        auto &it = objects_[kind][name];
        if (it.revision != 0 && it.spec == spec)
            return;
        it.revision = ++revision_;
        if (it.created == 0)
            it.created = revision_;
        it.spec = spec;
        add_event(kind, name, false, it);
    }

    auto remove(const std::string &kind, const std::string &name) -> void {
        const auto found = objects_[kind].find(name);
        if (found == objects_[kind].end())
            return;
        auto it = found->second;
        it.revision = ++revision_;
        objects_[kind].erase(found);
        add_event(kind, name, true, it);
    }

    /// Time that an answer takes from now on.
    auto set_answer_delay(milliseconds delay) -> void {
        answer_delay_ = delay;
    }

    /// How old the data of lists with `allow_stale` is from now on.
    auto set_staleness(milliseconds age) -> void {
        staleness_ = age;
    }

    /// Calls answered so far, by HTTP status.
    auto answers() const -> const std::map<int, int> & {
        return answers_;
    }

private:
    struct object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };

    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    using object_map = std::map<std::string, std::map<std::string, object>>;

    /// All objects as they were from `since` on.
    struct snapshot {
        time_point since;
        std::uint64_t revision = 0;
        object_map objects;
    };

    struct query {
        std::string kind;
        bool may_be_stale = false;
        std::string after;
        std::optional<std::uint64_t> watch;
        milliseconds wait{0};
    };

    static auto object_text(const std::string &name, const object &it)
        -> std::string {
        return "{\"meta\":{\"name\":" + quote(name) +
               ",\"revision\":" + std::to_string(it.revision) +
               ",\"create_rev\":" + std::to_string(it.created) +
               ",\"finalizers\":[],\"deleting\":false},\"spec\":" + it.spec +
               ",\"status\":null}";
    }

    static auto quote(const std::string &text) -> std::string {
        std::string quoted = "\"";
        for (const auto c : text) {
            if (c == '"' || c == '\\')
                quoted += '\\';
            quoted += c;
        }
        return quoted + "\"";
    }

    auto add_event(const std::string &kind, const std::string &name,
                   bool deleted, const object &it) -> void {
        snapshots_.push_back({clock_type::now(), revision_, objects_});
        history_.push_back({revision_, kind,
                            std::string("{\"deleted\":") +
                                (deleted ? "true" : "false") +
                                ",\"object\":" + object_text(name, it) + "}"});
    }

    auto accept_all() -> void {
        while (true) {
            const auto fd = accept4(listener_, nullptr, nullptr,
                                    SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const auto buf = std::make_shared<std::string>();
            open_[fd] = ++connections_;
            loop_.add(fd, [this, fd, buf] { read(fd, *buf); });
        }
    }

    auto disconnect(int fd) -> void {
        loop_.remove(fd);
        open_.erase(fd);
        close(fd);
    }

    auto read(int fd, std::string &buf) -> void {
        char bytes[4096];
        const auto n = recv(fd, bytes, sizeof bytes, 0);
        if (n < 0 && errno == EAGAIN)
            return;
        if (n <= 0)
            return disconnect(fd);
        buf.append(bytes, static_cast<std::size_t>(n));
        const auto end = buf.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        const auto line = buf.substr(0, buf.find("\r\n"));
        buf.erase(0, end + 4);
        handle(fd, open_[fd], line);
    }

    // Decodes %XX and + as in a query string.
    static auto decode(const std::string &text) -> std::string {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                decoded += static_cast<char>(
                    std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                decoded += text[i] == '+' ? ' ' : text[i];
            }
        }
        return decoded;
    }

    // Parses a request line of three words; nothing if it is malformed.
    static auto parse(const std::string &line) -> std::optional<query> {
        const auto first = line.find(' ');
        const auto last = line.rfind(' ');
        if (std::count(line.begin(), line.end(), ' ') != 2 ||
            line.substr(0, first) != "GET")
            return std::nullopt;
        auto target = line.substr(first + 1, last - first - 1);
        const std::string prefix = "/objects/";
        if (target.rfind(prefix, 0) != 0)
            return std::nullopt;
        query it;
        const auto mark = std::min(target.find('?'), target.size());
        it.kind = target.substr(prefix.size(), mark - prefix.size());
        auto rest =
            mark < target.size() ? target.substr(mark + 1) : std::string();
        while (!rest.empty()) {
            const auto end = std::min(rest.find('&'), rest.size());
            const auto pair = rest.substr(0, end);
            rest.erase(0, std::min(end + 1, rest.size()));
            const auto equals = std::min(pair.find('='), pair.size());
            const auto key = pair.substr(0, equals);
            const auto value =
                decode(pair.substr(std::min(equals + 1, pair.size())));
            if (key == "allow_stale")
                it.may_be_stale = value == "1";
            else if (key == "after")
                it.after = value;
            else if (key == "watch")
                it.watch = std::stoull(value);
            else if (key == "wait_ms")
                it.wait = milliseconds{std::stoll(value)};
        }
        return it;
    }

    auto handle(int fd, std::uint64_t connection, const std::string &line)
        -> void {
        const auto asked = parse(line);
        if (!asked)
            return answer(fd, connection, 400, "{}");
        if (asked->watch)
            return watch(fd, connection, *asked, clock_type::now());
        answer(fd, connection, 200, list(*asked));
    }

    // The state that a list with `allow_stale` shows.
    auto stale_state() const -> const snapshot & {
        const auto wanted = clock_type::now() - staleness_;
        for (auto it = snapshots_.rbegin(); it != snapshots_.rend(); ++it) {
            if (it->since <= wanted)
                return *it;
        }
        return snapshots_.front();
    }

    auto list(const query &asked) -> std::string {
        const auto stale =
            asked.may_be_stale && staleness_.count() > 0 && !snapshots_.empty();
        const auto revision = stale ? stale_state().revision : revision_;
        const auto &source = stale ? stale_state().objects : objects_;
        const auto found = source.find(asked.kind);
        const std::map<std::string, object> none;
        std::string items;
        std::size_t count = 0;
        auto more = false;
        for (const auto &[name, it] :
             found == source.end() ? none : found->second) {
            if (name <= asked.after)
                continue;
            if (count == page_size || items.size() > page_bytes) {
                more = true;
                break;
            }
            items += (count++ > 0 ? "," : "") + object_text(name, it);
        }
        return "{\"items\":[" + items +
               "],\"has_more\":" + (more ? "true" : "false") +
               ",\"as_of\":" + std::to_string(revision) + "}";
    }

    auto watch(int fd, std::uint64_t connection, const query &asked,
               time_point since) -> void {
        std::string events;
        for (const auto &it : history_) {
            if (it.kind == asked.kind && it.revision > *asked.watch)
                events += (events.empty() ? "" : ",") + it.text;
        }
        if (!events.empty() || clock_type::now() - since >= asked.wait)
            return answer(fd, connection, 200,
                          "{\"events\":[" + events +
                              "],\"as_of\":" + std::to_string(revision_) + "}");
        constexpr milliseconds poll_interval{10};
        loop_.after(poll_interval, [this, fd, connection, asked, since] {
            if (is_open(fd, connection))
                watch(fd, connection, asked, since);
        });
    }

    auto is_open(int fd, std::uint64_t connection) const -> bool {
        const auto found = open_.find(fd);
        return found != open_.end() && found->second == connection;
    }

    auto answer(int fd, std::uint64_t connection, int status,
                const std::string &body) -> void {
        ++answers_[status];
        const auto text =
            "HTTP/1.1 " + std::to_string(status) +
            (status == 200 ? " OK" : " Bad Request") +
            "\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        loop_.after(answer_delay_, [this, fd, connection, text] {
            if (is_open(fd, connection))
                write(fd, connection, text);
        });
    }

    auto write(int fd, std::uint64_t connection, const std::string &text)
        -> void {
        const auto n = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN)
            return;
        const auto rest =
            text.substr(static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        if (rest.empty())
            return;
        loop_.after(milliseconds{1}, [this, fd, connection, rest] {
            if (is_open(fd, connection))
                write(fd, connection, rest);
        });
    }

    event_loop &loop_;
    int listener_;
    std::uint64_t revision_ = 100;
    std::uint64_t connections_ = 0;
    std::map<int, std::uint64_t> open_;
    object_map objects_;
    std::vector<snapshot> snapshots_;
    milliseconds answer_delay_ = usual_answer_delay;
    milliseconds staleness_{0};
    std::vector<event> history_;
    std::map<int, int> answers_;
};

} // namespace review
