#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/time/time.h>

#include "EventLoop.h"

namespace Bergamotramp {

/** How a connection ended. */
enum class StreamEnd {
    /** The peer closed its sending side in order, and no write has failed before. */
    EndOfStream,
    /** The connection was reset, the peer is unreachable, or it did not respond to TCP for too long. */
    ConnectionLost,
};

struct TcpSocket;

/** Throws std::invalid_argument unless @p address is an address of the form IP:port that can be connected to. */
void checkRemoteEndpoint(const std::string &address);
/** Checks that @p address has the form "IP:port"; throws std::invalid_argument otherwise. */
void checkEndpoint(const std::string &address);

/** One TCP connection, served by an event loop. The handlers are destroyed when the connection ends or is closed. */
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
    struct Handlers {
        /** Called with each piece of received bytes, which is valid during the call only. */
        std::function<void(std::string_view)> data;
        /** Called once when the peer ends the connection or it fails; not after close() or reset(). */
        std::function<void(StreamEnd)> ended;
        /** Called with the number of bytes that the socket has accepted after they had to wait. May be empty. */
        std::function<void(std::size_t)> sent{};
    };

    /** Takes ownership of a connected socket. */
    TcpStream(EventLoop &loop, TcpSocket socket);
    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    /** Opens a connection and passes it to @p done, or null if it can't be established within @p timeout or @p address is malformed. */
    static void connect(EventLoop &loop, const std::string &address, absl::Duration timeout, std::function<void(std::shared_ptr<TcpStream>)> done);

    /** Starts to read and reports to @p handlers. */
    void start(Handlers handlers);
    /** Sends @p bytes; buffers what the socket does not accept yet. Calls no handler, also when the connection turns out to be lost. */
    void write(std::string_view bytes);
    void pauseReading();
    void resumeReading();
    /** Closes the connection after the buffered bytes are sent. No handler is called any more. */
    void close();
    /** Closes the connection at once with a TCP reset, so that the peer does not take a partial message for a complete one. */
    void reset();
    /** Whether bytes can be sent. */
    [[nodiscard]] bool open() const;
    [[nodiscard]] std::size_t unsentBytes() const;
    /** Memory of the buffer for unsent bytes. */
    [[nodiscard]] std::size_t bufferBytes() const;
    /** IP address of the peer; empty if it has disconnected already. */
    [[nodiscard]] std::string remoteAddress() const;
    /** Keeps @p object until the socket is closed, which may be some time after close(). */
    void keepUntilClosed(std::shared_ptr<void> object);

private:
    void configureSocket();
    void waitReadable();
    void onReadable();
    void flush();
    void handleWriteFailure();
    void onWritable();
    void handleEnd(StreamEnd how);
    void closeSocket();

    EventLoop &loop;
    std::unique_ptr<TcpSocket> socket;
    Handlers handlers;
    std::string unsent;
    std::shared_ptr<void> kept;
    bool reading = false;
    bool waitingReadable = false;
    bool waitingWritable = false;
    bool closing = false;
    /** Whether a write has failed. The socket reports a lost connection to one call only; a later read shows a regular end. */
    bool writeFailed = false;
    LoopTimer closeTimer;
};

} // namespace Bergamotramp
