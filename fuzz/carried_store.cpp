#include "store_documents.hpp"

using namespace dogwoodtrack;

// Decodes arbitrary bytes as a response of the platform's store, both as a list
// and as the events of a watch, for each of the feeds.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    const std::string body(reinterpret_cast<const char *>(data), size);
    for (const auto feed :
         {carried::feed::configuration, carried::feed::upstreams,
          carried::feed::evacuations}) {
        (void)platform::decode_list(feed, body);
        (void)platform::decode_events(feed, body);
    }
    return 0;
}
