#include "dogwoodtrack/contract.hpp"

using namespace dogwoodtrack;

// Parses arbitrary text as a contract. The result must be an error with a
// message, or a contract in which every service has a port and upstreams.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto parsed = parse_contract("customer", 1, text);
    if (!parsed) {
        if (parsed.error().message().empty())
            __builtin_trap();
        return 0;
    }
    for (const auto &it : parsed.value().services) {
        if (it.upstreams.empty() || it.address.port == 0)
            __builtin_trap();
    }
    return 0;
}
