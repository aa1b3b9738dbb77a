#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <absl/strings/str_cat.h>

#include "FixedResponseServer.h"
#include "HttpClient.h"
#include "HttpServer.h"
#include "LoopRunner.h"
#include "RawClient.h"
#include "TcpSocket.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t maxConnections = 100;

class HttpServerTest : public testing::Test
{
protected:
    EventLoop loop;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    HttpServer server{
        this->loop, "127.0.0.1:0", maxConnections, [this](const std::shared_ptr<HttpExchange> &exchange) { this->exchanges.push_back(exchange); }};
};

// Guards against request smuggling: a request hidden in the body of another one that has both Content-Length and Transfer-Encoding.
TEST_F(HttpServerTest, rejectsABodyWithTwoLengths)
{
    RawClient client(this->loop, this->server.address());
    client.stream->write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    ASSERT_TRUE(runUntil(this->loop, [&client] { return client.ended; }));
    EXPECT_TRUE(client.received.starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(this->exchanges.empty());
}

// Guards against an access to a server that was destroyed between the acceptance of a connection and its report to the server. How
// often the loop turns between these depends on the order of its queue, so several are tried.
TEST(HttpServerEndTest, connectionAcceptedBeforeTheEndOfTheServerIsIgnored)
{
    for (int turns = 0; turns < 4; ++turns) {
        EventLoop loop;
        auto server = std::make_unique<HttpServer>(loop, "127.0.0.1:0", maxConnections, [](const std::shared_ptr<HttpExchange> &) { FAIL(); });
        asio::io_context clientContext;
        // The second connection is accepted while the first one is handled, and reported by a later turn of the loop.
        asio::ip::tcp::socket first(clientContext);
        asio::ip::tcp::socket second(clientContext);
        first.connect(parseEndpoint(server->address()));
        second.connect(parseEndpoint(server->address()));
        std::function<void(int)> endAfter = [&](int left) {
            if (left == 0) {
                server.reset();
            } else {
                loop.post([&endAfter, left] { endAfter(left - 1); });
            }
        };
        loop.post([&endAfter, turns] { endAfter(turns); });
        EXPECT_TRUE(runUntil(loop, [&server] { return server == nullptr; }));
        runFor(loop, absl::Milliseconds(20));
    }
}

// Guards against configured size limits that are not applied.
TEST_F(HttpServerTest, rejectsHeadersAndBodiesOverTheLimits)
{
    HttpServerBounds bounds;
    bounds.message = {.headerBytes = 200, .bodyBytes = 10};
    this->server.setBounds(bounds);
    RawClient header(this->loop, this->server.address());
    header.stream->write("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(400, 'x') + "\r\n\r\n");
    RawClient body(this->loop, this->server.address());
    body.stream->write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n");
    ASSERT_TRUE(runUntil(this->loop, [&] { return header.ended && body.ended; }));
    EXPECT_TRUE(header.received.starts_with("HTTP/1.1 431 "));
    EXPECT_TRUE(body.received.starts_with("HTTP/1.1 413 "));
}

// Guards against memory that grows with bytes of a caller that never complete the size of a chunk or the fields behind the last one.
TEST_F(HttpServerTest, rejectsEndlessPartsOfAChunkedBody)
{
    HttpServerBounds bounds;
    bounds.message.headerBytes = 200;
    this->server.setBounds(bounds);
    for (const std::string &start : {std::string("0"), std::string("4;extension="), std::string("0\r\nX-Field: ")}) {
        RawClient client(this->loop, this->server.address());
        client.stream->write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + start + std::string(400, '0'));
        ASSERT_TRUE(runUntil(this->loop, [&client] { return client.ended; })) << start;
        EXPECT_TRUE(client.received.starts_with("HTTP/1.1 431 ")) << client.received;
        EXPECT_TRUE(this->exchanges.empty());
    }
}

// Guards against upstream work that continues after its caller has disconnected. The disconnection must be noticed before the first
// byte of the response, too.
TEST_F(HttpServerTest, reportsThatTheCallerDisconnects)
{
    RawClient client(this->loop, this->server.address());
    client.stream->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->exchanges.size() == 1; }));
    bool disconnected = false;
    this->exchanges[0]->onCallerDisconnected([&disconnected] { disconnected = true; });
    client.stream->close();
    EXPECT_TRUE(runUntil(this->loop, [&disconnected] { return disconnected; }));
    EXPECT_TRUE(this->exchanges[0]->ended());
}

