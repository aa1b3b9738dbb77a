#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

#include <absl/time/time.h>
#include <zmq.hpp>

#include "bergamotramp.pb.h"

namespace Bergamotramp {

/** The peer address can't be bound. */
class TransportError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Counters since the start. */
struct TransportCounts {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
};

/**
 * Messages between hosts: one ROUTER socket that receives, one DEALER socket per peer that sends.
 * Delivery is not guaranteed; only a reply proves it. Thread-safe.
 */
class Transport
{
public:
    struct Hooks {
        /** Called on the transport's thread for every message that is not the reply to a request(); must not block. */
        std::function<void(const wire::Envelope &)> received;
        /** Adds sender, incarnation and hybrid time to a message before it is sent. */
        std::function<void(wire::Envelope &)> stamp;
    };

    /**
     * Binds to @p address ("IP:port", port 0 for a free one); throws TransportError. A peer whose address is a key of
     * @p routes is reached through the address given there.
     */
    Transport(const std::string &address, Hooks hooks, std::map<std::string, std::string> routes = {});
    ~Transport();
    Transport(const Transport &) = delete;
    Transport &operator=(const Transport &) = delete;

    /** The bound "IP:port". */
    [[nodiscard]] const std::string &address() const;
    /** Queues a one-way message. */
    void send(const std::string &peerAddress, wire::Envelope envelope);
    /** Sends a request and waits for its reply; returns nothing when @p timeout passes. Not to be called on the transport's thread. */
    std::optional<wire::Envelope> request(const std::string &peerAddress, wire::Envelope envelope, absl::Duration timeout);
    /** Sends the reply to a received request. */
    void reply(const std::string &peerAddress, std::uint64_t correlation, wire::Envelope envelope);

    /** Drops the connection to a peer with the messages queued on it; the next message opens a new one. */
    void reconnect(const std::string &peerAddress);

    [[nodiscard]] TransportCounts counts() const;

private:
    struct Outgoing {
        std::string peerAddress;
        std::string bytes;
        bool reconnect = false;
    };
    struct PendingRequest {
        std::condition_variable answered;
        std::optional<wire::Envelope> answer;
    };

    void enqueue(const std::string &peerAddress, wire::Envelope envelope);
    void enqueue(Outgoing outgoing);
    void run();
    void receiveMessages();
    void handle(const zmq::message_t &message);
    void sendQueued();
    zmq::socket_t &dealer(const std::string &peerAddress);

    Hooks hooks;
    const std::map<std::string, std::string> routes;
    zmq::context_t context;
    zmq::socket_t router;
    zmq::socket_t wakeReceiver;
    zmq::socket_t wakeSender;
    std::string boundAddress;
    std::map<std::string, zmq::socket_t> dealers;

    std::mutex mutex;
    std::deque<Outgoing> outgoing;
    std::map<std::uint64_t, std::shared_ptr<PendingRequest>> pending;
    std::uint64_t nextCorrelation = 1;
    bool wakePending = false;
    bool stopping = false;

    std::atomic<std::uint64_t> messagesSent{0};
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> messagesReceived{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::thread thread;
};

} // namespace Bergamotramp
