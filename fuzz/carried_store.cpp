#include "store_documents.hpp"

using namespace dogwoodtrack;

// Any bytes as an answer of the platform's store.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    const std::string body(reinterpret_cast<const char *>(data), size);
    for (const auto what :
         {carried::feed::configuration, carried::feed::upstreams}) {
        auto copy = body;
        (void)platform::decode_list(what, copy);
        copy = body;
        (void)platform::decode_events(what, copy);
    }
    return 0;
}
