#include "ConfigFreshness.h"

#include <algorithm>
#include <memory>
#include <random>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration bound = absl::Seconds(5);

/** Hosts, a store and the datagrams between them, in simulated time. */
class FreshnessFleet
{
public:
    struct Host {
        ConfigViewHost place;
        std::string dataCentre;
        std::string region;
        std::optional<std::size_t> watcherRank;
        /** The clocks of the hosts have nothing in common, as after steps of their clocks. */
        absl::Duration clockOffset;
        std::unique_ptr<ConfigFreshness> freshness;
        bool reachesStore = true;
        bool reachesHosts = true;
        bool frozen = false;
        /** What has arrived while the host was frozen. */
        std::vector<std::function<void()>> inbox;
    };

    /** Hosts spread evenly over the data centres, of which each third is in the same region. */
    FreshnessFleet(int count, int dataCentres)
    {
        for (int number = 0; number < count; ++number) {
            const int dataCentre = number % dataCentres;
            Host host;
            host.place = {.name = absl::StrCat("host-", number), .distance = PeerDistance::Near, .watchesStore = number / dataCentres < 2};
            if (host.place.watchesStore) {
                host.watcherRank = static_cast<std::size_t>(number / dataCentres);
            }
            host.dataCentre = absl::StrCat("dc-", dataCentre);
            host.region = absl::StrCat("region-", dataCentre / 3);
            host.clockOffset = absl::Hours(number * (number % 2 == 0 ? 1 : -1));
            this->hosts.push_back(std::move(host));
            this->restart(number);
        }
    }

    void restart(int number)
    {
        Host &host = this->hosts[static_cast<std::size_t>(number)];
        host.freshness = std::make_unique<ConfigFreshness>(bound, this->random(), this->clockOf(host), [this] { return this->fraction(); });
        host.freshness->recordVersion(this->storeRevision);
    }

    [[nodiscard]] absl::Time clockOf(const Host &host) const
    {
        return this->now + host.clockOffset;
    }

    [[nodiscard]] bool serves(const Host &host) const
    {
        return !host.frozen && host.freshness->mayServeKeyed(this->clockOf(host));
    }

    double fraction()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    void run(absl::Duration duration)
    {
        for (const absl::Time end = this->now + duration; this->now < end; this->now += absl::Milliseconds(5)) {
            const auto due = std::stable_partition(this->messages.begin(), this->messages.end(), [this](const auto &each) { return each.first > this->now; });
            const std::vector<std::pair<absl::Time, std::function<void()>>> delivered(due, this->messages.end());
            this->messages.erase(due, this->messages.end());
            for (const auto &message : delivered) {
                message.second();
            }
            for (std::size_t number = 0; number < this->hosts.size(); ++number) {
                // Each host has a tick of 40 ms.
                if ((absl::ToUnixMillis(this->now) / 5 + static_cast<std::int64_t>(number)) % 8 == 0 && !this->hosts[number].frozen) {
                    this->tick(this->hosts[number]);
                }
            }
            for (const Host &host : this->hosts) {
                if (host.frozen) {
                    continue;
                }
                this->worstAge = std::max(this->worstAge, host.freshness->age(this->clockOf(host)));
                this->expectRevocationHolds(host);
            }
            this->worstServing = std::min(this->worstServing, this->serving());
        }
    }

    /** A version that revokes a key. Hosts that the store serves and that watch it see it after some milliseconds. */
    void revoke()
    {
        ++this->storeRevision;
        this->revokedAt = this->now;
    }

    [[nodiscard]] int serving() const
    {
        return static_cast<int>(std::ranges::count_if(this->hosts, [this](const Host &host) { return this->serves(host); }));
    }

    std::vector<Host> hosts;
    absl::Time now = start;
    bool storeAnswers = true;
    absl::Duration storeDelay = absl::Milliseconds(4);
    absl::Duration worstAge = absl::ZeroDuration();
    int worstServing = 0;
    int storeCalls = 0;
    int queries = 0;
    std::map<std::string, int> queriesTo;

private:
    void tick(Host &host)
    {
        if (host.freshness->queryDue(this->clockOf(host))) {
            if (const auto query = host.freshness->nextQuery(this->placesSeenBy(host), this->clockOf(host))) {
                this->sendQuery(host, *query);
            }
        }
        if (host.freshness->storeQueryDue(host.watcherRank, this->clockOf(host))) {
            this->queryStore(host);
        }
    }

