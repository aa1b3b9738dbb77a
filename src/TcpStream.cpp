#include "TcpStream.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <absl/strings/numbers.h>

#include "TcpSocket.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t readBufferBytes = 32 * 1024;
// An emptied buffer of unsent bytes keeps at most this much memory; idle connections kept several MB each otherwise.
constexpr std::size_t keptBufferBytes = 64 * 1024;
// A peer that disappears without a reset is detected after about three seconds. That is within the time in which
// configuration changes and upstreams that leave must become known.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr unsigned unacknowledgedTimeoutMilliseconds = 3000;
// A closing connection whose peer does not read the remaining bytes is reset after this time.
constexpr absl::Duration closeTimeout = absl::Seconds(3);

void setOption(int socket, int level, int name, unsigned value)
{
    setsockopt(socket, level, name, &value, sizeof value);
}

/** Shared by all connections, because the single-threaded event loop reads from one connection at a time. */
std::array<char, readBufferBytes> readBuffer;

} // namespace

asio::ip::tcp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    int port = 0;
    boost::system::error_code error;
    if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &port) || port < 0 || port > 65535) {
        throw std::invalid_argument("\"" + address + "\" is not an address of the form IP:port");
    }
    const asio::ip::address ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error) {
        throw std::invalid_argument("\"" + address + "\" is not an address of the form IP:port");
    }
    return {ip, static_cast<unsigned short>(port)};
}

void checkEndpoint(const std::string &address)
{
    static_cast<void>(parseEndpoint(address));
}

void checkRemoteEndpoint(const std::string &address)
{
    if (parseEndpoint(address).port() == 0) {
        throw std::invalid_argument("\"" + address + "\" has no port");
    }
}

TcpStream::TcpStream(EventLoop &loop, TcpSocket socket) : loop(loop), socket(std::make_unique<TcpSocket>(std::move(socket)))
{
    this->configureSocket();
}

TcpStream::~TcpStream() = default;

void TcpStream::configureSocket()
{
    boost::system::error_code ignored;
    this->socket->socket.non_blocking(true, ignored);
    const int descriptor = this->socket->socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedTimeoutMilliseconds);
}

void TcpStream::connect(EventLoop &loop, const std::string &address, absl::Duration timeout, std::function<void(std::shared_ptr<TcpStream>)> done)
{
    struct Attempt {
        explicit Attempt(EventLoop &loop) : socket(loop.context())
        {
        }
        asio::ip::tcp::socket socket;
        LoopTimer timer;
    };
    asio::ip::tcp::endpoint endpoint;
    try {
        endpoint = parseEndpoint(address);
    } catch (const std::invalid_argument &) {
        // Addresses also come from other hosts. A malformed one is one that can't be reached.
        loop.post([done = std::move(done)] { done(nullptr); });
        return;
    }
    const auto attempt = std::make_shared<Attempt>(loop);
    attempt->timer = loop.after(timeout, [weak = std::weak_ptr<Attempt>(attempt)] {
        if (const auto pending = weak.lock()) {
            boost::system::error_code ignored;
            pending->socket.close(ignored);
        }
    });
    attempt->socket.async_connect(endpoint, [&loop, attempt, done = std::move(done)](const boost::system::error_code &error) {
        attempt->timer.cancel();
        done(error || !attempt->socket.is_open() ? nullptr : std::make_shared<TcpStream>(loop, TcpSocket{std::move(attempt->socket)}));
    });
}

void TcpStream::start(Handlers handlers)
{
    this->handlers = std::move(handlers);
    this->resumeReading();
}

void TcpStream::resumeReading()
{
    this->reading = true;
    this->waitReadable();
}

void TcpStream::pauseReading()
{
    this->reading = false;
}

void TcpStream::waitReadable()
{
    if (this->waitingReadable || !this->reading || !this->socket->socket.is_open()) {
        return;
    }
    this->waitingReadable = true;
    this->socket->socket.async_wait(asio::ip::tcp::socket::wait_read, [self = this->shared_from_this()](const boost::system::error_code &error) {
        self->waitingReadable = false;
        if (!error && self->reading) {
            self->onReadable();
        }
    });
}