// Guards against an aborted response that looks complete.
TEST_F(HttpServerTest, abortedBodyHasNoLastChunk)
{
    RawClient client(this->loop, this->server.address());
    client.stream->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->exchanges.size() == 1; }));
    this->exchanges[0]->startBody({});
    this->exchanges[0]->sendBody("part");
    ASSERT_TRUE(runUntil(this->loop, [&client] { return client.received.find("part") != std::string::npos; }));
    this->exchanges[0]->abort();
    ASSERT_TRUE(runUntil(this->loop, [&client] { return client.ended; }));
    EXPECT_EQ(client.received.find("0\r\n\r\n"), std::string::npos);
}

// Guards against the end of the process by a caller that sends more requests ahead than are read and leaves: the write of the response
// found the connection lost and ended the exchange that was writing.
TEST_F(HttpServerTest, callerThatSendsAheadAndLeavesEndsOnlyItsConnection)
{
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(6000, 'x') + "\r\n\r\n";
    constexpr int requestsAhead = 20;
    for (const bool inPieces : {false, true}) {
        this->exchanges.clear();
        RawClient client(this->loop, this->server.address());
        for (int number = 0; number < requestsAhead; ++number) {
            client.stream->write(request);
        }
        ASSERT_TRUE(runUntil(this->loop, [this] { return this->exchanges.size() == 1; }));
        runFor(this->loop, absl::Milliseconds(50));
        client.stream->reset();
        runFor(this->loop, absl::Milliseconds(50));
        const auto exchange = this->exchanges[0];
        if (inPieces) {
            exchange->startBody({});
            exchange->sendBody("part");
            exchange->finishBody();
        } else {
            exchange->respond({.head = {}, .body = "whole"});
        }
        EXPECT_TRUE(runUntil(this->loop, [this] { return this->server.connections() == 0; }));
    }
    RawClient other(this->loop, this->server.address());
    other.stream->write("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(runUntil(this->loop, [this] { return this->exchanges.back()->request().target == "/other"; }));
}

// Guards against a response that is sent for another request of the same connection.
TEST_F(HttpServerTest, pipelinedRequestsAreAnsweredInOrder)
{
    RawClient client(this->loop, this->server.address());
    client.stream->write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->exchanges.size() == 1; }));
    EXPECT_EQ(this->exchanges[0]->request().target, "/1");
    this->exchanges[0]->respond({.head = {}, .body = "one"});
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->exchanges.size() == 2; }));
    EXPECT_EQ(this->exchanges[1]->request().target, "/2");
    this->exchanges[1]->respond({.head = {}, .body = "two"});
    ASSERT_TRUE(runUntil(this->loop, [&client] { return client.received.ends_with("two"); }));
    EXPECT_LT(client.received.find("one"), client.received.find("two"));
}