    std::vector<ConfigViewHost> placesSeenBy(const Host &host)
    {
        std::vector<ConfigViewHost> result;
        for (const Host &other : this->hosts) {
            if (other.place.name != host.place.name) {
                result.push_back(other.place);
                const PeerDistance remote = other.region == host.region ? PeerDistance::SameRegion : PeerDistance::OtherRegion;
                result.back().distance = other.dataCentre == host.dataCentre ? PeerDistance::Near : remote;
            }
        }
        return result;
    }

    void sendQuery(Host &host, const ConfigViewQuery &query)
    {
        ++this->queries;
        ++this->queriesTo[query.host];
        Host &asked = *std::ranges::find(this->hosts, query.host, [](const Host &each) { return each.place.name; });
        const absl::Duration latency = host.region == asked.region ? absl::Milliseconds(1) : absl::Milliseconds(12);
        this->send(host, asked, latency, [this, &host, &asked, latency, number = query.number] {
            // Rounded up to whole milliseconds on the wire.
            ConfigView view = asked.freshness->view(this->clockOf(asked));
            if (view.age) {
                view.age = absl::Ceil(*view.age, absl::Milliseconds(1));
            }
            this->send(asked, host, latency, [this, &host, &asked, number, view] {
                host.freshness->receive(asked.place.name, number, view, this->clockOf(host));
                if (view.revision > host.freshness->revision()) {
                    this->send(asked, host, absl::Milliseconds(50), [&host, revision = view.revision] { host.freshness->recordVersion(revision); });
                }
            });
        });
    }

    void send(const Host &from, Host &to, absl::Duration latency, const std::function<void()> &arrive)
    {
        if (from.reachesHosts && to.reachesHosts) {
            this->messages.emplace_back(this->now + latency, [&to, arrive] { to.frozen ? to.inbox.push_back(arrive) : arrive(); });
        }
    }

    void queryStore(Host &host)
    {
        ++this->storeCalls;
        host.freshness->recordStoreQuery(this->clockOf(host));
        const bool answered = this->storeAnswers && host.reachesStore;
        const auto end = [this, &host, askedAt = this->clockOf(host), answered, revision = this->storeRevision] {
            if (answered) {
                host.freshness->recordVersion(revision);
                host.freshness->confirmByStore(askedAt);
            }
            host.freshness->recordStoreQueryEnd(answered, this->clockOf(host));
        };
        const absl::Duration delay = answered ? this->storeDelay : absl::Milliseconds(1500);
        this->messages.emplace_back(this->now + delay, [&host, end] { host.frozen ? host.inbox.push_back(end) : end(); });
    }

    void expectRevocationHolds(const Host &host) const
    {
        if (this->now > this->revokedAt + bound && host.freshness->revision() < this->storeRevision) {
            EXPECT_FALSE(this->serves(host)) << host.place.name << " at " << this->now;
        }
    }

    std::mt19937_64 random{20260401};
    std::uint64_t storeRevision = 1;
    absl::Time revokedAt = absl::InfiniteFuture();
    std::vector<std::pair<absl::Time, std::function<void()>>> messages;
};

ConfigFreshness freshnessOf(std::uint64_t firstNumber = 100)
{
    ConfigFreshness freshness(bound, firstNumber, start, [] { return 0.5; });
    freshness.recordVersion(1);
    return freshness;
}

const std::vector<ConfigViewHost> oneHost{{.name = "other", .distance = PeerDistance::Near, .watchesStore = true}};

// Guards against a view that counts from the arrival of an answer: a version may have been acknowledged while the answer was on its way,
// also for hours if the machine was suspended.
TEST(ConfigFreshnessTest, viewCountsFromTheBeginningOfTheQuery)
{
    ConfigFreshness freshness = freshnessOf();
    EXPECT_FALSE(freshness.mayServeKeyed(start));
    const auto query = freshness.nextQuery(oneHost, start);
    const absl::Time arrival = start + absl::Milliseconds(700);
    ASSERT_TRUE(freshness.receive("other", query->number, {.revision = 1, .age = absl::Milliseconds(300)}, arrival));
    EXPECT_EQ(freshness.age(arrival), absl::Seconds(1));
    EXPECT_TRUE(freshness.mayServeKeyed(start - absl::Milliseconds(300) + freshness.usableAge() - absl::Milliseconds(1)));
    EXPECT_FALSE(freshness.mayServeKeyed(start - absl::Milliseconds(300) + freshness.usableAge()));
    EXPECT_LT(freshness.usableAge(), bound);
    freshness.confirmByStore(start - absl::Hours(1));
    EXPECT_EQ(freshness.age(arrival), absl::Seconds(1));
}

