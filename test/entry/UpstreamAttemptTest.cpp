#include "UpstreamAttempt.h"

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include "FixedResponseServer.h"
#include "LoopRunner.h"

namespace Bergamotramp {

namespace {

constexpr const char *wholeEvent = "id: 1\ndata: one\n\n";
constexpr const char *partOfAnEvent = "id: 1\ndata: one\n\nid: 2\ndata: tw";

std::string untilTheEnd(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n\r\n" + body;
}

std::string withLength(const std::string &body)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

std::string withChunks(const std::string &body, bool lastChunk = true)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", absl::Hex(body.size()), "\r\n", body, "\r\n", lastChunk ? "0\r\n\r\n" : "");
}

class UpstreamAttemptTest : public testing::Test
{
protected:
    /** Sends a request to an upstream that responds with @p response and waits for its end. */
    AttemptResult run(const std::string &response, ConnectionEnd connectionEnd, bool stream = true)
    {
        FixedResponseServer server(this->loop, response, connectionEnd);
        server.readsOn = !this->uploads;
        std::optional<AttemptResult> result;
        this->events = 0;
        UpstreamAttempt attempt(
            this->context,
            {.id = "up", .service = "model", .address = server.address(), .dataCentre = "a", .slots = 1, .leaving = false, .startedAtMs = 7},
            false,
            stream,
            {.streamStarted = {},
             .event = [this](const StreamEvent &) { ++this->events; },
             .ended = [&result](const AttemptResult &ended) { result = ended; }});
        attempt.send({.method = "POST", .target = "/", .fields = {}, .body = std::string(this->uploads ? uploadBytes : 1, 'x')}, "id-1", true);
        EXPECT_TRUE(runUntil(this->loop, [&result] { return result.has_value(); }));
        return result.value_or(AttemptResult());
    }

