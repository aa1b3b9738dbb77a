#include "SiteFleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace Bergamotramp {

namespace {

constexpr int eventCount = 12;
constexpr absl::Duration eventInterval = absl::Milliseconds(30);
// Routes end a request after this time, so that hosts soon know which versions can have begun a stream.
constexpr int routeTimeoutMs = 1000;

class StreamVersionTest : public SiteFleet
{
protected:
    /** Starts hosts and one upstream for each version; each event names the version that wrote it. */
    void start(const std::vector<std::string> &versions, int hostCount = 1)
    {
        this->writeConfig(1, routeTimeoutMs);
        for (const std::string &version : versions) {
            UpstreamOptions options;
            options.softwareVersion = version;
            options.tagsVersion = true;
            this->addUpstream("model", eventCount, eventInterval, options);
        }
        this->startHosts(hostCount);
    }

    /** Makes all upstreams refuse requests except @p serving. */
    void letOnlyServe(std::size_t serving)
    {
        for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
            this->upstreams[index]->setMode(index == serving ? UpstreamMode::Serving : UpstreamMode::Full);
        }
    }

    void letAllServe()
    {
        for (const auto &upstream : this->upstreams) {
            upstream->setMode(UpstreamMode::Serving);
        }
    }

    /** Begins a stream at upstream @p serving and returns when some of its events have arrived. */
    std::shared_ptr<Answer> begin(const RunningHost &host, const std::string &id, std::size_t serving)
    {
        this->letOnlyServe(serving);
        const auto answer = this->send(host, "POST", "/resumable/x", {{"X-Request-Id", id}, {"X-Deadline-Ms", "5000"}}, "prompt");
        EXPECT_TRUE(runUntil(this->loop, [&answer] { return absl::StrContains(answer->body, "token-3"); }));
        this->letAllServe();
        return answer;
    }

    /** Takes up a stream after event 3. */
    std::shared_ptr<Answer> takeUp(const RunningHost &host, const std::string &id, const std::string &begunBy)
    {
        return this->send(
            host, "POST", "/resumable/x", {{"X-Request-Id", id}, {"X-Deadline-Ms", "5000"}, {"Last-Event-Id", "3"}, {"Resumes", begunBy}}, "prompt");
    }

    [[nodiscard]] std::size_t runsOfAll() const
    {
        std::size_t sum = 0;
        for (const auto &upstream : this->upstreams) {
            sum += upstream->runs().size();
        }
        return sum;
    }

    void expectRefusal(const Answer &answer, std::size_t runsBefore)
    {
        EXPECT_EQ(answer.head.status, 503);
        EXPECT_EQ(nlohmann::json::parse(answer.body).at("error").at("state"), "not_run");
        EXPECT_EQ(this->runsOfAll(), runsBefore);
    }
};

// Guards against one answer with events of two software versions, after an upstream broke off its stream.
TEST_F(StreamVersionTest, brokenStreamGoesOnAtTheSameVersionOnly)
{
    this->start({"v1", "v2", "v2", "v2", "v1"});
    const auto answer = this->begin(*this->hosts[0], "stream-1", 0);
    this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
    this->wait(answer);
    EXPECT_TRUE(answer->completed);
    EXPECT_FALSE(absl::StrContains(answer->body, "v2"));
    EXPECT_TRUE(absl::StrContains(answer->body, absl::StrCat("token-", eventCount)));
}

// Guards against a broken stream that is sent to the upstream that has just failed instead of one that refused it a moment ago.
TEST_F(StreamVersionTest, brokenStreamGoesOnAtAnUpstreamThatHadNoRoom)
{
    this->start({"v1", "v1"});
    for (int number = 0; number < 8; ++number) {
        const auto answer = this->begin(*this->hosts[0], absl::StrCat("stream-", number), 0);
        this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
        this->wait(answer);
        EXPECT_TRUE(answer->completed) << number;
        EXPECT_TRUE(absl::StrContains(answer->body, absl::StrCat("token-", eventCount)));
    }
}

// Guards against one answer with events of two software versions, when no upstream of the first version is left.
TEST_F(StreamVersionTest, brokenStreamEndsWhenItsVersionIsGone)
{
    this->start({"v1", "v2", "v2"});
    const auto answer = this->begin(*this->hosts[0], "stream-1", 0);
    this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
    this->wait(answer);
    EXPECT_TRUE(answer->failed);
    EXPECT_FALSE(absl::StrContains(answer->body, "v2"));
}

