#include "UpstreamSelector.h"

#include <array>
#include <deque>
#include <memory>
#include <random>

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::FromUnixSeconds(1'000'000);
const HostLocation location{.dataCentre = "a", .region = "north", .regionByDataCentre = {{"a", "north"}, {"b", "north"}, {"c", "south"}}};

UpstreamInfo upstream(const std::string &id, const std::string &dataCentre)
{
    return {.id = id, .service = "modelo", .address = "10.0.0.1:80", .dataCentre = dataCentre, .slots = 8};
}

/** What one host knows of the upstreams and their load, with a selector that uses it. */
struct HostView {
    UpstreamTable table;
    FleetLoad load;
    UpstreamHealth health;
    std::function<double()> randomFraction = [] { return 0.5; };
    UpstreamSelector selector{table, load, health, location, [this] { return this->randomFraction(); }};
};

void announceFromOtherHost(HostView &view, const std::vector<UpstreamUse> &uses)
{
    view.load.applyAnnouncement("other", {.complete = true, .uses = uses, .batchWaiting = 0}, start);
}

// Guards against traffic between data centres and regions that brings no benefit.
TEST(UpstreamSelectorTest, nearestUpstreamIsChosenAtEqualLoad)
{
    HostView view;
    view.table.put(upstream("far", "c"));
    view.table.put(upstream("near", "a"));
    view.table.put(upstream("beside", "b"));
    EXPECT_EQ(view.selector.chooseForOnline("modelo", {}, start)->id, "near");
    EXPECT_EQ(view.selector.chooseForOnline("modelo", {"near"}, start)->id, "beside");
    EXPECT_EQ(view.selector.chooseForOnline("modelo", {"near", "beside", "far"}, start), nullptr);
}

// Guards against sums that drift from the counts of the single hosts, when announcements replace each other, change some counts or
// expire in any order.
TEST(FleetLoadTest, totalsAreTheSumOfUnexpiredAnnouncements)
{
    std::mt19937 random(7);
    const auto draw = [&random](int count) { return std::uniform_int_distribution(0, count - 1)(random); };
    constexpr int hostCount = 5;
    constexpr int upstreamCount = 4;
    FleetLoad load;
    std::array<std::array<RequestCounts, upstreamCount>, hostCount> expected{};
    std::array<absl::Time, hostCount> expiry;
    expiry.fill(absl::InfinitePast());
    absl::Time now = start;
    for (int step = 0; step < 5000; ++step) {
        now += absl::Milliseconds(draw(200));
        const auto host = static_cast<std::size_t>(draw(hostCount));
        LoadAnnouncement announcement{.complete = draw(2) == 0 || now > expiry[host], .uses = {}};
        if (announcement.complete) {
            expected[host].fill({});
        }
        for (int use = draw(3); use > 0; --use) {
            const auto upstream = static_cast<std::size_t>(draw(upstreamCount));
            const RequestCounts counts{.online = draw(4), .batch = draw(4)};
            announcement.uses.push_back({.upstream = upstreamKey("u" + std::to_string(upstream)), .counts = counts});
            expected[host][upstream] = counts;
        }
        announcement.lifetime = absl::Milliseconds(300 + draw(1500));
        load.applyAnnouncement("host-" + std::to_string(host), announcement, now);
        expiry[host] = now + announcement.lifetime;
        const absl::Time later = now + absl::Milliseconds(draw(1000));
        for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
            RequestCounts sum;
            for (std::size_t other = 0; other < hostCount; ++other) {
                if (later <= expiry[other]) {
                    sum += expected[other][upstream];
                }
            }
            ASSERT_EQ(load.total("u" + std::to_string(upstream), later), sum) << "step " << step;
        }
    }
}

// Guards against treating an upstream as idle that other hosts have filled.
TEST(UpstreamSelectorTest, loadOfOtherHostsCounts)
{
    HostView view;
    view.table.put(upstream("near", "a"));
    view.table.put(upstream("beside", "b"));
    announceFromOtherHost(view, {{.upstream = upstreamKey("near"), .counts = {.online = 7, .batch = 0}}});
    EXPECT_EQ(view.selector.chooseForOnline("modelo", {}, start)->id, "beside");
    // An announcement that is not renewed expires, because its host may have stopped.
    const absl::Time later = start + defaultAnnouncementLifetime + absl::Milliseconds(1);
    EXPECT_EQ(view.selector.chooseForOnline("modelo", {}, later)->id, "near");
}

