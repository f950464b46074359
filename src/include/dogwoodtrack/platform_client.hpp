#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// Kinds of objects of the platform that this client reads.
enum class platform_resource { contracts, endpoint_slices };

/// One object of the platform. `spec_json` holds the desired state: the spec
/// of a contract, or an endpoint slice without its metadata.
struct platform_object {
    std::string name;
    std::string resource_version;
    std::uint64_t generation = 0;
    std::string change_id; ///< identifies the last write, see `put_contract`
    std::string spec_json;
    std::string status_json;
};

/// A list of objects and the resource version from which a watch can continue.
struct platform_list {
    std::string resource_version;
    std::vector<platform_object> objects;
};

/// Settings of a platform client.
struct platform_options {
    endpoint address;
    std::string client_name = "dogwoodtrack";
    milliseconds timeout{2000};         ///< of each connect, read and write
    milliseconds watch_timeout{10'000}; ///< without data during a watch
};

/// Why a watch ended. `closed`: the platform ended the response, and a new
/// watch can continue. `expired`: the version is too old for the platform, and
/// the objects have to be listed again. `unreachable`: the connection failed
/// or timed out, or the watch was stopped.
enum class watch_end { closed, expired, unreachable };

/// A client of the platform's object API, which follows the Kubernetes
/// conventions: list, watch with bookmarks, conditional update. Thread safe:
/// each call opens its own connection.
class platform_client {
public:
    explicit platform_client(platform_options options);

    /// Returns all objects of a kind. Fails with
    /// `error_kind::platform_unreachable` or `error_kind::platform_refused`.
    auto list(platform_resource resource) const -> result<platform_list>;

    /// Returns one object. Fails as `list` does, or with
    /// `error_kind::platform_not_found`.
    auto get(platform_resource resource, const std::string &name) const
        -> result<platform_object>;

    /// Calls `on_change` for each object added or modified after `version`,
    /// until the stream ends or `stop` is true when data arrives. Advances
    /// `version` with each event, bookmarks included.
    auto watch(platform_resource resource, std::string &version,
               const std::function<void(const platform_object &)> &on_change,
               const std::atomic<bool> &stop) const -> watch_end;

    /// Writes the spec of a contract if the platform still has it in version
    /// `object.resource_version`; an empty version creates the contract. If the
    /// response is lost or reports a server error, the object is read back: its
    /// change id tells whether the write took effect, so that no change is
    /// written twice. Fails as `get` does, or with
    /// `error_kind::contract_conflict`. Precondition: `spec_json` is valid
    /// JSON.
    auto put_contract(const platform_object &object) const
        -> result<platform_object>;

    /// Writes the status of a contract unconditionally. Fails as `get` does,
    /// or with `error_kind::contract_conflict`. Precondition: `status_json` is
    /// valid JSON.
    auto put_status(const std::string &name,
                    const std::string &status_json) const -> result<void>;

private:
    platform_options options_;
};

} // namespace dogwoodtrack
