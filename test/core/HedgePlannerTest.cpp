#include "HedgePlanner.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "UpstreamSelector.h"

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
constexpr absl::Duration timeToDeadline = absl::Seconds(60);
constexpr HedgeLimits limits{.share = 0.1, .percentile = 0.95};

HedgeSubject subjectOf(const std::string &route, std::uint64_t promptTokens)
{
    return {.service = "model", .route = route, .promptTokens = promptTokens};
}

void recordAnswers(HedgePlanner &planner, const HedgeSubject &subject, const std::string &upstream, absl::Duration latency, int count)
{
    for (int number = 0; number < count; ++number) {
        planner.recordAnswer(subject, upstream, latency, start);
    }
}

// Guards against more repeats than the share in a sliding window, whatever the load was before: a burst after a quiet time, a load that
// drops, and hedges that are tried all the time.
TEST(RetryBudgetTest, shareHoldsInEachSlidingWindow)
{
    constexpr double share = 0.05;
    std::mt19937 random(11);
    RetryBudget budget = RetryBudget::overWindow(share);
    std::deque<absl::Time> requests;
    std::deque<absl::Time> repeats;
    const auto dropOld = [](std::deque<absl::Time> &times, absl::Time now) {
        while (!times.empty() && times.front() <= now - RepeatWindow::length) {
            times.pop_front();
        }
    };
    absl::Time now = start;
    std::size_t granted = 0;
    for (int step = 0; step < 60'000; ++step) {
        const bool quiet = step % 10'000 == 0;
        now += quiet ? absl::Seconds(25) : absl::Microseconds(std::uniform_int_distribution<int>(0, step / 5000 % 2 == 0 ? 4'000 : 80'000)(random));
        requests.push_back(now);
        budget.onRequest(now);
        dropOld(requests, now);
        dropOld(repeats, now);
        while (budget.tryRepeat(now, now + timeToDeadline)) {
            ++granted;
            repeats.push_back(now);
            ASSERT_LE(static_cast<double>(repeats.size()), share * static_cast<double>(requests.size())) << "step " << step;
        }
    }
    EXPECT_GE(granted, 2400U) << "the share is usable";
}

// Guards against hedges that come on top of retries, when upstreams fail and are slow at the same time.
TEST(RetryBudgetTest, retriesAndHedgesShareTheWindow)
{
    RetryBudget budget = RetryBudget::overWindow(0.1);
    for (int request = 0; request < 50; ++request) {
        budget.onRequest(start);
    }
    for (int retry = 0; retry < 4; ++retry) {
        budget.recordRepeat(start);
    }
    EXPECT_FALSE(budget.tryRepeat(start, start)) << "no time left";
    EXPECT_TRUE(budget.tryRepeat(start, start + timeToDeadline));
    EXPECT_FALSE(budget.tryRepeat(start, start + timeToDeadline));
}

