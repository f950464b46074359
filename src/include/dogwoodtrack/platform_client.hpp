#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// A kind of object the platform holds.
enum class platform_resource { contracts, endpoint_slices };

/// One object of the platform. `spec_json` is the part that controllers
/// read: the spec of a contract, the body of an endpoint slice.
struct platform_object {
    std::string name;
    std::string resource_version;
    std::uint64_t generation = 0;
    std::string change_id;
    std::string spec_json;
    std::string status_json;
};

/// A list together with the version that a watch goes on from.
struct platform_list {
    std::string resource_version;
    std::vector<platform_object> objects;
};

/// Settings of a platform client.
struct platform_options {
    endpoint address;
    std::string client_name = "dogwoodtrack";
    milliseconds timeout{2000};
    milliseconds watch_timeout{10'000};
};

/// Why a watch came to its end.
enum class watch_end { closed, expired, unreachable };

/// A client of the platform's object API, which follows the Kubernetes
/// conventions: list, watch with bookmarks, conditional update. Each call
/// uses a connection of its own, so that any thread may call.
class platform_client {
public:
    explicit platform_client(platform_options options);

    /// All objects of a kind. Fails with `error_kind::platform_unreachable`
    /// or `error_kind::platform_refused`.
    auto list(platform_resource resource) const -> result<platform_list>;

    /// One object. Fails also with `error_kind::platform_not_found`.
    auto get(platform_resource resource, const std::string &name) const
        -> result<platform_object>;

    /// Follows changes from `version` on until the stream ends or `stop`
    /// becomes true.
    auto watch(platform_resource resource, std::string &version,
               const std::function<void(const platform_object &)> &changed,
               const std::atomic<bool> &stop) const -> watch_end;

    /// Writes the spec of a contract if its version is still
    /// `resource_version`; an empty one creates it. After an answer that was
    /// lost the object is read back and its change id compared, so that no
    /// change is written twice. Fails with `error_kind::contract_conflict`.
    auto put_contract(const platform_object &object) const
        -> result<platform_object>;

    /// Writes the status of a contract unconditionally.
    auto put_status(const std::string &name,
                    const std::string &status_json) const -> result<void>;

private:
    platform_options options_;
};

} // namespace dogwoodtrack
