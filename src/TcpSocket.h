#pragma once

#include <string>

#include "Asio.h"

namespace Bergamotramp {

/** The socket of a TcpStream. Declared apart from TcpStream.h so that most sources do not include the Asio headers. */
struct TcpSocket {
    asio::ip::tcp::socket socket;
};

/** Parses "IP:port"; throws std::invalid_argument if @p address has another form. */
asio::ip::tcp::endpoint parseEndpoint(const std::string &address);

} // namespace Bergamotramp
