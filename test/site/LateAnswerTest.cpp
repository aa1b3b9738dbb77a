#include <absl/strings/str_cat.h>

#include "FixedResponseServer.h"
#include "PeerClient.h"
#include "RawClient.h"
#include "SiteFleet.h"

namespace Bergamotramp {

namespace {

std::string response(const std::string &body, const std::string &fields = "", const std::string &status = "200 OK")
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\n", fields, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

std::string object(const std::string &name, int revision)
{
    return absl::StrCat(R"({"metadata":{"name":")", name, R"(","revision":)", revision, R"(},"spec":{}})");
}

/** A server that sends a second copy of its last answer after it has read the next request. */
class LateAnswerTest : public SiteFleet
{
protected:
    /** Waits for the next request, then sends @p copy on all connections but the newest, or on it too if there is only one, and @p answer last. */
    void answerAfterCopy(int requestsBefore, const std::string &copy, const std::string &answer)
    {
        ASSERT_TRUE(runUntil(this->loop, [this, requestsBefore] { return this->server.requests > requestsBefore; }));
        for (int connection = 0; connection < std::max(1, this->server.accepted - 1); ++connection) {
            this->server.writeTo(connection, copy);
        }
        runFor(this->loop, absl::Milliseconds(20));
        this->server.writeTo(this->server.accepted - 1, answer);
    }

    std::string callPeer(const std::function<void()> &serve)
    {
        std::optional<std::string> body;
        this->peerClient.send(this->server.address(),
                              {.method = "GET", .target = "/", .fields = {}, .body = {}},
                              absl::Seconds(2),
                              [&body](const std::optional<HttpResponse> &answer) { body = answer ? answer->body : "none"; });
        serve();
        EXPECT_TRUE(runUntil(this->loop, [&body] { return body.has_value(); }));
        return *body;
    }

    ObjectReply getObject(const std::string &name, const std::function<void()> &serve)
    {
        std::optional<ObjectReply> reply;
        this->platform.store->get("jobs", name, [&reply](const ObjectReply &answer) { reply = answer; });
        serve();
        EXPECT_TRUE(runUntil(this->loop, [&reply] { return reply.has_value(); }));
        return *reply;
    }

    /** Refuses request id-1 with @p refusal, repeats that after the next attempt, and answers the attempt. */
    void expectOneFurtherAttempt(const std::string &refusal)
    {
        this->writeConfig(1);
        this->store.write(
            "servers", "up-0", {{"service", "plain"}, {"address", this->server.address()}, {"zone", "a"}, {"slots", 8}, {"state", "ready"}, {"born", 1}});
        this->startHosts(1);
        const auto answer = this->send(*this->hosts[0], "POST", "/once/x", {{"X-Request-Id", "id-1"}, {"X-Deadline-Ms", "2000"}}, "a");
        ASSERT_TRUE(runUntil(this->loop, [this] { return this->server.requests > 0; }));
        this->server.writeTo(this->server.accepted - 1, refusal);
        this->answerAfterCopy(1, refusal, response("done", "X-Request-Id: id-1\r\n"));
        EXPECT_EQ(this->wait(answer).body, "done");
        EXPECT_EQ(this->server.requests, 2);
    }

