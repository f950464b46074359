#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::standin {

/// Number of endpoints at which a `store_standin` can be reached.
inline constexpr std::size_t store_endpoint_count = 2;

/// One call that the store has handled.
struct handled_call {
    time_point at;
    bool lost_history = false; ///< a watch answered with status 410
};

/// A small store of the users' platform for tests: lists and watches of the
/// kinds `config` and `servers` over HTTP, as `dogwoodtrackd-carried` reads
/// them. It can be cut off from the clients of each of its endpoints, and can
/// come back from an older copy. Member functions are thread safe.
class store_standin {
public:
    /// Starts a store at two ports of an address. Fails with
    /// `error_kind::socket_failed` if a port cannot be used.
    static auto start(std::uint32_t address) -> result<store_standin>;

    store_standin(store_standin &&) noexcept;
    ~store_standin();

    /// Addresses of the store, one for each group of clients.
    auto endpoints() const -> std::array<endpoint, store_endpoint_count>;

    /// Writes the entry `name` of a kind; `spec` is JSON.
    auto write(const std::string &kind, const std::string &name,
               const std::string &spec) -> void;
    /// Removes the entry `name` of a kind.
    auto remove(const std::string &kind, const std::string &name) -> void;

    /// Keeps a copy of the store as it is now.
    auto take_copy() -> void;
    /// Brings the last copy back: the revisions go back and are assigned again,
    /// and the era rises. Watches under way are answered with status 410.
    auto restore() -> void;
    /// Whether clients of an endpoint are served. All calls of the others are
    /// answered with status 503 and not counted.
    auto set_reachable(std::size_t index, bool reachable) -> void;
    /// Whether answers have the header `Store-Era`; they do at first.
    auto report_era(bool reported) -> void;

    /// The calls that were handled so far, in the order of their answers.
    auto calls() const -> std::vector<handled_call>;

private:
    struct state;
    explicit store_standin(std::unique_ptr<state> new_state);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack::standin
