#include "StandinServer.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t readSize = 16 * 1024;
// A client that stops in the middle of a request must not block its thread for ever.
constexpr int ioTimeout = 60'000; // ms
constexpr int noTimeout = -1;

thread_local StandinConnection *currentConnection = nullptr;

bool pollFor(int descriptor, short events, int timeout)
{
    pollfd entry{descriptor, events, 0};
    return ::poll(&entry, 1, timeout) > 0 && (entry.revents & (events | POLLHUP)) != 0;
}

void formatEndpoint(const sockaddr_in &address, std::string &ip, int &port)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

/** Thread pool that starts a thread only when there is no idle one for a connection, so that an idle stand-in has few threads. */
class GrowingThreadPool : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->tasks.push_back(std::move(task));
        if (this->tasks.size() > this->idle) {
            this->threads.emplace_back([this] { this->work(); });
        }
        this->wake.notify_one();
    }

    void shutdown() override
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->stopping = true;
            this->wake.notify_all();
        }
        for (std::thread &thread : this->threads) {
            thread.join();
        }
    }

private:
    void work()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        while (true) {
            ++this->idle;
            this->wake.wait(lock, [this] { return this->stopping || !this->tasks.empty(); });
            --this->idle;
            if (this->tasks.empty()) {
                return;
            }
            const std::function<void()> task = std::move(this->tasks.front());
            this->tasks.pop_front();
            lock.unlock();
            task();
            lock.lock();
        }
    }

    std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::function<void()>> tasks;
    std::vector<std::thread> threads;
    std::size_t idle = 0;
    bool stopping = false;
};

} // namespace

StandinConnection::StandinConnection(int descriptor) : descriptor(descriptor)
{
}

void StandinConnection::drop()
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

bool StandinConnection::peerClosed() const
{
    pollfd entry{this->descriptor, POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0;
}

bool StandinConnection::waitForRequest()
{
    if (this->consumed < this->buffer.size()) {
        return true;
    }
    if (!pollFor(this->descriptor, POLLIN, noTimeout)) {
        return false;
    }
    char byte = 0;
    return ::recv(this->descriptor, &byte, 1, MSG_PEEK) == 1;
}

bool StandinConnection::is_readable() const
{
    return this->consumed < this->buffer.size() || pollFor(this->descriptor, POLLIN, ioTimeout);
}

bool StandinConnection::is_writable() const
{
    return pollFor(this->descriptor, POLLOUT, ioTimeout) && !this->peerClosed();
}

ssize_t StandinConnection::read(char *data, std::size_t size)
{
    if (this->consumed == this->buffer.size()) {
        this->buffer.resize(readSize);
        this->consumed = 0;
        const ssize_t received = pollFor(this->descriptor, POLLIN, ioTimeout) ? ::recv(this->descriptor, this->buffer.data(), readSize, 0) : -1;
        this->buffer.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
        if (received <= 0) {
            return received;
        }
    }
    const std::size_t count = std::min(size, this->buffer.size() - this->consumed);
    std::copy_n(this->buffer.data() + this->consumed, count, data);
    this->consumed += count;
    return static_cast<ssize_t>(count);
}

ssize_t StandinConnection::write(const char *data, std::size_t size)
{
    if (!pollFor(this->descriptor, POLLOUT, ioTimeout)) {
        return -1;
    }
    return ::send(this->descriptor, data, size, MSG_NOSIGNAL);
}

void StandinConnection::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (::getpeername(this->descriptor, reinterpret_cast<sockaddr *>(&address), &length) == 0) {
        formatEndpoint(address, ip, port);
    }
}

void StandinConnection::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&address), &length) == 0) {
        formatEndpoint(address, ip, port);
    }
}

socket_t StandinConnection::socket() const
{
    return this->descriptor;
}

/** Replaces the connection loop of cpp-httplib, which gives no access to its connections and doesn't close idle ones on stop. */
class StandinServer::Listener : public httplib::Server
{
public:
    explicit Listener(StandinServer::Handler handler)
    {
        this->new_task_queue = [] { return new GrowingThreadPool; };
        // By default cpp-httplib sets SO_REUSEPORT, with which two stand-ins could bind the same port without an error.
        this->set_socket_options([](socket_t listening) {
            const int on = 1;
            ::setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        });
        const httplib::Server::Handler wrapped = [handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
            handler(request, response, *currentConnection);
        };
        this->Get(".*", wrapped).Post(".*", wrapped).Put(".*", wrapped).Delete(".*", wrapped).Patch(".*", wrapped).Options(".*", wrapped);
    }

    void dropConnections()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (StandinConnection *connection : this->connections) {
            connection->drop();
        }
    }

    void closeConnections()
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->refusesConnections = true;
        }
        this->dropConnections();
    }

private:
    bool process_and_close_socket(socket_t descriptor) override
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        StandinConnection connection(descriptor);
        if (this->registerConnection(connection)) {
            this->serve(connection);
            this->unregisterConnection(connection);
        }
        ::shutdown(descriptor, SHUT_RDWR);
        ::close(descriptor);
        return true;
    }

    void serve(StandinConnection &connection)
    {
        currentConnection = &connection;
        bool closed = false;
        while (!closed && connection.waitForRequest()) {
            if (!this->process_request(connection, false, closed, nullptr)) {
                break;
            }
        }
        currentConnection = nullptr;
    }

    bool registerConnection(StandinConnection &connection)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return !this->refusesConnections && this->connections.insert(&connection).second;
    }

    void unregisterConnection(StandinConnection &connection)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->connections.erase(&connection);
    }

    std::mutex mutex;
    std::set<StandinConnection *> connections;
    bool refusesConnections = false;
};

StandinServer::StandinServer(int port, Handler handler) : listener(std::make_unique<Listener>(std::move(handler)))
{
    this->port = port;
    if (port == 0) {
        this->port = this->listener->bind_to_any_port("127.0.0.1");
    } else if (!this->listener->bind_to_port("127.0.0.1", port)) {
        this->port = -1;
    }
    if (this->port <= 0) {
        throw std::runtime_error("cannot bind 127.0.0.1:" + std::to_string(port));
    }
    this->thread = std::thread([this] { this->listener->listen_after_bind(); });
    while (!this->listener->is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

StandinServer::~StandinServer()
{
    this->stop();
}

std::string StandinServer::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

void StandinServer::dropConnections()
{
    this->listener->dropConnections();
}

void StandinServer::stop()
{
    if (!this->thread.joinable()) {
        return;
    }
    this->listener->closeConnections();
    this->listener->stop();
    this->thread.join();
}

void setJsonResponse(httplib::Response &response, int status, const std::string &json)
{
    response.status = status;
    response.set_content(json, "application/json");
}

} // namespace Bergamotramp
