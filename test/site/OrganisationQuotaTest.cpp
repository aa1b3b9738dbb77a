#include "SiteFleet.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "QuotaTerms.h"
#include "RendezvousHash.h"

namespace Bergamotramp {

namespace {

constexpr double rate = 8;
constexpr double burst = 8;
constexpr absl::Duration window = absl::Seconds(4);

class OrganisationQuotaTest : public SiteFleet
{
protected:
    void start(int hostCount)
    {
        this->organisations = {{{"name", "acme"}, {"apiKeys", {"key-a"}}, {"ratePerS", rate}, {"burst", burst}}, {{"name", "free"}, {"apiKeys", {"key-f"}}}};
        this->writeConfig(1);
        for (int number = 0; number < 3; ++number) {
            this->addUpstream("plain", 0);
        }
        this->startHosts(hostCount);
    }

    /** Sends @p perSecond requests a second for @p duration, to the hosts of @p receivers in turn. */
    void sendRequests(const std::string &key, double perSecond, absl::Duration duration, const std::vector<std::size_t> &receivers)
    {
        const absl::Time end = absl::Now() + duration;
        while (absl::Now() < end) {
            const std::size_t number = this->sentCount++;
            const RunningHost &host = *this->hosts[receivers[number % receivers.size()]];
            if (host.host != nullptr) {
                this->send(host, "POST", "/plain/x", {{"X-Request-Id", absl::StrCat("id-", number)}, {"X-Deadline-Ms", "5000"}, {"Api-Key", key}}, "x");
            }
            runFor(this->loop, absl::Seconds(1) / perSecond);
        }
    }

    [[nodiscard]] std::vector<absl::Time> arrivals() const
    {
        std::vector<absl::Time> result;
        for (const auto &upstream : this->upstreams) {
            result.insert(result.end(), upstream->arrivals().begin(), upstream->arrivals().end());
        }
        std::ranges::sort(result);
        return result;
    }

    [[nodiscard]] std::size_t mostWithinWindow() const
    {
        const std::vector<absl::Time> all = this->arrivals();
        std::size_t most = 0;
        for (auto first = all.begin(); first != all.end(); ++first) {
            most = std::max(most, static_cast<std::size_t>(std::upper_bound(first, all.end(), *first + window) - first));
        }
        return most;
    }

    std::size_t sentCount = 0;
};

// Guards against hosts that exceed a quota together, and against refusals without a time at which a token is expected.
TEST_F(OrganisationQuotaTest, fleetKeepsTheQuotaWhenFewHostsGetTheRequests)
{
    this->start(4);
    this->sendRequests("key-a", 50, absl::Seconds(8), {0, 0, 0, 2});
    EXPECT_LE(this->mostWithinWindow(), rate * absl::ToDoubleSeconds(window) + burst);
    EXPECT_GE(this->arrivals().size(), rate * 8 / 2);
    std::size_t refused = 0;
    for (const auto &answer : this->answers) {
        if (this->wait(answer).head.status != 429) {
            EXPECT_EQ(answer->head.status, 200);
            continue;
        }
        ++refused;
        double retryAfter = 0;
        EXPECT_TRUE(absl::SimpleAtod(std::string(answer->head.fields.find("Retry-After").value_or("")), &retryAfter));
        EXPECT_GT(retryAfter, 0);
        EXPECT_LE(retryAfter, 5);
        EXPECT_NE(answer->body.find("not_run"), std::string::npos);
    }
    EXPECT_GT(refused, 0U);
}

// Guards against a quota that is exceeded or remains unusable after the loss of a holder.
TEST_F(OrganisationQuotaTest, quotaRemainsUsableWithoutAKilledHolder)
{
    this->start(4);
    const std::string holder = rendezvousPick("acme", {"host-0", "host-1", "host-2", "host-3"});
    const std::size_t lost = static_cast<std::size_t>(holder.back() - '0');
    this->sendRequests("key-a", 40, absl::Seconds(2), {0, 1, 2, 3});
    this->crashHost(*this->hosts[lost]);
    this->sendRequests("key-a", 40, absl::Seconds(6), {0, 1, 2, 3});
    const std::size_t before = this->arrivals().size();
    this->sendRequests("key-a", 40, absl::Seconds(4), {0, 1, 2, 3});
    EXPECT_LE(this->mostWithinWindow(), rate * absl::ToDoubleSeconds(window) + burst);
    EXPECT_GE(this->arrivals().size() - before, rate * 4 / 2);
}

// Guards against refusals of an organisation without a quota.
TEST_F(OrganisationQuotaTest, organisationWithoutAQuotaIsNotLimited)
{
    this->start(2);
    this->sendRequests("key-f", 40, absl::Seconds(2), {0, 1});
    for (const auto &answer : this->answers) {
        EXPECT_EQ(this->wait(answer).head.status, 200);
    }
}

} // namespace

} // namespace Bergamotramp
