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
    /** The peer has sent everything that it will send. */
    EndOfStream,
    /** Reset, unreachable or silent for too long. */
    Broken,
};

struct TcpSocket;

/** Throws std::invalid_argument unless @p address has the form "IP:port". */
void checkEndpoint(const std::string &address);

/** One TCP connection of an event loop. Handlers are released when the connection has ended. */
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
    struct Handlers {
        std::function<void(std::string_view)> data;
        std::function<void(StreamEnd)> ended;
    };

    /** Takes over an open socket. */
    TcpStream(EventLoop &loop, TcpSocket socket);
    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    /** Opens a connection; @p done gets null when it can't be established within @p timeout. */
    static void connect(EventLoop &loop, const std::string &address, absl::Duration timeout, std::function<void(std::shared_ptr<TcpStream>)> done);

    /** Begins to read. */
    void start(Handlers handlers);
    /** Sends @p bytes, or keeps them until the peer reads on. */
    void write(std::string_view bytes);
    void pauseReading();
    void resumeReading();
    /** Closes once everything is sent; no handler is called any more. */
    void close();
    /** Ends the connection at once with a reset, so that the peer can't take what it got as complete. */
    void reset();
    [[nodiscard]] bool open() const;
    [[nodiscard]] std::size_t unsentBytes() const;

private:
    void configure();
    void waitReadable();
    void onReadable();
    void flush();
    void end(StreamEnd how);
    void shut();

    EventLoop &loop;
    std::unique_ptr<TcpSocket> socket;
    Handlers handlers;
    std::string unsent;
    bool reading = false;
    bool waitingReadable = false;
    bool waitingWritable = false;
    bool closing = false;
    LoopTimer closeTimer;
};

} // namespace Bergamotramp
