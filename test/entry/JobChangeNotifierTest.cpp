#include "JobChangeNotifier.h"

#include <vector>

#include <fcntl.h>

#include <gtest/gtest.h>

#include "LoopRunner.h"

namespace Bergamotramp {

namespace {

constexpr const char *runner = "host-b";

class JobChangeNotifierTest : public testing::Test
{
protected:
    JobChangeNotifierTest()
    {
        this->peers.update({.name = runner,
                            .region = "north",
                            .dataCentre = "a",
                            .entryAddress = "127.0.0.1:8",
                            .controlAddress = "127.0.0.1:9",
                            .incarnation = 1,
                            .sequence = 1,
                            .lastHeard = this->loop.now()});
    }

    EventLoop loop;
    JsonLog log{this->loop, "host-a", open("/dev/null", O_WRONLY)};
    PeerTable peers;
    /** How many of the next notices get no answer. */
    int lostNotices = 0;
    std::vector<HttpRequest> sent;
    JobChangeNotifier notifier{this->loop, this->peers, this->log, [this](const std::string &, const HttpRequest &request, absl::Duration, auto done) {
                                   this->sent.push_back(request);
                                   const bool lost = this->lostNotices-- > 0;
                                   done(lost ? std::nullopt : std::optional(HttpResponse{.head = {.status = 200, .fields = {}}, .body = {}}));
                               }};
};

// Guards against an ended job that runs on because the one notice of its end was lost.
TEST_F(JobChangeNotifierTest, noticeIsRepeatedUntilItIsAcknowledged)
{
    this->lostNotices = 2;
    this->notifier.notify(runner, {.jobId = "job-1", .header = std::nullopt});
    EXPECT_TRUE(runUntil(this->loop, [this] { return this->sent.size() == 3; }));
    runFor(this->loop, 2 * JobChangeNotifier::repeatPause);
    EXPECT_EQ(this->sent.size(), 3U);
}

// Guards against notices to a host that is gone, which would be repeated without end.
TEST_F(JobChangeNotifierTest, unknownHostIsNotNotified)
{
    this->notifier.notify("host-c", {.jobId = "job-1", .header = std::nullopt});
    runFor(this->loop, 2 * JobChangeNotifier::repeatPause);
    EXPECT_TRUE(this->sent.empty());
}

// Guards against a notice that loses its header on the way, so that the runner has to ask the store, and against a header that belongs to
// another job.
TEST_F(JobChangeNotifierTest, noticeCarriesTheHeaderOfItsJob)
{
    const JobChangeNotice notice{.jobId = "job 1", .header = ObjectRecord{.name = "job 1", .revision = 7, .content = {{"owner", "host-b"}}, .status = nullptr}};
    EXPECT_TRUE(JobChangeNotice::matches(notice.toRequest()));
    EXPECT_EQ(JobChangeNotice::fromRequest(notice.toRequest()), notice);
    HttpRequest foreign = notice.toRequest();
    foreign.target = JobChangeNotice{.jobId = "job-2", .header = std::nullopt}.toRequest().target;
    EXPECT_EQ(JobChangeNotice::fromRequest(foreign), (JobChangeNotice{.jobId = "job-2", .header = std::nullopt}));
}

} // namespace

} // namespace Bergamotramp