// Guards against a delay that is taken from requests of another route, of another size of the prompt, or at faster upstreams.
TEST(HedgePlannerTest, delayIsThatOfTheClass)
{
    HedgePlanner planner(limits);
    const HedgeSubject shortPrompt = subjectOf("chat", 100);
    const HedgeSubject longPrompt = subjectOf("chat", 8000);
    EXPECT_FALSE(planner.delay(shortPrompt, "a", start));
    for (const std::string upstream : {"a", "b", "c"}) {
        recordAnswers(planner, shortPrompt, upstream, absl::Milliseconds(100), 100);
        recordAnswers(planner, longPrompt, upstream, absl::Milliseconds(900), 100);
    }
    recordAnswers(planner, shortPrompt, "old", absl::Milliseconds(180), 100);
    // Too few answers for a class of its own: the delay at ordinary upstreams times its score.
    recordAnswers(planner, subjectOf("chat", 8000), "young", absl::Milliseconds(1600), 10);
    struct Case {
        HedgeSubject subject;
        std::string upstream;
        absl::Duration atLeast;
        absl::Duration atMost;
    };
    const std::vector<Case> cases{{shortPrompt, "a", absl::Milliseconds(250), absl::Milliseconds(285)},
                                  {subjectOf("chat", 120), "new", absl::Milliseconds(250), absl::Milliseconds(285)},
                                  {longPrompt, "a", absl::Milliseconds(2250), absl::Milliseconds(2550)},
                                  {shortPrompt, "old", absl::Milliseconds(450), absl::Milliseconds(510)},
                                  {longPrompt, "young", absl::Milliseconds(2250) * 1.3, absl::Milliseconds(2550) * 2.0}};
    for (const Case &each : cases) {
        const auto delay = planner.delay(each.subject, each.upstream, start);
        ASSERT_TRUE(delay) << each.upstream;
        EXPECT_GE(*delay, each.atLeast) << each.upstream << " " << each.subject.promptTokens;
        EXPECT_LE(*delay, each.atMost) << each.upstream << " " << each.subject.promptTokens;
    }
    EXPECT_FALSE(planner.delay(subjectOf("other", 100), "a", start));
    EXPECT_FALSE(planner.delay(subjectOf("chat", 500'000), "a", start));
}

// Guards against a degraded upstream whose latency becomes the percentile, and against percentiles that fall with each hedge because
// the answers that were slow are missing.
TEST(HedgePlannerTest, delayFollowsNeitherDegradedUpstreamsNorHedges)
{
    HedgePlanner planner(limits);
    const HedgeSubject subject = subjectOf("chat", 100);
    for (const std::string upstream : {"a", "b", "c"}) {
        recordAnswers(planner, subject, upstream, absl::Milliseconds(100), 40);
    }
    recordAnswers(planner, subject, "slow", absl::Milliseconds(2000), 100);
    EXPECT_LE(planner.delay(subject, "slow", start), absl::Milliseconds(285));
    const HedgeSubject varied = subjectOf("varied", 100);
    recordAnswers(planner, varied, "a", absl::Milliseconds(100), 180);
    recordAnswers(planner, varied, "a", absl::Milliseconds(600), 20);
    const auto before = planner.delay(varied, "b", start);
    for (int number = 0; number < 200; ++number) {
        recordAnswers(planner, varied, "b", absl::Milliseconds(100), 9);
        planner.recordLost(varied, "a", *before, start);
    }
    EXPECT_GE(planner.delay(varied, "b", start), *before * 0.99);
}

/** One host that sends requests to upstreams and hedges them. Time passes in steps of a millisecond. */
class HedgedLoad
{
public:
    static constexpr int upstreamCount = 10;
    static constexpr int arrivalsPerSecond = 100;

    explicit HedgedLoad(double share) : planner({.share = share, .percentile = 0.95}), hedging(share > 0.0)
    {
        for (int index = 0; index < upstreamCount; ++index) {
            const std::string id = "u" + std::to_string(index);
            this->table.put({.id = id, .service = "model", .address = "10.0.0.1:80", .dataCentre = "a", .slots = 8});
            this->slowdown[id] = 1.0;
        }
    }

    void run(absl::Duration duration)
    {
        for (const absl::Time end = this->now + duration; this->now < end; this->now += absl::Milliseconds(1)) {
            if (this->draw() < arrivalsPerSecond / 1000.0) {
                this->arrive();
            }
            this->endAttempts();
            this->hedgeWaiting();
        }
    }

    [[nodiscard]] absl::Duration percentile(double share)
    {
        std::ranges::sort(this->latencies);
        return this->latencies.at(static_cast<std::size_t>(share * static_cast<double>(this->latencies.size() - 1)));
    }

    std::map<std::string, double> slowdown;
    std::vector<absl::Duration> latencies;
    std::size_t requests = 0;
    std::size_t hedges = 0;

private:
    struct Attempt {
        std::string upstream;
        absl::Time started;
        absl::Time endsAt;
    };
    struct Request {
        absl::Time arrived;
        std::vector<Attempt> attempts;
    };

    double draw()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    void begin(Request &request, const std::string &upstream)
    {
        const absl::Duration ordinary = absl::Milliseconds(std::lognormal_distribution<double>(4.4, 0.3)(this->random));
        this->load.addRequest(upstream, false);
        request.attempts.push_back({upstream, this->now, this->now + ordinary * this->slowdown[upstream]});
    }

    void arrive()
    {
        const UpstreamInfo *upstream = this->selector.chooseForOnline("model", {}, this->now);
        ASSERT_NE(upstream, nullptr);
        ++this->requests;
        this->planner.onRequest("model", this->now);
        this->begin(this->running.emplace_back(Request{.arrived = this->now, .attempts = {}}), upstream->id);
    }

    void endAttempts()
    {
        const auto hasEnded = [this](const Request &request) {
            const auto winner = std::ranges::find_if(request.attempts, [this](const Attempt &attempt) { return attempt.endsAt <= this->now; });
            if (winner == request.attempts.end()) {
                return false;
            }
            this->latencies.push_back(this->now - request.arrived);
            this->planner.recordAnswer(this->subject, winner->upstream, this->now - winner->started, this->now);
            if (winner != request.attempts.begin()) {
                this->planner.recordLost(this->subject, request.attempts.front().upstream, this->now - request.arrived, this->now);
            }
            for (const Attempt &attempt : request.attempts) {
                this->load.removeRequest(attempt.upstream, false);
            }
            return true;
        };
        std::erase_if(this->running, hasEnded);
    }

    void hedgeWaiting()
    {
        for (Request &request : this->running) {
            const std::string first = request.attempts.front().upstream;
            const auto delay = this->planner.delay(this->subject, first, this->now);
            const absl::Duration waited = this->now - request.arrived;
            if (!this->hedging || request.attempts.size() > 1 || !delay || waited < *delay) {
                continue;
            }
            const UpstreamInfo *upstream = this->selector.chooseForHedge("model", {first}, this->now);
            if (upstream != nullptr && this->planner.tryHedge(this->subject, first, waited, this->now, this->now + timeToDeadline)) {
                ++this->hedges;
                this->begin(request, upstream->id);
            }
        }
    }

    std::mt19937_64 random{5};
    HedgePlanner planner;
    bool hedging;
    HedgeSubject subject = subjectOf("chat", 100);
    UpstreamTable table;
    FleetLoad load;
    UpstreamHealth health;
    UpstreamSelector selector{
        table, load, health, {.dataCentre = "a", .region = "north", .regionByDataCentre = {{"a", "north"}}}, [this] { return this->draw(); }};
    std::vector<Request> running;
    absl::Time now = start;
};

// Guards against hedges that do not make the slowest answers faster when one upstream is slow, or that exceed the share of the requests.
TEST(HedgePlannerTest, slowestAnswersGetFasterWithinTheShare)
{
    HedgedLoad without(0.0);
    HedgedLoad with(0.05);
    for (HedgedLoad *load : {&without, &with}) {
        load->slowdown["u3"] = 12.0;
        load->run(absl::Seconds(60));
    }
    RecordProperty("p99WithoutMs", static_cast<int>(absl::ToInt64Milliseconds(without.percentile(0.99))));
    RecordProperty("p99WithMs", static_cast<int>(absl::ToInt64Milliseconds(with.percentile(0.99))));
    RecordProperty("hedges", static_cast<int>(with.hedges));
    EXPECT_LT(with.percentile(0.99), 0.6 * without.percentile(0.99));
    EXPECT_GT(with.hedges, 0U);
    EXPECT_LE(static_cast<double>(with.hedges), 0.05 * static_cast<double>(with.requests));
}

// Guards against hedges that make a general slowdown worse. When it leaves 15% of the slots free on average, few requests are hedged, in
// moments with clearly more free ones; when it fills all slots, none, although the latencies are far above the percentiles before.
TEST(HedgePlannerTest, hedgingEndsWhenAllUpstreamsAreSlow)
{
    constexpr double share = 0.2;
    for (const double factor : {8.0, 12.0}) {
        HedgedLoad load(share);
        load.run(absl::Seconds(30));
        for (auto &[id, slowdown] : load.slowdown) {
            slowdown = factor;
        }
        load.run(absl::Seconds(3));
        const std::size_t hedgesBefore = load.hedges;
        const std::size_t requestsBefore = load.requests;
        load.run(absl::Seconds(20));
        const double allowed = factor > 10.0 ? 0.0 : 0.1 * share * static_cast<double>(load.requests - requestsBefore);
        EXPECT_LE(static_cast<double>(load.hedges - hedgesBefore), allowed) << factor;
    }
}

} // namespace

} // namespace Bergamotramp