// Guards against a stale count at other hosts after the last request at an upstream has ended.
TEST(UpstreamSelectorTest, incrementalAnnouncementReplacesCounts)
{
    HostView sender;
    HostView receiver;
    sender.load.addRequest("near", false);
    sender.load.addRequest("beside", false);
    receiver.load.applyAnnouncement("other", sender.load.nextAnnouncement(true), start);
    sender.load.removeRequest("near", false);
    EXPECT_TRUE(sender.load.hasChanges());
    receiver.load.applyAnnouncement("other", sender.load.nextAnnouncement(false), start);
    EXPECT_FALSE(sender.load.hasChanges());
    EXPECT_EQ(receiver.load.total("near", start).total(), 0);
    EXPECT_EQ(receiver.load.total("beside", start).online, 1);
}

// Guards against online requests that queue behind other online requests while a batch request could be preempted for them.
TEST(UpstreamSelectorTest, onlinePrefersPreemptingBatchToQueueing)
{
    HostView view;
    view.table.put(upstream("online", "a"));
    view.table.put(upstream("batch", "c"));
    announceFromOtherHost(
        view,
        {{.upstream = upstreamKey("online"), .counts = {.online = 8, .batch = 0}}, {.upstream = upstreamKey("batch"), .counts = {.online = 0, .batch = 8}}});
    EXPECT_EQ(view.selector.chooseForOnline("modelo", {}, start)->id, "batch");
}

// Guards against requests for an unreachable upstream while there is another one, and for no upstream if there is none.
TEST(UpstreamSelectorTest, unreachableUpstreamIsTheLastChoice)
{
    HostView view;
    view.table.put(upstream("near", "a"));
    view.table.put(upstream("far", "c"));
    view.health.recordFailure("near", start);
    EXPECT_EQ(view.selector.chooseForOnline("modelo", {}, start)->id, "far");
    EXPECT_EQ(view.selector.chooseForOnline("modelo", {"far"}, start)->id, "near");
    EXPECT_EQ(view.selector.chooseForOnline("modelo", {}, start + UpstreamHealth::initialBackoff)->id, "near");
}

// Guards against a hedge that takes a slot which a first attempt or a batch request would use, or that leaves the region.
TEST(UpstreamSelectorTest, hedgeNeedsClearlySpareSlots)
{
    struct Case {
        std::string dataCentre;
        RequestCounts counts;
        absl::Duration farLoadAge;
        bool chosen;
    };
    const std::vector<Case> cases{{"a", {.online = 4, .batch = 0}, absl::ZeroDuration(), true},
                                  {"a", {.online = 5, .batch = 0}, absl::ZeroDuration(), false},
                                  {"a", {.online = 1, .batch = 4}, absl::ZeroDuration(), false},
                                  {"b", {.online = 0, .batch = 0}, absl::ZeroDuration(), true},
                                  {"b", {.online = 0, .batch = 0}, absl::Milliseconds(200), false},
                                  {"c", {.online = 0, .batch = 0}, absl::ZeroDuration(), false}};
    for (std::size_t number = 0; number < cases.size(); ++number) {
        HostView view;
        view.table.put(upstream("first", "a"));
        view.table.put(upstream("second", cases[number].dataCentre));
        view.selector.setFarLoadAge(cases[number].farLoadAge);
        announceFromOtherHost(view, {{.upstream = upstreamKey("second"), .counts = cases[number].counts}});
        EXPECT_EQ(view.selector.chooseForHedge("modelo", {"first"}, start) != nullptr, cases[number].chosen) << number;
        EXPECT_EQ(view.selector.chooseForHedge("modelo", {"first"}, start, "v2"), nullptr) << number;
        for (int other = 0; other < 14; ++other) {
            view.load.addRequest("first", false);
        }
        EXPECT_EQ(view.selector.chooseForHedge("modelo", {"first"}, start) != nullptr, cases[number].chosen && cases[number].counts.total() == 0) << number;
        view.health.recordFull("second", start);
        EXPECT_EQ(view.selector.chooseForHedge("modelo", {"first"}, start), nullptr) << number;
        view.selector.setStartFilter([](const UpstreamInfo &, bool batch, absl::Time) { return !batch; });
        EXPECT_EQ(view.selector.chooseForHedge("modelo", {"second"}, start), nullptr) << "the rest of a stated limit is for first attempts";
    }
}

