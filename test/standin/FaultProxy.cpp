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
constexpr absl::Duration maxWait = absl::Seconds(10);

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

/** Binds 127.0.0.1:port; the port is set when it was 0. */
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

RouteFreeze freezeOf(const std::string &name)
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
    faults.dropAnswers = json.value("dropAnswers", faults.dropAnswers);
}

} // namespace

/** One proxied connection. */
struct FaultProxy::Link {
    Link(int client, int target) : client(client), target(target), toTarget(client, target), toClient(target, client)
    {
    }
    ~Link()
    {
        ::close(this->client);
        ::close(this->target);
    }
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    int client;
    int target;
    ProxyLane toTarget;
    ProxyLane toClient;
    bool connected = false;
    bool frozen = false;
    /** A request has passed since the last reply. */
    bool awaitsAnswer = false;
    /** Positions of the sockets in the polled list, which grows from call to call. */
    std::size_t clientIndex = 0;
    std::size_t targetIndex = 0;
};

/** One listening port with its target. A bound socket that never listens keeps the port while the route is cut. */
struct FaultProxy::Route {
    ~Route()
    {
        this->close();
        ::close(this->reserve);
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
        this->links.clear();
        if (this->listener >= 0) {
            ::close(this->listener);
        }
        this->listener = -1;
    }

    sockaddr_in target{};
    std::string targetText;
    std::string group;
    int port = 0;
    int reserve = -1;
    int listener = -1;
    std::size_t listenerIndex = 0;
    RouteFaults faults;
    bool freezeNew = false;
    RouteCounters counters;
    Paces paces;
    std::list<Link> links;
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
    auto added = std::make_unique<Route>();
    added->target = parseAddress(target);
    added->targetText = target;
    added->group = group;
    added->port = port;
    added->reserve = bindSocket(added->port);
    added->listen();
    const std::string address = "127.0.0.1:" + std::to_string(added->port);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->routes[route] = std::move(added);
    }
    this->wake();
    return address;
}

void FaultProxy::setFaults(const std::string &route, const RouteFaults &faults)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Route &changed = this->find(route);
        if (faults.bytesPerSecond != changed.faults.bytesPerSecond) {
            changed.paces.toTarget.set(faults.bytesPerSecond);
            changed.paces.toClient.set(faults.bytesPerSecond);
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
        Route &changed = this->find(route);
        changed.freezeNew = freeze == RouteFreeze::All;
        for (Link &link : changed.links) {
            link.frozen = freeze != RouteFreeze::None;
        }
    }
    this->wake();
}

RouteFaults FaultProxy::faults(const std::string &route)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->find(route).faults;
}

RouteCounters FaultProxy::counters(const std::string &route)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    RouteCounters result = this->find(route).counters;
    result.open = this->find(route).links.size();
    return result;
}

void FaultProxy::setGroupLimit(const std::string &group, std::int64_t bytesPerSecond)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->groups[group].toTarget.set(bytesPerSecond);
        this->groups[group].toClient.set(bytesPerSecond);
    }
    this->wake();
}

FaultProxy::Route &FaultProxy::find(const std::string &route)
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
            answerJson(response, 200, this->routesJson());
            return;
        }
        const nlohmann::json json = nlohmann::json::parse(request.body);
        std::string answer = "{}";
        if (request.path == "/control/routes") {
            answer = nlohmann::json{{"address", this->addRoute(json.at("route"), json.at("target"), json.value("port", 0), json.value("group", ""))}}.dump();
        } else if (request.path == "/control/faults") {
            RouteFaults faults = this->faults(json.at("route"));
            readFaults(json, faults);
            this->setFaults(json.at("route"), faults);
            if (json.contains("freeze")) {
                this->freeze(json.at("route"), freezeOf(json.at("freeze")));
            }
        } else if (request.path == "/control/groups") {
            this->setGroupLimit(json.at("group"), json.at("bytesPerSecond"));
        } else {
            throw std::runtime_error("no such path");
        }
        answerJson(response, 200, answer);
    } catch (const std::exception &error) {
        answerJson(response, 400, nlohmann::json{{"error", error.what()}}.dump());
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
                      {"open", route->links.size()},
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
        absl::Time next = absl::InfiniteFuture();
        std::vector<pollfd> polled = this->interests(absl::Now(), next);
        lock.unlock();
        const timespec timeout = absl::ToTimespec(std::clamp(next - absl::Now(), absl::ZeroDuration(), maxWait));
        ::ppoll(polled.data(), polled.size(), &timeout, nullptr);
        lock.lock();
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t drained = ::read(this->wakeDescriptor, &count, sizeof(count));
        this->serve(polled, absl::Now());
    }
}

