#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "SiteFleet.h"

namespace Bergamotramp {

namespace {

constexpr int eventCount = 6;
constexpr const char *firstKey = "key-of-acme";
constexpr const char *secondKey = "second-key-of-acme";
constexpr const char *otherKey = "key-of-other";

/** A fleet whose configuration has two organisations. Records the requests that reach upstreams. */
class ApiKeyTest : public SiteFleet
{
protected:
    ApiKeyTest()
    {
        this->organisations = {{{"name", "acme"}, {"apiKeys", {firstKey, secondKey}}}, {{"name", "other"}, {"apiKeys", {otherKey}}}};
    }

    void start(int hostCount, absl::Duration eventInterval = absl::Milliseconds(5))
    {
        this->writeConfig(1);
        UpstreamOptions options;
        options.onRequest = [this](const HttpRequest &request) { this->received.push_back(request); };
        for (const auto &[service, events] : {std::pair("model", eventCount), std::pair("model", eventCount), std::pair("plain", 0)}) {
            this->addUpstream(service, events, eventInterval, options);
        }
        this->startHosts(hostCount);
    }

    /** Publishes a configuration and waits until a request with @p key on @p host gets @p status. */
    void publish(int version, const RunningHost &host, const std::string &key, int status)
    {
        this->writeConfig(version);
        const absl::Time end = absl::Now() + absl::Seconds(20);
        for (int number = 0; this->statusWith(host, {{"Api-Key", key}}, "/plain/x", absl::StrCat("publish-", version, "-", number)) != status; ++number) {
            ASSERT_LT(absl::Now(), end);
            runFor(this->loop, absl::Milliseconds(50));
        }
    }

    int statusWith(const RunningHost &host, const HttpFields &fields, const std::string &path, const std::string &id)
    {
        this->callerFields = fields;
        const int status = this->request(host, path, id).head.status;
        this->callerFields = {};
        return status;
    }

    template <typename Call>
    auto as(const std::string &key, Call call)
    {
        this->callerFields = {{"Api-Key", key}};
        auto result = call();
        this->callerFields = {};
        return result;
    }

    /** Expects that all requests which upstreams got since the last call state @p organisation, and nothing of the key; empty for none. */
    void expectOrganisation(const std::string &organisation)
    {
        EXPECT_FALSE(this->received.empty());
        for (const HttpRequest &request : std::exchange(this->received, {})) {
            EXPECT_EQ(std::ranges::count_if(request.fields.all(), [](const HttpField &field) { return absl::EqualsIgnoreCase(field.name, "x-tenant"); }),
                      organisation.empty() ? 0 : 1);
            EXPECT_EQ(request.fields.find("x-tenant").value_or(""), organisation);
            EXPECT_EQ(request.fields.find("api-key"), std::nullopt);
        }
    }

    /** Whether an object of the store holds @p text. */
    [[nodiscard]] bool storeHolds(const std::string &text) const
    {
        for (const std::string kind : {"jobs", "job-items", "job-results"}) {
            for (const std::string &name : this->store.names(kind)) {
                if (absl::StrContains(this->store.read(kind, name).dump(), text)) {
                    return true;
                }
            }
        }
        return false;
    }