    static constexpr std::size_t uploadBytes = 16 * 1024 * 1024;
    /** Whether the requests are larger than the buffers of a connection, and the upstream does not read them. */
    bool uploads = false;
    EventLoop loop;
    HttpClient client{this->loop, {}};
    FleetLoad load;
    CollectedBytes collectedBytes;
    UpstreamHealth health;
    std::vector<std::string> leaving;
    int events = 0;
    ServingProtocol protocol{.decodeCall = {},
                             .decodeSubmission = {},
                             .encodePage = {},
                             .prepareAttempt = {},
                             .itemRequest = {},
                             .matchesRequest = [](const HttpHead &head, const std::string &id) { return head.fields.find("x-for").value_or(id) == id; },
                             .namesRequest = [](const HttpHead &head) { return head.fields.find("x-for").has_value(); },
                             .statesNotRun = [](const HttpHead &head) { return head.status == 503; },
                             .misdirected = [](const HttpHead &) { return false; },
                             .statesLeaving = [](const HttpHead &head) { return head.fields.find("x-leaves").has_value(); },
                             .statedLimit = [](const HttpHead &) { return std::nullopt; },
                             .respondingUpstream = [](const HttpHead &) { return std::nullopt; }};
    AttemptContext context{.loop = this->loop,
                           .client = this->client,
                           .load = this->load,
                           .health = this->health,
                           .protocol = this->protocol,
                           .collectedBytes = this->collectedBytes,
                           .statedLeaving = [this](const LeavingStatement &statement) { this->leaving.push_back(statement.expected.id); }};
};

// Guards against a stream with neither a length nor chunks that does not complete when its connection is closed in order, and
// against one that counts as complete although its connection was reset.
TEST_F(UpstreamAttemptTest, endOfTheConnectionCompletesAStreamOnlyInOrder)
{
    EXPECT_EQ(this->run(untilTheEnd(wholeEvent), ConnectionEnd::Close).outcome, AttemptOutcome::Completed);
    EXPECT_EQ(this->events, 1);
    const AttemptResult reset = this->run(untilTheEnd(wholeEvent), ConnectionEnd::Reset);
    EXPECT_EQ(reset.outcome, AttemptOutcome::MayHaveRun);
    EXPECT_TRUE(reset.connectionLost);
    EXPECT_EQ(this->events, 1);
}

// Guards against a stream that ends as complete between two events, because its reset was reported to the write of the request.
TEST_F(UpstreamAttemptTest, resetDuringAnUploadDoesNotCompleteAStream)
{
    this->uploads = true;
    const AttemptResult reset = this->run(untilTheEnd(wholeEvent), ConnectionEnd::Reset);
    EXPECT_EQ(reset.outcome, AttemptOutcome::MayHaveRun);
    EXPECT_TRUE(reset.connectionLost);
    EXPECT_EQ(this->events, 1);
}

// The same for an answer that is no stream.
TEST_F(UpstreamAttemptTest, endOfTheConnectionCompletesAPlainAnswerOnlyInOrder)
{
    const AttemptResult closed = this->run(untilTheEnd("plain"), ConnectionEnd::Close, false);
    EXPECT_EQ(closed.outcome, AttemptOutcome::Completed);
    EXPECT_EQ(closed.body, "plain");
    EXPECT_EQ(this->run(untilTheEnd("plain"), ConnectionEnd::Reset, false).outcome, AttemptOutcome::MayHaveRun);
    EXPECT_EQ(this->run("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nplain", ConnectionEnd::Close, false).outcome, AttemptOutcome::MayHaveRun);
}

// Guards against a stream that ends inside an event and counts as complete, because its message is complete as HTTP.
TEST_F(UpstreamAttemptTest, streamThatEndsInsideAnEventIsBrokenOff)
{
    for (const std::string &response : {withLength(partOfAnEvent), withChunks(partOfAnEvent), untilTheEnd(partOfAnEvent)}) {
        for (const ConnectionEnd connectionEnd : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
            EXPECT_EQ(this->run(response, connectionEnd).outcome, AttemptOutcome::MayHaveRun) << response;
            EXPECT_EQ(this->events, 1);
        }
    }
    for (const std::string &response : {withLength(wholeEvent), withChunks(wholeEvent)}) {
        EXPECT_EQ(this->run(response, ConnectionEnd::Close).outcome, AttemptOutcome::Completed) << response;
    }
}

// Guards against a stream in chunks that counts as complete when its connection is closed after a whole event but before the last chunk.
TEST_F(UpstreamAttemptTest, streamWithoutItsLastChunkIsBrokenOff)
{
    EXPECT_EQ(this->run(withChunks(wholeEvent, false), ConnectionEnd::Close).outcome, AttemptOutcome::MayHaveRun);
    EXPECT_EQ(this->events, 1);
}

// Guards against a statement that the upstream leaves which is missed in some kind of answer, or taken from an answer that belongs to
// another request and may come from another upstream.
TEST_F(UpstreamAttemptTest, eachAnswerToTheRequestMayStateThatTheUpstreamLeaves)
{
    for (const char *status : {"200 OK", "404 Not Found", "421 Misdirected Request", "500 Internal Server Error", "503 Service Unavailable"}) {
        this->leaving.clear();
        this->run(absl::StrCat("HTTP/1.1 ", status, "\r\nX-Leaves: 1\r\nContent-Length: 0\r\n\r\n"), ConnectionEnd::Close);
        EXPECT_EQ(this->leaving, std::vector<std::string>{"up"}) << status;
    }
    this->leaving.clear();
    this->run("HTTP/1.1 200 OK\r\nX-For: other\r\nX-Leaves: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ConnectionEnd::Close);
    EXPECT_TRUE(this->leaving.empty());
}

// Guards against memory that grows with the bodies of many answers that never end, each of them within the limit of one answer. Small
// answers are collected all the while.
TEST_F(UpstreamAttemptTest, bodiesCollectedAtOnceAreBounded)
{
    constexpr int endlessAnswers = 40;
    std::size_t failed = 0;
    FixedResponseServer endless(this->loop, "HTTP/1.1 200 OK\r\n\r\n" + std::string(4 * 1024 * 1024, 'x'));
    std::vector<std::unique_ptr<UpstreamAttempt>> attempts;
    for (int number = 0; number < endlessAnswers; ++number) {
        attempts.push_back(std::make_unique<UpstreamAttempt>(
            this->context,
            UpstreamInfo{.id = "up", .service = "plain", .address = endless.address(), .dataCentre = "a", .slots = 1, .leaving = false, .startedAtMs = 7},
            false,
            false,
            UpstreamAttempt::Hooks{.streamStarted = {}, .event = {}, .ended = [&failed](const AttemptResult &) { ++failed; }}));
        attempts.back()->send({.method = "GET", .target = "/", .fields = {}, .body = {}}, absl::StrCat("id-", number), true);
    }
    ASSERT_TRUE(runUntil(this->loop, [&] { return failed > 0 && endless.requests == endlessAnswers; }));
    EXPECT_LE(this->collectedBytes.total(), CollectedBytes::limit);
    EXPECT_EQ(this->run(withLength("plain"), ConnectionEnd::KeepOpen, false).body, "plain");
    attempts.clear();
    EXPECT_EQ(this->collectedBytes.total(), 0U);
}

} // namespace

} // namespace Bergamotramp