// Guards against a host that passes a view on as if it were younger.
TEST(ConfigFreshnessTest, passedOnViewKeepsItsAge)
{
    ConfigFreshness freshness = freshnessOf();
    freshness.confirm(start, absl::Milliseconds(400), 1);
    EXPECT_EQ(freshness.view(start + absl::Seconds(1)), (ConfigView{.revision = 1, .age = absl::Milliseconds(1400)}));
    EXPECT_EQ(freshnessOf().view(start).age, std::nullopt);
}

// Guards against a confirmation that counts although this host has not got the version that it is about.
TEST(ConfigFreshnessTest, confirmationWaitsForItsRevision)
{
    ConfigFreshness freshness = freshnessOf();
    freshness.confirm(start, absl::ZeroDuration(), 7);
    freshness.confirm(start + absl::Seconds(1), absl::ZeroDuration(), 9);
    EXPECT_FALSE(freshness.mayServeKeyed(start));
    freshness.recordVersion(8);
    EXPECT_EQ(freshness.age(start + absl::Seconds(2)), absl::Seconds(2));
    freshness.recordVersion(9);
    EXPECT_EQ(freshness.age(start + absl::Seconds(2)), absl::Seconds(1));
}

// Guards against repeated answers about a version that is still being fetched, which push out the confirmation of the version before it.
TEST(ConfigFreshnessTest, repeatedAnswersAboutOneRevisionCountOnce)
{
    ConfigFreshness freshness(bound, 1, start, [] { return 0.5; });
    freshness.recordVersion(1);
    freshness.confirm(start, absl::ZeroDuration(), 2);
    for (int answer = 1; answer <= 20; ++answer) {
        freshness.confirm(start + answer * absl::Milliseconds(10), absl::ZeroDuration(), 3);
    }
    freshness.recordVersion(2);
    EXPECT_EQ(freshness.age(start + absl::Seconds(1)), absl::Seconds(1));
    freshness.recordVersion(3);
    EXPECT_EQ(freshness.age(start + absl::Seconds(1)), absl::Milliseconds(800));
}

// Guards against answers that arrive twice, from another host, too late or after a restart, and confirm a later query.
TEST(ConfigFreshnessTest, answerMatchesOneQuery)
{
    ConfigFreshness freshness = freshnessOf();
    const auto first = freshness.nextQuery(oneHost, start);
    const ConfigView view{.revision = 1, .age = absl::Milliseconds(1)};
    EXPECT_FALSE(freshness.receive("stranger", first->number, view, start));
    EXPECT_TRUE(freshness.receive("other", first->number, view, start));
    EXPECT_FALSE(freshness.receive("other", first->number, view, start));
    const absl::Time later = start + absl::Seconds(4);
    const auto second = freshness.nextQuery(oneHost, later);
    ASSERT_NE(second->number, first->number);
    EXPECT_FALSE(freshness.receive("other", first->number, view, later));
    EXPECT_EQ(freshness.age(later), absl::Seconds(4) + absl::Milliseconds(1));

    ASSERT_TRUE(freshness.nextQuery(oneHost, later + bound).has_value());
    EXPECT_FALSE(freshness.receive("other", second->number, view, later + bound));

    ConfigFreshness restarted = freshnessOf(500);
    ASSERT_TRUE(restarted.nextQuery(oneHost, later).has_value());
    EXPECT_FALSE(restarted.receive("other", second->number, view, later));
    EXPECT_FALSE(restarted.mayServeKeyed(later));
}

