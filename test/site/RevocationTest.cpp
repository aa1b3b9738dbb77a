#include <algorithm>

#include <absl/strings/str_cat.h>

#include "FaultProxy.h"
#include "RawClient.h"
#include "SiteFleet.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration bound = absl::Seconds(2);
constexpr const char *keptKey = "kept-key";
constexpr const char *revokedKey = "revoked-key";

/** Hosts with a bound on the time that a revocation takes. */
class RevocationTest : public SiteFleet
{
protected:
    RevocationTest()
    {
        this->revocationBound = bound;
        this->addUpstream("plain", 0);
        this->writeConfig(1);
        this->writeKeys({keptKey, revokedKey});
    }

    /** Writes a version with one organisation; requests below /once/ need no key. */
    void writeKeys(const std::vector<std::string> &keys)
    {
        nlohmann::json spec = this->store.read("config", "main").at("spec");
        spec["version"] = spec.at("version").get<int>() + 1;
        spec["tenants"] = nlohmann::json::array({{{"name", "acme"}, {"apiKeys", keys}}});
        for (nlohmann::json &route : spec["routes"]) {
            route["public"] = route.at("name") == "once";
        }
        this->store.write("config", "main", spec);
    }

    int statusOf(const RunningHost &host, const std::string &path, const std::string &key)
    {
        HttpFields fields{{"X-Request-Id", absl::StrCat("request-", ++this->requests)}, {"X-Deadline-Ms", "5000"}};
        if (!key.empty()) {
            fields.add("Api-Key", key);
        }
        this->last = this->send(host, "POST", path, fields, "prompt");
        return this->wait(this->last).head.status;
    }

    int jobReadStatus(const RunningHost &host)
    {
        return this->wait(this->send(host, "GET", "/bergamotramp/lots/none?after=0", {{"Api-Key", keptKey}})).head.status;
    }

    /** Checks that the last answer tells that its request has not run. */
    void expectNotRun()
    {
        EXPECT_EQ(nlohmann::json::parse(this->last->body).at("error").at("state"), "not_run");
        EXPECT_TRUE(this->last->head.fields.find("Retry-After").has_value());
    }

    int requests = 0;
    std::shared_ptr<Answer> last;
};

// Guards against the refusal of a request that waited for the first configuration and is handled before the same answer has confirmed it.
TEST_F(RevocationTest, requestThatWaitsForTheFirstConfigurationIsServed)
{
    this->store.holdLists("config");
    RunningHost &host = this->startHost("host-0");
    const auto upstreamsAreKnown = [this] { return std::ranges::count(this->store.readCalls(), "watch servers") > 0; };
    ASSERT_TRUE(runUntil(this->loop, upstreamsAreKnown));
    const auto answer = this->send(host, "POST", "/plain/x", {{"X-Request-Id", "early"}, {"X-Deadline-Ms", "5000"}, {"Api-Key", keptKey}}, "prompt");
    runFor(this->loop, absl::Milliseconds(10));
    ASSERT_FALSE(answer->ended());
    this->store.releaseLists();
    EXPECT_EQ(this->wait(answer).head.status, 200);
}

// Guards against a host that the store refuses while it serves the others, and that goes on with a key that was revoked meanwhile.
TEST_F(RevocationTest, hostThatTheStoreRefusesLearnsFromOthers)
{
    FaultProxy proxy;
    const std::string route = proxy.addRoute("store", this->store.address());
    this->startHost("host-0");
    this->startHost("host-1");
    RunningHost &refused = this->startHost("refused", route);
    this->waitUntilHostsKnowEachOther();
    EXPECT_EQ(this->statusOf(refused, "/plain/x", revokedKey), 200);
    proxy.setFaults("store", {.cut = true});
    runFor(this->loop, absl::Milliseconds(100));
    this->writeKeys({keptKey});
    const absl::Time revokedAt = absl::Now();
    while (absl::Now() < revokedAt + 3 * bound) {
        const bool late = absl::Now() > revokedAt + bound;
        for (const auto &host : this->hosts) {
            if (const int status = this->statusOf(*host, "/plain/x", revokedKey); late) {
                EXPECT_EQ(status, 401);
            }
        }
        EXPECT_EQ(this->statusOf(refused, "/plain/x", keptKey), 200);
        runFor(this->loop, absl::Milliseconds(50));
    }
}