// Guards against the output of a batch item that is joined from two software versions.
TEST_F(StreamVersionTest, outputOfAnItemIsOfOneVersion)
{
    constexpr int items = 10;
    this->start({"v1", "v2", "v1"});
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", items), 202);
    ASSERT_TRUE(runUntil(this->loop, [this] { return this->upstreams[0]->running() > 0 && this->upstreams[1]->running() > 0; }));
    runFor(this->loop, 4 * eventInterval);
    this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
    this->upstreams[2]->setMode(UpstreamMode::CutsStreams);
    const nlohmann::json results = this->readWholeJob(*this->hosts[0], "job-1", items);
    ASSERT_EQ(results.size(), static_cast<std::size_t>(items));
    for (const nlohmann::json &result : results) {
        const std::string output = result["output"];
        EXPECT_EQ(result["state"], "completed");
        EXPECT_FALSE(absl::StrContains(output, "v1") && absl::StrContains(output, "v2")) << output;
        EXPECT_TRUE(absl::StrContains(output, "token-1 ")) << output;
    }
}

// Guards against a stream that a caller takes up at another host after the first one crashed and that goes on at another version.
TEST_F(StreamVersionTest, streamTakenUpAtAnotherHostGoesOnAtTheSameVersion)
{
    this->start({"v1", "v2", "v2", "v2"}, 4);
    for (int number = 0; number < 6; ++number) {
        const std::string id = absl::StrCat("stream-", number);
        this->begin(*this->hosts[0], id, 0);
        const Answer &rest = this->wait(this->takeUp(*this->hosts[static_cast<std::size_t>(1 + number % 3)], absl::StrCat("take-up-", number), id));
        EXPECT_EQ(rest.head.status, 200);
        EXPECT_FALSE(absl::StrContains(rest.body, "v2"));
        EXPECT_TRUE(absl::StrContains(rest.body, absl::StrCat("token-", eventCount)));
    }
    // The host that served the stream is lost; the others know it all the same.
    this->begin(*this->hosts[0], "last", 0);
    this->crashHost(*this->hosts[0]);
    const Answer &rest = this->wait(this->takeUp(*this->hosts[1], "take-up-last", "last"));
    EXPECT_EQ(rest.head.status, 200);
    EXPECT_FALSE(absl::StrContains(rest.body, "v2"));
}

// Guards against a stream that goes on at any version, or a caller that waits, after all hosts that knew it were lost.
TEST_F(StreamVersionTest, streamThatNoHostKnowsIsRefused)
{
    this->start({"v1", "v2"}, 2);
    this->begin(*this->hosts[0], "stream-1", 0);
    for (const auto &host : this->hosts) {
        this->crashHost(*host);
    }
    this->hosts.clear();
    this->startHosts(2);
    const std::size_t runs = this->runsOfAll();
    const absl::Time asked = absl::Now();
    this->expectRefusal(this->wait(this->takeUp(*this->hosts[1], "take-up-1", "stream-1")), runs);
    this->expectRefusal(this->wait(this->takeUp(*this->hosts[0], "take-up-2", "")), runs);
    EXPECT_LE(absl::Now() - asked, absl::Seconds(1));
}

// Guards against a stream that goes on at another version because the one that began it has left, and against a refusal that says that
// the request may have run.
TEST_F(StreamVersionTest, streamWhoseVersionIsGoneIsRefused)
{
    this->start({"v1", "v2"}, 2);
    const auto broken = this->begin(*this->hosts[0], "stream-1", 0);
    this->store.erase("servers", this->upstreams[0]->id());
    this->upstreams[0]->resetConnections();
    this->wait(broken);
    // A registration that has vanished is a last resort for some time.
    runFor(this->loop, UpstreamTable::lastResortGrace + absl::Seconds(1));
    const std::size_t runs = this->runsOfAll();
    this->expectRefusal(this->wait(this->takeUp(*this->hosts[1], "take-up-1", "stream-1")), runs);
}