// Guards against queries that all go to one host that does not answer, and against an order that ignores the data centres.
TEST(ConfigFreshnessTest, nearHostsAreQueriedFirstAndSilentOnesLater)
{
    const std::vector<ConfigViewHost> hosts{{.name = "far", .distance = PeerDistance::OtherRegion, .watchesStore = true},
                                            {.name = "region", .distance = PeerDistance::SameRegion, .watchesStore = true},
                                            {.name = "near", .distance = PeerDistance::Near, .watchesStore = false},
                                            {.name = "relay", .distance = PeerDistance::Near, .watchesStore = true}};
    ConfigFreshness freshness = freshnessOf();
    std::vector<std::string> order;
    for (absl::Time now = start; order.size() < hosts.size(); now += absl::Milliseconds(10)) {
        if (const auto query = freshness.nextQuery(hosts, now)) {
            order.push_back(query->host);
        }
    }
    EXPECT_EQ(order, (std::vector<std::string>{"relay", "near", "region", "far"}));
}

// Guards against hosts that query the store although others do so for them, and against hosts that all do so at the same time.
TEST(ConfigFreshnessTest, hostsQueryTheStoreOneAfterTheOther)
{
    double fraction = 0.0;
    ConfigFreshness freshness(bound, 1, start, [&fraction] { return fraction; });
    freshness.confirmByStore(start);
    EXPECT_FALSE(freshness.storeQueryDue(0, start + 0.19 * bound));
    EXPECT_TRUE(freshness.storeQueryDue(0, start + 0.21 * bound));
    EXPECT_FALSE(freshness.storeQueryDue(1, start + 0.35 * bound));
    EXPECT_TRUE(freshness.storeQueryDue(1, start + 0.37 * bound));
    EXPECT_FALSE(freshness.storeQueryDue(2, start + 0.49 * bound));
    EXPECT_FALSE(freshness.storeQueryDue(std::nullopt, start + 0.49 * bound));
    EXPECT_TRUE(freshness.storeQueryDue(std::nullopt, start + 0.51 * bound));
    fraction = 1.0;
    freshness.recordStoreQuery(start);
    EXPECT_FALSE(freshness.storeQueryDue(0, start + 0.7 * bound));
    freshness.recordStoreQueryEnd(true, start);
    EXPECT_FALSE(freshness.storeQueryDue(std::nullopt, start + 0.79 * bound));
    EXPECT_TRUE(freshness.storeQueryDue(std::nullopt, start + 0.81 * bound));
}

// Guards against a fleet that refuses requests in calm, and against one whose calls to the store grow with the number of hosts.
TEST(ConfigFreshnessFleetTest, calmFleetStaysFreshWithFewCalls)
{
    for (const auto &[count, dataCentres] : {std::pair{49, 6}, std::pair{400, 11}}) {
        FreshnessFleet fleet(count, dataCentres);
        fleet.run(absl::Seconds(3));
        fleet.worstAge = absl::ZeroDuration();
        fleet.storeCalls = fleet.queries = 0;
        fleet.queriesTo.clear();
        constexpr int seconds = 10;
        fleet.run(absl::Seconds(seconds));
        const int mostQueried = std::ranges::max_element(fleet.queriesTo, {}, [](const auto &entry) { return entry.second; })->second;
        std::cout << count << " hosts: worst age " << fleet.worstAge << ", store calls a second " << fleet.storeCalls / 10.0 << ", queries a second and host "
                  << fleet.queries / 10.0 / count << ", to one host " << mostQueried / 10.0 << "\n";
        // From half of the bound on, hosts that do not watch the store would query it.
        EXPECT_LT(fleet.worstAge, 0.5 * bound);
        EXPECT_LE(fleet.storeCalls, dataCentres * seconds);
        EXPECT_LE(fleet.queries, 3 * count * seconds);
        EXPECT_LE(mostQueried, 60 * seconds);
    }
}

// Guards against requests with revoked keys during an outage of the store, against a flood of calls to it, and against a fleet that
// does not recover afterwards.
TEST(ConfigFreshnessFleetTest, outageOfTheStoreEndsService)
{
    FreshnessFleet fleet(49, 6);
    fleet.run(absl::Seconds(3));
    EXPECT_EQ(fleet.serving(), 49);
    fleet.storeAnswers = false;
    fleet.revoke();
    fleet.run(bound);
    EXPECT_EQ(fleet.serving(), 0);
    fleet.storeCalls = fleet.queries = 0;
    fleet.run(absl::Seconds(10));
    EXPECT_LT(fleet.storeCalls, 49 * 10 / 2);
    EXPECT_LT(fleet.queries, 49 * 10 * 4);
    fleet.storeAnswers = true;
    fleet.run(absl::Seconds(5));
    EXPECT_EQ(fleet.serving(), 49);
}

