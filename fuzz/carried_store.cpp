#include "carried/quota/cold_quota.hpp"
#include "store_documents.hpp"

using namespace dogwoodtrack;

namespace {

// Derives the limits of cold upstreams from a decoded configuration.
auto derive_limits(const result<platform::decoded_page> &page) -> void {
    if (!page)
        return;
    carried::cold_quota quota;
    update_cold_limits(quota, page.value().latest_configuration.get(),
                       {.overage = 1.5, .slack = 5});
    for (const auto &[service, limit] : quota.limits) {
        if (limit.quota > carried::max_cold_quota ||
            limit.cold_start < milliseconds{0})
            __builtin_trap();
    }
}

} // namespace

// Decodes arbitrary bytes as a response of the platform's store, both as a list
// and as the events of a watch, for each of the feeds.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    const std::string body(reinterpret_cast<const char *>(data), size);
    for (const auto feed :
         {carried::feed::configuration, carried::feed::upstreams,
          carried::feed::evacuations}) {
        derive_limits(platform::decode_list(feed, body));
        derive_limits(platform::decode_events(feed, body));
    }
    return 0;
}
