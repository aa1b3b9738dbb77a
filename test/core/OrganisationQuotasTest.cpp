#include "OrganisationQuotas.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration livenessTimeout = absl::Seconds(3);
constexpr absl::Duration announcementPeriod = absl::Milliseconds(500);
constexpr absl::Duration tickPeriod = absl::Milliseconds(5);

/** Hosts with simulated time, whose messages take 1 ms within a region and 12 ms between two. */
class SimulatedFleet
{
public:
    explicit SimulatedFleet(std::vector<Organisation> organisations, int hostCount = 49) : organisations(std::move(organisations))
    {
        for (int number = 0; number < hostCount; ++number) {
            this->startHost(number);
        }
        this->run(absl::Seconds(3), 0, {});
        this->admitted.clear();
        this->longestWait = absl::ZeroDuration();
    }

    static std::string nameOf(int number)
    {
        return absl::StrCat("host-", number);
    }

    void startHost(int number)
    {
        Host &host = this->hosts[number];
        host.member = {.name = nameOf(number), .dataCentre = absl::StrCat("dc-", number % 6), .region = number % 2 == 0 ? "north" : "south"};
        host.heard.clear();
        host.nextAnnouncement = this->now;
        const auto sendTo = [this, number](const std::string &name, auto message) {
            const int receiver = std::stoi(name.substr(5));
            this->post(number, receiver, [this, number, receiver, message] {
                if (const auto &quotas = this->hosts.at(receiver).quotas) {
                    quotas->receive(nameOf(number), message, this->now);
                }
            });
        };
        host.quotas = std::make_unique<OrganisationQuotas>(host.member, this->now, this->random(), OrganisationQuotas::Hooks{.ask = sendTo, .answer = sendTo});
        host.quotas->setOrganisations(this->organisations, this->now);
    }

    void kill(int number)
    {
        this->hosts.at(number).quotas.reset();
    }

    void setFrozen(int number, bool frozen)
    {
        this->hosts.at(number).frozen = frozen;
    }

    void setOrganisations(std::vector<Organisation> changed)
    {
        this->organisations = std::move(changed);
        for (auto &[number, host] : this->hosts) {
            if (host.quotas) {
                host.quotas->setOrganisations(this->organisations, this->now);
            }
        }
    }

    /** Sends @p perSecond requests of the first organisation a second for @p duration, each to a random one of the hosts @p receivers. */
    void run(absl::Duration duration, double perSecond, const std::vector<int> &receivers)
    {
        const absl::Time end = this->now + duration;
        absl::Time nextRequest = perSecond > 0 ? this->now : absl::InfiniteFuture();
        for (; this->now < end; this->now += absl::Milliseconds(1)) {
            for (; nextRequest <= this->now; nextRequest += absl::Seconds(std::exponential_distribution<double>(perSecond)(this->random))) {
                this->request(receivers[this->random() % receivers.size()]);
            }
            while (!this->messages.empty() && this->messages.begin()->first <= this->now) {
                const auto deliver = std::move(this->messages.begin()->second);
                this->messages.erase(this->messages.begin());
                deliver();
            }
            this->tickHosts();
        }
    }

    /** The most requests that are beyond rate x window + burst in a window. */
    [[nodiscard]] double excess(const Organisation &organisation) const
    {
        double worst = -organisation.burst;
        for (const absl::Duration window : {absl::Milliseconds(200), absl::Seconds(1), absl::Seconds(5)}) {
            for (auto first = this->admitted.begin(); first != this->admitted.end(); ++first) {
                const auto end = std::lower_bound(first, this->admitted.end(), *first + window);
                const double allowed = (organisation.requestsPerSecond * absl::ToDoubleSeconds(window)) + organisation.burst;
                worst = std::max(worst, static_cast<double>(end - first) - allowed);
            }
        }
        return worst;
    }

    [[nodiscard]] OrganisationQuotas::Counts sum() const
    {
        OrganisationQuotas::Counts result;
        for (const auto &[number, host] : this->hosts) {
            result.queries += host.quotas ? host.quotas->counts().queries : 0;
        }
        return result;
    }