// Guards against a stream that is taken for one of the former version of an upstream that started again with a newer one.
TEST_F(StreamVersionTest, anotherStartOfAnUpstreamMayHaveAnotherVersion)
{
    this->start({"v1", "v2"}, 2);
    const auto broken = this->begin(*this->hosts[0], "stream-1", 0);
    this->upstreams[0]->crash();
    this->upstreams[0]->setSoftwareVersion("v3");
    this->wait(broken);
    ASSERT_TRUE(runUntil(this->loop, [this] { return !this->upstreams[0]->down(); }));
    runFor(this->loop, absl::Milliseconds(500));
    const std::size_t runs = this->runsOfAll();
    this->expectRefusal(this->wait(this->takeUp(*this->hosts[1], "take-up-1", "stream-1")), runs);
}

// Guards against refusals of all streams that no host remembers, although the service has had one software version for long.
TEST_F(StreamVersionTest, unknownStreamGoesOnWhenTheServiceHasHadOneVersion)
{
    this->start({"v1", "v1"}, 2);
    runFor(this->loop, absl::Milliseconds(3 * routeTimeoutMs + 500));
    this->crashHost(*this->hosts[0]);
    const Answer &known = this->wait(this->takeUp(*this->hosts[1], "take-up-1", "forgotten"));
    EXPECT_EQ(known.head.status, 200);
    EXPECT_TRUE(absl::StrContains(known.body, "token-4 v1"));
    // A host that has just started asks the one that has been there.
    RunningHost &started = this->startHost("host-2");
    ASSERT_TRUE(runUntil(this->loop, [&started] { return started.host->ready(); }));
    runFor(this->loop, absl::Seconds(1));
    EXPECT_EQ(this->wait(this->takeUp(started, "take-up-2", "forgotten-2")).head.status, 200);
}

/** A service with one version for long, and hosts with a store of their own, which can be cut off from the one that the others use. */
class HostOutOfStepTest : public StreamVersionTest
{
protected:
    void startWithCutHost(int otherHosts)
    {
        this->startWithHostsAtCutStore(otherHosts, 1);
        this->cutHost = this->hosts.back().get();
        this->cutStore.setMode(ObjectApiMode::Silent);
    }

    /** Starts hosts at the common store and @p cutHosts more at the one that will be cut off. */
    void startWithHostsAtCutStore(int otherHosts, int cutHosts)
    {
        this->start({"v1"}, otherHosts);
        // The hosts find the others in their own store.
        for (const char *kind : {"config", "servers", "hosts"}) {
            for (const std::string &name : this->store.names(kind)) {
                this->cutStore.write(kind, name, this->store.read(kind, name).at("spec"));
            }
        }
        for (int number = 0; number < cutHosts; ++number) {
            this->startHost(absl::StrCat("cut-", number), this->cutStore.address());
        }
        this->waitUntilHostsKnowEachOther();
        runFor(this->loop, absl::Milliseconds(3 * routeTimeoutMs + 500));
    }

    /** Registers an upstream of another version, of which the hosts that are cut off do not learn. */
    void addNewVersion()
    {
        UpstreamOptions options;
        options.softwareVersion = "v2";
        options.tagsVersion = true;
        this->addUpstream("model", eventCount, eventInterval, options);
        runFor(this->loop, absl::Milliseconds(200));
    }

    StandinObjectStore cutStore{this->loop};
    RunningHost *cutHost = nullptr;
};

// Guards against a host that is cut off from the store and the other hosts, takes the version that it knows for the only one, and goes on
// with a stream that another version may have begun meanwhile.
TEST_F(HostOutOfStepTest, hostThatHearsNobodyRefusesAStreamThatItDoesNotKnow)
{
    this->startWithCutHost(1);
    this->addNewVersion();
    this->crashHost(*this->hosts[0]);
    const std::size_t runs = this->runsOfAll();
    this->expectRefusal(this->wait(this->takeUp(*this->cutHost, "take-up-1", "forgotten")), runs);
}

// Guards against the same while the other hosts answer that they don't know the stream, but know of the other version.
TEST_F(HostOutOfStepTest, hostsThatKnowSeveralVersionsContradict)
{
    this->startWithCutHost(2);
    this->addNewVersion();
    const std::size_t runs = this->runsOfAll();
    this->expectRefusal(this->wait(this->takeUp(*this->cutHost, "take-up-1", "forgotten")), runs);
}

