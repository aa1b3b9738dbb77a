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

/** Thrown when the peer address can't be bound. */
class TransportError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Totals since the transport was created. */
struct TransportCounts {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
};

/**
 * Sends messages to and receives them from other hosts over ZeroMQ: one ROUTER socket receives, and one DEALER socket per
 * peer sends. Delivery is not guaranteed; only a reply proves it. Thread-safe.
 */
class Transport
{
public:
    struct Hooks {
        /** Called on the transport's thread for every message that no waiting request() takes as its reply; must not block. */
        std::function<void(const wire::Envelope &)> received;
        /** Sets sender, incarnation and hybrid time of a message to send. Called on the thread that calls send(), request() or reply(). */
        std::function<void(wire::Envelope &)> stamp;
    };

    /**
     * Binds to @p address ("IP:port"; port 0 selects a free one); throws TransportError. When the address of a peer is a key
     * of @p addressOverrides, the transport connects to the mapped address instead.
     */
    Transport(const std::string &address, Hooks hooks, std::map<std::string, std::string> addressOverrides = {});
    ~Transport();
    Transport(const Transport &) = delete;
    Transport &operator=(const Transport &) = delete;

    /** The bound address, "IP:port" with the port that was selected. */
    [[nodiscard]] const std::string &address() const;
    /** Queues a one-way message. */
    void send(const std::string &peerAddress, wire::Envelope envelope);
    /**
     * Sends a request and waits for its reply; returns nothing when @p timeout passes. Must not be called on the transport's
     * thread, which receives the reply.
     */
    std::optional<wire::Envelope> request(const std::string &peerAddress, wire::Envelope envelope, absl::Duration timeout);
    /** Sends the reply to a received request. */
    void reply(const std::string &peerAddress, std::uint64_t correlation, wire::Envelope envelope);

    /** Closes the connection to a peer and drops the messages queued on it. The next message opens a new connection. */
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
    const std::map<std::string, std::string> addressOverrides;
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
