#include "HttpServer.h"

#include <stdexcept>

#include <absl/strings/str_cat.h>

#include "HttpServerConnection.h"
#include "TcpSocket.h"
#include "TcpStream.h"
#include "WeakCallback.h"

namespace Bergamotramp {

namespace {

// Requests that arrive while another is under way are kept up to this size; then the connection is not read.
constexpr std::size_t maxPipelinedBytes = 64 * 1024;
// A caller that reads nothing is dropped when this much waits for it.
constexpr std::size_t maxUnsentBytes = 8 * 1024 * 1024;
// After a failed accept, for example without free descriptors.
constexpr absl::Duration acceptRetryDelay = absl::Milliseconds(50);
constexpr int listenBacklog = 512;

} // namespace

struct HttpServer::Acceptor {
    explicit Acceptor(EventLoop &loop) : acceptor(loop.context())
    {
    }
    asio::ip::tcp::acceptor acceptor;
};

HttpExchange::HttpExchange(std::shared_ptr<HttpServerConnection> connection, HttpRequest request, absl::Time received)
    : connection(std::move(connection)), callerRequest(std::move(request)), receivedAt(received)
{
}

const HttpRequest &HttpExchange::request() const
{
    return this->callerRequest;
}

absl::Time HttpExchange::received() const
{
    return this->receivedAt;
}

void HttpExchange::onCallerLeft(std::function<void()> callback)
{
    this->left = std::move(callback);
}

void HttpExchange::respond(const HttpResponse &response)
{
    if (this->ended() || this->responseStarted) {
        return;
    }
    this->responseStarted = true;
    this->connection->beginResponse(response.head, response.body.size());
    this->connection->stream->write(response.body);
    this->complete();
}

void HttpExchange::startBody(const HttpHead &head)
{
    if (this->ended() || this->responseStarted) {
        return;
    }
    this->responseStarted = true;
    this->connection->beginResponse(head, std::nullopt);
}

void HttpExchange::sendBody(std::string_view bytes)
{
    if (this->ended() || bytes.empty()) {
        return;
    }
    if (this->connection->stream->unsentBytes() > maxUnsentBytes) {
        this->abort();
        return;
    }
    this->connection->stream->write(absl::StrCat(absl::Hex(bytes.size()), "\r\n", absl::string_view(bytes.data(), bytes.size()), "\r\n"));
}

void HttpExchange::finishBody()
{
    if (!this->ended()) {
        this->connection->stream->write("0\r\n\r\n");
        this->complete();
    }
}

void HttpExchange::complete()
{
    const auto finished = std::move(this->connection);
    this->left = nullptr;
    finished->responseComplete();
}

void HttpExchange::abort()
{
    if (this->ended()) {
        return;
    }
    const auto aborted = std::move(this->connection);
    this->left = nullptr;
    aborted->stream->reset();
    aborted->close();
}

bool HttpExchange::started() const
{
    return this->responseStarted;
}

bool HttpExchange::ended() const
{
    return this->connection == nullptr;
}

HttpServerConnection::HttpServerConnection(HttpServer &server, std::shared_ptr<TcpStream> stream) : server(&server), stream(std::move(stream))
{
}

void HttpServerConnection::start()
{
    this->waitForRequest();
    this->stream->start({.data = whileAlive(this->weak_from_this(), &HttpServerConnection::onData),
                         .ended = whileAlive(this->weak_from_this(), &HttpServerConnection::onEnded)});
}

void HttpServerConnection::waitForRequest()
{
    this->parser = std::make_unique<HttpRequestParser>(this->server->bounds.message);
    this->continueSent = false;
    this->timer = this->server->loop.after(this->server->bounds.idleTimeout, [this] { this->close(); });
}

void HttpServerConnection::onData(std::string_view bytes)
{
    if (!this->busy && this->unparsed.empty()) {
        this->timer = this->server->loop.after(this->server->bounds.headTimeout, [this] { this->refuse(408); });
    }
    this->unparsed.append(bytes);
    if (this->busy) {
        if (this->unparsed.size() > maxPipelinedBytes) {
            this->stream->pauseReading();
        }
        return;
    }
    this->parse();
}

void HttpServerConnection::parse()
{
    while (!this->unparsed.empty()) {
        const HttpProgress progress = this->parser->feed(this->unparsed);
        this->unparsed.erase(0, progress.consumed);
        if (progress.error) {
            const bool headerTooLarge = *progress.error == HttpParseError::HeaderTooLarge;
            this->refuse(headerTooLarge ? 431 : *progress.error == HttpParseError::BodyTooLarge ? 413 : 400);
            return;
        }
        if (progress.complete) {
            this->deliver();
            return;
        }
        if (progress.headComplete) {
            this->sendContinue();
        }
        if (progress.consumed == 0) {
            return;
        }
    }
}

void HttpServerConnection::sendContinue()
{
    // Bodies may take their time; the idle time-out is renewed by each piece of them.
    this->timer = this->server->loop.after(this->server->bounds.idleTimeout, [this] { this->refuse(408); });
    if (!this->continueSent && this->parser->expectsContinue()) {
        this->stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    this->continueSent = true;
}

void HttpServerConnection::deliver()
{
    this->timer.cancel();
    this->busy = true;
    this->callerKeepsAlive = this->parser->keepAlive();
    const auto request = std::make_shared<HttpExchange>(this->shared_from_this(), this->parser->take(), this->server->loop.now());
    this->exchange = request;
    this->server->handler(request);
}

bool HttpServerConnection::closesAfterResponse() const
{
    return !this->callerKeepsAlive || this->server->closing;
}

void HttpServerConnection::beginResponse(HttpHead head, std::optional<std::size_t> length)
{
    if (length) {
        head.fields.set("Content-Length", absl::StrCat(*length));
    } else {
        head.fields.remove("Content-Length");
        head.fields.add("Transfer-Encoding", "chunked");
    }
    if (this->closesAfterResponse()) {
        this->callerKeepsAlive = false;
        head.fields.set("Connection", "close");
    }
    this->stream->write(serializeHead(head));
}

void HttpServerConnection::responseComplete()
{
    this->busy = false;
    if (!this->callerKeepsAlive) {
        this->close();
        return;
    }
    this->waitForRequest();
    this->stream->resumeReading();
    if (!this->unparsed.empty()) {
        this->server->loop.post([self = this->shared_from_this()] {
            if (!self->busy) {
                self->parse();
            }
        });
    }
}

void HttpServerConnection::refuse(int status)
{
    this->callerKeepsAlive = false;
    this->beginResponse({.status = status, .fields = {}}, 0);
    this->close();
}

void HttpServerConnection::closeIfIdle()
{
    if (!this->busy && this->unparsed.empty()) {
        this->close();
    }
}

void HttpServerConnection::onEnded(StreamEnd)
{
    const auto self = this->shared_from_this();
    if (const auto pending = this->exchange.lock(); pending && !pending->ended()) {
        const auto left = std::move(pending->left);
        pending->connection = nullptr;
        this->stream->reset();
        if (left) {
            left();
        }
    }
    this->close();
}

void HttpServerConnection::close()
{
    const auto self = this->shared_from_this();
    this->timer.cancel();
    this->stream->close();
    this->server->open.erase(self);
}

HttpServer::HttpServer(EventLoop &loop, const std::string &address, std::size_t maxConnections, Handler handler)
    : loop(loop), acceptor(std::make_unique<Acceptor>(loop)), maxConnections(maxConnections), handler(std::move(handler))
{
    const asio::ip::tcp::endpoint endpoint = parseEndpoint(address);
    boost::system::error_code error;
    this->acceptor->acceptor.open(endpoint.protocol(), error);
    this->acceptor->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    this->acceptor->acceptor.bind(endpoint, error);
    if (!error) {
        this->acceptor->acceptor.listen(listenBacklog, error);
    }
    if (error) {
        throw std::runtime_error("cannot listen on " + address + ": " + error.message());
    }
    this->accept();
}

HttpServer::~HttpServer()
{
    for (const auto &connection : std::exchange(this->open, {})) {
        connection->timer.cancel();
        connection->stream->reset();
    }
}

std::string HttpServer::address() const
{
    const asio::ip::tcp::endpoint endpoint = this->acceptor->acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void HttpServer::setBounds(const HttpServerBounds &newBounds)
{
    this->bounds = newBounds;
}

void HttpServer::accept()
{
    this->acceptor->acceptor.async_accept([this](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            this->acceptPause = this->loop.after(acceptRetryDelay, [this] { this->accept(); });
            return;
        }
        const auto stream = std::make_shared<TcpStream>(this->loop, TcpSocket{std::move(socket)});
        if (this->open.size() >= this->maxConnections) {
            stream->reset();
        } else {
            const auto connection = std::make_shared<HttpServerConnection>(*this, stream);
            this->open.insert(connection);
            connection->start();
        }
        this->accept();
    });
}

void HttpServer::closeAfterResponses()
{
    this->closing = true;
}

void HttpServer::stopAccepting()
{
    boost::system::error_code ignored;
    this->acceptor->acceptor.close(ignored);
}

void HttpServer::closeIdle()
{
    const auto connections = this->open;
    for (const auto &connection : connections) {
        connection->closeIfIdle();
    }
}

std::size_t HttpServer::connections() const
{
    return this->open.size();
}

} // namespace Bergamotramp