/** Hosts that are cut off at some time after their watch of the configuration was answered last, whose loss they would notice first. */
class CutDuringWatchTest : public HostOutOfStepTest, public testing::WithParamInterface<absl::Duration>
{
protected:
    /** Has the watch answered, and cuts the store and the other host off later. */
    void cutOffAfterAnswer(absl::Duration elapsed)
    {
        this->cutStore.write("config", "main", this->store.read("config", "main").at("spec"));
        runFor(this->loop, elapsed);
        this->cutStore.setMode(ObjectApiMode::Silent);
        this->addNewVersion();
        this->crashHost(*this->hosts[0]);
    }
};

// Guards against a host that is cut off from the store and the other hosts, has not noticed it yet, and takes the version that it knows for
// the only one.
TEST_P(CutDuringWatchTest, hostThatIsCutOffAloneRefusesAStreamThatItDoesNotKnow)
{
    this->startWithHostsAtCutStore(1, 1);
    this->cutOffAfterAnswer(this->GetParam());
    const std::size_t runs = this->runsOfAll();
    this->expectRefusal(this->wait(this->takeUp(*this->hosts[1], "take-up-1", "forgotten")), runs);
}

// Guards against two hosts that are cut off together and confirm to each other what both concluded from the same old registrations.
TEST_P(CutDuringWatchTest, hostsThatAreCutOffTogetherRefuseAStreamThatTheyDoNotKnow)
{
    this->startWithHostsAtCutStore(1, 2);
    this->cutOffAfterAnswer(this->GetParam());
    const std::size_t runs = this->runsOfAll();
    this->expectRefusal(this->wait(this->takeUp(*this->hosts[1], "take-up-1", "forgotten-1")), runs);
    this->expectRefusal(this->wait(this->takeUp(*this->hosts[2], "take-up-2", "forgotten-2")), runs);
}

// The watch of the configuration waits for 5 s.
INSTANTIATE_TEST_SUITE_P(AtAllPhases, CutDuringWatchTest, testing::Values(absl::Milliseconds(50), absl::Milliseconds(2500), absl::Milliseconds(4700)));

// Guards against a host whose watch of the upstreams is lost, although the store answers it, and that goes on with a stream of a version
// which it has missed.
TEST_F(StreamVersionTest, versionThatTheWatchMissedMakesAStreamUnknown)
{
    this->start({"v1"});
    runFor(this->loop, absl::Milliseconds(3 * routeTimeoutMs + 500));
    this->store.loseWatches("servers");
    UpstreamOptions options;
    options.softwareVersion = "v2";
    options.tagsVersion = true;
    this->addUpstream("model", eventCount, eventInterval, options);
    // The upstream of the version may have left again, too.
    this->store.erase("servers", this->upstreams.back()->id());
    const std::size_t runs = this->runsOfAll();
    this->expectRefusal(this->wait(this->takeUp(*this->hosts[0], "take-up-1", "forgotten")), runs);
}

// Guards against a call to the store for each stream that callers take up at once, and for those of which another host has a record.
TEST_F(StreamVersionTest, takeUpsShareOneReadOfTheRegistrations)
{
    constexpr int streams = 10;
    this->start({"v1", "v1"}, 2);
    runFor(this->loop, absl::Milliseconds(3 * routeTimeoutMs + 500));
    const auto reads = [this] { return std::ranges::count(this->store.readCalls(), "watch servers"); };
    const auto readsBefore = reads();
    this->begin(*this->hosts[0], "recorded", 0);
    EXPECT_EQ(this->wait(this->takeUp(*this->hosts[1], "take-up", "recorded")).head.status, 200);
    EXPECT_EQ(reads(), readsBefore);
    this->crashHost(*this->hosts[0]);
    std::vector<std::shared_ptr<Answer>> rests;
    for (int number = 0; number < streams; ++number) {
        rests.push_back(this->takeUp(*this->hosts[1], absl::StrCat("take-up-", number), absl::StrCat("forgotten-", number)));
    }
    for (const auto &rest : rests) {
        EXPECT_EQ(this->wait(rest).head.status, 200);
    }
    // One that was on its way when the others came, and one for all of them.
    EXPECT_LE(reads() - readsBefore, 2);
}

} // namespace

} // namespace Bergamotramp
