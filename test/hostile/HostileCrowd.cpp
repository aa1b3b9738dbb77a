#include "HostileCrowd.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t sources = 50;
// The crowd has sent what the daemon takes when nothing was accepted in this many rounds of the event loop.
constexpr int quietRounds = 60;

sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

} // namespace

HostileCaller::HostileCaller(const std::string &source, const std::string &address, int receiveBytes)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
{
    if (receiveBytes > 0) {
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }
    const sockaddr_in from = socketAddress(source, 0);
    ::bind(this->descriptor, reinterpret_cast<const sockaddr *>(&from), sizeof from);
    const std::size_t colon = address.rfind(':');
    const sockaddr_in to = socketAddress(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
    ::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof to);
}

HostileCaller::~HostileCaller()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

HostileCaller::HostileCaller(HostileCaller &&other) noexcept
    : descriptor(std::exchange(other.descriptor, -1)), unsent(std::move(other.unsent)), sent(other.sent)
{
}

void HostileCaller::send(const std::string &text)
{
    this->unsent += text;
}

bool HostileCaller::pump(std::size_t bytes)
{
    const std::size_t size = std::min(bytes, this->unsent.size() - this->sent);
    const ssize_t written = size == 0 ? 0 : ::send(this->descriptor, this->unsent.data() + this->sent, size, MSG_NOSIGNAL);
    this->sent += written > 0 ? static_cast<std::size_t>(written) : 0;
    return written > 0;
}

void HostileCaller::read(std::string &received) const
{
    std::array<char, 4096> buffer{};
    for (ssize_t size = 0; (size = ::recv(this->descriptor, buffer.data(), buffer.size(), 0)) > 0;) {
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

HostileCrowd::HostileCrowd(std::function<void()> idle) : idle(std::move(idle))
{
}

void HostileCrowd::add(const std::string &address, const std::string &text, int receiveBytes)
{
    this->callers.emplace_back(absl::StrCat("127.0.1.", 1 + this->callers.size() % sources), address, receiveBytes);
    this->callers.back().send(text);
}

void HostileCrowd::sendAll(std::size_t pieceBytes)
{
    for (int quiet = 0; quiet < quietRounds;) {
        bool accepted = false;
        for (HostileCaller &caller : this->callers) {
            accepted = caller.pump(pieceBytes) || accepted;
        }
        quiet = accepted ? 0 : quiet + 1;
        this->idle();
    }
}

} // namespace Bergamotramp
