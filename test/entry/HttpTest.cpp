#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "HttpClient.h"
#include "HttpServer.h"
#include "LoopRunner.h"
#include "TcpSocket.h"
#include "TcpStream.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t maxConnections = 100;

/** A raw TCP connection that keeps what it receives. */
struct RawClient {
    RawClient(EventLoop &loop, const std::string &address)
    {
        TcpStream::connect(loop, address, absl::Seconds(5), [this](std::shared_ptr<TcpStream> opened) {
            this->stream = std::move(opened);
            this->stream->start({.data = [this](std::string_view bytes) { this->received.append(bytes); }, .ended = [this](StreamEnd) { this->ended = true; }});
        });
        runUntil(loop, [this] { return this->stream != nullptr; });
    }

    std::shared_ptr<TcpStream> stream;
    std::string received;
    bool ended = false;
};

class HttpServerTest : public testing::Test
{
protected:
    EventLoop loop;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    HttpServer server{
        this->loop, "127.0.0.1:0", maxConnections, [this](const std::shared_ptr<HttpExchange> &exchange) { this->exchanges.push_back(exchange); }};
};

// Guards against a request that is smuggled inside another one by two lengths.
TEST_F(HttpServerTest, refusesABodyWithTwoLengths)
{
    RawClient client(this->loop, this->server.address());
    client.stream->write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    ASSERT_TRUE(runUntil(this->loop, [&client] { return client.ended; }));
    EXPECT_TRUE(client.received.starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(this->exchanges.empty());
}

// Guards against bounds of the configuration that are not applied.
TEST_F(HttpServerTest, refusesHeadersAndBodiesOverTheBounds)
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

// Guards against upstream work that goes on after its caller has left, also before the first byte of the answer.
TEST_F(HttpServerTest, noticesThatTheCallerLeaves)
{
    RawClient client(this->loop, this->server.address());
    client.stream->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->exchanges.size() == 1; }));
    bool left = false;
    this->exchanges[0]->onCallerLeft([&left] { left = true; });
    client.stream->close();
    EXPECT_TRUE(runUntil(this->loop, [&left] { return left; }));
    EXPECT_TRUE(this->exchanges[0]->ended());
}

// Guards against an answer that was broken off and looks complete.
TEST_F(HttpServerTest, abortedBodyHasNoEnd)
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

// Guards against answers that go to another request of the same connection.
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

/** What a call reported. */
struct CallRecord {
    HttpHead head;
    std::string body;
    bool completed = false;
    std::optional<HttpCallError> error;

    HttpCallEvents events()
    {
        return {.belongs = {},
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

/** Accepts connections and answers each request with fixed bytes. */
class FixedServer
{
public:
    FixedServer(EventLoop &loop, std::string answer) : loop(loop), answer(std::move(answer)), acceptor(loop.context(), parseEndpoint("127.0.0.1:0"))
    {
        this->accept();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    /** Ends all connections. */
    void closeConnections()
    {
        for (const auto &stream : this->streams) {
            stream->close();
        }
    }

    EventLoop &loop;
    std::string answer;
    bool closes = false;
    int accepted = 0;
    int requests = 0;
    std::optional<StreamEnd> lastEnd;

private:
    void accept()
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
                                   raw->write(this->answer);
                                   if (this->closes) {
                                       raw->close();
                                   }
                               },
                           .ended = [this](StreamEnd how) { this->lastEnd = how; }});
            this->streams.push_back(stream);
            this->accept();
        });
    }

    asio::ip::tcp::acceptor acceptor;
    std::vector<std::shared_ptr<TcpStream>> streams;
};

class HttpClientTest : public testing::Test
{
protected:
    void call(const std::string &address, CallRecord &record, HttpCallEvents events)
    {
        const HttpCall call = this->client.send(address, {.method = "GET", .target = "/", .fields = {}, .body = {}}, std::move(events));
        ASSERT_TRUE(runUntil(this->loop, [&record] { return record.ended(); }));
    }

    EventLoop loop;
    HttpClient client{this->loop, {}};
};