    std::vector<absl::Time> admitted;
    int refused = 0;
    /** The refusals of a single bucket that gets all requests. */
    int refusedByOneBucket = 0;
    int atOnce = 0;
    absl::Duration longestWait;
    absl::Duration longestRetryAfter;
    /** Hosts of one side of a cut. */
    std::vector<int> cutOff;
    absl::Time now = start;

private:
    struct Host {
        LimitMember member;
        std::unique_ptr<OrganisationQuotas> quotas;
        std::map<int, absl::Time> heard;
        absl::Time nextAnnouncement;
        bool frozen = false;
    };

    void post(int sender, int receiver, std::function<void()> deliver)
    {
        const auto isCutOff = [this](int number) { return std::ranges::find(this->cutOff, number) != this->cutOff.end(); };
        if (isCutOff(sender) == isCutOff(receiver) && !this->hosts.at(receiver).frozen) {
            this->messages.emplace(this->now + absl::Milliseconds(sender % 2 == receiver % 2 ? 1 : 12), std::move(deliver));
        }
    }

    void announce(int sender, int receiver)
    {
        this->post(sender, receiver, [this, sender, receiver] {
            Host &host = this->hosts.at(receiver);
            if (host.quotas && host.heard.insert_or_assign(sender, this->now).second && this->hosts.at(sender).heard.contains(receiver) == false) {
                this->announce(receiver, sender);
            }
        });
    }

    void tickHosts()
    {
        for (auto &[number, host] : this->hosts) {
            if (!host.quotas || host.frozen) {
                continue;
            }
            if (this->now >= host.nextAnnouncement) {
                host.nextAnnouncement = this->now + announcementPeriod;
                for (const auto &[other, unused] : this->hosts) {
                    if (other != number) {
                        this->announce(number, other);
                    }
                }
            }
            if ((this->now - start) % (10 * tickPeriod) == absl::ZeroDuration()) {
                std::vector<LimitMember> members{host.member};
                for (const auto &[other, heardAt] : host.heard) {
                    members.push_back(this->hosts.at(other).member);
                    members.back().live = this->now < heardAt + livenessTimeout;
                }
                host.quotas->setMembers(std::move(members), this->hosts.size() > 1, this->now);
            }
            if ((this->now - start) % tickPeriod == absl::ZeroDuration()) {
                host.quotas->tick(this->now);
            }
        }
    }

    void request(int receiver)
    {
        if (!this->hosts.at(receiver).quotas || this->hosts.at(receiver).frozen) {
            return;
        }
        this->refusedByOneBucket += this->oneBucket.grant(1, 0, this->now) == 0 ? 1 : 0;
        this->hosts.at(receiver).quotas->admit(this->organisations.front().name, this->now, [this, sent = this->now](const QuotaDecision &decision) {
            this->longestWait = std::max(this->longestWait, this->now - sent);
            if (decision.admitted) {
                this->admitted.push_back(this->now);
                this->atOnce += this->now == sent ? 1 : 0;
            } else {
                ++this->refused;
                this->longestRetryAfter = std::max(this->longestRetryAfter, decision.retryAfter);
            }
        });
    }

    std::vector<Organisation> organisations;
    QuotaBucket oneBucket{{.rate = this->organisations.front().requestsPerSecond, .capacity = this->organisations.front().burst}, start, start};
    std::map<int, Host> hosts;
    std::multimap<absl::Time, std::function<void()>> messages;
    std::mt19937 random{20260401};
};

std::vector<int> allHosts(int count = 49)
{
    std::vector<int> result;
    for (int number = 0; number < count; ++number) {
        result.push_back(number);
    }
    return result;
}

std::vector<int> holdersOf(const Organisation &organisation, int count = 49)
{
    std::vector<std::string> names;
    for (const int number : allHosts(count)) {
        names.push_back(SimulatedFleet::nameOf(number));
    }
    std::vector<int> result;
    for (const std::string &name : rendezvousFirst(organisation.name, names, QuotaTerms::of(organisation).holders)) {
        result.push_back(std::stoi(name.substr(5)));
    }
    return result;
}