    std::vector<HttpRequest> received;
};

// Guards against a route of some kind that serves requests without a key, or lets a caller choose the organisation that upstreams see.
TEST_F(ApiKeyTest, eachKindOfRouteNeedsAKey)
{
    this->start(1);
    const RunningHost &host = *this->hosts[0];
    for (const std::string path : {"/plain/x", "/once/x", "/stream/x", "/resumable/x"}) {
        EXPECT_EQ(this->statusWith(host, {}, path, "none" + path), 401);
        EXPECT_EQ(this->statusWith(host, {{"Api-Key", "unknown"}}, path, "unknown" + path), 401);
        EXPECT_TRUE(this->received.empty());
        EXPECT_EQ(this->statusWith(host, {{"api-key", firstKey}, {"x-Tenant", "other"}, {"X-TENANT", "third"}}, path, "key" + path), 200);
        this->expectOrganisation("acme");
    }
    EXPECT_EQ(this->submit(host, "job-none", 1), 401);
    EXPECT_EQ(this->as("unknown", [&] { return this->submit(host, "job-unknown", 1); }), 401);
    EXPECT_TRUE(this->store.names("jobs").empty());
}

// Guards against unusual keys that crash a host, are accepted, or are read as several fields.
TEST_F(ApiKeyTest, unusualKeysAreRefused)
{
    this->start(1);
    const RunningHost &host = *this->hosts[0];
    EXPECT_EQ(this->statusWith(host, {{"Api-Key", firstKey}, {"Api-Key", firstKey}}, "/plain/x", "repeated"), 400);
    EXPECT_EQ(this->statusWith(host, {{"Api-Key", ""}}, "/plain/x", "empty"), 401);
    EXPECT_EQ(this->statusWith(host, {{"Api-Key", std::string(64 * 1024, 'k')}}, "/plain/x", "long"), 431);
    EXPECT_EQ(this->statusWith(host, {{"Api-Key", std::string(8 * 1024, 'k')}}, "/plain/x", "medium"), 401);
    EXPECT_EQ(this->statusWith(host, {{"Api-Key", "\xff\xfe\x80 \"',;\\"}}, "/plain/x", "odd"), 401);
    const int control = this->statusWith(host, {{"Api-Key", std::string("a\x01\x7f", 3)}}, "/plain/x", "control");
    EXPECT_TRUE(control == 400 || control == 401) << control;
    EXPECT_TRUE(this->received.empty());
    EXPECT_EQ(this->statusWith(host, {{"Api-Key", firstKey}}, "/plain/x", "after"), 200);
}

// Guards against a public route that needs a key, or that passes on what callers state about themselves.
TEST_F(ApiKeyTest, aPublicRouteHasNoOrganisation)
{
    this->start(1);
    EXPECT_EQ(this->statusWith(*this->hosts[0], {}, "/public/x", "none"), 200);
    EXPECT_EQ(this->statusWith(*this->hosts[0], {{"Api-Key", firstKey}, {"X-Tenant", "acme"}}, "/public/x", "key"), 200);
    this->expectOrganisation("");
}

// Guards against a removed key that is still accepted, and against an invalid version that takes effect or is counted twice.
TEST_F(ApiKeyTest, configurationsTakeEffectUnlessTheyAreInvalid)
{
    this->start(1);
    const RunningHost &host = *this->hosts[0];
    this->organisations = {{{"name", "acme"}, {"apiKeys", {secondKey}}}, {{"name", "other"}, {"apiKeys", {secondKey}}}};
    this->writeConfig(2);
    runFor(this->loop, absl::Milliseconds(500));
    // Hosts that see the invalid version first get the one in force from another host.
    const RunningHost &late = this->startHost("host-late");
    this->waitUntilHostsKnowEachOther();
    EXPECT_EQ(this->statusWith(host, {{"Api-Key", firstKey}}, "/plain/x", "kept"), 200);
    EXPECT_EQ(this->statusWith(late, {{"Api-Key", firstKey}}, "/plain/x", "late"), 200);
    // A failed watch makes the host list the configuration, and thereby the rejected version, again.
    this->store.setMode(ObjectApiMode::Busy);
    this->store.write("config", "unrelated", nlohmann::json::object());
    runFor(this->loop, absl::Milliseconds(300));
    this->store.setMode(ObjectApiMode::Serving);
    runFor(this->loop, absl::Seconds(1));
    EXPECT_TRUE(absl::StrContains(host.metrics->text(), "bergamotramp_configs_rejected_total{cause=\"invalid\"} 1"));
    this->organisations = {{{"name", "acme"}, {"apiKeys", {secondKey}}}};
    this->publish(3, host, firstKey, 401);
    EXPECT_EQ(this->statusWith(host, {{"Api-Key", secondKey}}, "/plain/x", "other-key"), 200);
}

// Guards against a host without a configuration that serves, or denies the existence of, what it can't know about.
TEST_F(ApiKeyTest, aHostWithoutAConfigurationIsNotReady)
{
    const RunningHost &host = this->startHost("host-0");
    runFor(this->loop, absl::Milliseconds(300));
    EXPECT_EQ(this->statusWith(host, {}, "/plain/x", "request"), 503);
    EXPECT_EQ(this->readJob(host, "job-1", 0)["status"], 503);
}

// Guards against changed requests to upstreams, or refused ones, under a configuration without organisations.
TEST_F(ApiKeyTest, withoutOrganisationsRequestsStayAsTheyAre)
{
    this->organisations = nullptr;
    this->start(1);
    EXPECT_EQ(this->statusWith(*this->hosts[0], {{"Api-Key", "any"}, {"X-Tenant", "own"}, {"api-key", "two"}}, "/plain/x", "id-1"), 200);
    ASSERT_EQ(this->received.size(), 1U);
    HttpRequest sent = this->received.front();
    sent.fields.remove("X-Deadline-Ms");
    sent.fields.remove("Content-Length");
    EXPECT_EQ(
        sent,
        (HttpRequest{
            .method = "POST",
            .target = "/plain/x",
            .fields =
                {{"X-Request-Id", "id-1"}, {"Host", callerHost}, {"Api-Key", "any"}, {"X-Tenant", "own"}, {"api-key", "two"}, {"X-Expect-Instance", "up-2"}},
            .body = "prompt"}));
    EXPECT_EQ(this->submit(*this->hosts[0], "job-1", 2), 202);
    EXPECT_EQ(this->readWholeJob(*this->hosts[0], "job-1", 2).size(), 2U);
    EXPECT_FALSE(this->store.read("jobs", "job-1")["spec"].contains("organisation"));
}

// Guards against an attempt that states no organisation because it is a retry, or the continuation of a stream that was taken up.
TEST_F(ApiKeyTest, retriesAndStreamsThatAreTakenUpStateTheOrganisation)
{
    this->start(2);
    this->upstreams[0]->setMode(UpstreamMode::CutsStreams);
    this->upstreams[1]->setMode(UpstreamMode::CutsStreams);
    EXPECT_EQ(this->statusWith(*this->hosts[0], {{"Api-Key", firstKey}}, "/resumable/x", "begin"), 200);
    EXPECT_GT(this->received.size(), 1U);
    this->expectOrganisation("acme");
    this->upstreams[0]->setMode(UpstreamMode::Serving);
    this->upstreams[1]->setMode(UpstreamMode::Serving);
    EXPECT_EQ(this->statusWith(*this->hosts[1], {{"Api-Key", "unknown"}, {"Last-Event-Id", "2"}, {"Resumes", "begin"}}, "/resumable/x", "refused"), 401);
    EXPECT_EQ(
        this->statusWith(*this->hosts[1], {{"Api-Key", secondKey}, {"X-Tenant", "own"}, {"Last-Event-Id", "2"}, {"Resumes", "begin"}}, "/resumable/x", "more"),
        200);
    this->expectOrganisation("acme");
}

// Guards against access to a job with the key of another organisation or without one, on the host that runs the job and on others.
TEST_F(ApiKeyTest, jobsAreAccessibleToTheirOrganisationOnly)
{
    this->start(2);
    ASSERT_EQ(this->as(firstKey, [&] { return this->submit(*this->hosts[0], "job-1", 2); }), 202);
    EXPECT_EQ(this->as(secondKey, [&] { return this->readWholeJob(*this->hosts[1], "job-1", 2); }).size(), 2U);
    for (const auto &host : this->hosts) {
        for (const auto &[key, status] : {std::pair(secondKey, 200), std::pair(otherKey, 404), std::pair("unknown", 401)}) {
            const auto statusOf = [&](const std::string &method, const std::string &target) {
                return this->as(key, [&] { return this->wait(this->send(*host, method, target, {})).head.status; });
            };
            EXPECT_EQ(statusOf("GET", "/bergamotramp/lots/job-1?after=0"), status);
            EXPECT_EQ(statusOf("GET", "/bergamotramp/items/job-1?id=job-1-item-0"), status);
            EXPECT_EQ(statusOf("DELETE", "/bergamotramp/lots/job-1"), status);
        }
        EXPECT_EQ(this->readJob(*host, "job-1", 0)["status"], 401);
        EXPECT_EQ(this->readJob(*host, "no-job", 0)["status"], 404);
        EXPECT_EQ(this->as(secondKey, [&] { return this->submit(*host, "job-1", 2); }), 202);
        EXPECT_EQ(this->as(otherKey, [&] { return this->submit(*host, "job-1", 2); }), 404);
    }
    EXPECT_FALSE(this->forwardedCalls.empty());
    for (const HttpRequest &call : this->forwardedCalls) {
        EXPECT_EQ(call.fields.find("api-key"), std::nullopt);
    }
}

// Guards against items that state no organisation, or their caller's own, after another host has taken the job over, against keys in the
// store, and against a revoked key that ends its jobs.
TEST_F(ApiKeyTest, itemsStateTheOrganisationOfTheirJobAfterATakeover)
{
    this->start(3, absl::Milliseconds(40));
    const nlohmann::json item{
        {"id", "item-0"}, {"path", "/batch/x"}, {"headers", {{"Api-Key", firstKey}, {"X-Tenant", "other"}, {"X-Model", "m"}}}, {"body", ""}, {"tokens", 10}};
    nlohmann::json items = nlohmann::json::array();
    for (int number = 0; number < 30; ++number) {
        items.push_back(item);
        items.back()["id"] = absl::StrCat("item-", number);
    }
    const HttpFields fields{{"X-Request-Id", "job-1"}, {"Api-Key", firstKey}};
    ASSERT_EQ(this->wait(this->send(*this->hosts[0], "POST", "/batch/submit", fields, nlohmann::json{{"items", items}}.dump())).head.status, 202);
    EXPECT_FALSE(this->storeHolds(firstKey));
    EXPECT_EQ(this->store.read("jobs", "job-1")["spec"]["organisation"], "acme");
    this->crashHost(*this->hosts[0]);
    this->hosts.erase(this->hosts.begin());
    this->organisations = {{{"name", "acme"}, {"apiKeys", {secondKey}}}};
    this->publish(2, *this->hosts[0], firstKey, 401);
    EXPECT_EQ(this->as(secondKey, [&] { return this->readWholeJob(*this->hosts[0], "job-1", 30); }).size(), 30U);
    this->expectOrganisation("acme");
}

// Guards against a job of before the organisations that its caller can no longer read.
TEST_F(ApiKeyTest, jobsWithoutAnOrganisationStayAccessible)
{
    const nlohmann::json later = std::exchange(this->organisations, nullptr);
    this->start(1);
    ASSERT_EQ(this->submit(*this->hosts[0], "job-1", 2), 202);
    this->organisations = later;
    this->publish(2, *this->hosts[0], "unknown", 401);
    EXPECT_EQ(this->readWholeJob(*this->hosts[0], "job-1", 2).size(), 2U);
    EXPECT_EQ(this->as(otherKey, [&] { return this->readWholeJob(*this->hosts[0], "job-1", 2); }).size(), 2U);
}

} // namespace

} // namespace Bergamotramp