// Guards against batch requests that take the last free slot of an upstream, which is reserved for online requests.
TEST(UpstreamSelectorTest, batchLeavesASlotFree)
{
    HostView view;
    view.table.put(upstream("near", "a"));
    announceFromOtherHost(view, {{.upstream = upstreamKey("near"), .counts = {.online = 6, .batch = 0}}});
    EXPECT_NE(view.selector.chooseForBatch("modelo", BatchScope::All, start), nullptr);
    view.load.addRequest("near", true);
    EXPECT_EQ(view.selector.chooseForBatch("modelo", BatchScope::All, start), nullptr);
}

// Guards against batch requests in another data centre, whose host learns late that online requests need their slots.
TEST(UpstreamSelectorTest, batchStaysNearInALargeFleet)
{
    HostView view;
    view.table.put(upstream("near", "a"));
    view.table.put(upstream("far", "c"));
    view.selector.setFarLoadAge(absl::Milliseconds(200));
    for (int request = 0; request < 7; ++request) {
        EXPECT_EQ(view.selector.chooseForBatch("modelo", BatchScope::Near, start)->id, "near");
        view.load.addRequest("near", true);
    }
    EXPECT_EQ(view.selector.chooseForBatch("modelo", BatchScope::Near, start), nullptr);
    EXPECT_EQ(view.selector.chooseForBatch("modelo", BatchScope::All, start)->id, "far");
    view.table.remove("near", start);
    EXPECT_EQ(view.selector.chooseForBatch("modelo", BatchScope::Near, start)->id, "far");
}

// Guards against several hosts that each cancel a batch request when only one slot is missing.
TEST(UpstreamSelectorTest, eachHostPreemptsItsShare)
{
    HostView view;
    view.table.put(upstream("near", "a"));
    view.load.addRequest("near", true);
    announceFromOtherHost(view, {{.upstream = upstreamKey("near"), .counts = {.online = 5, .batch = 3}}});
    view.randomFraction = [] { return 0.2; };
    EXPECT_EQ(view.selector.batchToPreempt(*view.table.find("near"), start), 1);
    view.randomFraction = [] { return 0.3; };
    EXPECT_EQ(view.selector.batchToPreempt(*view.table.find("near"), start), 0);
}

/**
 * Seven hosts that share twelve upstreams of eight slots and know the load of the other hosts with a delay of up to 30 ms.
 * Batch requests fill the slots that online requests leave free, while the number of online requests jumps between 15 and 72
 * every three seconds.
 */
class SharedPool
{
public:
    static constexpr std::size_t hostCount = 7;
    static constexpr int upstreamCount = 12;
    static constexpr int slots = 8;

    SharedPool()
    {
        for (auto &host : this->hosts) {
            host = std::make_unique<HostView>();
            host->randomFraction = [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(this->random); };
            for (int index = 0; index < upstreamCount; ++index) {
                host->table.put(upstream("upstream-" + std::to_string(index), "a"));
            }
            host->load.setOwnBatchWaiting(1000);
        }
        this->exchangeLoads();
    }

    /** One round: online requests end and arrive, hosts cancel and start batch requests by the load they know, then announce theirs. */
    void round(int online)
    {
        this->now += roundTime;
        this->replaceOnline(online);
        ++this->rounds;
        for (std::size_t host = 0; host < hostCount; ++host) {
            if ((this->rounds + host) % batchPeriod != 0) {
                continue;
            }
            this->preemptBatch(host);
            const std::int64_t starts = this->hosts[host]->selector.batchToStart("modelo", this->now);
            for (std::int64_t start = 0; start < starts; ++start) {
                if (const UpstreamInfo *target = this->hosts[host]->selector.chooseForBatch("modelo", BatchScope::All, this->now)) {
                    this->hosts[host]->load.addRequest(target->id, true);
                }
            }
        }
        this->exchangeLoads();
    }

    [[nodiscard]] std::int64_t batch() const
    {
        return this->sum(&RequestCounts::batch);
    }

    /** Sum over all upstreams of the requests beyond their slots. */
    [[nodiscard]] std::int64_t excess() const
    {
        std::int64_t total = 0;
        for (int index = 0; index < upstreamCount; ++index) {
            std::int64_t here = 0;
            for (const auto &host : this->hosts) {
                here += host->load.own("upstream-" + std::to_string(index)).total();
            }
            total += std::max<std::int64_t>(0, here - slots);
        }
        return total;
    }

