#include "Host.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include "Eventually.h"
#include "StandinEngine.h"
#include "StandinPlain.h"
#include "StandinPlatform.h"
#include "StandinText.h"

namespace Bergamotramp {

namespace {

constexpr const char *jsonType = "application/json";
constexpr absl::Duration testTimeout = absl::Seconds(60);

/** Three hosts in one process, with stand-ins for the platform, two engines and a plain service. */
class HostTest : public testing::Test
{
protected:
    void SetUp() override
    {
        for (int index = 1; index <= 3; ++index) {
            this->hosts.push_back(std::make_unique<Host>(this->settings("host-" + std::to_string(index))));
        }
        this->registerHosts();
        ASSERT_TRUE(eventually([this] { return this->everyHostSees(3); }));
        this->publish();
    }

    [[nodiscard]] HostSettings settings(const std::string &name) const
    {
        HostSettings settings;
        settings.name = name;
        settings.region = "nordeste";
        settings.dataCentre = "recife-a";
        settings.callerAddress = settings.peerAddress = settings.adminAddress = "127.0.0.1:0";
        settings.storeAddress = this->platform.address();
        settings.entryTimeToLive = absl::Milliseconds(300);
        settings.membershipPeriod = absl::Milliseconds(100);
        settings.batchConcurrency = 16;
        return settings;
    }

    void registerHosts()
    {
        nlohmann::json list = nlohmann::json::array();
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            list.push_back({{"name", "host-" + std::to_string(index + 1)},
                            {"region", "nordeste"},
                            {"dataCentre", "recife-a"},
                            {"callerAddress", this->hosts[index]->callerAddress()},
                            {"peerAddress", this->hosts[index]->peerAddress()},
                            {"adminAddress", this->hosts[index]->adminAddress()},
                            {"state", "live"}});
        }
        httplib::Client control("http://" + this->platform.address());
        ASSERT_EQ(control.Put("/control/hosts", nlohmann::json({{"hosts", list}}).dump(), jsonType)->status, 200);
    }

    bool everyHostSees(std::size_t count)
    {
        for (const std::unique_ptr<Host> &host : this->hosts) {
            const httplib::Result result = httplib::Client("http://" + host->callerAddress()).Get("/v1/entries");
            if (!result || nlohmann::json::parse(result->body).at("entries").size() != count) {
                return false;
            }
        }
        return true;
    }

    void publish()
    {
        const nlohmann::json services = {
            {{"name", "modelo"}, {"slotsPerUpstream", 4}, {"upstreams", {{"nordeste/recife-a", {this->engines[0].address(), this->engines[1].address()}}}}},
            {{"name", "vitrine"},
             {"kind", "plain"},
             {"upstreams", {{"nordeste/recife-a", {this->plain.address()}}}},
             {"routes", {{{"path", "/sheet"}, {"idempotent", true}}}}}};
        httplib::Client admin("http://" + this->hosts[0]->adminAddress());
        const httplib::Result result = admin.Post("/admin/publish", nlohmann::json({{"base_generation", 0}, {"services", services}}).dump(), jsonType);
        ASSERT_TRUE(result);
        ASSERT_EQ(result->status, 200) << result->body;
        ASSERT_TRUE(eventually([this] {
            return std::all_of(this->hosts.begin(), this->hosts.end(), [](const auto &host) {
                return httplib::Client("http://" + host->adminAddress()).Get("/readyz")->status == 200;
            });
        }));
    }

    httplib::Client client(std::size_t host)
    {
        httplib::Client client("http://" + this->hosts[host]->callerAddress());
        client.set_read_timeout(absl::ToChronoMicroseconds(testTimeout));
        return client;
    }

    nlohmann::json waitForJob(const std::string &id, std::size_t host)
    {
        nlohmann::json status;
        eventually([&] {
            const httplib::Result result = this->client(host).Get("/v1/batches/" + id);
            status = result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
            return status.value("state", "") == "completed" || status.value("state", "") == "cancelled";
        });
        return status;
    }

    StandinPlatform platform;
    std::array<StandinEngine, 2> engines;
    StandinPlain plain;
    std::vector<std::unique_ptr<Host>> hosts;
};

// Guards against answers that are incomplete or belong to another request.
TEST_F(HostTest, everyHostServesWholeModelAnswers)
{
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        const std::string prompt = "quote " + std::to_string(host);
        const nlohmann::json body = {{"model", "modelo"}, {"prompt", prompt}, {"max_tokens", 12}};
        const httplib::Result whole = this->client(host).Post("/v1/completions", body.dump(), jsonType);
        ASSERT_TRUE(whole);
        ASSERT_EQ(whole->status, 200) << whole->body;
        EXPECT_EQ(nlohmann::json::parse(whole->body).at("choices").at(0).at("text"), standinAnswer(prompt, 12));
    }
}

