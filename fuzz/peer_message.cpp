#include <cstdio>

#include "documents.hpp"
#include "membership.hpp"
#include "record_sync.hpp"

using namespace dogwoodtrack;

// Any bytes as a message of a peer that has the fleet key but is faulty.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    static const auto *quiet = std::freopen("/dev/null", "w", stdout);
    (void)quiet;
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