void TcpStream::onReadable()
{
    boost::system::error_code error;
    const std::size_t size = this->socket->socket.read_some(asio::buffer(readBuffer), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        this->waitReadable();
        return;
    }
    if (error) {
        this->handleEnd(error == asio::error::eof && !this->writeFailed ? StreamEnd::EndOfStream : StreamEnd::ConnectionLost);
        return;
    }
    if (this->handlers.data) {
        // Copied because the handler may replace or destroy this->handlers while it runs.
        const auto data = this->handlers.data;
        if (!this->loop.runGuarded([&data, size] { data(std::string_view(readBuffer.data(), size)); })) {
            // The owner has handled a part of the bytes only, so that nothing that follows on this connection can be trusted.
            this->handleEnd(StreamEnd::ConnectionLost);
            return;
        }
    }
    this->waitReadable();
}

void TcpStream::write(std::string_view bytes)
{
    if (!this->open()) {
        return;
    }
    const bool idle = this->unsent.empty();
    this->unsent.append(bytes);
    if (idle) {
        this->flush();
    }
}

void TcpStream::flush()
{
    boost::system::error_code error;
    while (!this->unsent.empty()) {
        const std::size_t sent = this->socket->socket.write_some(asio::buffer(this->unsent), error);
        if (error) {
            break;
        }
        this->unsent.erase(0, sent);
    }
    if (this->unsent.empty()) {
        if (this->unsent.capacity() > keptBufferBytes) {
            this->unsent = std::string();
        }
        if (this->closing) {
            this->closeSocket();
        }
        return;
    }
    if (error != asio::error::would_block && error != asio::error::try_again) {
        this->handleWriteFailure();
        return;
    }
    if (this->waitingWritable) {
        return;
    }
    this->waitingWritable = true;
    this->socket->socket.async_wait(asio::ip::tcp::socket::wait_write, [self = this->shared_from_this()](const boost::system::error_code &waitError) {
        self->waitingWritable = false;
        if (!waitError && self->socket->socket.is_open()) {
            self->onWritable();
        }
    });
}

// The owner may be in the middle of its call of write(), so its handlers are called later: by the read path, after the bytes that the peer
// sent before, or by the loop while the stream is not read.
void TcpStream::handleWriteFailure()
{
    this->writeFailed = true;
    this->unsent.clear();
    if (this->closing) {
        this->closeSocket();
    } else if (!this->reading) {
        this->loop.post([self = this->shared_from_this()] { self->handleEnd(StreamEnd::ConnectionLost); });
    }
}

void TcpStream::onWritable()
{
    const std::size_t waiting = this->unsent.size();
    this->flush();
    if (this->writeFailed) {
        return;
    }
    const std::size_t accepted = waiting - std::min(waiting, this->unsent.size());
    if (accepted > 0 && this->handlers.sent) {
        // Copied because the handler may destroy this->handlers while it runs.
        const auto sent = this->handlers.sent;
        if (!this->loop.runGuarded([&sent, accepted] { sent(accepted); })) {
            this->handleEnd(StreamEnd::ConnectionLost);
        }
    }
}

std::size_t TcpStream::bufferBytes() const
{
    return this->unsent.capacity();
}

std::string TcpStream::remoteAddress() const
{
    boost::system::error_code error;
    const auto endpoint = this->socket->socket.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

void TcpStream::keepUntilClosed(std::shared_ptr<void> object)
{
    this->kept = std::move(object);
}

void TcpStream::close()
{
    this->handlers = {};
    this->reading = false;
    if (!this->socket->socket.is_open() || this->closing) {
        return;
    }
    this->closing = true;
    if (this->unsent.empty()) {
        this->closeSocket();
        return;
    }
    this->closeTimer = this->loop.after(closeTimeout, [self = this->shared_from_this()] { self->reset(); });
}

void TcpStream::reset()
{
    this->handlers = {};
    this->reading = false;
    this->unsent.clear();
    if (!this->socket->socket.is_open()) {
        return;
    }
    const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
    setsockopt(this->socket->socket.native_handle(), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    this->closeSocket();
}

void TcpStream::closeSocket()
{
    this->kept.reset();
    this->closeTimer.cancel();
    boost::system::error_code ignored;
    this->socket->socket.close(ignored);
}

void TcpStream::handleEnd(StreamEnd how)
{
    const auto ended = std::move(this->handlers.ended);
    this->handlers = {};
    this->reading = false;
    if (how == StreamEnd::ConnectionLost) {
        this->unsent.clear();
        this->closeSocket();
    }
    if (ended) {
        this->loop.runGuarded([&ended, how] { ended(how); });
    }
}

bool TcpStream::open() const
{
    return this->socket->socket.is_open() && !this->closing && !this->writeFailed;
}

std::size_t TcpStream::unsentBytes() const
{
    return this->unsent.size();
}

} // namespace Bergamotramp