// Guards against an answer that stays on an engine that slows down after the answer began, and against wrong text when a hedge
// replaces the slow stream.
TEST_F(HostTest, hedgeReplacesStreamOnASlowedEngine)
{
    const auto body = [](const std::string &prompt, int tokens) {
        return nlohmann::json({{"model", "modelo"}, {"prompt", prompt}, {"max_tokens", tokens}}).dump();
    };
    // The host needs measurements of the usual token rate before it can detect a slow stream.
    for (int request = 0; request < 60; ++request) {
        ASSERT_EQ(this->client(0).Post("/v1/completions", body("learn " + std::to_string(request), 4), jsonType)->status, 200);
    }
    constexpr int tokens = 400;
    std::thread requestThread([this, &body] {
        const httplib::Result result = this->client(0).Post("/v1/completions", body("long", tokens), jsonType);
        ASSERT_TRUE(result);
        ASSERT_EQ(result->status, 200) << result->body;
        EXPECT_EQ(nlohmann::json::parse(result->body).at("choices").at(0).at("text"), standinAnswer("long", tokens));
    });
    const auto running = [this](StandinEngine &engine) { return engine.counters().running > 0; };
    EXPECT_TRUE(eventually([&] { return running(this->engines[0]) || running(this->engines[1]); }));
    StandinEngine &slowed = running(this->engines[0]) ? this->engines[0] : this->engines[1];
    ASSERT_EQ(httplib::Client("http://" + slowed.address()).Post("/control", R"({"slowFactor": 50})", jsonType)->status, 200);
    requestThread.join();
    EXPECT_TRUE(eventually([&slowed] { return slowed.counters().cancelled == 1; }));
}

// Guards against metrics that are exported but never updated.
TEST_F(HostTest, metricsCountRequests)
{
    const nlohmann::json body = {{"model", "modelo"}, {"prompt", "count"}, {"max_tokens", 3}};
    ASSERT_EQ(this->client(0).Post("/v1/completions", body.dump(), jsonType)->status, 200);
    const httplib::Result metrics = httplib::Client("http://" + this->hosts[0]->adminAddress()).Get("/metrics");
    ASSERT_TRUE(metrics);
    EXPECT_NE(metrics->body.find("modelo"), std::string::npos) << metrics->body;
}

// Guards against slot gauges that are never set, or that two hosts report for the same pool.
TEST_F(HostTest, oneHostReportsTheSlotsOfAPool)
{
    const std::string gauge = R"(bergamotramp_slots{service="modelo",use="total"} 8)";
    EXPECT_TRUE(eventually([&] {
        std::size_t reporting = 0;
        for (const std::unique_ptr<Host> &host : this->hosts) {
            const httplib::Result metrics = httplib::Client("http://" + host->adminAddress()).Get("/metrics");
            reporting += metrics && metrics->body.find(gauge) != std::string::npos ? 1 : 0;
        }
        return reporting == 1;
    }));
}

TEST_F(HostTest, streamEndsWithItsMarker)
{
    const nlohmann::json body = {{"model", "modelo"}, {"messages", {{{"role", "user"}, {"content", "hello"}}}}, {"max_tokens", 5}, {"stream", true}};
    const httplib::Result result = this->client(1).Post("/v1/chat/completions", body.dump(), jsonType);
    ASSERT_TRUE(result);
    EXPECT_TRUE(result->body.ends_with("data: [DONE]\n\n")) << result->body;
}

// Guards against a non-idempotent request that runs again when its caller sends it to another host.
TEST_F(HostTest, keyedRequestRunsOnceOnAllHosts)
{
    std::string first;
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        const httplib::Result result = this->client(host).Post("/s/vitrine/heat/7", {{"Idempotency-Key", "heat-7"}}, R"({"heat": 7})", jsonType);
        ASSERT_TRUE(result);
        ASSERT_EQ(result->status, 200) << result->body;
        first = host == 0 ? result->body : first;
        EXPECT_EQ(result->body, first);
    }
    EXPECT_EQ(this->plain.postCountsByKey().at("heat-7"), 1U);
    const httplib::Result record = this->client(2).Get("/v1/requests/heat-7?service=vitrine");
    ASSERT_TRUE(record);
    EXPECT_EQ(record->body, first);
}

