#include "ReservedPort.h"

#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Bergamotramp {

ReservedPort::ReservedPort() : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    if (::bind(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("cannot bind a free port of 127.0.0.1");
    }
    ::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    this->port = ntohs(address.sin_port);
}

ReservedPort::~ReservedPort()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

ReservedPort::ReservedPort(ReservedPort &&other) noexcept : descriptor(std::exchange(other.descriptor, -1)), port(other.port)
{
}

std::string ReservedPort::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

} // namespace Bergamotramp
