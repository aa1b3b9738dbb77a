#include "SiteFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr int eventCount = 4;
constexpr absl::Duration eventInterval = absl::Milliseconds(5);
constexpr int items = 100;
// A registration that vanished stays in use for lastResortGrace if its service has no other upstream.
const absl::Duration vanishedInUse = UpstreamTable::lastResortGrace + absl::Milliseconds(500);

class SplitRouteTest : public SiteFleet
{
protected:
    /** Splits the routes over "next" and "model", 50 to 50; "model" has three upstreams. */
    void start(int upstreamsOfNext, int eventsOfEach = eventCount, int routeTimeoutMs = 5000)
    {
        this->split = {{{"service", "next"}, {"weight", 50}}, {{"service", "model"}, {"weight", 50}}};
        this->writeConfig(1, routeTimeoutMs);
        for (int number = 0; number < 3; ++number) {
            this->addUpstream("model", eventsOfEach, eventInterval);
        }
        UpstreamOptions lostForGood;
        lostForGood.restartDelay = absl::Hours(1);
        for (int number = 0; number < upstreamsOfNext; ++number) {
            this->addUpstream("next", eventsOfEach, eventInterval, lostForGood);
        }
        this->startHosts(1);
    }

    [[nodiscard]] StandinUpstream &next() const
    {
        return *this->upstreams.back();
    }

    /** Loses the upstream of "next" for good, and its registration with it. */
    void loseNext()
    {
        this->next().crash();
        this->store.erase("servers", this->next().id());
        runFor(this->loop, vanishedInUse);
    }

    void expectAllItemsCompleted()
    {
        EXPECT_EQ(this->submit(*this->hosts[0], "job-1", items), 202);
        const nlohmann::json results = this->readWholeJob(*this->hosts[0], "job-1", items);
        ASSERT_EQ(results.size(), static_cast<std::size_t>(items));
        for (const nlohmann::json &result : results) {
            EXPECT_EQ(result["state"], "completed");
        }
    }
};

// Guards against items of a target without upstreams that are never run, and that hold up all items after them.
TEST_F(SplitRouteTest, itemsOfATargetThatIsGoneRunAtTheOther)
{
    this->start(1);
    this->loseNext();
    this->expectAllItemsCompleted();
}

// The same for a target that the operator has named before its first upstream was there.
TEST_F(SplitRouteTest, itemsOfATargetThatNeverHadAnUpstreamRunAtTheOther)
{
    this->start(0);
    this->expectAllItemsCompleted();
}

// Guards against items for a target with room that wait behind those of a full one.
TEST_F(SplitRouteTest, itemsOfAFullTargetDoNotHoldUpOthers)
{
    this->start(1);
    this->next().setMode(UpstreamMode::Full);
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", items), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->next().received() > 0; }));
    runFor(this->loop, absl::Seconds(2));
    EXPECT_GE(this->readJob(*this->hosts[0], "job-1", 0)["results"].size(), static_cast<std::size_t>(items) / 4);
}

// Guards against requests that are refused because their share of the split goes to a target without upstreams.
TEST_F(SplitRouteTest, requestsOfATargetThatIsGoneRunAtTheOther)
{
    this->start(1, 0);
    this->loseNext();
    for (int number = 0; number < 20; ++number) {
        EXPECT_EQ(this->request(*this->hosts[0], "/plain/x", absl::StrCat("id-", number)).head.status, 200);
    }
}

// Guards against a request that fails because the only upstream of its target fails, though it may run again at the other target.
TEST_F(SplitRouteTest, retriesGoToTheOtherTarget)
{
    this->start(1, 0);
    this->next().setMode(UpstreamMode::AnswersLost);
    for (int number = 0; number < 20; ++number) {
        EXPECT_EQ(this->request(*this->hosts[0], "/plain/x", absl::StrCat("id-", number)).head.status, 200);
    }
}

// Guards against a stream of one target that goes on at another one, because no host has a record of it and the target that is drawn for the
// caller has had only one software version.
TEST_F(SplitRouteTest, streamWithoutARecordIsRefused)
{
    constexpr int timeoutMs = 1000;
    this->start(1, eventCount, timeoutMs);
    // The hosts know all versions of the time in which a stream can have begun.
    runFor(this->loop, absl::Milliseconds(3 * timeoutMs + 500));
    for (int number = 0; number < 10; ++number) {
        const HttpFields fields{{"X-Request-Id", absl::StrCat("take-up-", number)}, {"Last-Event-Id", "2"}, {"Resumes", absl::StrCat("forgotten-", number)}};
        EXPECT_EQ(this->wait(this->send(*this->hosts[0], "POST", "/resumable/x", fields, "prompt")).head.status, 503);
    }
    for (const auto &upstream : this->upstreams) {
        EXPECT_TRUE(upstream->runs().empty());
    }
}

} // namespace

} // namespace Bergamotramp
