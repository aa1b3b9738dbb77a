#include "FixedResponseServer.h"

#include "TcpSocket.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration resetDelay = absl::Milliseconds(50);

} // namespace

FixedResponseServer::FixedResponseServer(EventLoop &loop, std::string response, ConnectionEnd connectionEnd)
    : loop(loop), response(std::move(response)), connectionEnd(connectionEnd), acceptor(loop.context(), parseEndpoint("127.0.0.1:0"))
{
    this->accept();
}

std::string FixedResponseServer::address() const
{
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void FixedResponseServer::closeConnections()
{
    for (const auto &stream : this->streams) {
        stream->close();
    }
}

void FixedResponseServer::writeTo(int connection, const std::string &bytes)
{
    this->streams.at(static_cast<std::size_t>(connection))->write(bytes);
}

void FixedResponseServer::accept()
{
    this->acceptor.async_accept([this](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        ++this->accepted;
        const auto stream = std::make_shared<TcpStream>(this->loop, TcpSocket{std::move(socket)});
        stream->start({.data = [this, raw = stream.get()](std::string_view) { this->respond(*raw); }, .ended = [this](StreamEnd how) { this->lastEnd = how; }});
        this->streams.push_back(stream);
        this->accept();
    });
}

void FixedResponseServer::respond(TcpStream &stream)
{
    ++this->requests;
    if (!this->readsOn) {
        stream.pauseReading();
    }
    stream.write(this->response);
    if (this->connectionEnd == ConnectionEnd::Close) {
        stream.close();
    } else if (this->connectionEnd == ConnectionEnd::Reset) {
        this->resetTimers.push_back(this->loop.after(resetDelay, [kept = stream.shared_from_this()] { kept->reset(); }));
    }
}

} // namespace Bergamotramp