// Guards against bytes after a complete answer that become the answer to the next request.
TEST_F(HttpClientTest, connectionWithExtraBytesIsNotUsedAgain)
{
    FixedServer server(this->loop, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    CallRecord first;
    this->call(server.address(), first, first.events());
    EXPECT_EQ(first.body, "one");
    server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
    CallRecord second;
    this->call(server.address(), second, second.events());
    EXPECT_EQ(second.body, "two");
    EXPECT_EQ(server.accepted, 2);
}

// Guards against the late answer to an earlier request that is taken for the answer to this one.
TEST_F(HttpClientTest, answerToAnotherRequestIsSkipped)
{
    FixedServer server(this->loop,
                       "HTTP/1.1 200 OK\r\nX-For: other\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nX-For: me\r\nContent-Length: 4\r\n\r\nmine");
    CallRecord record;
    HttpCallEvents events = record.events();
    events.belongs = [](const HttpHead &head) { return head.fields.find("x-for") == "me"; };
    this->call(server.address(), record, events);
    EXPECT_EQ(record.body, "mine");
}

// Guards against an answer that is delimited by the end of the connection, and one that only looks so.
TEST_F(HttpClientTest, endOfConnectionEndsAnAnswerOnlyWithoutALength)
{
    FixedServer server(this->loop, "HTTP/1.1 200 OK\r\n\r\nunframed");
    server.closes = true;
    CallRecord unframed;
    this->call(server.address(), unframed, unframed.events());
    EXPECT_TRUE(unframed.completed);
    EXPECT_EQ(unframed.body, "unframed");
    server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\ncut";
    CallRecord cut;
    this->call(server.address(), cut, cut.events());
    EXPECT_EQ(cut.error, HttpCallError::Broken);
}

// Guards against a failure that says not sent although the request may have run, and the reverse.
TEST_F(HttpClientTest, failuresTellWhetherTheRequestWasSent)
{
    std::string closedAddress;
    {
        FixedServer closed(this->loop, "");
        closedAddress = closed.address();
    }
    CallRecord unreachable;
    this->call(closedAddress, unreachable, unreachable.events());
    EXPECT_EQ(unreachable.error, HttpCallError::NotSent);
    FixedServer garbled(this->loop, "this is no answer\r\n\r\n");
    CallRecord bad;
    this->call(garbled.address(), bad, bad.events());
    EXPECT_EQ(bad.error, HttpCallError::BadResponse);
}

// Guards against a kept connection that ends after a call has taken it and before its request is written: the end of the
// connection must not complete the call with the state of the response before.
TEST_F(HttpClientTest, callOnAKeptConnectionThatEndsBeforeItsRequestIsSentTakesAnother)
{
    FixedServer kept(this->loop, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
    FixedServer silent(this->loop, "");
    CallRecord first;
    this->call(kept.address(), first, first.events());

    CallRecord second;
    CallRecord waiting;
    HttpCall secondCall;
    HttpCallEvents events = waiting.events();
    events.failed = [&](HttpCallError failure) {
        waiting.error = failure;
        // The end of the kept connection is already due in the same round of the loop.
        secondCall = this->client.send(kept.address(), {.method = "GET", .target = "/", .fields = {}, .body = {}}, second.events());
    };
    const HttpCall waitingCall = this->client.send(silent.address(), {.method = "GET", .target = "/", .fields = {}, .body = {}}, std::move(events));
    ASSERT_TRUE(runUntil(this->loop, [&silent] { return silent.requests == 1; }));
    kept.answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
    silent.closeConnections();
    kept.closeConnections();
    ASSERT_TRUE(runUntil(this->loop, [&second] { return second.ended(); }));
    EXPECT_EQ(waiting.error, HttpCallError::Broken);
    EXPECT_TRUE(second.completed);
    EXPECT_EQ(second.body, "two");
    EXPECT_EQ(kept.requests, 2);
}

// Guards against the handle of a completed call that cancels the next call on the same connection.
TEST_F(HttpClientTest, handleOfACompletedCallDoesNotCancelTheNextOne)
{
    FixedServer server(this->loop, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
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

// Guards against a cancelled request that is held up on the way and reaches its upstream later, with its old time budget.
TEST_F(HttpClientTest, cancelResetsTheConnection)
{
    FixedServer server(this->loop, "");
    CallRecord record;
    HttpCall call = this->client.send(server.address(), {.method = "GET", .target = "/", .fields = {}, .body = {}}, record.events());
    ASSERT_TRUE(runUntil(this->loop, [&server] { return server.requests == 1; }));
    call.cancel();
    ASSERT_TRUE(runUntil(this->loop, [&server] { return server.lastEnd.has_value(); }));
    EXPECT_EQ(server.lastEnd, StreamEnd::Broken);
    EXPECT_FALSE(record.ended());
}

// Guards against a request that can't be repeated and is lost on a connection that the upstream has forgotten meanwhile.
TEST_F(HttpClientTest, connectionThatWasIdleForLongIsLeftToOtherRequests)
{
    FixedServer server(this->loop, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
    constexpr absl::Duration longestIdle = absl::Milliseconds(50);
    const HttpRequest request{.method = "GET", .target = "/", .fields = {}, .body = {}};
    CallRecord first;
    this->call(server.address(), first, first.events());
    runFor(this->loop, longestIdle * 2);
    CallRecord careful;
    const HttpCall carefulCall = this->client.send(server.address(), request, careful.events(), longestIdle);
    ASSERT_TRUE(runUntil(this->loop, [&careful] { return careful.ended(); }));
    EXPECT_EQ(server.accepted, 2);
    CallRecord soon;
    const HttpCall soonCall = this->client.send(server.address(), request, soon.events(), absl::Minutes(1));
    ASSERT_TRUE(runUntil(this->loop, [&soon] { return soon.ended(); }));
    EXPECT_EQ(server.accepted, 2);
}

// Guards against answers whose meaning depends on how their bytes are cut.
TEST(HttpParserTest, answersDoNotDependOnTheCuts)
{
    const std::string text = "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n";
    EXPECT_TRUE(rc::check("any cuts", [&text](const std::vector<std::size_t> &cuts) {
        std::string body;
        HttpResponseParser parser({}, [&body](std::string_view bytes) { body.append(bytes); });
        std::string waiting;
        HttpProgress progress;
        const auto feed = [&](std::string_view bytes) {
            waiting.append(bytes);
            do {
                progress = parser.feed(waiting);
                RC_ASSERT(!progress.error);
                waiting.erase(0, progress.consumed);
            } while (progress.consumed > 0 && !waiting.empty());
        };
        std::size_t start = 0;
        for (const std::size_t cut : cuts) {
            const std::size_t length = cut % (text.size() - start + 1);
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
