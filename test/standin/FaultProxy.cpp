#include "FaultProxy.h"

#include <algorithm>
#include <cerrno>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/numbers.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace Bergamotramp {

namespace {

constexpr int backlog = 512;
constexpr absl::Duration maxPollWait = absl::Seconds(10);

sockaddr_in parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > 65535
        || ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error("\"" + text + "\" is not an address of the form IP:port");
    }
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

void setNoDelay(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/** Binds 127.0.0.1:port; for port 0, binds a free port and sets @p port to it. */
int bindSocket(int &port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = parseAddress("127.0.0.1:" + std::to_string(port));
    socklen_t length = sizeof(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        throw std::runtime_error("cannot bind 127.0.0.1:" + std::to_string(port));
    }
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return descriptor;
}

int connectTo(const sockaddr_in &target)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        return -1;
    }
    setNoDelay(descriptor);
    return descriptor;
}

RouteFreeze parseFreeze(const std::string &name)
{
    if (name == "none") {
        return RouteFreeze::None;
    }
    if (name == "existing") {
        return RouteFreeze::Existing;
    }
    if (name == "all") {
        return RouteFreeze::All;
    }
    throw std::runtime_error("freeze: \"" + name + "\" is not one of: none, existing, all");
}

void readFaults(const nlohmann::json &json, RouteFaults &faults)
{
    faults.delayToTarget = absl::Milliseconds(json.value("delayToTargetMs", absl::ToInt64Milliseconds(faults.delayToTarget)));
    faults.delayToClient = absl::Milliseconds(json.value("delayToClientMs", absl::ToInt64Milliseconds(faults.delayToClient)));
    faults.bytesPerSecond = json.value("bytesPerSecond", faults.bytesPerSecond);
    faults.cut = json.value("cut", faults.cut);
    faults.lossToTarget = json.value("lossToTarget", faults.lossToTarget);
    faults.lossToClient = json.value("lossToClient", faults.lossToClient);
    faults.repliesToDrop = json.value("dropAnswers", faults.repliesToDrop);
}

} // namespace

/** One proxied connection. */
struct FaultProxy::Connection {
    Connection(int client, int target) : client(client), target(target), toTarget(client, target), toClient(target, client)
    {
    }
    ~Connection()
    {
        ::close(this->client);
        ::close(this->target);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int client;
    int target;
    ProxyForwarder toTarget;
    ProxyForwarder toClient;
    bool connected = false;
    bool frozen = false;
    /** A request has been forwarded since the last reply. */
    bool awaitsReply = false;
    /** Positions of the sockets in the poll set, which is rebuilt for each call of poll. 0, the index of the wake descriptor, until it is in one. */
    std::size_t clientPollIndex = 0;
    std::size_t targetPollIndex = 0;
};

/** A listening port with its target. While the route is cut, a bound socket that never listens keeps the port reserved. */
struct FaultProxy::Route {
    ~Route()
    {
        this->close();
        ::close(this->reservedSocket);
    }

    void listen()
    {
        this->listener = bindSocket(this->port);
        if (::listen(this->listener, backlog) != 0) {
            throw std::runtime_error("cannot listen on 127.0.0.1:" + std::to_string(this->port));
        }
    }

    void close()
    {
        this->openConnections.clear();
        if (this->listener >= 0) {
            ::close(this->listener);
        }
        this->listener = -1;
    }

    sockaddr_in target{};
    std::string targetText;
    std::string group;
    int port = 0;
    int reservedSocket = -1;
    int listener = -1;
    std::size_t listenerPollIndex = 0;
    RouteFaults faults;
    bool freezeNewConnections = false;
    RouteCounters counters;
    RateLimiters limiters;
    std::list<Connection> openConnections;
};

FaultProxy::FaultProxy(int controlPort) : wakeDescriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    this->thread = std::thread([this] { this->run(); });
    this->server = std::make_unique<StandinServer>(
        controlPort, [this](const httplib::Request &request, httplib::Response &response, StandinConnection &) { this->handleControl(request, response); });
}

FaultProxy::~FaultProxy()
{
    this->server->stop();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->wake();
    this->thread.join();
    ::close(this->wakeDescriptor);
}

std::string FaultProxy::address() const
{
    return this->server->address();
}

std::string FaultProxy::addRoute(const std::string &route, const std::string &target, int port, const std::string &group)
{
    auto newRoute = std::make_unique<Route>();
    newRoute->target = parseAddress(target);
    newRoute->targetText = target;
    newRoute->group = group;
    newRoute->port = port;
    newRoute->reservedSocket = bindSocket(newRoute->port);
    newRoute->listen();
    const std::string address = "127.0.0.1:" + std::to_string(newRoute->port);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->routes[route] = std::move(newRoute);
    }
    this->wake();
    return address;
}