TEST_F(HostTest, nonIdempotentRequestWithoutKeyIsRefused)
{
    const httplib::Result result = this->client(0).Post("/s/vitrine/heat/7", "{}", jsonType);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 400);
    EXPECT_EQ(nlohmann::json::parse(result->body).at("error").at("code"), "missing_key");
}

// Guards against a daemon that ends because one caller sends a body that is nested very deeply: JSON is copied and printed by recursion.
TEST_F(HostTest, deeplyNestedBodiesAreRefused)
{
    constexpr std::size_t levels = 200'000;
    const std::string deep = std::string(levels, '[') + std::string(levels, ']');
    const httplib::Result request = this->client(0).Post("/v1/completions", R"({"model":"modelo","prompt":"x","extra":)" + deep + "}", jsonType);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->status, 400);
    const std::string item = R"({"custom_id":"a","body":{"prompt":"x","extra":)" + deep + "}}\n";
    const httplib::Result job = this->client(0).Post("/v1/batches?service=modelo", {{"Idempotency-Key", "deep"}}, item, "application/x-ndjson");
    ASSERT_TRUE(job);
    EXPECT_EQ(job->status, 400);
    httplib::Client admin("http://" + this->hosts[0]->adminAddress());
    const httplib::Result publication = admin.Post("/admin/publish", R"({"base_generation":1,"services":)" + deep + "}", jsonType);
    ASSERT_TRUE(publication);
    EXPECT_EQ(publication->status, 400);
}

// Guards against job items that are lost or get the result of another item.
TEST_F(HostTest, batchJobCompletesWithEveryItemOnce)
{
    constexpr int items = 300;
    std::string input;
    for (int item = 0; item < items; ++item) {
        input +=
            nlohmann::json({{"custom_id", "item-" + std::to_string(item)}, {"body", {{"prompt", "cut " + std::to_string(item)}, {"max_tokens", 3}}}}).dump()
            + "\n";
    }
    const httplib::Result accepted = this->client(0).Post("/v1/batches?service=modelo", {{"Idempotency-Key", "night"}}, input, "application/x-ndjson");
    ASSERT_TRUE(accepted);
    ASSERT_EQ(accepted->status, 200) << accepted->body;
    const std::string id = nlohmann::json::parse(accepted->body).at("id");
    const httplib::Result resubmitted = this->client(1).Post("/v1/batches?service=modelo", {{"Idempotency-Key", "night"}}, input, "application/x-ndjson");
    EXPECT_EQ(nlohmann::json::parse(resubmitted->body).at("id"), id);
    const nlohmann::json status = this->waitForJob(id, 2);
    EXPECT_EQ(status.at("state"), "completed") << status;
    EXPECT_EQ(status.at("completed"), items);
    const httplib::Result results = this->client(1).Get("/v1/batches/" + id + "/results");
    ASSERT_TRUE(results);
    std::map<std::string, std::string> texts;
    std::istringstream lines(results->body);
    for (std::string line; std::getline(lines, line);) {
        const nlohmann::json result = nlohmann::json::parse(line);
        nlohmann::json body = result.at("body");
        body = body.is_string() ? nlohmann::json::parse(body.get<std::string>()) : body;
        EXPECT_TRUE(texts.emplace(result.at("custom_id"), body.at("choices").at(0).at("text")).second);
    }
    ASSERT_EQ(texts.size(), static_cast<std::size_t>(items));
    EXPECT_EQ(texts.at("item-17"), standinAnswer("cut 17", 3));
}

// Guards against a planned shutdown that interrupts requests or leaves the host in the list of entry hosts.
TEST_F(HostTest, drainedHostLeavesTheEntriesAndEnds)
{
    std::thread requestThread([this] {
        const nlohmann::json body = {{"model", "modelo"}, {"prompt", "long"}, {"max_tokens", 100}};
        const httplib::Result result = this->client(2).Post("/v1/completions", body.dump(), jsonType);
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status, 200);
    });
    EXPECT_TRUE(eventually([this] { return this->engines[0].counters().running + this->engines[1].counters().running > 0; }));
    ASSERT_EQ(httplib::Client("http://" + this->hosts[2]->adminAddress()).Post("/admin/drain")->status, 202);
    this->hosts[2]->waitUntilDrained();
    requestThread.join();
    this->hosts.pop_back();
    EXPECT_TRUE(eventually([this] { return this->everyHostSees(2); }));
}

} // namespace

} // namespace Bergamotramp
