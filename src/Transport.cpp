#include "Transport.h"

#include <chrono>

#include <absl/strings/strip.h>

namespace Bergamotramp {

namespace {

constexpr int highWaterMark = 10'000; // messages per connection and direction
// Heartbeats take about 250 bytes per peer and interval on the wire; with 400 hosts, 10 s limits them to 10 KB/s per host.
constexpr int heartbeatInterval = 10'000; // ms
constexpr int heartbeatTimeout = 10'000; // ms
constexpr int reconnectInterval = 50; // ms
constexpr int maxReconnectInterval = 1'000; // ms
constexpr const char *wakeEndpoint = "inproc://wake";

void configure(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, highWaterMark);
    socket.set(zmq::sockopt::rcvhwm, highWaterMark);
}

} // namespace

Transport::Transport(const std::string &address, Hooks hooks, std::map<std::string, std::string> addressOverrides)
    : hooks(std::move(hooks))
    , addressOverrides(std::move(addressOverrides))
    , context(1)
    , router(this->context, zmq::socket_type::router)
    , wakeReceiver(this->context, zmq::socket_type::pair)
    , wakeSender(this->context, zmq::socket_type::pair)
{
    configure(this->router);
    try {
        this->router.bind("tcp://" + (address.ends_with(":0") ? address.substr(0, address.size() - 1) + "*" : address));
    } catch (const zmq::error_t &error) {
        throw TransportError("cannot bind the peer address " + address + ": " + error.what());
    }
    this->boundAddress = std::string(absl::StripPrefix(this->router.get(zmq::sockopt::last_endpoint), "tcp://"));
    this->wakeReceiver.bind(wakeEndpoint);
    this->wakeSender.connect(wakeEndpoint);
    this->thread = std::thread([this] { this->run(); });
}

Transport::~Transport()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
        this->wakeSender.send(zmq::message_t(), zmq::send_flags::dontwait);
    }
    this->thread.join();
}

const std::string &Transport::address() const
{
    return this->boundAddress;
}

void Transport::send(const std::string &peerAddress, wire::Envelope envelope)
{
    this->enqueue(peerAddress, std::move(envelope));
}

void Transport::reply(const std::string &peerAddress, std::uint64_t correlation, wire::Envelope envelope)
{
    envelope.set_correlation(correlation);
    envelope.set_reply(true);
    this->enqueue(peerAddress, std::move(envelope));
}

std::optional<wire::Envelope> Transport::request(const std::string &peerAddress, wire::Envelope envelope, absl::Duration timeout)
{
    const auto pendingRequest = std::make_shared<PendingRequest>();
    std::uint64_t correlation = 0;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        correlation = this->nextCorrelation++;
        this->pending.emplace(correlation, pendingRequest);
    }
    envelope.set_correlation(correlation);
    this->enqueue(peerAddress, std::move(envelope));
    std::unique_lock<std::mutex> lock(this->mutex);
    pendingRequest->answered.wait_for(lock, absl::ToChronoMicroseconds(timeout), [&pendingRequest] { return pendingRequest->answer.has_value(); });
    this->pending.erase(correlation);
    return std::move(pendingRequest->answer);
}

TransportCounts Transport::counts() const
{
    return {this->messagesSent, this->bytesSent, this->messagesReceived, this->bytesReceived};
}

void Transport::enqueue(const std::string &peerAddress, wire::Envelope envelope)
{
    this->hooks.stamp(envelope);
    std::string bytes = envelope.SerializeAsString();
    this->enqueue(Outgoing{peerAddress, std::move(bytes)});
}

void Transport::reconnect(const std::string &peerAddress)
{
    this->enqueue(Outgoing{peerAddress, "", true});
}

void Transport::enqueue(Outgoing outgoing)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->outgoing.push_back(std::move(outgoing));
    // One pending wake-up message is enough, because the transport thread then sends the whole queue.
    if (!this->wakePending) {
        this->wakePending = true;
        this->wakeSender.send(zmq::message_t(), zmq::send_flags::dontwait);
    }
}

void Transport::run()
{
    zmq::pollitem_t items[] = {{this->router.handle(), 0, ZMQ_POLLIN, 0}, {this->wakeReceiver.handle(), 0, ZMQ_POLLIN, 0}};
    while (true) {
        zmq::poll(items, 2, std::chrono::milliseconds(-1));
        if ((items[1].revents & ZMQ_POLLIN) != 0) {
            zmq::message_t wake;
            const std::lock_guard<std::mutex> lock(this->mutex);
            while (this->wakeReceiver.recv(wake, zmq::recv_flags::dontwait)) {
            }
            this->wakePending = false;
            if (this->stopping) {
                return;
            }
        }
        this->sendQueued();
        if ((items[0].revents & ZMQ_POLLIN) != 0) {
            this->receiveMessages();
        }
    }
}

void Transport::receiveMessages()
{
    zmq::message_t identity;
    zmq::message_t body;
    while (this->router.recv(identity, zmq::recv_flags::dontwait)) {
        if (!identity.more() || !this->router.recv(body, zmq::recv_flags::dontwait)) {
            continue;
        }
        this->handle(body);
    }
}

void Transport::handle(const zmq::message_t &message)
{
    ++this->messagesReceived;
    this->bytesReceived += message.size();
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        return;
    }
    if (envelope.reply()) {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->pending.find(envelope.correlation());
        if (found != this->pending.end()) {
            found->second->answer = std::move(envelope);
            found->second->answered.notify_all();
            return;
        }
    }
    this->hooks.received(envelope);
}

void Transport::sendQueued()
{
    std::deque<Outgoing> batch;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        batch.swap(this->outgoing);
    }
    for (const Outgoing &message : batch) {
        if (message.reconnect) {
            this->dealers.erase(message.peerAddress);
            continue;
        }
        ++this->messagesSent;
        this->bytesSent += message.bytes.size();
        // The socket queue is full only when the peer is unreachable. The message is then dropped, which is allowed, since only
        // replies prove delivery.
        this->dealer(message.peerAddress).send(zmq::buffer(message.bytes), zmq::send_flags::dontwait);
    }
}

zmq::socket_t &Transport::dealer(const std::string &peerAddress)
{
    const auto found = this->dealers.find(peerAddress);
    if (found != this->dealers.end()) {
        return found->second;
    }
    zmq::socket_t socket(this->context, zmq::socket_type::dealer);
    configure(socket);
    // Only the connecting side sends heartbeats, because only it can replace a connection that no longer responds.
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeatInterval);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeout);
    socket.set(zmq::sockopt::reconnect_ivl, reconnectInterval);
    socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectInterval);
    const auto addressOverride = this->addressOverrides.find(peerAddress);
    socket.connect("tcp://" + (addressOverride == this->addressOverrides.end() ? peerAddress : addressOverride->second));
    return this->dealers.emplace(peerAddress, std::move(socket)).first->second;
}

} // namespace Bergamotramp