// Guards against refusals while the store is slow, and against a view that is younger than the slow answers allow.
TEST(ConfigFreshnessFleetTest, slowStoreSuffices)
{
    FreshnessFleet fleet(49, 6);
    fleet.storeDelay = absl::Milliseconds(600);
    fleet.run(absl::Seconds(5));
    fleet.worstAge = absl::ZeroDuration();
    fleet.revoke();
    fleet.run(absl::Seconds(10));
    EXPECT_LT(fleet.worstAge, bound * 0.9);
    EXPECT_GT(fleet.worstAge, absl::Milliseconds(600));
}

// Guards against hosts that the store rejects and that go on with a revoked key: they have to learn of the version from others, or refuse.
TEST(ConfigFreshnessFleetTest, rejectedHostsLearnFromOthers)
{
    FreshnessFleet fleet(49, 6);
    fleet.run(absl::Seconds(3));
    // The store rejects all hosts of one data centre. One further host reaches neither the store nor other hosts.
    for (auto &host : fleet.hosts) {
        host.reachesStore = host.dataCentre != "dc-1";
    }
    fleet.hosts[8].reachesStore = fleet.hosts[8].reachesHosts = false;
    fleet.revoke();
    fleet.run(absl::Seconds(15));
    EXPECT_EQ(fleet.serving(), 48);
    EXPECT_FALSE(fleet.serves(fleet.hosts[8]));
}

// Guards against hosts that refuse because those that they query have died.
TEST(ConfigFreshnessFleetTest, hostsGoOnWithoutTheirRelays)
{
    FreshnessFleet fleet(49, 6);
    fleet.run(absl::Seconds(3));
    for (int number = 0; number < 12; ++number) {
        fleet.hosts[static_cast<std::size_t>(number)].frozen = true;
    }
    fleet.worstServing = 49;
    fleet.run(absl::Seconds(15));
    EXPECT_EQ(fleet.serving(), 37);
    EXPECT_EQ(fleet.worstServing, 37);
}

// Guards against a host that cannot reach other hosts and does not query the store itself.
TEST(ConfigFreshnessFleetTest, hostWithoutOtherHostsQueriesTheStore)
{
    FreshnessFleet fleet(49, 6);
    fleet.run(absl::Seconds(3));
    fleet.hosts[30].reachesHosts = false;
    fleet.worstServing = 49;
    fleet.run(absl::Seconds(15));
    EXPECT_EQ(fleet.worstServing, 49);
}

// Guards against a host that was frozen for longer than the bound and serves what waited, on the strength of what waited too.
TEST(ConfigFreshnessFleetTest, thawedHostConfirmsItsViewFirst)
{
    FreshnessFleet fleet(49, 6);
    for (int number = 20; number < 49; ++number) {
        fleet.run(absl::Milliseconds(90));
        auto &host = fleet.hosts[static_cast<std::size_t>(number)];
        host.frozen = true;
    }
    fleet.revoke();
    fleet.run(bound + absl::Milliseconds(10));
    for (int number = 20; number < 49; ++number) {
        auto &host = fleet.hosts[static_cast<std::size_t>(number)];
        host.frozen = false;
        for (const auto &arrive : std::exchange(host.inbox, {})) {
            arrive();
            EXPECT_FALSE(fleet.serves(host));
        }
    }
    fleet.run(absl::Seconds(2));
    EXPECT_EQ(fleet.serving(), 49);
}

// Guards against a restarted host that serves before its view is confirmed, or does not get one soon.
TEST(ConfigFreshnessFleetTest, restartedHostIsConfirmedSoon)
{
    FreshnessFleet fleet(49, 6);
    fleet.run(absl::Seconds(3));
    fleet.restart(40);
    EXPECT_EQ(fleet.serving(), 48);
    fleet.run(absl::Milliseconds(200));
    EXPECT_EQ(fleet.serving(), 49);
}

} // namespace

} // namespace Bergamotramp