void FaultProxy::setFaults(const std::string &route, const RouteFaults &faults)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Route &changed = this->findRoute(route);
        if (faults.bytesPerSecond != changed.faults.bytesPerSecond) {
            changed.limiters.toTarget.setRate(faults.bytesPerSecond);
            changed.limiters.toClient.setRate(faults.bytesPerSecond);
        }
        if (faults.cut && !changed.faults.cut) {
            changed.close();
        } else if (!faults.cut && changed.faults.cut) {
            changed.listen();
        }
        changed.faults = faults;
    }
    this->wake();
}

void FaultProxy::freeze(const std::string &route, RouteFreeze freeze)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Route &changed = this->findRoute(route);
        changed.freezeNewConnections = freeze == RouteFreeze::All;
        for (Connection &connection : changed.openConnections) {
            connection.frozen = freeze != RouteFreeze::None;
        }
    }
    this->wake();
}

RouteFaults FaultProxy::faults(const std::string &route)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->findRoute(route).faults;
}

RouteCounters FaultProxy::counters(const std::string &route)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    RouteCounters result = this->findRoute(route).counters;
    result.open = this->findRoute(route).openConnections.size();
    return result;
}

void FaultProxy::setGroupLimit(const std::string &group, std::int64_t bytesPerSecond)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->groups[group].toTarget.setRate(bytesPerSecond);
        this->groups[group].toClient.setRate(bytesPerSecond);
    }
    this->wake();
}

FaultProxy::Route &FaultProxy::findRoute(const std::string &route)
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        throw std::runtime_error("no route " + route);
    }
    return *found->second;
}

void FaultProxy::handleControl(const httplib::Request &request, httplib::Response &response)
{
    try {
        if (request.method == "GET" && request.path == "/control/routes") {
            setJsonResponse(response, 200, this->routesJson());
            return;
        }
        const nlohmann::json json = nlohmann::json::parse(request.body);
        std::string responseBody = "{}";
        if (request.path == "/control/routes") {
            responseBody =
                nlohmann::json{{"address", this->addRoute(json.at("route"), json.at("target"), json.value("port", 0), json.value("group", ""))}}.dump();
        } else if (request.path == "/control/faults") {
            RouteFaults faults = this->faults(json.at("route"));
            readFaults(json, faults);
            this->setFaults(json.at("route"), faults);
            if (json.contains("freeze")) {
                this->freeze(json.at("route"), parseFreeze(json.at("freeze")));
            }
        } else if (request.path == "/control/groups") {
            this->setGroupLimit(json.at("group"), json.at("bytesPerSecond"));
        } else {
            throw std::runtime_error("no such path");
        }
        setJsonResponse(response, 200, responseBody);
    } catch (const std::exception &error) {
        setJsonResponse(response, 400, nlohmann::json{{"error", error.what()}}.dump());
    }
}

std::string FaultProxy::routesJson()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[name, route] : this->routes) {
        json[name] = {{"address", "127.0.0.1:" + std::to_string(route->port)},
                      {"target", route->targetText},
                      {"group", route->group},
                      {"connections", route->counters.connections},
                      {"open", route->openConnections.size()},
                      {"bytesToTarget", route->counters.bytesToTarget},
                      {"bytesToClient", route->counters.bytesToClient}};
    }
    return json.dump();
}

void FaultProxy::wake()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(this->wakeDescriptor, &one, sizeof(one));
}

void FaultProxy::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        absl::Time nextWake = absl::InfiniteFuture();
        std::vector<pollfd> pollSet = this->buildPollSet(absl::Now(), nextWake);
        lock.unlock();
        const timespec timeout = absl::ToTimespec(std::clamp(nextWake - absl::Now(), absl::ZeroDuration(), maxPollWait));
        ::ppoll(pollSet.data(), pollSet.size(), &timeout, nullptr);
        lock.lock();
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t drained = ::read(this->wakeDescriptor, &count, sizeof(count));
        this->processEvents(pollSet, absl::Now());
    }
}

std::vector<ProxyRateLimiter *> FaultProxy::limitersOf(Route &route, bool toTarget)
{
    std::vector<ProxyRateLimiter *> limiters{toTarget ? &route.limiters.toTarget : &route.limiters.toClient};
    if (!route.group.empty()) {
        RateLimiters &shared = this->groups[route.group];
        limiters.push_back(toTarget ? &shared.toTarget : &shared.toClient);
    }
    return limiters;
}