Organisation quota(double rate, double burst)
{
    return {.name = "acme", .requestsPerSecond = rate, .burst = burst};
}

/** A burst below three tenths of a second of the rate may be exceeded by what is missing. */
double allowedExcess(const Organisation &organisation)
{
    return std::max(0.0, (0.3 * organisation.requestsPerSecond) - organisation.burst);
}

class QuotaSizeTest : public testing::TestWithParam<std::pair<double, double>>
{
protected:
    Organisation organisation = quota(GetParam().first, GetParam().second);
    double rate = GetParam().first;
};

INSTANTIATE_TEST_SUITE_P(Sizes, QuotaSizeTest, testing::Values(std::pair(1.5, 4.0), std::pair(8.0, 8.0), std::pair(160.0, 200.0), std::pair(160.0, 20.0)));

// Guards against hosts that together exceed the quota, and against refusals below nine tenths of it when few hosts get the requests.
TEST_P(QuotaSizeTest, hotOrganisationGetsItsQuotaAtFewHosts)
{
    SimulatedFleet fleet({this->organisation});
    fleet.run(absl::Seconds(30), this->rate * 5, {3, 17, 40});
    EXPECT_LE(fleet.excess(this->organisation), allowedExcess(this->organisation));
    EXPECT_GE(static_cast<double>(fleet.admitted.size()), 0.9 * this->rate * 30);
    EXPECT_LE(fleet.longestWait, OrganisationQuotas::maxWait + tickPeriod);
    EXPECT_LE(fleet.longestRetryAfter, OrganisationQuotas::maxRetryAfter);
}

// Guards against tokens that are lost or used twice when the requests move to other hosts.
TEST_P(QuotaSizeTest, quotaFollowsMovingRequests)
{
    SimulatedFleet fleet({this->organisation});
    for (int round = 0; round < 12; ++round) {
        fleet.run(absl::Seconds(2.5), this->rate * 1.5, {round, round + 13, round + 28});
    }
    EXPECT_LE(fleet.excess(this->organisation), allowedExcess(this->organisation));
    EXPECT_GE(static_cast<double>(fleet.admitted.size()), 0.9 * this->rate * 30);
}

// Guards against refusals of an organisation whose load stays below its quota but for waves.
TEST_P(QuotaSizeTest, wavesOfTheUsualLoadAreServed)
{
    SimulatedFleet fleet({this->organisation});
    for (int wave = 0; wave < 10; ++wave) {
        fleet.run(absl::Seconds(1.4), this->rate / 1.6 * 0.38, allHosts());
        fleet.run(absl::Seconds(1.4), this->rate / 1.6 * 1.87, allHosts());
    }
    EXPECT_LE(fleet.excess(this->organisation), allowedExcess(this->organisation));
    EXPECT_LE(fleet.refused, fleet.refusedByOneBucket + static_cast<int>(fleet.admitted.size()) / 10);
}

// Guards against more than the quota, and against refusals for long, when holders are lost, restart at once or come back later.
TEST_P(QuotaSizeTest, lostHoldersKeepTheBound)
{
    SimulatedFleet fleet({this->organisation});
    const std::vector<int> holders = holdersOf(this->organisation);
    for (const double down : {0.7, 8.0}) {
        for (const int holder : holders) {
            fleet.run(absl::Seconds(1), this->rate * 8, allHosts());
            fleet.kill(holder);
            fleet.run(absl::Seconds(down), this->rate * 8, allHosts());
            fleet.startHost(holder);
        }
        fleet.run(absl::Seconds(6), this->rate * 8, allHosts());
    }
    EXPECT_LE(fleet.excess(this->organisation), allowedExcess(this->organisation));
}

