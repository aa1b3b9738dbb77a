#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Bergamotramp {

/** A blocking-free TCP connection that sends a text and reads only when told to. */
class HostileCaller
{
public:
    /** Connects from @p source ("127.x.x.x") to @p address; @p receiveBytes is the size of the receive buffer, 0 for the system's. */
    HostileCaller(const std::string &source, const std::string &address, int receiveBytes = 0);
    ~HostileCaller();
    HostileCaller(HostileCaller &&other) noexcept;
    HostileCaller(const HostileCaller &) = delete;

    void send(const std::string &text);
    /** Writes up to @p bytes of what is to be sent; returns whether any were accepted. */
    bool pump(std::size_t bytes);
    /** Reads what has arrived, to the end of @p received. */
    void read(std::string &received) const;

private:
    int descriptor;
    std::string unsent;
    std::size_t sent = 0;
};

/** A crowd of callers from 50 addresses. All stay connected until the crowd is destroyed. */
class HostileCrowd
{
public:
    /** @p idle runs the event loop of the test for a moment. */
    explicit HostileCrowd(std::function<void()> idle);

    /** Adds a caller that sends @p text to @p address, @p receiveBytes as for HostileCaller. */
    void add(const std::string &address, const std::string &text, int receiveBytes = 0);
    /** Sends in pieces of @p pieceBytes, one caller after the other, until no caller's bytes are accepted any more. */
    void sendAll(std::size_t pieceBytes);

private:
    std::function<void()> idle;
    std::vector<HostileCaller> callers;
};

} // namespace Bergamotramp
