#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "fleet.hpp"
#include "upstreams.hpp"

namespace dogwoodtrack::carried {

/// How a call to the platform's store ended.
enum class store_outcome : std::uint8_t {
    listed,       ///< the whole feed, as of `as_of`
    changed,      ///< all changes after the revision asked for, maybe none
    history_gone, ///< the changes asked for are not kept: list again
    refused,      ///< the store answered that it did nothing
    failed        ///< no answer in time, or none that can be read
};

/// Name of an outcome in logs and metrics, for example `history_gone`.
auto to_string(store_outcome outcome) -> std::string_view;

/// The answer to one call.
struct store_answer {
    feed what{};
    store_outcome outcome = store_outcome::failed;
    std::uint64_t as_of = 0;
    bool may_be_stale = false; ///< says nothing of the present
    std::vector<upstream_record> records;
    std::shared_ptr<configuration> settings; ///< if it was there and changed
    std::string detail;                      ///< of a refusal or failure
};

/// One call to the store.
struct store_call {
    feed what{};
    bool list = false;
    bool may_be_stale = false; ///< a cheaper list, at times seconds old
    std::uint64_t since = 0;   ///< of a watch
    milliseconds wait{0};      ///< of a watch
};

/// The platform's store. One call a feed at a time; answers arrive through
/// the event loop that the implementation uses.
class store_port {
public:
    store_port() = default;
    store_port(const store_port &) = delete;
    auto operator=(const store_port &) -> store_port & = delete;
    virtual ~store_port() = default;

    /// Starts a call. Precondition: none of the same feed is under way.
    virtual auto start(const store_call &call, time_point now) -> void = 0;

    /// Ends calls that are overdue and returns the answers that came.
    virtual auto take(time_point now) -> std::vector<store_answer> = 0;

    /// When `take` has to be called next if nothing arrives.
    virtual auto next_deadline() const -> time_point = 0;
};

} // namespace dogwoodtrack::carried
