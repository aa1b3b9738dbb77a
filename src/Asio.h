#pragma once

// Boost.Asio 1.74 uses std::exchange without including its header, which g++ 12 rejects.
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Bergamotramp {

namespace asio = boost::asio;

} // namespace Bergamotramp
