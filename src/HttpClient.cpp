#include "HttpClient.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "HttpClientConnection.h"
#include "WeakCallback.h"

namespace Bergamotramp {

namespace {

// A connection is not used in the last part of the time for which the peer keeps it, because the request could cross its close.
constexpr absl::Duration idleMargin = absl::Milliseconds(700);
constexpr int firstFinalStatus = 200;

} // namespace

HttpCall::HttpCall(std::shared_ptr<HttpClientConnection> connection, std::uint64_t number) : connection(std::move(connection)), number(number)
{
}

HttpCall &HttpCall::operator=(HttpCall &&other) noexcept
{
    if (this != &other) {
        this->cancel();
        this->connection = std::move(other.connection);
        this->number = other.number;
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
        cancelled->cancel(this->number);
    }
}

HttpClientConnection::HttpClientConnection(HttpClient &client, std::string address) : client(&client), address(std::move(address))
{
}

void HttpClientConnection::begin(const HttpRequest &request, HttpCallEvents callEvents)
{
    this->idleTimer.cancel();
    ++this->calls;
    this->events = std::move(callEvents);
    this->requestText = serializeRequest(request, this->address);
    this->busy = true;
    this->requestSent = false;
    this->keepFor = this->client->options.idleTimeout;
    if (this->stream) {
        this->client->loop.post([self = this->shared_from_this(), kept = this->stream] {
            if (self->busy && self->stream == kept) {
                self->sendRequest();
            }
        });
        return;
    }
    this->connect();
}

void HttpClientConnection::connect()
{
    ++this->client->opened;
    TcpStream::connect(this->client->loop,
                       this->address,
                       this->client->options.connectTimeout,
                       [self = this->shared_from_this()](std::shared_ptr<TcpStream> opened) { self->connected(std::move(opened)); });
}

void HttpClientConnection::connected(std::shared_ptr<TcpStream> opened)
{
    if (!this->busy) {
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
    this->stream->start({.data = whileAlive(this->weak_from_this(), &HttpClientConnection::onData),
                         .ended = whileAlive(this->weak_from_this(), &HttpClientConnection::onEnded)});
    this->sendRequest();
}

void HttpClientConnection::sendRequest()
{
    if (!this->stream->open()) {
        this->replaceStream();
        return;
    }
    this->requestSent = true;
    this->expectResponse();
    this->stream->write(this->requestText);
    this->requestText.clear();
}

void HttpClientConnection::replaceStream()
{
    // A kept connection that ends or brings bytes before the request is written says nothing about the peer or the request.
    this->stream->close();
    this->stream = nullptr;
    this->unparsed.clear();
    this->connect();
}

void HttpClientConnection::expectResponse()
{
    this->headDelivered = false;
    this->skipping = false;
    this->parser = std::make_unique<HttpResponseParser>(this->client->options.bounds, [this](std::string_view bytes) {
        if (!this->skipping && this->busy && this->events.body) {
            const auto body = this->events.body;
            body(bytes);
        }
    });
}

bool HttpClientConnection::responseDue()
{
    if (!this->busy) {
        // What arrives belongs to no call.
        this->discard();
    } else if (!this->requestSent) {
        this->replaceStream();
    }
    return this->busy && this->requestSent;
}

void HttpClientConnection::onData(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (!this->responseDue()) {
        return;
    }
    this->unparsed.append(bytes);
    while (this->busy && !this->unparsed.empty()) {
        const HttpProgress progress = this->parser->feed(this->unparsed);
        if (!this->busy) {
            return;
        }
        this->unparsed.erase(0, progress.consumed);
        if (progress.error) {
            this->fail(HttpCallError::BadResponse);
            return;
        }
        if (progress.headComplete && !this->headDelivered && !this->readHead()) {
            return;
        }
        if (progress.complete) {
            this->complete();
        } else if (progress.consumed == 0) {
            return;
        }
    }
}

bool HttpClientConnection::readHead()
{
    this->headDelivered = true;
    const HttpHead &head = this->parser->head();
    this->skipping = head.status < firstFinalStatus || (this->events.belongs && !this->events.belongs(head));
    if (!this->skipping) {
        this->learnIdleTimeout();
        const auto deliver = this->events.head;
        deliver(head);
    }
    return this->busy;
}

void HttpClientConnection::learnIdleTimeout()
{
    const auto field = this->parser->head().fields.find("keep-alive");
    if (!field) {
        return;
    }
    for (const absl::string_view part : absl::StrSplit(absl::string_view(field->data(), field->size()), absl::ByAnyChar(", "))) {
        int seconds = 0;
        if (part.substr(0, 8) == "timeout=" && absl::SimpleAtoi(part.substr(8), &seconds)) {
            this->keepFor = std::min(this->keepFor, absl::Seconds(seconds) - idleMargin);
        }
    }
}

void HttpClientConnection::complete()
{
    if (this->skipping) {
        this->expectResponse();
        return;
    }
    const bool reusable = this->parser->keepAlive() && this->parser->framed() && this->unparsed.empty() && this->stream->unsentBytes() == 0;
    const auto completed = std::move(this->events.completed);
    this->events = {};
    this->busy = false;
    if (reusable) {
        this->client->keep(this->shared_from_this());
    } else {
        this->discard();
    }
    completed();
}

void HttpClientConnection::onEnded(StreamEnd how)
{
    const auto self = this->shared_from_this();
    if (!this->responseDue()) {
        return;
    }
    if (how == StreamEnd::EndOfStream && this->headDelivered && !this->skipping && this->unparsed.empty() && this->parser->endOfStream().complete) {
        this->complete();
        return;
    }
    this->fail(HttpCallError::Broken);
}

void HttpClientConnection::fail(HttpCallError error)
{
    const auto self = this->shared_from_this();
    const auto failed = std::move(this->events.failed);
    this->events = {};
    this->busy = false;
    this->discard();
    if (failed) {
        failed(error);
    }
}

void HttpClientConnection::cancel(std::uint64_t call)
{
    if (!this->busy || call != this->calls) {
        return;
    }
    this->events = {};
    this->busy = false;
    if (this->stream) {
        // After a reset, a request that is held up on the way is not delivered later, when nobody waits for it any more.
        this->stream->reset();
    }
    this->discard();
}

bool HttpClientConnection::usable(absl::Time now) const
{
    return this->stream && this->stream->open() && now < this->idleUntil;
}

void HttpClientConnection::discard()
{
    this->idleTimer.cancel();
    if (this->stream) {
        this->stream->close();
    }
    this->client->drop(this->shared_from_this());
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

HttpCall HttpClient::send(const std::string &address, const HttpRequest &request, HttpCallEvents events, absl::Duration longestIdle)
{
    auto connection = this->takeIdle(address, longestIdle);
    if (!connection) {
        connection = std::make_shared<HttpClientConnection>(*this, address);
    }
    connection->begin(request, std::move(events));
    return {connection, connection->calls};
}

std::shared_ptr<HttpClientConnection> HttpClient::takeIdle(const std::string &address, absl::Duration longestIdle)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const absl::Time now = this->loop.now();
    while (!found->second.empty()) {
        // The one that was used last; those before it have been idle for longer.
        const auto connection = found->second.back();
        if (now - connection->idleSince > longestIdle) {
            return nullptr;
        }
        found->second.pop_back();
        if (connection->usable(now)) {
            return connection;
        }
        connection->idleTimer.cancel();
        connection->stream->close();
    }
    return nullptr;
}

void HttpClient::keep(const std::shared_ptr<HttpClientConnection> &connection)
{
    if (connection->keepFor <= absl::ZeroDuration()) {
        connection->discard();
        return;
    }
    connection->idleSince = this->loop.now();
    connection->idleUntil = connection->idleSince + connection->keepFor;
    connection->idleTimer = this->loop.after(connection->keepFor, [raw = connection.get()] {
        const auto expired = raw->shared_from_this();
        expired->discard();
    });
    this->idle[connection->address].push_back(connection);
}

void HttpClient::drop(const std::shared_ptr<HttpClientConnection> &connection)
{
    const auto found = this->idle.find(connection->address);
    if (found != this->idle.end()) {
        found->second.remove(connection);
    }
}

void HttpClient::forget(const std::string &address)
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
    return this->opened;
}

} // namespace Bergamotramp
