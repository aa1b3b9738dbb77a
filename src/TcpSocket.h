#pragma once

#include <string>

#include "Asio.h"

namespace Bergamotramp {

/** The socket of a TcpStream. Apart from TcpStream.h, so that most sources need no networking headers. */
struct TcpSocket {
    asio::ip::tcp::socket socket;
};

/** Parses "IP:port"; throws std::invalid_argument. */
asio::ip::tcp::endpoint parseEndpoint(const std::string &address);

} // namespace Bergamotramp
