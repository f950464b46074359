#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "carried/feeds/evacuation_types.hpp"
#include "carried/members/fleet.hpp"
#include "carried/upstreams/upstreams.hpp"

namespace dogwoodtrack::carried {

/// How a call to the platform's store ended.
enum class store_outcome : std::uint8_t {
    listed,  ///< the whole feed as of store revision `as_of`
    changed, ///< all changes after `since` of the call, possibly none
    /// The store no longer has all changes after `since`: list the feed again.
    history_gone,
    /// The changes exceed the size limit of one answer: list the feed again,
    /// since a list comes in pages.
    too_large,
    refused, ///< the store answered with an error status
    failed   ///< connection failed, answer malformed or not in time
};

/// Name of an outcome in logs, for example `history_gone`. Thread safe.
auto to_string(store_outcome outcome) -> std::string_view;

/// An entry of the store that could not be used.
struct rejected_entry {
    std::string name;   ///< empty if it could not be read
    std::string reason; ///< for logs
};

/// Answer to one call.
struct store_answer {
    feed what{};
    store_outcome outcome = store_outcome::failed;
    /// The era in `as_of`, and in the revisions of all records, could not be
    /// read: it counts as the one in force.
    bool era_unreadable = false;
    store_revision as_of; ///< the answer shows the store at this revision
    /// The store's current revision may be later than `as_of`.
    bool may_be_stale = false;
    std::vector<upstream_record> records;
    /// Null if absent or unchanged.
    std::shared_ptr<configuration> latest_configuration;
    std::vector<rejected_entry> rejected;
    std::string detail; ///< reason for a refusal or failure
    /// In the order in which the store reported them.
    std::vector<evacuation_entry> evacuations;
};

/// Sets the era of all revisions in an answer.
auto set_era(store_answer &answer, std::uint64_t era) -> void;

/// One call to the store.
struct store_call {
    feed what{};
    /// Read the whole feed. If false, the call is a watch: it waits for
    /// changes.
    bool list = false;
    /// Accept a cheaper list that may be seconds old.
    bool may_be_stale = false;
    /// Watch: report the changes after this store revision.
    store_revision since;
    milliseconds wait{0}; ///< watch: how long to wait for a change
};

/// Interface to the platform's store. At most one call per feed is under way;
/// answers arrive through the event loop that the implementation uses. Not
/// thread safe.
class store_interface {
public:
    store_interface() = default;
    store_interface(const store_interface &) = delete;
    auto operator=(const store_interface &) -> store_interface & = delete;
    virtual ~store_interface() = default;

    /// Starts a call. Precondition: no call for the same feed is under way.
    virtual auto start(const store_call &call, time_point now) -> void = 0;

    /// Returns the answers that have arrived since the last call of this
    /// function. Calls whose deadline has passed end with the outcome
    /// `store_outcome::failed`.
    virtual auto take_answers(time_point now) -> std::vector<store_answer> = 0;

    /// Time at which `take_answers` must be called next even if no answer
    /// arrives.
    virtual auto next_deadline() const -> time_point = 0;
};

} // namespace dogwoodtrack::carried
