#include "SiteFleet.h"

#include <string_view>

#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr std::string_view deadlyPrefix = "deadly";
constexpr int maxRounds = 10;
// Covers several announcements of a host.
constexpr absl::Duration announcementTime = absl::Milliseconds(600);

class CrashingRequestTest : public SiteFleet
{
protected:
    void start(int hostCount, int upstreamCount)
    {
        this->writeConfig(1);
        for (int number = 0; number < upstreamCount; ++number) {
            UpstreamOptions options;
            options.crashesOn = [this](const HttpRequest &request) {
                const bool crashes = request.body.starts_with(deadlyPrefix);
                this->crashes += crashes ? 1 : 0;
                return crashes;
            };
            this->addUpstream("model", 2, absl::Milliseconds(5), options);
        }
        this->startHosts(hostCount);
    }

    std::shared_ptr<Answer> sendDeadly(const RunningHost &host)
    {
        return this->send(
            host, "POST", "/stream/x", {{"X-Request-Id", absl::StrCat("deadly-", ++this->requests)}}, absl::StrCat(std::string(deadlyPrefix), this->round));
    }

    /** Sends the same request to two hosts at once. If one upstream gets both, it crashes only once, and another request is tried. */
    bool crashTwoUpstreamsAtOnce()
    {
        for (this->round = 1; this->round <= maxRounds; ++this->round) {
            this->crashes = 0;
            const auto first = this->sendDeadly(*this->hosts[0]);
            const auto second = this->sendDeadly(*this->hosts[1]);
            this->wait(first);
            this->wait(second);
            runFor(this->loop, announcementTime);
            if (this->crashes == 2) {
                return true;
            }
        }
        return false;
    }

    int crashes = 0;
    int requests = 0;
    int round = 0;
};

// Guards against crashes that are lost when two hosts count one each at the same time, so that a request that crashes upstreams runs on
// more of them than it takes to quarantine it.
TEST_F(CrashingRequestTest, crashesCountedByTwoHostsAtOnceAddUp)
{
    this->start(3, 6);
    ASSERT_TRUE(this->crashTwoUpstreamsAtOnce());
    this->wait(this->sendDeadly(*this->hosts[2]));
    runFor(this->loop, announcementTime);
    ASSERT_EQ(this->crashes, 3);
    EXPECT_EQ(this->wait(this->sendDeadly(*this->hosts[0])).head.status, 503);
    EXPECT_EQ(this->crashes, 3);
}

} // namespace

} // namespace Bergamotramp
