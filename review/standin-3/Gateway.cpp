#include "Gateway.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

constexpr int pollMilliseconds = 20;

sockaddr_in endpointOf(const std::string &address, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

std::string addressOf(const sockaddr_in &endpoint)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &endpoint.sin_addr, text.data(), text.size());
    return text.data();
}

int bound(int type, const std::string &address, int port)
{
    const int descriptor = ::socket(AF_INET, type, 0);
    const sockaddr_in endpoint = endpointOf(address, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0) {
        throw std::runtime_error("cannot bind " + address);
    }
    return descriptor;
}

} // namespace

Gateway::Gateway(std::vector<Endpoint> hosts, int port, int store) : endpoints(std::move(hosts)), datagramPort(port), targetPort(store)
{
    for (const Endpoint &endpoint : this->endpoints) {
        this->sockets.push_back(bound(SOCK_DGRAM, endpoint.seenAs, port));
    }
    this->listener = bound(SOCK_STREAM, "127.0.0.1", 0);
    ::listen(this->listener, 64);
    sockaddr_in own{};
    socklen_t length = sizeof own;
    ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&own), &length);
    this->listenPort = ntohs(own.sin_port);
    this->thread = std::thread([this] { this->run(); });
}

Gateway::~Gateway()
{
    this->stopping = true;
    this->thread.join();
    for (const int descriptor : this->sockets) {
        ::close(descriptor);
    }
    for (const Connection &connection : this->connections) {
        ::close(connection.client);
        ::close(connection.server);
    }
    ::close(this->listener);
}

int Gateway::storePort() const
{
    return this->listenPort;
}

void Gateway::setCut(bool nowCut)
{
    this->cut = nowCut;
}

void Gateway::run()
{
    while (!this->stopping) {
        const bool isCut = this->cut;
        std::vector<pollfd> waiting;
        for (const int descriptor : this->sockets) {
            waiting.push_back({.fd = descriptor, .events = POLLIN, .revents = 0});
        }
        // While the link is cut, connections are neither accepted nor read; their peers see that nothing arrives.
        if (!isCut) {
            waiting.push_back({.fd = this->listener, .events = POLLIN, .revents = 0});
            for (const Connection &connection : this->connections) {
                waiting.push_back({.fd = connection.client, .events = POLLIN, .revents = 0});
                waiting.push_back({.fd = connection.server, .events = POLLIN, .revents = 0});
            }
        }
        ::poll(waiting.data(), waiting.size(), pollMilliseconds);
        for (std::size_t index = 0; index < this->sockets.size(); ++index) {
            if (waiting[index].revents != 0) {
                this->forwardDatagram(index);
            }
        }
        if (isCut) {
            continue;
        }
        const std::size_t first = this->sockets.size() + 1;
        std::vector<Connection> open;
        for (std::size_t index = 0; index < this->connections.size(); ++index) {
            const Connection connection = this->connections[index];
            const bool fromClient = waiting[first + 2 * index].revents == 0 || forwardBytes(connection.client, connection.server);
            const bool fromServer = waiting[first + 2 * index + 1].revents == 0 || forwardBytes(connection.server, connection.client);
            if (fromClient && fromServer) {
                open.push_back(connection);
            } else {
                ::close(connection.client);
                ::close(connection.server);
            }
        }
        this->connections = std::move(open);
        if (waiting[this->sockets.size()].revents != 0) {
            this->acceptConnection();
        }
    }
}

void Gateway::forwardDatagram(std::size_t index)
{
    std::array<char, 65536> buffer{};
    sockaddr_in sender{};
    socklen_t length = sizeof sender;
    const ssize_t size = ::recvfrom(this->sockets[index], buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&sender), &length);
    const auto source = std::ranges::find(this->endpoints, addressOf(sender), &Endpoint::address);
    if (size <= 0 || this->cut || source == this->endpoints.end()) {
        return;
    }
    const sockaddr_in target = endpointOf(this->endpoints[index].address, this->datagramPort);
    const int socket = this->sockets[static_cast<std::size_t>(source - this->endpoints.begin())];
    ::sendto(socket, buffer.data(), static_cast<std::size_t>(size), 0, reinterpret_cast<const sockaddr *>(&target), sizeof target);
}

void Gateway::acceptConnection()
{
    const int client = ::accept(this->listener, nullptr, nullptr);
    const int server = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in target = endpointOf("127.0.0.1", this->targetPort);
    if (client < 0 || ::connect(server, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(client);
        ::close(server);
        return;
    }
    this->connections.push_back({.client = client, .server = server});
}

bool Gateway::forwardBytes(int from, int to)
{
    std::array<char, 65536> buffer{};
    const ssize_t size = ::recv(from, buffer.data(), buffer.size(), 0);
    for (ssize_t sent = 0; size > 0 && sent < size;) {
        const ssize_t part = ::send(to, buffer.data() + sent, static_cast<std::size_t>(size - sent), MSG_NOSIGNAL);
        if (part <= 0) {
            return false;
        }
        sent += part;
    }
    return size > 0;
}

} // namespace Review
