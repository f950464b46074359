#include <cstdio>

#include "documents.hpp"
#include "membership.hpp"
#include "record_sync.hpp"

using namespace dogwoodtrack;

// Handles arbitrary bytes as a message from a faulty peer that has the fleet
// key, so that its messages pass authentication.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    static const auto *discarded_output =
        std::freopen("/dev/null", "w", stdout);
    (void)discarded_output;
    static timeline events("fuzz", 16);
    static placement_lease lease;
    blackboard board;
    board.events = &events;
    board.lease = &lease;
    board.self.name = "self";
    board.self.id = hash_name("self");
    wire::Envelope message;
    if (!message.ParseFromArray(data, static_cast<int>(size)))
        return 0;
    const time_point now{std::chrono::hours{1}};
    control_actions actions;
    on_heartbeat(board, message, now, actions);
    on_digest(board, message, actions);
    on_pull(board, message, actions);
    on_document(board, message, now, actions);
    on_sync_request(board, message, actions);
    on_sync_batch(board, message, now, actions);
    return 0;
}
