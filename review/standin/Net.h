#pragma once

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** Milliseconds since the program started. */
inline std::int64_t elapsedMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - start).count();
}

inline void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(Milliseconds(std::max<std::int64_t>(0, duration)));
}

/** One HTTP/1.1 message. */
struct Message {
    /** Method and target of a request. */
    std::string method;
    std::string target;
    /** Status of a response. */
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(std::string_view name) const
    {
        for (const auto &[key, value] : this->fields) {
            if (key.size() == name.size() && std::equal(key.begin(), key.end(), name.begin(), [](char left, char right) {
                    return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
                })) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string path() const
    {
        return this->target.substr(0, this->target.find('?'));
    }
    [[nodiscard]] std::string query(const std::string &name) const
    {
        const std::size_t start = this->target.find('?');
        std::string rest = start == std::string::npos ? "" : "&" + this->target.substr(start + 1);
        const std::size_t found = rest.find("&" + name + "=");
        if (found == std::string::npos) {
            return {};
        }
        rest = rest.substr(found + name.size() + 2);
        return rest.substr(0, rest.find('&'));
    }
};

/** How a read ended. */
enum class ReadEnd {
    /** The message is complete. */
    Complete,
    /** The peer closed or reset the connection before the message was complete. */
    Closed,
    TimedOut,
    /** The bytes are no HTTP message. */
    Malformed,
};

/** A connected TCP socket. */
class Connection
{
public:
    explicit Connection(int descriptor) : descriptor(descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection()
    {
        ::close(this->descriptor);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** Returns whether all bytes were handed to the kernel. */
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /** Whether the peer has closed or reset the connection. */
    [[nodiscard]] bool peerClosed() const
    {
        pollfd entry{this->descriptor, POLLRDHUP, 0};
        return ::poll(&entry, 1, 0) > 0;
    }

    /** Ends both directions, also for a thread that reads. */
    void shutDown()
    {
        ::shutdown(this->descriptor, SHUT_RDWR);
    }

    /** Reads a request or response with its body. @p onBody is called for each piece of a body in chunks. */
    ReadEnd read(Message &message, Clock::time_point until, const std::function<void(std::string_view)> &onBody = {})
    {
        message = Message();
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (const ReadEnd result = this->fill(until); result != ReadEnd::Complete) {
                return result;
            }
        }
        const std::string head = this->buffer.substr(0, end + 2);
        this->buffer.erase(0, end + 4);
        if (!parseHead(head, message)) {
            return ReadEnd::Malformed;
        }
        if (message.field("Transfer-Encoding") == "chunked") {
            return this->readChunks(message, until, onBody);
        }
        const std::string length = message.field("Content-Length");
        const std::size_t size = length.empty() ? 0 : static_cast<std::size_t>(std::strtoull(length.c_str(), nullptr, 10));
        while (this->buffer.size() < size) {
            if (const ReadEnd result = this->fill(until); result != ReadEnd::Complete) {
                message.body = this->buffer;
                return result;
            }
        }
        message.body = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        return ReadEnd::Complete;
    }

private:
    static bool parseHead(const std::string &head, Message &message)
    {
        std::size_t position = head.find("\r\n");
        const std::string first = head.substr(0, position);
        if (first.starts_with("HTTP/1.1 ")) {
            message.status = std::atoi(first.c_str() + 9);
        } else {
            const std::size_t space = first.find(' ');
            const std::size_t second = first.find(' ', space + 1);
            if (space == std::string::npos || second == std::string::npos) {
                return false;
            }
            message.method = first.substr(0, space);
            message.target = first.substr(space + 1, second - space - 1);
        }
        position += 2;
        while (position < head.size()) {
            const std::size_t lineEnd = head.find("\r\n", position);
            const std::string line = head.substr(position, lineEnd - position);
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                return false;
            }
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            position = lineEnd + 2;
        }
        return true;
    }

    ReadEnd readChunks(Message &message, Clock::time_point until, const std::function<void(std::string_view)> &onBody)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (const ReadEnd result = this->fill(until); result != ReadEnd::Complete) {
                    return result;
                }
            }
            const std::size_t size = static_cast<std::size_t>(std::strtoull(this->buffer.c_str(), nullptr, 16));
            while (this->buffer.size() < end + 4 + size) {
                if (const ReadEnd result = this->fill(until); result != ReadEnd::Complete) {
                    return result;
                }
            }
            const std::string piece = this->buffer.substr(end + 2, size);
            this->buffer.erase(0, end + 4 + size);
            if (size == 0) {
                return ReadEnd::Complete;
            }
            message.body.append(piece);
            if (onBody) {
                onBody(piece);
            }
        }
    }

    ReadEnd fill(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
        pollfd entry{this->descriptor, POLLIN, 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
            return ReadEnd::TimedOut;
        }
        char bytes[64 * 1024];
        const ssize_t received = ::recv(this->descriptor, bytes, sizeof bytes, 0);
        if (received <= 0) {
            return ReadEnd::Closed;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(received));
        return ReadEnd::Complete;
    }

    int descriptor;
    std::string buffer;
};

inline sockaddr_in parseAddress(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    if (colon == std::string::npos || ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1 || !address.starts_with("127.")) {
        throw std::runtime_error(address + " is no loopback address");
    }
    return result;
}

/** A new connection to @p address; null if it is refused. */
inline std::unique_ptr<Connection> connectTo(const std::string &address)
{
    const sockaddr_in target = parseAddress(address);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
}

/** Accepts connections and calls @p serve for each of them in a thread of its own. Runs until the program ends. */
class Listener
{
public:
    Listener(const std::string &ip, std::function<void(Connection &)> serve) : serve(std::move(serve))
    {
        this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = parseAddress(ip + ":0");
        socklen_t size = sizeof address;
        if (::bind(this->descriptor, reinterpret_cast<const sockaddr *>(&address), size) != 0 || ::listen(this->descriptor, 512) != 0) {
            throw std::runtime_error("cannot listen on " + ip);
        }
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        this->boundAddress = ip + ":" + std::to_string(ntohs(address.sin_port));
        std::thread([this] { this->accept(); }).detach();
    }

    [[nodiscard]] const std::string &address() const
    {
        return this->boundAddress;
    }

private:
    void accept()
    {
        while (true) {
            const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            std::thread([this, accepted] {
                Connection connection(accepted);
                this->serve(connection);
            }).detach();
        }
    }

    std::function<void(Connection &)> serve;
    int descriptor = -1;
    std::string boundAddress;
};

inline std::string responseText(int status, const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace Review
