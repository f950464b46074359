#pragma once

#include <string>

#include "carried/explanation.hpp"
#include "carried/http_responder.hpp"

namespace dogwoodtrack::carried {

/// Path of the operators' endpoint that explains where a new flow goes.
inline constexpr std::string_view explain_path = "/explain";

/// Reads the endpoints of a flow from `/explain?service=a.b.c.d:port` and the
/// optional parameter `caller`. Fails with `error_kind::bad_endpoint` if the
/// service is missing, an endpoint is malformed, or there is another or a
/// repeated parameter. Thread safe.
auto parse_explain_target(std::string_view target) -> result<flow_endpoints>;

/// The explanation as one JSON object. Services and failure domains are written
/// as the hashes of their names in hexadecimal digits.
auto explanation_json(const flow_explanation &it, const std::string &instance)
    -> std::string;

/// Answers a GET of `explain_path`. Malformed input is answered with status 400
/// and a JSON object with the member `error`.
auto explain_reply(const steering_state &state, const std::string &instance,
                   std::string_view target, time_point now) -> http_reply;

} // namespace dogwoodtrack::carried