// Guards against a request without an answer, or a server that no longer serves, after an unexpected error in the handler.
TEST_F(HttpServerTest, requestIsAnsweredWhenItsHandlerThrows)
{
    int errors = 0;
    this->loop.setErrorHandler([&errors](const std::string &) { ++errors; });
    HttpServer throwing(this->loop, "127.0.0.1:0", maxConnections, [](const std::shared_ptr<HttpExchange> &exchange) {
        if (exchange->request().target == "/started") {
            exchange->startBody({});
        }
        throw std::runtime_error("unexpected");
    });
    RawClient client(this->loop, throwing.address());
    client.stream->write("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /again HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(this->loop, [&errors] { return errors == 2; }));
    ASSERT_TRUE(runUntil(this->loop, [&client] { return client.received.find("HTTP/1.1 500 ", 1) != std::string::npos; }));
    EXPECT_NE(client.received.find("\"unknown\""), std::string::npos);
    RawClient other(this->loop, throwing.address());
    other.stream->write("GET /started HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(runUntil(this->loop, [&other] { return other.ended; })) << "a response that has begun must not look complete";
    EXPECT_EQ(other.received.find("0\r\n\r\n"), std::string::npos);
}

/** Records the events of a call. */
struct CallRecord {
    HttpHead head;
    std::string body;
    bool completed = false;
    std::optional<HttpCallError> error;

    HttpCallEvents events()
    {
        return {.matchesRequest = {},
                .head = [this](const HttpHead &received) { this->head = received; },
                .body = [this](std::string_view bytes) { this->body.append(bytes); },
                .completed = [this] { this->completed = true; },
                .failed = [this](HttpCallError failure) { this->error = failure; }};
    }

    [[nodiscard]] bool ended() const
    {
        return this->completed || this->error.has_value();
    }
};

class HttpClientTest : public testing::Test
{
protected:
    void call(const std::string &address, CallRecord &record, HttpCallEvents events)
    {
        const HttpCall call = this->client.send(address, {.method = "GET", .target = "/", .fields = {}, .body = {}}, std::move(events));
        ASSERT_TRUE(runUntil(this->loop, [&record] { return record.ended(); }));
    }

    /** Sends a request that the buffers of a connection do not hold. */
    void upload(const std::string &address, CallRecord &record)
    {
        const HttpRequest request{.method = "POST", .target = "/", .fields = {}, .body = std::string(uploadBytes, 'x')};
        const HttpCall call = this->client.send(address, request, record.events());
        ASSERT_TRUE(runUntil(this->loop, [&record] { return record.ended(); }));
    }

    static constexpr std::size_t uploadBytes = 16 * 1024 * 1024;
    EventLoop loop;
    HttpClient client{this->loop, {}};
};

// Guards against extra bytes after a complete response that are taken for the response to the next request.
TEST_F(HttpClientTest, connectionWithExtraBytesIsNotReused)
{
    FixedResponseServer server(this->loop, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    CallRecord first;
    this->call(server.address(), first, first.events());
    EXPECT_EQ(first.body, "one");
    server.response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
    CallRecord second;
    this->call(server.address(), second, second.events());
    EXPECT_EQ(second.body, "two");
    EXPECT_EQ(server.accepted, 2);
}

// Guards against a late response to an earlier request that is taken for the response to the current one.
TEST_F(HttpClientTest, responseToAnotherRequestIsSkipped)
{
    FixedResponseServer server(this->loop,
                               "HTTP/1.1 200 OK\r\nX-For: other\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nX-For: me\r\nContent-Length: 4\r\n\r\nmine");
    CallRecord record;
    HttpCallEvents events = record.events();
    events.matchesRequest = [](const HttpHead &head) { return head.fields.find("x-for") == "me"; };
    this->call(server.address(), record, events);
    EXPECT_EQ(record.body, "mine");
}

// Guards against a response without a length that does not complete at the end of the connection, and against a truncated response
// with a length that does.
TEST_F(HttpClientTest, endOfConnectionCompletesAResponseOnlyWithoutALength)
{
    FixedResponseServer server(this->loop, "HTTP/1.1 200 OK\r\n\r\nunframed");
    server.connectionEnd = ConnectionEnd::Close;
    CallRecord unframed;
    this->call(server.address(), unframed, unframed.events());
    EXPECT_TRUE(unframed.completed);
    EXPECT_EQ(unframed.body, "unframed");
    server.response = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\ncut";
    CallRecord truncated;
    this->call(server.address(), truncated, truncated.events());
    EXPECT_EQ(truncated.error, HttpCallError::ConnectionLost);
}

// Guards against a response without a length that counts as complete although its connection was reset.
TEST_F(HttpClientTest, resetDoesNotCompleteAResponseWithoutALength)
{
    FixedResponseServer server(this->loop, "HTTP/1.1 200 OK\r\n\r\nunframed", ConnectionEnd::Reset);
    CallRecord record;
    this->call(server.address(), record, record.events());
    EXPECT_EQ(record.body, "unframed");
    EXPECT_FALSE(record.completed);
    EXPECT_EQ(record.error, HttpCallError::ConnectionLost);
}

// Guards against a part of a response that counts as a whole one, because the reset of its connection was reported to the write of the
// request and a read after it shows a regular end.
TEST_F(HttpClientTest, resetDuringAnUploadDoesNotCompleteAResponseWithoutALength)
{
    FixedResponseServer server(this->loop, "HTTP/1.1 200 OK\r\n\r\nunframed", ConnectionEnd::Reset);
    server.readsOn = false;
    CallRecord record;
    this->upload(server.address(), record);
    EXPECT_EQ(record.body, "unframed");
    EXPECT_FALSE(record.completed);
    EXPECT_EQ(record.error, HttpCallError::ConnectionLost);
}

// Guards against the same when the process of the peer ends while it has read all that has arrived, so that its connection is closed in
// order.
TEST_F(HttpClientTest, endOfConnectionDuringAnUploadDoesNotCompleteAResponseWithoutALength)
{
    asio::ip::tcp::acceptor acceptor(this->loop.context(), parseEndpoint("127.0.0.1:0"));
    asio::ip::tcp::socket accepted(this->loop.context());
    acceptor.async_accept(accepted, [&accepted](const boost::system::error_code &) {
        accepted.write_some(asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nunframed")));
        accepted.shutdown(asio::ip::tcp::socket::shutdown_send);
    });
    CallRecord record;
    this->upload("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), record);
    EXPECT_EQ(record.body, "unframed");
    EXPECT_FALSE(record.completed);
    EXPECT_EQ(record.error, HttpCallError::ConnectionLost);
}

// Guards against bytes with a status that HTTP does not have: they were skipped like an informational response, or passed on.
TEST_F(HttpClientTest, statusOutsideHttpIsABadResponse)
{
    for (const char *status : {"000", "001", "099", "600", "999"}) {
        FixedResponseServer server(this->loop, absl::StrCat("HTTP/1.1 ", status, " Odd\r\nContent-Length: 3\r\n\r\nodd"));
        CallRecord record;
        record.head.status = 0;
        this->call(server.address(), record, record.events());
        EXPECT_EQ(record.error, HttpCallError::BadResponse) << status;
        EXPECT_EQ(record.head.status, 0) << status;
        EXPECT_EQ(record.body, "") << status;
    }
}

// Guards against a response that stops inside its head and is passed on with an empty body.
TEST_F(HttpClientTest, responseThatStopsInsideItsHeadIsLost)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";
    for (const ConnectionEnd connectionEnd : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
        for (const std::size_t length : {std::size_t{1}, std::size_t{8}, std::size_t{12}, std::size_t{17}, std::size_t{20}, head.size() - 2, head.size() - 1}) {
            FixedResponseServer server(this->loop, head.substr(0, length), connectionEnd);
            CallRecord record;
            record.head.status = 0;
            this->call(server.address(), record, record.events());
            EXPECT_EQ(record.error, HttpCallError::ConnectionLost) << length;
            EXPECT_EQ(record.head.status, 0) << length;
        }
    }
}

// Guards against memory that grows with a response head that never ends, in one field or in many.
TEST_F(HttpClientTest, endlessHeadIsABadResponse)
{
    for (const std::string &piece : {std::string("x"), std::string("X-Field: value\r\n")}) {
        std::string bytes = "HTTP/1.1 200 OK\r\nX-First: ";
        while (bytes.size() < 4 * std::size_t{HttpClientOptions().bounds.headerBytes}) {
            bytes += piece;
        }
        FixedResponseServer server(this->loop, bytes);
        CallRecord record;
        this->call(server.address(), record, record.events());
        EXPECT_EQ(record.error, HttpCallError::BadResponse);
        EXPECT_TRUE(runUntil(this->loop, [&server] { return server.lastEnd.has_value(); })) << "the connection must be closed";
    }
}

// Guards against memory that grows with bytes that never complete a part of a response: the size of a chunk, its extension, the fields
// behind the last chunk.
TEST_F(HttpClientTest, endlessPartOfAChunkedBodyIsABadResponse)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &start : {std::string("0"), std::string("4;extension="), std::string("4\r\nabcd\r\n0"), std::string("0\r\nX-Field: ")}) {
        FixedResponseServer server(this->loop, head + start + std::string(4 * std::size_t{HttpClientOptions().bounds.headerBytes}, '0'));
        CallRecord record;
        this->call(server.address(), record, record.events());
        EXPECT_EQ(record.error, HttpCallError::BadResponse) << start;
        EXPECT_TRUE(runUntil(this->loop, [&server] { return server.lastEnd.has_value(); })) << "the connection must be closed";
    }
}

// Guards against a call that never ends because its upstream sends informational responses, or responses to other requests, without end.
TEST_F(HttpClientTest, endlessSkippedResponsesAreABadResponse)
{
    for (const std::string &skipped :
         {std::string("HTTP/1.1 100 Continue\r\n\r\n"), std::string("HTTP/1.1 200 OK\r\nX-For: other\r\nContent-Length: 4\r\n\r\nlate")}) {
        std::string bytes;
        for (int number = 0; number < 1000; ++number) {
            bytes += skipped;
        }
        FixedResponseServer server(this->loop, bytes);
        CallRecord record;
        HttpCallEvents events = record.events();
        events.matchesRequest = [](const HttpHead &received) { return received.fields.find("x-for") == "me"; };
        this->call(server.address(), record, events);
        EXPECT_EQ(record.error, HttpCallError::BadResponse) << skipped;
    }
}

// Guards against a failure reported as not sent although the request may have run, and the reverse.
TEST_F(HttpClientTest, failuresTellWhetherTheRequestWasSent)
{
    std::string closedAddress;
    {
        FixedResponseServer closed(this->loop, "");
        closedAddress = closed.address();
    }
    CallRecord unreachable;
    this->call(closedAddress, unreachable, unreachable.events());
    EXPECT_EQ(unreachable.error, HttpCallError::NotSent);
    FixedResponseServer garbled(this->loop, "this is no answer\r\n\r\n");
    CallRecord bad;
    this->call(garbled.address(), bad, bad.events());
    EXPECT_EQ(bad.error, HttpCallError::BadResponse);
}

// Guards against a reused connection that ends after a call has taken it and before its request is written. The end of the
// connection must not complete the call with the parser state of the previous response.
TEST_F(HttpClientTest, callUsesAnotherConnectionIfTheReusedOneEndsBeforeItsRequestIsSent)
{
    FixedResponseServer reusedServer(this->loop, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
    FixedResponseServer silentServer(this->loop, "");
    CallRecord first;
    this->call(reusedServer.address(), first, first.events());

    CallRecord second;
    CallRecord waiting;
    HttpCall secondCall;
    HttpCallEvents events = waiting.events();
    events.failed = [&](HttpCallError failure) {
        waiting.error = failure;
        // The end of the idle connection is handled in the same iteration of the loop, after this call has taken the connection.
        secondCall = this->client.send(reusedServer.address(), {.method = "GET", .target = "/", .fields = {}, .body = {}}, second.events());
    };
    const HttpCall waitingCall = this->client.send(silentServer.address(), {.method = "GET", .target = "/", .fields = {}, .body = {}}, std::move(events));
    ASSERT_TRUE(runUntil(this->loop, [&silentServer] { return silentServer.requests == 1; }));
    reusedServer.response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
    silentServer.closeConnections();
    reusedServer.closeConnections();
    ASSERT_TRUE(runUntil(this->loop, [&second] { return second.ended(); }));
    EXPECT_EQ(waiting.error, HttpCallError::ConnectionLost);
    EXPECT_TRUE(second.completed);
    EXPECT_EQ(second.body, "two");
    EXPECT_EQ(reusedServer.requests, 2);
}

// Guards against the handle of a completed call that cancels the next call on the same connection.
TEST_F(HttpClientTest, handleOfACompletedCallDoesNotCancelTheNextOne)
{
    FixedResponseServer server(this->loop, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
    const HttpRequest request{.method = "GET", .target = "/", .fields = {}, .body = {}};
    CallRecord first;
    HttpCall call = this->client.send(server.address(), request, first.events());
    ASSERT_TRUE(runUntil(this->loop, [&first] { return first.ended(); }));
    CallRecord second;
    call = this->client.send(server.address(), request, second.events());
    ASSERT_TRUE(runUntil(this->loop, [&second] { return second.ended(); }));
    EXPECT_TRUE(second.completed);
    EXPECT_EQ(server.accepted, 1);
}

// Guards against a cancelled request that is delayed on the way and reaches its upstream later with an outdated time budget.
TEST_F(HttpClientTest, cancelResetsTheConnection)
{
    FixedResponseServer server(this->loop, "");
    CallRecord record;
    HttpCall call = this->client.send(server.address(), {.method = "GET", .target = "/", .fields = {}, .body = {}}, record.events());
    ASSERT_TRUE(runUntil(this->loop, [&server] { return server.requests == 1; }));
    call.cancel();
    ASSERT_TRUE(runUntil(this->loop, [&server] { return server.lastEnd.has_value(); }));
    EXPECT_EQ(server.lastEnd, StreamEnd::ConnectionLost);
    EXPECT_FALSE(record.ended());
}

// Guards against a non-repeatable request that is lost because it is sent on an idle connection that the upstream has already dropped.
TEST_F(HttpClientTest, connectionIdleForLongIsUsedOnlyByRequestsThatAllowIt)
{
    FixedResponseServer server(this->loop, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
    constexpr absl::Duration maxIdleTime = absl::Milliseconds(50);
    const HttpRequest request{.method = "GET", .target = "/", .fields = {}, .body = {}};
    CallRecord first;
    this->call(server.address(), first, first.events());
    runFor(this->loop, maxIdleTime * 2);
    CallRecord nonRepeatable;
    const HttpCall nonRepeatableCall = this->client.send(server.address(), request, nonRepeatable.events(), maxIdleTime);
    ASSERT_TRUE(runUntil(this->loop, [&nonRepeatable] { return nonRepeatable.ended(); }));
    EXPECT_EQ(server.accepted, 2);
    CallRecord repeatable;
    const HttpCall repeatableCall = this->client.send(server.address(), request, repeatable.events(), absl::Minutes(1));
    ASSERT_TRUE(runUntil(this->loop, [&repeatable] { return repeatable.ended(); }));
    EXPECT_EQ(server.accepted, 2);
}

// Guards against a response that is parsed differently depending on how its bytes are split into reads.
TEST(HttpParserTest, responsesDoNotDependOnTheSplit)
{
    const std::string text = "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n";
    EXPECT_TRUE(rc::check("any split", [&text](const std::vector<std::size_t> &splits) {
        std::string body;
        HttpResponseParser parser({}, [&body](std::string_view bytes) { body.append(bytes); });
        std::string unparsed;
        HttpProgress progress;
        const auto feed = [&](std::string_view bytes) {
            unparsed.append(bytes);
            do {
                progress = parser.feed(unparsed);
                RC_ASSERT(!progress.error);
                unparsed.erase(0, progress.consumed);
            } while (progress.consumed > 0 && !unparsed.empty());
        };
        std::size_t start = 0;
        for (const std::size_t split : splits) {
            const std::size_t length = split % (text.size() - start + 1);
            feed(std::string_view(text).substr(start, length));
            start += length;
        }
        feed(std::string_view(text).substr(start));
        RC_ASSERT(progress.complete);
        RC_ASSERT(body == "abcdefg");
        RC_ASSERT(parser.head().fields.find("x-a") == "b");
    }));
}

} // namespace

} // namespace Bergamotramp