// Guards against requests with keys that run although no host can know whether the keys have been revoked, against refusals of requests
// that need no key, and against hosts that do not serve again when the store does.
TEST_F(RevocationTest, outageOfTheStoreEndsRequestsWithKeys)
{
    this->startHosts(2);
    for (const ObjectApiMode mode : {ObjectApiMode::Busy, ObjectApiMode::Silent}) {
        EXPECT_EQ(this->statusOf(*this->hosts[0], "/plain/x", keptKey), 200);
        this->store.setMode(mode);
        runFor(this->loop, bound);
        for (const auto &host : this->hosts) {
            EXPECT_EQ(this->statusOf(*host, "/plain/x", keptKey), 503);
            this->expectNotRun();
            EXPECT_EQ(this->jobReadStatus(*host), 503);
            EXPECT_EQ(this->statusOf(*host, "/once/x", ""), 200);
            EXPECT_FALSE(host->host->ready());
            EXPECT_EQ(this->wait(this->send(*host, "GET", "/bergamotramp/resolve?name=x&region=north&zone=a", {})).head.status, 503);
        }
        this->store.setMode(ObjectApiMode::Serving);
        ASSERT_TRUE(runUntil(this->loop, [this] { return this->hosts[0]->host->ready() && this->hosts[1]->host->ready(); }));
    }
}

// Guards against a host that thaws and runs the requests that waited in its buffers before it has confirmed its view.
TEST_F(RevocationTest, requestsThatWaitedForAFrozenHostAreRefused)
{
    RunningHost &host = this->startHost("host-0");
    ASSERT_TRUE(runUntil(this->loop, [&host] { return host.host->ready(); }));
    RawClient caller(this->loop, host.host->currentSettings().entryAddress);
    caller.stream->write(
        absl::StrCat("POST /plain/x HTTP/1.1\r\nHost: ", callerHost, "\r\nX-Request-Id: waiting\r\nApi-Key: ", revokedKey, "\r\nContent-Length: 2\r\n\r\nab"));
    // The write reaches the socket; the loop, and with it the host, stands still before it reads.
    this->store.setMode(ObjectApiMode::Silent);
    absl::SleepFor(bound);
    ASSERT_TRUE(runUntil(this->loop, [&caller] { return caller.received.find("\r\n\r\n") != std::string::npos; }));
    EXPECT_EQ(caller.received.substr(0, 12), "HTTP/1.1 503");
    EXPECT_FALSE(this->upstreams[0]->runs().contains("waiting"));
}

// Guards against a restarted host that serves without a confirmed view.
TEST_F(RevocationTest, restartedHostWaitsForTheStore)
{
    RunningHost &first = this->startHost("host-0");
    ASSERT_TRUE(runUntil(this->loop, [&first] { return first.host->ready(); }));
    this->crashHost(first);
    this->store.setMode(ObjectApiMode::Busy);
    RunningHost &second = this->startHost("host-0");
    runFor(this->loop, absl::Milliseconds(300));
    EXPECT_EQ(this->statusOf(second, "/plain/x", keptKey), 503);
    EXPECT_FALSE(second.host->ready());
    this->store.setMode(ObjectApiMode::Serving);
    ASSERT_TRUE(runUntil(this->loop, [&second] { return second.host->ready(); }));
    EXPECT_EQ(this->statusOf(second, "/plain/x", keptKey), 200);
}

// Guards against hosts that follow relays and take what these report for an answer of the store, or refuse in calm, and against calls to
// the store that grow with the number of hosts.
TEST_F(RevocationTest, followersConfirmThroughOtherHosts)
{
    constexpr int hostCount = static_cast<int>(PeerTable::maxFullMeshPeers) + 3;
    this->startHosts(hostCount);
    runFor(this->loop, absl::Seconds(1));
    const std::uint64_t callsBefore = this->store.calls();
    for (const absl::Time end = absl::Now() + 2 * bound; absl::Now() < end; runFor(this->loop, absl::Milliseconds(100))) {
        EXPECT_TRUE(std::ranges::all_of(this->hosts, [](const auto &host) { return host->host->ready(); }));
    }
    // If each host queried the store when its view has used half of the bound, there would be 60 calls for this alone.
    EXPECT_LT(this->store.calls() - callsBefore, 45U);
    this->writeKeys({keptKey});
    runFor(this->loop, bound);
    for (const auto &host : this->hosts) {
        EXPECT_EQ(this->statusOf(*host, "/plain/x", revokedKey), 401);
    }
}

// Guards against messages, calls and checks of hosts without a bound.
TEST_F(RevocationTest, withoutABoundNothingIsRefused)
{
    this->revocationBound = absl::ZeroDuration();
    this->startHosts(2);
    this->store.setMode(ObjectApiMode::Busy);
    runFor(this->loop, bound);
    EXPECT_EQ(this->statusOf(*this->hosts[0], "/plain/x", keptKey), 200);
    EXPECT_TRUE(this->hosts[0]->host->ready());
    EXPECT_EQ(this->hosts[0]->metrics->text().find("config_queries"), std::string::npos);
}

} // namespace

} // namespace Bergamotramp