    std::int64_t preempted = 0;

private:
    static constexpr int roundsPerRequest = 24;
    static constexpr absl::Duration roundTime = absl::Milliseconds(30);
    /** Number of rounds from one decision of a host about its batch requests to the next. */
    static constexpr std::size_t batchPeriod = 4;

    struct OnlineRequest {
        std::size_t host;
        std::string upstream;
        absl::Time endsAt;
    };

    void exchangeLoads()
    {
        for (std::size_t from = 0; from < hostCount; ++from) {
            for (std::size_t to = 0; to < hostCount; ++to) {
                if (from != to) {
                    this->hosts[to]->load.applyAnnouncement("host-" + std::to_string(from), this->hosts[from]->load.nextAnnouncement(true), this->now);
                }
            }
        }
    }

    [[nodiscard]] std::int64_t sum(std::int64_t RequestCounts::*member) const
    {
        std::int64_t total = 0;
        for (const auto &host : this->hosts) {
            for (int index = 0; index < upstreamCount; ++index) {
                total += host->load.own("upstream-" + std::to_string(index)).*member;
            }
        }
        return total;
    }

    /** Ends the requests that have run for roundsPerRequest rounds, and starts as many as keep @p target of them running. */
    void replaceOnline(int target)
    {
        for (; !this->onlineRequests.empty() && this->onlineRequests.front().endsAt <= this->now; this->onlineRequests.pop_front()) {
            this->hosts[this->onlineRequests.front().host]->load.removeRequest(this->onlineRequests.front().upstream, false);
        }
        for (int arrival = 0; arrival < target / roundsPerRequest; ++arrival, ++this->nextHost) {
            HostView &host = *this->hosts[this->nextHost % hostCount];
            const UpstreamInfo *chosen = host.selector.chooseForOnline("modelo", {}, this->now);
            ASSERT_NE(chosen, nullptr);
            host.load.addRequest(chosen->id, false);
            this->onlineRequests.push_back({.host = this->nextHost % hostCount, .upstream = chosen->id, .endsAt = this->now + roundsPerRequest * roundTime});
        }
    }

    void preemptBatch(std::size_t host)
    {
        for (int index = 0; index < upstreamCount; ++index) {
            const UpstreamInfo *target = this->hosts[host]->table.find("upstream-" + std::to_string(index));
            const std::int64_t toPreempt = this->hosts[host]->selector.batchToPreempt(*target, this->now);
            for (std::int64_t taken = 0; taken < toPreempt; ++taken) {
                this->hosts[host]->load.removeRequest(target->id, true);
                ++this->preempted;
            }
        }
    }

    std::mt19937_64 random{7};
    std::array<std::unique_ptr<HostView>, hostCount> hosts;
    std::deque<OnlineRequest> onlineRequests;
    std::size_t nextHost = 0;
    std::size_t rounds = 0;
    absl::Time now = start;
};

// Guards against hosts that all react to the same free slots during short bursts of online requests. Batch requests would
// then be started and cancelled without end, and the upstreams would stay overloaded.
TEST(UpstreamSelectorTest, batchFillsFreeSlotsAndIsPreemptedOnceInABurst)
{
    SharedPool pool;
    for (int round = 0; round < 100; ++round) {
        pool.round(15);
    }
    // There are 96 slots: one is left free at each of the 12 upstreams, and 15 are taken by online requests.
    EXPECT_GE(pool.batch(), 60);
    EXPECT_LE(pool.excess(), 4);
    const std::int64_t before = pool.batch();
    pool.preempted = 0;
    for (int round = 0; round < 100; ++round) {
        pool.round(72);
    }
    EXPECT_LE(pool.excess(), 4);
    EXPECT_GE(pool.batch(), 8);
    // Only the slots that online requests need have to be freed; twice as many cancellations would be churn.
    EXPECT_LE(pool.preempted, 2 * (before - pool.batch()) + 10);
}

/** The hosts of one large data centre, which announce their loads to each other at an interval, and its upstreams. */
class LargeDataCentre
{
public:
    static constexpr int hosts = 42;
    static constexpr int upstreams = 27;
    static constexpr int slots = 7;
    static constexpr absl::Duration announcementPeriod = absl::Milliseconds(126);
    static constexpr absl::Duration requestTime = absl::Milliseconds(400);