std::vector<pollfd> FaultProxy::buildPollSet(absl::Time now, absl::Time &nextWake)
{
    std::vector<pollfd> pollSet{{this->wakeDescriptor, POLLIN, 0}};
    for (auto &[name, route] : this->routes) {
        route->listenerPollIndex = pollSet.size();
        pollSet.push_back({route->listener, POLLIN, 0});
        for (Connection &connection : route->openConnections) {
            short client = 0;
            short target = connection.connected ? 0 : POLLOUT;
            const bool passToTarget = connection.connected && !connection.frozen && !route->faults.lossToTarget;
            const bool passToClient = connection.connected && !connection.frozen && !route->faults.lossToClient;
            client |= passToTarget && connection.toTarget.wantsInput() ? POLLIN : 0;
            target |= passToTarget && connection.toTarget.isBlocked() ? POLLOUT : 0;
            target |= passToClient && connection.toClient.wantsInput() ? POLLIN : 0;
            client |= passToClient && connection.toClient.isBlocked() ? POLLOUT : 0;
            nextWake = passToTarget ? std::min(nextWake, connection.toTarget.nextFlush(now, this->limitersOf(*route, true))) : nextWake;
            nextWake = passToClient ? std::min(nextWake, connection.toClient.nextFlush(now, this->limitersOf(*route, false))) : nextWake;
            // poll() ignores negative descriptors. A socket without requested events would still report a hang-up on each call and keep the thread busy.
            connection.clientPollIndex = pollSet.size();
            pollSet.push_back({client == 0 ? -1 : connection.client, client, 0});
            connection.targetPollIndex = pollSet.size();
            pollSet.push_back({target == 0 ? -1 : connection.target, target, 0});
        }
    }
    return pollSet;
}

void FaultProxy::processEvents(const std::vector<pollfd> &pollSet, absl::Time now)
{
    for (auto &[name, route] : this->routes) {
        this->processRoute(*route, pollSet, now);
    }
}

void FaultProxy::processRoute(Route &route, const std::vector<pollfd> &pollSet, absl::Time now)
{
    route.openConnections.remove_if(
        [&](Connection &connection) { return connection.clientPollIndex != 0 && !this->processConnection(route, connection, pollSet, now); });
    const bool inPollSet = route.listener >= 0 && route.listenerPollIndex < pollSet.size() && pollSet[route.listenerPollIndex].fd == route.listener;
    if (inPollSet && (pollSet[route.listenerPollIndex].revents & POLLIN) != 0) {
        this->accept(route);
    }
}

void FaultProxy::accept(Route &route)
{
    for (int client = 0; (client = ::accept4(route.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
        setNoDelay(client);
        const int target = connectTo(route.target);
        if (target < 0) {
            ::close(client);
            continue;
        }
        ++route.counters.connections;
        route.openConnections.emplace_back(client, target);
        route.openConnections.back().frozen = route.freezeNewConnections;
    }
}

/** Returns false when the connection has ended. */
bool FaultProxy::processConnection(Route &route, Connection &connection, const std::vector<pollfd> &pollSet, absl::Time now)
{
    const short clientEvents = pollSet[connection.clientPollIndex].revents;
    const short targetEvents = pollSet[connection.targetPollIndex].revents;
    if (!connection.connected) {
        if (targetEvents == 0) {
            return true;
        }
        connection.connected = true;
        return (targetEvents & (POLLERR | POLLHUP)) == 0;
    }
    if (connection.frozen) {
        return true;
    }
    if (!this->readConnection(route, connection, clientEvents, targetEvents, now)) {
        return false;
    }
    if ((targetEvents & POLLOUT) != 0) {
        connection.toTarget.unblock();
    }
    if ((clientEvents & POLLOUT) != 0) {
        connection.toClient.unblock();
    }
    const bool toTarget = route.faults.lossToTarget || connection.toTarget.flush(now, this->limitersOf(route, true));
    const bool toClient = route.faults.lossToClient || connection.toClient.flush(now, this->limitersOf(route, false));
    route.counters.bytesToTarget += connection.toTarget.takeSentBytes();
    route.counters.bytesToClient += connection.toClient.takeSentBytes();
    return toTarget && toClient && !(connection.toTarget.isFinished() && connection.toClient.isFinished());
}

bool FaultProxy::readConnection(Route &route, Connection &connection, short clientEvents, short targetEvents, absl::Time now)
{
    constexpr short inputEvents = POLLIN | POLLHUP | POLLERR;
    bool received = false;
    if (!route.faults.lossToTarget && (clientEvents & inputEvents) != 0 && connection.toTarget.wantsInput()) {
        if (!connection.toTarget.readInput(now + route.faults.delayToTarget, received)) {
            return false;
        }
        connection.awaitsReply = connection.awaitsReply || received;
    }
    if (!route.faults.lossToClient && (targetEvents & inputEvents) != 0 && connection.toClient.wantsInput()) {
        if (!connection.toClient.readInput(now + route.faults.delayToClient, received)) {
            return false;
        }
        if (received && connection.awaitsReply && route.faults.repliesToDrop > 0) {
            --route.faults.repliesToDrop;
            return false;
        }
        connection.awaitsReply = connection.awaitsReply && !received;
    }
    return true;
}

} // namespace Bergamotramp
