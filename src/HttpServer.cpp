#include "HttpServer.h"

#include <stdexcept>

#include <absl/strings/str_cat.h>

#include "CallRefusal.h"
#include "HttpServerConnection.h"
#include "TcpSocket.h"
#include "TcpStream.h"
#include "WeakCallback.h"

namespace Bergamotramp {

namespace {

// Requests that arrive while another is in progress are buffered up to this size. Above it the connection is not read until the
// response is complete.
constexpr std::size_t maxPipelinedBytes = 64 * 1024;
// A response is aborted when more bytes than this wait for a caller that does not read.
constexpr std::size_t maxUnsentBytes = 8 * 1024 * 1024;
// The next request of a connection is not handled while more bytes than this wait for the caller.
constexpr std::size_t maxUnreadBytes = 64 * 1024;
constexpr absl::Duration rateCheckPeriod = absl::Seconds(1);
// When a caller that was refused for the budget should come back.
constexpr absl::Duration overloadRetryAfter = absl::Seconds(1);
// A request in progress is held once by its exchange and once by the attempt at an upstream.
constexpr std::size_t copiesInProgress = 2;
// Delay after a failed accept, for example when no file descriptor is free.
constexpr absl::Duration acceptRetryDelay = absl::Milliseconds(50);
constexpr int listenBacklog = 512;
constexpr int internalErrorStatus = 500;

} // namespace

struct HttpServer::Acceptor {
    explicit Acceptor(EventLoop &loop) : acceptor(loop.context())
    {
    }
    asio::ip::tcp::acceptor acceptor;
    /** Expires with the server. */
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
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

void HttpExchange::onCallerDisconnected(std::function<void()> callback)
{
    this->disconnectHandler = std::move(callback);
}

void HttpExchange::respond(const HttpResponse &response)
{
    if (this->ended() || this->responseStarted) {
        return;
    }
    this->responseStarted = true;
    this->connection->sendResponseHead(this->withCallId(response.head), response.body.size());
    this->connection->stream->write(response.body);
    this->connection->updateBudget();
    this->finishResponse();
}

HttpHead HttpExchange::withCallId(HttpHead head) const
{
    if (const auto callId = this->callerRequest.fields.find(callIdField)) {
        head.fields.set(callIdField, std::string(*callId));
    }
    return head;
}

void HttpExchange::startBody(const HttpHead &head)
{
    if (this->ended() || this->responseStarted) {
        return;
    }
    this->responseStarted = true;
    this->connection->sendResponseHead(this->withCallId(head), std::nullopt);
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
    this->connection->updateBudget();
}

void HttpExchange::finishBody()
{
    if (!this->ended()) {
        this->connection->stream->write("0\r\n\r\n");
        this->finishResponse();
    }
}

void HttpExchange::finishResponse()
{
    const auto finished = std::move(this->connection);
    this->disconnectHandler = nullptr;
    finished->onResponseComplete();
}

void HttpExchange::abort()
{
    if (this->ended()) {
        return;
    }
    const auto aborted = std::move(this->connection);
    this->disconnectHandler = nullptr;
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
    this->stream->start({.data = makeWeakCallback(this->weak_from_this(), &HttpServerConnection::onData),
                         .ended = makeWeakCallback(this->weak_from_this(), &HttpServerConnection::onEnded),
                         .sent = makeWeakCallback(this->weak_from_this(), &HttpServerConnection::onSent)});
}

bool HttpServerConnection::registerWithBudget()
{
    const std::shared_ptr<CallerBudget> budget = this->server->budget;
    if (budget == nullptr) {
        return true;
    }
    // The connection is closed later, because the budget decides while another one, or this one, handles what it has received.
    const auto close = [&loop = this->server->loop, weak = this->weak_from_this()](CallerLimit limit) {
        loop.post([weak, limit] {
            if (const auto self = weak.lock()) {
                self->closeForLimit(limit);
            }
        });
    };
    this->budgetId = budget->open(this->server->callerClass, this->stream->remoteAddress(), this->server->loop.now(), close);
    if (this->budgetId == 0) {
        return false;
    }
    this->stream->keepUntilClosed(std::shared_ptr<void>(nullptr, [budget, id = this->budgetId](void *) { budget->closed(id); }));
    return true;
}

void HttpServerConnection::updateBudget()
{
    const absl::Time now = this->server->loop.now();
    const std::size_t unsent = this->stream->unsentBytes();
    if (unsent == 0) {
        this->answerRate.stop();
    } else if (!this->answerRate.active()) {
        this->answerRate.start(now);
    }
    if (this->server->budget == nullptr) {
        return;
    }
    const std::size_t request = this->requestInProgress ? copiesInProgress * this->requestBytes : this->parser->heldBytes();
    const bool closable = !this->requestInProgress || unsent > maxUnreadBytes;
    this->server->budget->hold(this->budgetId, request + this->unparsed.capacity() + this->stream->bufferBytes(), closable, now);
}

void HttpServerConnection::onSent(std::size_t bytes)
{
    this->answerRate.add(bytes);
    if (this->server->budget != nullptr) {
        this->server->budget->moved(this->budgetId, bytes, this->server->loop.now());
    }
    this->updateBudget();
    if (this->waitingForReader && this->stream->unsentBytes() <= maxUnreadBytes) {
        this->waitingForReader = false;
        this->continueAfterResponse();
    }
}

void HttpServerConnection::checkRate()
{
    const absl::Time now = this->server->loop.now();
    const bool bodyTooSlow = this->bodyRate.tooSlow(now);
    const bool answerTooSlow = this->answerRate.tooSlow(now);
    if (!bodyTooSlow && !answerTooSlow) {
        return;
    }
    this->server->budget->reportSlow(this->budgetId, now);
    if (answerTooSlow) {
        this->dropResponse();
    } else {
        this->rejectRequest(408);
    }
}

void HttpServerConnection::closeForLimit(CallerLimit)
{
    if (!this->stream->open()) {
        return;
    }
    if (this->requestInProgress || this->stream->unsentBytes() > 0) {
        this->dropResponse();
    } else if (this->requestBegun) {
        this->sendAndClose(notRunResponse("overloaded", "this host has no memory for the request", overloadRetryAfter));
    } else {
        this->close();
    }
}

void HttpServerConnection::dropResponse()
{
    const auto self = this->shared_from_this();
    this->stream->reset();
    this->onEnded(StreamEnd::ConnectionLost);
}

bool HttpServerConnection::admitBody()
{
    const std::optional<std::uint64_t> length = this->parser->statedLength();
    if (this->server->budget == nullptr || !length || this->server->budget->admitBody(this->budgetId, *length, this->server->loop.now())) {
        return true;
    }
    this->sendAndClose(notRunResponse("overloaded", "this host has no memory for the body", overloadRetryAfter));
    return false;
}

void HttpServerConnection::waitForRequest()
{
    this->parser = std::make_unique<HttpRequestParser>(this->server->bounds.message);
    this->continueHandled = false;
    this->timer = this->server->loop.after(this->server->bounds.idleTimeout, [this] { this->close(); });
}

void HttpServerConnection::onData(std::string_view bytes)
{
    if (!this->requestInProgress && !this->waitingForReader && !this->requestBegun) {
        this->timer = this->server->loop.after(this->server->bounds.headTimeout, [this] { this->rejectRequest(408); });
    }
    const auto self = this->shared_from_this();
    this->unparsed.append(bytes);
    this->bodyRate.add(bytes.size());
    if (this->server->budget != nullptr) {
        this->server->budget->moved(this->budgetId, bytes.size(), this->server->loop.now());
    }
    if (this->requestInProgress || this->waitingForReader) {
        if (this->unparsed.size() > maxPipelinedBytes) {
            this->stream->pauseReading();
        }
    } else {
        this->requestBegun = true;
        this->parseRequest();
    }
    if (this->stream->open()) {
        this->updateBudget();
    }
}

void HttpServerConnection::parseRequest()
{
    while (!this->unparsed.empty()) {
        const HttpProgress progress = this->parser->feed(this->unparsed);
        this->unparsed.erase(0, progress.consumed);
        if (progress.error) {
            const bool headerTooLarge = *progress.error == HttpParseError::HeaderTooLarge;
            this->rejectRequest(headerTooLarge ? 431 : *progress.error == HttpParseError::BodyTooLarge ? 413 : 400);
            return;
        }
        if (progress.complete) {
            this->dispatchRequest();
            return;
        }
        if (progress.headComplete) {
            if (!this->onBodyPending()) {
                return;
            }
        }
        if (progress.consumed == 0) {
            return;
        }
    }
}

bool HttpServerConnection::onBodyPending()
{
    if (!this->continueHandled) {
        if (!this->admitBody()) {
            return false;
        }
        this->bodyRate.start(this->server->loop.now());
    }
    // The head timeout does not cover the body; each piece of the body restarts the idle timeout.
    this->timer = this->server->loop.after(this->server->bounds.idleTimeout, [this] { this->rejectRequest(408); });
    if (!this->continueHandled && this->parser->expectsContinue()) {
        this->stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    this->continueHandled = true;
    return true;
}

void HttpServerConnection::dispatchRequest()
{
    this->timer.cancel();
    this->requestInProgress = true;
    this->requestBegun = false;
    this->bodyRate.stop();
    this->requestBytes = this->parser->heldBytes();
    this->updateBudget();
    this->keepConnectionOpen = this->parser->keepAlive();
    const auto exchange = std::make_shared<HttpExchange>(this->shared_from_this(), this->parser->takeRequest(), this->server->loop.now());
    this->currentExchange = exchange;
    const bool handled = this->server->loop.runGuarded([this, &exchange] { this->server->handler(exchange); });
    if (!handled && !exchange->ended()) {
        if (exchange->started()) {
            exchange->abort();
        } else {
            exchange->respond(failureResponse(internalErrorStatus, "internal_error", "this host failed on the request", "unknown"));
        }
    }
}

bool HttpServerConnection::shouldCloseAfterResponse() const
{
    // A request that was received behind this one is answered too. Its caller could not tell whether it has run.
    return !this->keepConnectionOpen || (this->server->closingAfterResponses && this->unparsed.empty());
}

void HttpServerConnection::sendResponseHead(HttpHead head, std::optional<std::size_t> length)
{
    if (length) {
        head.fields.set("Content-Length", absl::StrCat(*length));
    } else {
        head.fields.remove("Content-Length");
        head.fields.add("Transfer-Encoding", "chunked");
    }
    if (this->shouldCloseAfterResponse()) {
        this->keepConnectionOpen = false;
        head.fields.set("Connection", "close");
    }
    this->stream->write(serializeHead(head));
}

void HttpServerConnection::onResponseComplete()
{
    this->requestInProgress = false;
    if (!this->keepConnectionOpen) {
        this->close();
        return;
    }
    this->waitForRequest();
    if (this->stream->unsentBytes() > maxUnreadBytes) {
        this->timer.cancel();
        this->waitingForReader = true;
        return;
    }
    this->continueAfterResponse();
}

void HttpServerConnection::continueAfterResponse()
{
    if (!this->timer.active()) {
        this->timer = this->server->loop.after(this->server->bounds.idleTimeout, [this] { this->close(); });
    }
    this->stream->resumeReading();
    this->requestBegun = !this->unparsed.empty();
    if (this->requestBegun) {
        this->server->loop.post([self = this->shared_from_this()] {
            if (!self->requestInProgress && self->stream->open()) {
                self->parseRequest();
            }
        });
    }
}

void HttpServerConnection::rejectRequest(int status)
{
    this->sendAndClose({.head = {.status = status, .fields = {}}, .body = {}});
}

void HttpServerConnection::sendAndClose(const HttpResponse &response)
{
    this->keepConnectionOpen = false;
    this->sendResponseHead(response.head, response.body.size());
    this->stream->write(response.body);
    this->close();
}

void HttpServerConnection::rejectIfPartlyReceived(const HttpResponse &response)
{
    if (!this->requestInProgress && this->requestBegun) {
        this->sendAndClose(response);
    }
}

void HttpServerConnection::answerIfInProgress(const HttpResponse &response)
{
    const auto exchange = this->currentExchange.lock();
    if (!this->requestInProgress || !exchange || exchange->started()) {
        return;
    }
    const auto stopWork = std::move(exchange->disconnectHandler);
    exchange->respond(response);
    if (stopWork) {
        stopWork();
    }
}

void HttpServerConnection::closeIfIdle()
{
    if (!this->requestInProgress && !this->requestBegun) {
        this->close();
    }
}

void HttpServerConnection::onEnded(StreamEnd)
{
    const auto self = this->shared_from_this();
    if (const auto pending = this->currentExchange.lock(); pending && !pending->ended()) {
        const auto disconnectHandler = std::move(pending->disconnectHandler);
        pending->connection = nullptr;
        this->stream->reset();
        if (disconnectHandler) {
            disconnectHandler();
        }
    }
    this->close();
}

void HttpServerConnection::close()
{
    const auto self = this->shared_from_this();
    this->timer.cancel();
    this->stream->close();
    this->server->openConnections.erase(self);
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
    for (const auto &connection : std::exchange(this->openConnections, {})) {
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
    this->acceptor->acceptor.async_accept(
        [this, lifetime = std::weak_ptr<bool>(this->acceptor->lifetime)](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
            // A connection that was accepted before the server is destroyed may be reported after it, without an error.
            if (lifetime.expired() || error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                // Frees the descriptor of an idle connection for the next caller.
                if (this->budget != nullptr) {
                    this->budget->closeIdlest(this->callerClass, this->loop.now());
                }
                this->acceptRetryTimer = this->loop.after(acceptRetryDelay, [this] { this->accept(); });
                return;
            }
            this->addConnection(std::make_shared<TcpStream>(this->loop, TcpSocket{std::move(socket)}));
            this->accept();
        });
}

void HttpServer::addConnection(const std::shared_ptr<TcpStream> &stream)
{
    const auto connection = std::make_shared<HttpServerConnection>(*this, stream);
    if (this->openConnections.size() >= this->maxConnections || !connection->registerWithBudget()) {
        stream->reset();
        return;
    }
    this->openConnections.insert(connection);
    connection->start();
}

void HttpServer::useBudget(std::shared_ptr<CallerBudget> callerBudget, CallerClass callers)
{
    this->budget = std::move(callerBudget);
    this->callerClass = callers;
    this->checkRates();
}

void HttpServer::checkRates()
{
    this->rateTimer = this->loop.after(rateCheckPeriod, [this] { this->checkRates(); });
    const auto connections = this->openConnections;
    for (const auto &connection : connections) {
        connection->checkRate();
    }
}

void HttpServer::closeAfterResponses()
{
    this->closingAfterResponses = true;
}

void HttpServer::stopAccepting()
{
    boost::system::error_code ignored;
    this->acceptor->acceptor.close(ignored);
}

void HttpServer::closeIdle()
{
    const auto connections = this->openConnections;
    for (const auto &connection : connections) {
        connection->closeIfIdle();
    }
}

void HttpServer::rejectPartlyReceived(const HttpResponse &response)
{
    const auto connections = this->openConnections;
    for (const auto &connection : connections) {
        connection->rejectIfPartlyReceived(response);
    }
}

void HttpServer::answerInProgress(const HttpResponse &response)
{
    const auto connections = this->openConnections;
    for (const auto &connection : connections) {
        connection->answerIfInProgress(response);
    }
}

std::size_t HttpServer::connections() const
{
    return this->openConnections.size();
}

} // namespace Bergamotramp