std::vector<ProxyPace *> FaultProxy::pacesOf(Route &route, bool toTarget)
{
    std::vector<ProxyPace *> paces{toTarget ? &route.paces.toTarget : &route.paces.toClient};
    if (!route.group.empty()) {
        Paces &shared = this->groups[route.group];
        paces.push_back(toTarget ? &shared.toTarget : &shared.toClient);
    }
    return paces;
}

std::vector<pollfd> FaultProxy::interests(absl::Time now, absl::Time &next)
{
    std::vector<pollfd> polled{{this->wakeDescriptor, POLLIN, 0}};
    for (auto &[name, route] : this->routes) {
        route->listenerIndex = polled.size();
        polled.push_back({route->listener, POLLIN, 0});
        for (Link &link : route->links) {
            short client = 0;
            short target = link.connected ? 0 : POLLOUT;
            const bool passToTarget = link.connected && !link.frozen && !route->faults.lossToTarget;
            const bool passToClient = link.connected && !link.frozen && !route->faults.lossToClient;
            client |= passToTarget && link.toTarget.wantsInput() ? POLLIN : 0;
            target |= passToTarget && link.toTarget.isBlocked() ? POLLOUT : 0;
            target |= passToClient && link.toClient.wantsInput() ? POLLIN : 0;
            client |= passToClient && link.toClient.isBlocked() ? POLLOUT : 0;
            next = passToTarget ? std::min(next, link.toTarget.nextFlush(now, this->pacesOf(*route, true))) : next;
            next = passToClient ? std::min(next, link.toClient.nextFlush(now, this->pacesOf(*route, false))) : next;
            // poll ignores negative descriptors; a socket without interest would report its hang-up again and again.
            link.clientIndex = polled.size();
            polled.push_back({client == 0 ? -1 : link.client, client, 0});
            link.targetIndex = polled.size();
            polled.push_back({target == 0 ? -1 : link.target, target, 0});
        }
    }
    return polled;
}

void FaultProxy::serve(const std::vector<pollfd> &polled, absl::Time now)
{
    for (auto &[name, route] : this->routes) {
        this->serveRoute(*route, polled, now);
    }
}

void FaultProxy::serveRoute(Route &route, const std::vector<pollfd> &polled, absl::Time now)
{
    route.links.remove_if([&](Link &link) { return link.clientIndex != 0 && !this->serveLink(route, link, polled, now); });
    const bool listed = route.listener >= 0 && route.listenerIndex < polled.size() && polled[route.listenerIndex].fd == route.listener;
    if (listed && (polled[route.listenerIndex].revents & POLLIN) != 0) {
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
        route.links.emplace_back(client, target);
        route.links.back().frozen = route.freezeNew;
    }
}

/** Returns false when the link has ended. */
bool FaultProxy::serveLink(Route &route, Link &link, const std::vector<pollfd> &polled, absl::Time now)
{
    const short clientEvents = polled[link.clientIndex].revents;
    const short targetEvents = polled[link.targetIndex].revents;
    if (!link.connected) {
        if (targetEvents == 0) {
            return true;
        }
        link.connected = true;
        return (targetEvents & (POLLERR | POLLHUP)) == 0;
    }
    if (link.frozen) {
        return true;
    }
    if (!this->readLink(route, link, clientEvents, targetEvents, now)) {
        return false;
    }
    if ((targetEvents & POLLOUT) != 0) {
        link.toTarget.unblock();
    }
    if ((clientEvents & POLLOUT) != 0) {
        link.toClient.unblock();
    }
    const bool toTarget = route.faults.lossToTarget || link.toTarget.flush(now, this->pacesOf(route, true));
    const bool toClient = route.faults.lossToClient || link.toClient.flush(now, this->pacesOf(route, false));
    route.counters.bytesToTarget += link.toTarget.takeSent();
    route.counters.bytesToClient += link.toClient.takeSent();
    return toTarget && toClient && !(link.toTarget.isFinished() && link.toClient.isFinished());
}

bool FaultProxy::readLink(Route &route, Link &link, short clientEvents, short targetEvents, absl::Time now)
{
    constexpr short inputEvents = POLLIN | POLLHUP | POLLERR;
    bool received = false;
    if (!route.faults.lossToTarget && (clientEvents & inputEvents) != 0 && link.toTarget.wantsInput()) {
        if (!link.toTarget.readInput(now + route.faults.delayToTarget, received)) {
            return false;
        }
        link.awaitsAnswer = link.awaitsAnswer || received;
    }
    if (!route.faults.lossToClient && (targetEvents & inputEvents) != 0 && link.toClient.wantsInput()) {
        if (!link.toClient.readInput(now + route.faults.delayToClient, received)) {
            return false;
        }
        if (received && link.awaitsAnswer && route.faults.dropAnswers > 0) {
            --route.faults.dropAnswers;
            return false;
        }
        link.awaitsAnswer = link.awaitsAnswer && !received;
    }
    return true;
}

} // namespace Bergamotramp
