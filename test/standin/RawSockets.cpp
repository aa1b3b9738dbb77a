#include "RawSockets.h"

#include "LoopRunner.h"
#include "TcpSocket.h"

namespace Bergamotramp {

RawClient::RawClient(EventLoop &loop, const std::string &address)
{
    TcpStream::connect(loop, address, absl::Seconds(5), [this](std::shared_ptr<TcpStream> opened) {
        this->stream = std::move(opened);
        this->stream->start({.data = [this](std::string_view bytes) { this->received.append(bytes); }, .ended = [this](StreamEnd) { this->ended = true; }});
    });
    runUntil(loop, [this] { return this->stream != nullptr; });
}

FixedResponseServer::FixedResponseServer(EventLoop &loop, std::string response)
    : loop(loop), response(std::move(response)), acceptor(loop.context(), parseEndpoint("127.0.0.1:0"))
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
        stream->start({.data =
                           [this, raw = stream.get()](std::string_view) {
                               ++this->requests;
                               raw->write(this->response);
                               if (this->closeAfterResponse) {
                                   raw->close();
                               }
                           },
                       .ended = [this](StreamEnd how) { this->lastEnd = how; }});
        this->streams.push_back(stream);
        this->accept();
    });
}

} // namespace Bergamotramp