    /** With @p farLoadAge 0 the hosts choose as in a small fleet, each the upstream with the lowest load that it knows. */
    explicit LargeDataCentre(absl::Duration farLoadAge)
    {
        for (int host = 0; host < hosts; ++host) {
            auto view = std::make_unique<HostView>();
            view->randomFraction = [this] { return std::uniform_real_distribution<double>(0, 1)(this->random); };
            view->selector.setFarLoadAge(farLoadAge);
            for (int number = 0; number < upstreams; ++number) {
                UpstreamInfo info = upstream("u" + std::to_string(number), "a");
                info.slots = slots;
                view->table.put(info);
            }
            this->views.push_back(std::move(view));
        }
    }

    /** Sends requests for a while; returns the share of them that found all slots of their upstream taken. */
    double shareOnFullUpstreams(double requestsPerSecond)
    {
        constexpr absl::Duration step = absl::Milliseconds(1);
        int sent = 0;
        int full = 0;
        for (absl::Time now = start; now < start + absl::Seconds(10); now += step) {
            this->endRequests(now);
            this->announce(now);
            if (std::uniform_real_distribution<double>(0, 1)(this->random) < requestsPerSecond * absl::ToDoubleSeconds(step)) {
                ++sent;
                full += this->startRequest(now) > slots ? 1 : 0;
            }
        }
        return static_cast<double>(full) / sent;
    }

private:
    struct Request {
        absl::Time end;
        std::size_t host = 0;
        std::string upstream;
    };

    int startRequest(absl::Time now)
    {
        const auto host = static_cast<std::size_t>(std::uniform_int_distribution<int>(0, hosts - 1)(this->random));
        const std::string id = this->views[host]->selector.chooseForOnline("modelo", {}, now)->id;
        this->views[host]->load.addRequest(id, false);
        this->requests.push_back({.end = now + requestTime, .host = host, .upstream = id});
        return ++this->running[id];
    }

    void endRequests(absl::Time now)
    {
        while (!this->requests.empty() && this->requests.front().end <= now) {
            --this->running[this->requests.front().upstream];
            this->views[this->requests.front().host]->load.removeRequest(this->requests.front().upstream, false);
            this->requests.pop_front();
        }
    }

    void announce(absl::Time now)
    {
        // Each host announces at another time within the period.
        const auto phase = absl::ToInt64Milliseconds((now - start) % announcementPeriod);
        for (std::size_t host = 0; host < hosts; ++host) {
            if (static_cast<std::int64_t>(host) * absl::ToInt64Milliseconds(announcementPeriod) / hosts != phase) {
                continue;
            }
            const LoadAnnouncement announcement = this->views[host]->load.nextAnnouncement(true);
            for (std::size_t other = 0; other < hosts; ++other) {
                if (other != host) {
                    this->views[other]->load.applyAnnouncement("host-" + std::to_string(host), announcement, now);
                }
            }
        }
    }

    std::mt19937 random{7};
    std::vector<std::unique_ptr<HostView>> views;
    std::map<std::string, int> running;
    std::deque<Request> requests;
};

double twoThirdsOfTheSlots()
{
    return 0.66 * LargeDataCentre::upstreams * LargeDataCentre::slots / absl::ToDoubleSeconds(LargeDataCentre::requestTime);
}

// Guards against requests that wait behind others while slots are free: at most 2% may find no free slot.
TEST(UpstreamSelectorTest, fewRequestsFindNoFreeSlotInALargeDataCentre)
{
    EXPECT_LT(LargeDataCentre(absl::Seconds(1)).shareOnFullUpstreams(twoThirdsOfTheSlots()), 0.02);
}

// Guards against many hosts that choose the same upstream from loads announced some time ago: with two thirds of the slots in use,
// requests queued at some upstreams while others were idle.
TEST(UpstreamSelectorTest, hostsOfALargeDataCentreSpreadTheirRequests)
{
    const double lowestKnownLoad = LargeDataCentre(absl::ZeroDuration()).shareOnFullUpstreams(twoThirdsOfTheSlots());
    EXPECT_LT(LargeDataCentre(absl::Seconds(1)).shareOnFullUpstreams(twoThirdsOfTheSlots()), lowestKnownLoad / 2);
}

} // namespace

} // namespace Bergamotramp