    FixedResponseServer server{this->loop, ""};
    PeerClient peerClient{this->loop};
    EntryMetrics metrics;
    PlatformAdapter platform = connectPlatform(this->loop, this->server.address(), this->metrics);
};

// Guards against bytes that arrive on an idle connection and are taken for the response to the next request.
TEST_F(LateAnswerTest, bytesOnAnIdleConnectionAreNoAnswer)
{
    this->server.response = response("one", "X-Call-Id: 1\r\n");
    EXPECT_EQ(this->callPeer([] {}), "one");
    this->server.writeTo(0, response("one", "X-Call-Id: 1\r\n"));
    this->server.response = response("two", "X-Call-Id: 2\r\n");
    EXPECT_EQ(this->callPeer([] {}), "two");
    this->server.writeTo(this->server.accepted - 1, response("two", "X-Call-Id: 2\r\n"));
    runFor(this->loop, absl::Milliseconds(50));
    this->server.response = response("three", "X-Call-Id: 3\r\n");
    EXPECT_EQ(this->callPeer([] {}), "three");
}

// Guards against the second copy of another host's answer that arrives after the next request was sent, with the id of its call.
TEST_F(LateAnswerTest, copyOfAPeersAnswerIsSkipped)
{
    this->server.response = response("one", "X-Call-Id: 1\r\n");
    EXPECT_EQ(this->callPeer([] {}), "one");
    this->server.response = "";
    EXPECT_EQ(this->callPeer([this] { this->answerAfterCopy(1, response("one", "X-Call-Id: 1\r\n"), response("two", "X-Call-Id: 2\r\n")); }), "two");
    EXPECT_EQ(this->server.accepted, 1);
}

// The same for a host of an earlier version, which does not repeat the id of a call.
TEST_F(LateAnswerTest, copyOfAPeersAnswerWithoutAnIdHasNoConnectionToArriveOn)
{
    this->server.response = response("one");
    EXPECT_EQ(this->callPeer([] {}), "one");
    this->server.response = "";
    EXPECT_EQ(this->callPeer([this] { this->answerAfterCopy(1, response("one"), response("two")); }), "two");
}

// Guards against a job that is reported as missing because the store repeated its answer about another one.
TEST_F(LateAnswerTest, copyOfAMissingObjectIsNotTheAnswerAboutAnother)
{
    this->server.response = response("{}", "", "404 Not Found");
    EXPECT_EQ(this->getObject("a", [] {}).result, StoreResult::NotFound);
    this->server.response = "";
    const ObjectReply reply = this->getObject("b", [this] { this->answerAfterCopy(1, response("{}", "", "404 Not Found"), response(object("b", 2))); });
    EXPECT_EQ(reply.result, StoreResult::Done);
}

// Guards against an object of the store that is taken for another one.
TEST_F(LateAnswerTest, copyOfAnObjectIsNotAnother)
{
    this->server.response = response(object("a", 1));
    EXPECT_EQ(this->getObject("a", [] {}).result, StoreResult::Done);
    this->server.response = "";
    const ObjectReply reply = this->getObject("b", [this] { this->answerAfterCopy(1, response(object("a", 1)), response(object("b", 2))); });
    EXPECT_EQ(reply.result, StoreResult::Unanswered);
    EXPECT_FALSE(reply.object);
}

// Guards against a write that counts as done because the store repeated an earlier answer about the same object.
TEST_F(LateAnswerTest, copyOfAnObjectIsNotTheOutcomeOfAWrite)
{
    this->server.response = response(object("a", 1));
    EXPECT_EQ(this->getObject("a", [] {}).result, StoreResult::Done);
    this->server.response = "";
    std::optional<ObjectReply> reply;
    this->platform.store->putStatus("jobs", "a", 1, {{"finished", true}}, [&reply](const ObjectReply &answer) { reply = answer; });
    this->answerAfterCopy(1, response(object("a", 1)), response("{}", "", "409 Conflict"));
    ASSERT_TRUE(runUntil(this->loop, [&reply] { return reply.has_value(); }));
    EXPECT_EQ(reply->result, StoreResult::Conflict);
}

// Guards against a request that is sent a second time, or reported as not run, because its upstream repeated the refusal of an
// earlier request, without an id.
TEST_F(LateAnswerTest, copyOfARefusalIsNotTheAnswerToTheNextRequest)
{
    this->writeConfig(1);
    this->store.write(
        "servers", "up-0", {{"service", "plain"}, {"address", this->server.address()}, {"zone", "a"}, {"slots", 8}, {"state", "ready"}, {"born", 1}});
    this->startHosts(1);
    const std::string refusal = response("", "X-Not-Executed: 1\r\n", "503 Service Unavailable");
    this->server.response = refusal;
    const HttpFields fields{{"X-Request-Id", "id-1"}, {"X-Deadline-Ms", "150"}};
    EXPECT_EQ(this->wait(this->send(*this->hosts[0], "POST", "/once/x", fields, "a")).head.status, 503);
    runFor(this->loop, absl::Milliseconds(100));
    this->server.response = "";
    const int before = this->server.requests;
    const auto answer = this->send(*this->hosts[0], "POST", "/once/x", {{"X-Request-Id", "id-2"}, {"X-Deadline-Ms", "2000"}}, "b");
    this->answerAfterCopy(before, refusal, response("done", "X-Request-Id: id-2\r\n"));
    EXPECT_EQ(this->wait(answer).body, "done");
    EXPECT_EQ(this->server.requests, before + 1);
}

// Guards against a request that is reported as not run, or run again elsewhere, because its upstream repeated the refusal of the
// same request's earlier attempt, which names it as well.
TEST_F(LateAnswerTest, copyOfARefusalIsNotTheAnswerToTheNextAttempt)
{
    this->expectOneFurtherAttempt(response("", "X-Request-Id: id-1\r\nX-Not-Executed: 1\r\n", "503 Service Unavailable"));
}

// The same for a misdirected answer, which sends the request to another upstream.
TEST_F(LateAnswerTest, copyOfAMisdirectedAnswerIsNotTheAnswerToTheNextAttempt)
{
    this->expectOneFurtherAttempt(response("", "X-Request-Id: id-1\r\nX-Instance-Id: other\r\n", "421 Misdirected Request"));
}

} // namespace

} // namespace Bergamotramp