// Guards against both sides of a cut that use the whole quota, and against more than the quota when they meet again.
TEST_P(QuotaSizeTest, hostsThatAreCutOffKeepTheBound)
{
    SimulatedFleet fleet({this->organisation});
    fleet.cutOff = {holdersOf(this->organisation)[0], 1, 3, 5, 7, 9, 11, 13, 15, 17, 19, 21, 23};
    fleet.run(absl::Seconds(20), this->rate * 8, allHosts());
    fleet.cutOff.clear();
    fleet.run(absl::Seconds(10), this->rate * 8, allHosts());
    EXPECT_LE(fleet.excess(this->organisation), allowedExcess(this->organisation));
}

// Guards against a holder that was suspended and grants what it has saved meanwhile, although another one has granted it.
TEST_P(QuotaSizeTest, suspendedHoldersKeepTheBound)
{
    SimulatedFleet fleet({this->organisation});
    const std::vector<int> holders = holdersOf(this->organisation);
    for (const bool frozen : {true, false, true, false}) {
        for (const int holder : holders) {
            fleet.setFrozen(holder, frozen);
        }
        fleet.run(absl::Seconds(8), this->rate * 8, allHosts());
    }
    EXPECT_LE(fleet.excess(this->organisation), allowedExcess(this->organisation));
}

// Guards against new hosts that grant tokens while the former holders still do.
TEST_P(QuotaSizeTest, hostsThatJoinKeepTheBound)
{
    SimulatedFleet fleet({this->organisation}, 20);
    for (int number = 20; number < 49; ++number) {
        fleet.run(absl::Seconds(0.5), this->rate * 8, allHosts(number));
        fleet.startHost(number);
    }
    fleet.run(absl::Seconds(6), this->rate * 8, allHosts());
    EXPECT_LE(fleet.excess(this->organisation), allowedExcess(this->organisation));
}

// Guards against a start of all hosts in which each takes itself for the whole fleet, or in which callers are refused for seconds.
TEST_P(QuotaSizeTest, allHostsStartAtOnce)
{
    SimulatedFleet fleet({this->organisation});
    fleet.run(absl::Seconds(5), this->rate * 8, allHosts());
    for (const int number : allHosts()) {
        fleet.kill(number);
    }
    fleet.run(absl::Milliseconds(700), 0, {});
    for (const int number : allHosts()) {
        fleet.startHost(number);
    }
    const std::size_t before = fleet.admitted.size();
    fleet.run(absl::Seconds(2), this->rate * 8, allHosts());
    EXPECT_GE(static_cast<double>(fleet.admitted.size() - before), std::floor(this->rate * 1.5));
    fleet.run(absl::Seconds(6), this->rate * 8, allHosts());
    EXPECT_LE(fleet.excess(this->organisation), allowedExcess(this->organisation));
}

// Guards against a lowered quota that takes effect late.
TEST_P(QuotaSizeTest, loweredQuotaHoldsAfterOneWindow)
{
    SimulatedFleet fleet({this->organisation});
    fleet.run(absl::Seconds(5), this->rate * 8, allHosts());
    const Organisation lowered = quota(this->rate / 2, this->organisation.burst / 2);
    fleet.setOrganisations({lowered});
    fleet.run(QuotaTerms::maxTokenLifetime, this->rate * 8, allHosts());
    fleet.admitted.clear();
    fleet.run(absl::Seconds(8), this->rate * 8, allHosts());
    EXPECT_LE(fleet.excess(lowered), allowedExcess(lowered));
}

// Guards against requests that wait for a token although their number is foreseeable.
TEST(OrganisationQuotasTest, busyHostsHaveTokensInHand)
{
    SimulatedFleet fleet({quota(160, 200)});
    fleet.run(absl::Seconds(10), 100, allHosts(8));
    EXPECT_GE(fleet.atOnce, static_cast<int>(fleet.admitted.size()) * 9 / 10);
}

// Guards against messages without bound for an organisation far beyond its quota.
TEST(OrganisationQuotasTest, queriesAreBoundedByTheQuota)
{
    SimulatedFleet fleet({quota(100, 100)});
    const std::uint64_t before = fleet.sum().queries;
    fleet.run(absl::Seconds(10), 6'000, allHosts());
    EXPECT_LE(fleet.sum().queries - before, 10 * 600);
}

} // namespace

} // namespace Bergamotramp
