#pragma once

#include <memory>
#include <string>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::standin {

/// Faults injected into the simulated platform.
struct platform_faults {
    bool outage = false;   ///< every call fails, and open watches end
    milliseconds delay{0}; ///< time added before each response
    /// How many of the next writes are applied but answered with an error.
    unsigned lose_answers = 0;
    /// Whether lists and gets return the previous version of each object.
    bool stale_reads = false;
    /// Calls admitted per second; further ones get status 429. 0: no limit.
    unsigned calls_per_second = 0;
};

/// Calls that the platform has handled since its start, by kind. Calls rejected
/// by an injected outage or by the rate limit are not counted.
struct platform_usage {
    std::uint64_t lists = 0;
    std::uint64_t gets = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t status_writes = 0;
};

/// Simulates the object API of the platform over HTTP: objects with versions
/// and generations, conditional updates, and watches with bookmarks.
/// All methods are thread safe.
class platform_standin {
public:
    /// Listens on `address`. Fails with `error_kind::socket_failed`.
    static auto open(const endpoint &address)
        -> result<std::unique_ptr<platform_standin>>;
    ~platform_standin();

    auto set_faults(const platform_faults &faults) -> void;
    auto usage() const -> platform_usage;

    /// Writes an endpoint slice, as the platform itself does when instances or
    /// upstreams change. `body_json` must be a JSON object.
    auto put_endpoint_slice(const std::string &name,
                            const std::string &body_json) -> void;

    /// Generation of a contract, 0 if there is no such contract.
    auto contract_generation(const std::string &name) const -> std::uint64_t;

    /// Status of a contract as JSON, `null` if it has none.
    auto contract_status(const std::string &name) const -> std::string;

private:
    struct state;
    explicit platform_standin(std::unique_ptr<state> new_state);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack::standin
