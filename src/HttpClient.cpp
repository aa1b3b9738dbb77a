#include "HttpClient.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "HttpClientConnection.h"
#include "WeakCallback.h"

namespace Bergamotramp {

namespace {

// A connection is not reused in this last part of the time for which the peer keeps it open, because the peer could close it
// while the request is on its way.
constexpr absl::Duration idleReuseMargin = absl::Milliseconds(700);
// A peer may send an informational response or a late copy of an earlier one now and then; one that sends more of them is faulty.
constexpr int maxSkippedResponses = 64;
constexpr int firstFinalStatus = 200;
// Statuses outside this range are not defined by HTTP, so the bytes are no response.
constexpr int minStatus = 100;
constexpr int maxStatus = 599;

} // namespace

HttpCall::HttpCall(std::shared_ptr<HttpClientConnection> connection, std::uint64_t callNumber) : connection(std::move(connection)), callNumber(callNumber)
{
}

HttpCall &HttpCall::operator=(HttpCall &&other) noexcept
{
    if (this != &other) {
        this->cancel();
        this->connection = std::move(other.connection);
        this->callNumber = other.callNumber;
    }
    return *this;
}

HttpCall::~HttpCall()
{
    this->cancel();
}

void HttpCall::cancel()
{
    if (const auto cancelled = std::exchange(this->connection, nullptr)) {
        cancelled->cancel(this->callNumber);
    }
}

HttpClientConnection::HttpClientConnection(HttpClient &client, std::string address) : client(&client), address(std::move(address))
{
}

void HttpClientConnection::startCall(const HttpRequest &request, HttpCallEvents callEvents)
{
    this->idleTimer.cancel();
    ++this->callCount;
    this->events = std::move(callEvents);
    this->serializedRequest = serializeRequest(request, this->address);
    this->callInProgress = true;
    this->requestSent = false;
    this->skippedResponses = 0;
    this->keepAliveDuration = this->client->options.idleTimeout;
    if (this->stream) {
        this->client->loop.post([self = this->shared_from_this(), reusedStream = this->stream] {
            if (self->callInProgress && self->stream == reusedStream) {
                self->sendRequest();
            }
        });
        return;
    }
    this->connect();
}

void HttpClientConnection::connect()
{
    ++this->client->openedConnections;
    TcpStream::connect(this->client->loop,
                       this->address,
                       this->client->options.connectTimeout,
                       [self = this->shared_from_this()](std::shared_ptr<TcpStream> opened) { self->onConnected(std::move(opened)); });
}

void HttpClientConnection::onConnected(std::shared_ptr<TcpStream> opened)
{
    if (!this->callInProgress) {
        if (opened) {
            opened->close();
        }
        return;
    }
    if (!opened) {
        this->fail(HttpCallError::NotSent);
        return;
    }
    this->stream = std::move(opened);
    this->stream->start({.data = makeWeakCallback(this->weak_from_this(), &HttpClientConnection::onData),
                         .ended = makeWeakCallback(this->weak_from_this(), &HttpClientConnection::onEnded)});
    this->sendRequest();
}

void HttpClientConnection::sendRequest()
{
    if (!this->stream->open()) {
        this->replaceStream();
        return;
    }
    this->requestSent = true;
    this->resetParser();
    this->stream->write(this->serializedRequest);
    this->serializedRequest.clear();
}

void HttpClientConnection::replaceStream()
{
    // The end of a reused connection, or bytes on it, before the request is written do not mean that the peer is down or that the
    // request failed. The request is sent on a new connection.
    this->stream->close();
    this->stream = nullptr;
    this->unparsed.clear();
    this->connect();
}

void HttpClientConnection::resetParser()
{
    this->headProcessed = false;
    this->skippingResponse = false;
    this->parser = std::make_unique<HttpResponseParser>(this->client->options.bounds, [this](std::string_view bytes) {
        if (!this->skippingResponse && this->callInProgress && this->events.body) {
            const auto body = this->events.body;
            body(bytes);
        }
    });
}

bool HttpClientConnection::checkResponseExpected()
{
    if (!this->callInProgress) {
        // No call is in progress that the bytes or the end of the connection could belong to.
        this->discard();
    } else if (!this->requestSent) {
        this->replaceStream();
    }
    return this->callInProgress && this->requestSent;
}

void HttpClientConnection::onData(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (!this->checkResponseExpected()) {
        return;
    }
    this->unparsed.append(bytes);
    while (this->callInProgress && !this->unparsed.empty()) {
        const HttpProgress progress = this->parser->feed(this->unparsed);
        if (!this->callInProgress) {
            return;
        }
        this->unparsed.erase(0, progress.consumed);
        if (progress.error) {
            this->fail(HttpCallError::BadResponse);
            return;
        }
        if (progress.headComplete && !this->headProcessed && !this->processHead()) {
            return;
        }
        if (progress.complete) {
            this->complete();
        } else if (progress.consumed == 0) {
            return;
        }
    }
}

bool HttpClientConnection::processHead()
{
    this->headProcessed = true;
    const HttpHead &head = this->parser->head();
    if (head.status < minStatus || head.status > maxStatus) {
        this->fail(HttpCallError::BadResponse);
        return false;
    }
    this->skippingResponse = head.status < firstFinalStatus || (this->events.matchesRequest && !this->events.matchesRequest(head));
    if (!this->skippingResponse) {
        this->applyKeepAliveTimeout();
        const auto deliver = this->events.head;
        deliver(head);
    }
    return this->callInProgress;
}

void HttpClientConnection::applyKeepAliveTimeout()
{
    const auto field = this->parser->head().fields.find("keep-alive");
    if (!field) {
        return;
    }
    for (const absl::string_view part : absl::StrSplit(absl::string_view(field->data(), field->size()), absl::ByAnyChar(", "))) {
        int seconds = 0;
        if (part.substr(0, 8) == "timeout=" && absl::SimpleAtoi(part.substr(8), &seconds)) {
            this->keepAliveDuration = std::min(this->keepAliveDuration, absl::Seconds(seconds) - idleReuseMargin);
        }
    }
}

void HttpClientConnection::complete()
{
    if (this->skippingResponse) {
        if (++this->skippedResponses > maxSkippedResponses) {
            this->fail(HttpCallError::BadResponse);
        } else {
            this->resetParser();
        }
        return;
    }
    const bool distinguishable = !this->events.isDistinguishable || this->events.isDistinguishable();
    const bool reusable =
        distinguishable && this->parser->keepAlive() && this->parser->hasExplicitLength() && this->unparsed.empty() && this->stream->unsentBytes() == 0;
    const auto completed = std::move(this->events.completed);
    this->events = {};
    this->callInProgress = false;
    if (reusable) {
        this->client->addIdle(this->shared_from_this());
    } else {
        this->discard();
    }
    completed();
}

void HttpClientConnection::onEnded(StreamEnd how)
{
    const auto self = this->shared_from_this();
    if (!this->checkResponseExpected()) {
        return;
    }
    if (how == StreamEnd::EndOfStream && this->endCompletesResponse()) {
        this->complete();
        return;
    }
    this->fail(HttpCallError::ConnectionLost);
}

// A peer whose process ends closes its connection in order as well. If it has not taken the whole request, nothing tells that from the end
// of a response without a length.
bool HttpClientConnection::endCompletesResponse()
{
    const bool readingResponse = this->headProcessed && !this->skippingResponse && this->unparsed.empty();
    return readingResponse && this->stream->unsentBytes() == 0 && this->parser->endOfStream().complete;
}

void HttpClientConnection::fail(HttpCallError error)
{
    const auto self = this->shared_from_this();
    const auto failed = std::move(this->events.failed);
    this->events = {};
    this->callInProgress = false;
    this->discard();
    if (failed) {
        failed(error);
    }
}

void HttpClientConnection::cancel(std::uint64_t call)
{
    if (!this->callInProgress || call != this->callCount) {
        return;
    }
    this->events = {};
    this->callInProgress = false;
    if (this->stream) {
        // The reset keeps a request that is delayed on the way from being delivered after its call was cancelled.
        this->stream->reset();
    }
    this->discard();
}

bool HttpClientConnection::isReusable(absl::Time now) const
{
    return this->stream && this->stream->open() && now < this->reusableUntil;
}

void HttpClientConnection::discard()
{
    this->idleTimer.cancel();
    if (this->stream) {
        this->stream->close();
    }
    this->client->removeIdle(this->shared_from_this());
}

HttpClient::HttpClient(EventLoop &loop, const HttpClientOptions &options) : loop(loop), options(options)
{
}

HttpClient::~HttpClient()
{
    for (auto &[address, connections] : std::exchange(this->idle, {})) {
        for (const auto &connection : connections) {
            connection->idleTimer.cancel();
        }
    }
}

HttpCall HttpClient::send(const std::string &address, const HttpRequest &request, HttpCallEvents events, absl::Duration maxIdleTime)
{
    auto connection = this->takeIdle(address, maxIdleTime);
    if (!connection) {
        connection = std::make_shared<HttpClientConnection>(*this, address);
    }
    connection->startCall(request, std::move(events));
    return {connection, connection->callCount};
}

std::shared_ptr<HttpClientConnection> HttpClient::takeIdle(const std::string &address, absl::Duration maxIdleTime)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const absl::Time now = this->loop.now();
    while (!found->second.empty()) {
        // The most recently used connection; the others have been idle for longer.
        const auto connection = found->second.back();
        if (now - connection->idleSince > maxIdleTime) {
            return nullptr;
        }
        found->second.pop_back();
        if (connection->isReusable(now)) {
            return connection;
        }
        connection->idleTimer.cancel();
        connection->stream->close();
    }
    return nullptr;
}

void HttpClient::addIdle(const std::shared_ptr<HttpClientConnection> &connection)
{
    if (connection->keepAliveDuration <= absl::ZeroDuration()) {
        connection->discard();
        return;
    }
    connection->idleSince = this->loop.now();
    connection->reusableUntil = connection->idleSince + connection->keepAliveDuration;
    connection->idleTimer = this->loop.after(connection->keepAliveDuration, [raw = connection.get()] {
        const auto expired = raw->shared_from_this();
        expired->discard();
    });
    this->idle[connection->address].push_back(connection);
}

void HttpClient::removeIdle(const std::shared_ptr<HttpClientConnection> &connection)
{
    const auto found = this->idle.find(connection->address);
    if (found != this->idle.end()) {
        found->second.remove(connection);
    }
}

void HttpClient::closeIdleConnections(const std::string &address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return;
    }
    const auto connections = std::move(found->second);
    this->idle.erase(found);
    for (const auto &connection : connections) {
        connection->discard();
    }
}

std::uint64_t HttpClient::connectionsOpened() const
{
    return this->openedConnections;
}

} // namespace Bergamotramp
