#include <absl/strings/str_cat.h>

#include "RawClient.h"
#include "SiteFleet.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration graceInTest = absl::Milliseconds(4500);
// Less time is left then than a stream of PlannedStopOfStreamsTest takes.
constexpr absl::Duration lateInStop = absl::Milliseconds(2300);
constexpr const char *fields = " HTTP/1.1\r\nHost: site.example\r\nX-Deadline-Ms: 20000\r\nX-Request-Id: ";

std::string onlineRequest(const std::string &id, const std::string &path = "/plain/x")
{
    return absl::StrCat("GET ", path, fields, id, "\r\n\r\n");
}

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t position = text.find(part); position != std::string::npos; position = text.find(part, position + 1)) {
        ++found;
    }
    return found;
}

/** A host that has been told to stop while callers are at different points of their requests. */
class PlannedStopTest : public SiteFleet
{
protected:
    explicit PlannedStopTest(int events = 2, absl::Duration eventInterval = absl::Milliseconds(5))
    {
        this->writeConfig(1, 20'000);
        this->addUpstream("model", events, eventInterval);
        this->addUpstream("plain", 0, absl::Milliseconds(100));
        this->startHosts(1);
        EntrySettings settings = this->hosts[0]->host->currentSettings();
        settings.stopGrace = graceInTest;
        this->hosts[0]->host->reload(settings);
    }

    std::unique_ptr<RawClient> connect()
    {
        auto caller = std::make_unique<RawClient>(this->loop, this->hosts[0]->host->currentSettings().entryAddress);
        runFor(this->loop, absl::Milliseconds(20));
        return caller;
    }

    /** Stops the host and ends it as its process does. */
    void stopAndEnd(const std::function<void()> &duringStop = {})
    {
        this->hosts[0]->host->stop();
        if (duringStop) {
            duringStop();
        }
        ASSERT_TRUE(runUntil(this->loop, [this] { return this->hosts[0]->stopped; }));
        this->crashHost(*this->hosts[0]);
        runFor(this->loop, absl::Milliseconds(100));
    }
};

// Guards against a request of which a part was read when the host stopped, and whose connection is closed without an answer.
TEST_F(PlannedStopTest, partlyReadRequestsAreAnsweredAsNotRun)
{
    const std::vector<std::string> parts{"P",
                                         "POST /plain/x HTTP/1.1\r\nHost: site",
                                         "POST /plain/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: a\r\nContent-Length: 10\r\n\r\n",
                                         "POST /plain/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: b\r\nContent-Length: 10\r\n\r\nhalf",
                                         "POST /batch/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: c\r\nContent-Length: 99\r\n\r\n{\"items\":["};
    std::vector<std::unique_ptr<RawClient>> callers;
    for (std::size_t number = 0; number < parts.size(); ++number) {
        callers.push_back(this->connect());
    }
    this->stopAndEnd([&] {
        // Within the time limit of a head, and before the idle connections are closed.
        runFor(this->loop, graceInTest - absl::Milliseconds(1600));
        for (std::size_t number = 0; number < parts.size(); ++number) {
            callers[number]->stream->write(parts[number]);
        }
    });
    for (std::size_t number = 0; number < parts.size(); ++number) {
        EXPECT_TRUE(callers[number]->ended) << parts[number];
        EXPECT_TRUE(callers[number]->received.starts_with("HTTP/1.1 503 ")) << parts[number] << ": " << callers[number]->received;
        EXPECT_NE(callers[number]->received.find("\"not_run\""), std::string::npos) << parts[number];
    }
}

// Guards against connections that are cut, although nothing was read on them, before a caller that has just opened them can use
// them: requests right after the start of the stop are served, and unused connections are closed in the end.
TEST_F(PlannedStopTest, connectionsOpenedBeforeTheStopAreServedOrClosedUnread)
{
    const auto used = this->connect();
    const auto unused = this->connect();
    this->stopAndEnd([&] { used->stream->write(onlineRequest("id-1")); });
    EXPECT_TRUE(used->received.starts_with("HTTP/1.1 200 ")) << used->received;
    EXPECT_TRUE(unused->ended);
    EXPECT_EQ(unused->received, "");
}

// Guards against a pipelined request that was read behind another one and is dropped when the connection closes after the first.
TEST_F(PlannedStopTest, pipelinedRequestsAreAllAnswered)
{
    const auto caller = this->connect();
    caller->stream->write(onlineRequest("id-1") + onlineRequest("id-2") + onlineRequest("id-3"));
    runFor(this->loop, absl::Milliseconds(30));
    this->stopAndEnd();
    EXPECT_EQ(count(caller->received, "HTTP/1.1 200 "), 3U) << caller->received;
    EXPECT_EQ(count(caller->received, "Connection: close"), 1U) << "only the last response closes the connection";
}

// Guards against running requests, and reads that wait for results, that are cut off without an answer at the end of the grace
// period.
TEST_F(PlannedStopTest, requestsThatOutlastTheGracePeriodAreAnswered)
{
    this->upstreams[0]->setMode(UpstreamMode::Silent);
    this->upstreams[1]->setMode(UpstreamMode::Silent);
    ASSERT_EQ(this->submit(*this->hosts[0], "job-1", 1), 202);
    const auto online = this->connect();
    online->stream->write(onlineRequest("id-1", "/once/x"));
    const auto read = this->connect();
    read->stream->write("GET /bergamotramp/lots/job-1?after=0 HTTP/1.1\r\nHost: site.example\r\nX-Wait-Ms: 30000\r\n\r\n");
    runFor(this->loop, absl::Milliseconds(200));
    this->stopAndEnd();
    EXPECT_TRUE(online->received.starts_with("HTTP/1.1 504 ")) << online->received;
    EXPECT_NE(online->received.find("\"unknown\""), std::string::npos) << "the request was sent to an upstream";
    EXPECT_TRUE(read->received.starts_with("HTTP/1.1 200 ")) << read->received;
}

// Guards against a 503, which promises that a request has not run, for a job that the store may have accepted.
TEST_F(PlannedStopTest, submissionWithoutAnAnswerOfTheStoreIsNotRefusedAsNotRun)
{
    const auto caller = this->connect();
    // The answers about the job's items and about its header take longer together than the host has.
    this->store.setMode(ObjectApiMode::SlowLink);
    const std::string job = R"({"items":[{"id":"i","path":"/batch/x","headers":{"X-Model":"m"},"body":"YQ==","tokens":10}]})";
    caller->stream->write(absl::StrCat("POST /batch/x", fields, "job-1\r\nContent-Length: ", job.size(), "\r\n\r\n", job));
    runFor(this->loop, absl::Milliseconds(50));
    this->stopAndEnd();
    EXPECT_TRUE(caller->received.starts_with("HTTP/1.1 504 ")) << caller->received;
    EXPECT_NE(caller->received.find("\"unknown\""), std::string::npos) << caller->received;
}

// Guards against a request that a stopping host takes late although its time limit ends after the host, and that is cut off then.
TEST_F(PlannedStopTest, lateRequestsAreTakenOnlyIfTheirTimeLimitEndsBeforeTheStop)
{
    const auto patient = this->connect();
    const auto brief = this->connect();
    this->stopAndEnd([&] {
        runFor(this->loop, lateInStop);
        patient->stream->write(onlineRequest("id-long"));
        brief->stream->write("GET /plain/x HTTP/1.1\r\nHost: site.example\r\nX-Deadline-Ms: 800\r\nX-Request-Id: id-short\r\n\r\n");
    });
    EXPECT_TRUE(patient->received.starts_with("HTTP/1.1 503 ")) << patient->received;
    EXPECT_NE(patient->received.find("\"not_run\""), std::string::npos) << patient->received;
    EXPECT_TRUE(brief->received.starts_with("HTTP/1.1 200 ")) << brief->received;
    EXPECT_EQ(this->upstreams[1]->runs().size(), 1U) << "only the request with the short time limit may have been sent";
}

// Guards against a shorter grace period in changed settings that makes a stopping host cut off the requests that it has taken.
TEST_F(PlannedStopTest, settingsThatChangeDuringTheStopDoNotShortenIt)
{
    this->upstreams[1]->setMode(UpstreamMode::Silent);
    const auto caller = this->connect();
    this->stopAndEnd([&] {
        caller->stream->write(onlineRequest("id-1"));
        runFor(this->loop, absl::Milliseconds(100));
        EntrySettings settings = this->hosts[0]->host->currentSettings();
        settings.stopGrace = absl::Milliseconds(200);
        this->hosts[0]->host->reload(settings);
        this->hosts[0]->host->stop();
        runFor(this->loop, lateInStop);
        EXPECT_FALSE(this->hosts[0]->stopped);
    });
    EXPECT_TRUE(caller->received.starts_with("HTTP/1.1 504 ")) << caller->received;
}

class PlannedStopOfStreamsTest : public PlannedStopTest
{
protected:
    static constexpr int events = 20;

    PlannedStopOfStreamsTest() : PlannedStopTest(events, absl::Milliseconds(100))
    {
    }
};

// Guards against a stream that begins late in the grace period and is cut in the middle when the host ends.
TEST_F(PlannedStopOfStreamsTest, lateStreamsAreRefusedRatherThanCut)
{
    std::vector<std::unique_ptr<RawClient>> callers;
    for (int number = 0; number < 3; ++number) {
        callers.push_back(this->connect());
    }
    this->stopAndEnd([&] {
        runFor(this->loop, lateInStop);
        for (std::size_t number = 0; number < callers.size(); ++number) {
            callers[number]->stream->write(onlineRequest(absl::StrCat("id-", number), "/stream/x"));
        }
    });
    for (const auto &caller : callers) {
        EXPECT_TRUE(caller->received.starts_with("HTTP/1.1 503 ")) << caller->received;
        EXPECT_NE(caller->received.find("\"not_run\""), std::string::npos) << caller->received;
    }
    EXPECT_TRUE(this->upstreams[0]->runs().empty());
}

} // namespace

} // namespace Bergamotramp
