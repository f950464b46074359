#include "dogwoodtrack/peer_channel.hpp"

#include <array>
#include <map>
#include <thread>

#include <pthread.h>
#include <sodium.h>
#include <zmq.hpp>

namespace dogwoodtrack {

namespace {

constexpr std::size_t key_size = 32;
constexpr std::size_t z85_key_size = 41;
constexpr int queue_limit_messages = 200;
// Bytes added to each message on the wire: the ZMTP frame header, and the CURVE
// MESSAGE command with its nonce and MAC.
constexpr std::size_t framing_bytes = 35;
constexpr const char *zap_domain_name = "dogwoodtrack";

struct key_pair {
    std::array<char, z85_key_size> secret{};
    std::array<char, z85_key_size> public_z85{};
    std::array<std::uint8_t, key_size> public_bytes{};
};

auto derive_key(const std::string &fleet_key, const char *purpose,
                std::uint8_t *out, std::size_t size) -> void {
    crypto_generichash(out, size,
                       reinterpret_cast<const std::uint8_t *>(purpose),
                       std::char_traits<char>::length(purpose),
                       reinterpret_cast<const std::uint8_t *>(fleet_key.data()),
                       std::min<std::size_t>(fleet_key.size(),
                                             crypto_generichash_KEYBYTES_MAX));
}

auto derive_key_pair(const std::string &fleet_key) -> key_pair {
    key_pair pair;
    std::array<std::uint8_t, key_size> secret{};
    derive_key(fleet_key, "dogwoodtrack curve", secret.data(), secret.size());
    crypto_scalarmult_base(pair.public_bytes.data(), secret.data());
    zmq_z85_encode(pair.secret.data(), secret.data(), secret.size());
    zmq_z85_encode(pair.public_z85.data(), pair.public_bytes.data(), key_size);
    return pair;
}

// Handles one ZeroMQ authentication request (ZAP, RFC 27): accepts only the
// fleet's public key.
auto handle_zap_request(zmq::socket_t &socket, const key_pair &pair) -> void {
    std::vector<std::string> frames;
    for (bool more = true; more;) {
        zmq::message_t frame;
        if (!socket.recv(frame, zmq::recv_flags::none))
            return;
        frames.push_back(frame.to_string());
        more = frame.more();
    }
    constexpr std::size_t key_frame = 6;
    const auto accepted =
        frames.size() > key_frame &&
        frames[key_frame] ==
            std::string(pair.public_bytes.begin(), pair.public_bytes.end());
    const std::array<std::string, 6> reply{"1.0",
                                           frames.size() > 1 ? frames[1] : "",
                                           accepted ? "200" : "400",
                                           accepted ? "OK" : "unknown key",
                                           "fleet",
                                           ""};
    for (std::size_t i = 0; i < reply.size(); ++i)
        socket.send(zmq::buffer(reply[i]), i + 1 < reply.size()
                                               ? zmq::send_flags::sndmore
                                               : zmq::send_flags::none);
}

auto to_url(const endpoint &value) -> std::string {
    return "tcp://" + to_string(value);
}

} // namespace

struct peer_channel::impl {
    zmq::context_t context{1};
    key_pair pair;
    zmq::socket_t zap_socket{context, zmq::socket_type::rep};
    std::thread zap_thread;
    zmq::socket_t inbound{context, zmq::socket_type::pull};
    std::map<endpoint, zmq::socket_t> outbound;
    channel_usage usage;

    auto outbound_for(const endpoint &to) -> zmq::socket_t &;

    ~impl() {
        inbound.close();
        outbound.clear();
        context.shutdown();
        if (zap_thread.joinable())
            zap_thread.join();
    }
};

auto peer_channel::impl::outbound_for(const endpoint &to) -> zmq::socket_t & {
    const auto it = outbound.find(to);
    if (it != outbound.end())
        return it->second;
    zmq::socket_t socket(context, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, queue_limit_messages);
    socket.set(zmq::sockopt::reconnect_ivl, 100);
    socket.set(zmq::sockopt::reconnect_ivl_max, 2000);
    // Queues no messages for a peer without a connection: they would be
    // outdated on delivery.
    socket.set(zmq::sockopt::immediate, 1);
    socket.set(zmq::sockopt::curve_serverkey,
               std::string(pair.public_z85.data()));
    socket.set(zmq::sockopt::curve_publickey,
               std::string(pair.public_z85.data()));
    socket.set(zmq::sockopt::curve_secretkey, std::string(pair.secret.data()));
    socket.connect(to_url(to));
    return outbound.emplace(to, std::move(socket)).first->second;
}

peer_channel::peer_channel(std::unique_ptr<impl> pimpl)
    : impl_(std::move(pimpl)) {}
peer_channel::peer_channel(peer_channel &&) noexcept = default;
auto peer_channel::operator=(peer_channel &&) noexcept
    -> peer_channel & = default;
peer_channel::~peer_channel() = default;

auto peer_channel::open(const endpoint &local, const std::string &fleet_key)
    -> result<peer_channel> {
    if (fleet_key.empty())
        return error{error_kind::bad_setting, "the fleet key is empty"};
    auto pimpl = std::make_unique<impl>();
    pimpl->pair = derive_key_pair(fleet_key);
    pimpl->zap_socket.set(zmq::sockopt::linger, 0);
    pimpl->zap_socket.bind("inproc://zeromq.zap.01");
    pimpl->zap_thread = std::thread([raw = pimpl.get()] {
        try {
            for (;;)
                handle_zap_request(raw->zap_socket, raw->pair);
        } catch (const zmq::error_t &) {
            raw->zap_socket.close();
        }
    });
    pimpl->inbound.set(zmq::sockopt::linger, 0);
    pimpl->inbound.set(zmq::sockopt::rcvhwm, queue_limit_messages * 10);
    pimpl->inbound.set(zmq::sockopt::curve_server, 1);
    pimpl->inbound.set(zmq::sockopt::curve_secretkey,
                       std::string(pimpl->pair.secret.data()));
    pimpl->inbound.set(zmq::sockopt::zap_domain, std::string(zap_domain_name));
    try {
        pimpl->inbound.bind(to_url(local));
    } catch (const zmq::error_t &failure) {
        return error{error_kind::socket_failed,
                     "bind on " + to_string(local) + ": " + failure.what()};
    }
    return peer_channel(std::move(pimpl));
}

auto peer_channel::send(const endpoint &to, const std::string &bytes) -> void {
    auto &socket = impl_->outbound_for(to);
    if (!socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
        return;
    impl_->usage.sent_bytes += bytes.size() + framing_bytes;
    ++impl_->usage.sent_messages;
}

auto peer_channel::receive(milliseconds timeout) -> std::optional<std::string> {
    zmq::pollitem_t poll_item{impl_->inbound.handle(), 0, ZMQ_POLLIN, 0};
    if (zmq::poll(&poll_item, 1, timeout) <= 0)
        return std::nullopt;
    zmq::message_t message;
    if (!impl_->inbound.recv(message, zmq::recv_flags::dontwait))
        return std::nullopt;
    impl_->usage.received_bytes += message.size() + framing_bytes;
    ++impl_->usage.received_messages;
    return message.to_string();
}

auto peer_channel::usage() const -> const channel_usage & {
    return impl_->usage;
}

auto relay_key(const std::string &fleet_key) -> std::array<std::uint8_t, 16> {
    std::array<std::uint8_t, 16> key{};
    derive_key(fleet_key, "dogwoodtrack relay", key.data(), key.size());
    return key;
}

} // namespace dogwoodtrack
