#include "CallerServer.h"

#include <atomic>
#include <future>

#include <gtest/gtest.h>
#include <httplib.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t bodyLimit = 100;
constexpr std::size_t jobLimit = 100'000;

/** Starts a CallerServer with the hooks of a test and creates clients for it. */
class CallerServerTest : public testing::Test
{
protected:
    void start(CallerServer::Hooks hooks, std::size_t connections = 8)
    {
        this->server = std::make_unique<CallerServer>(CallerServer::Limits{bodyLimit, jobLimit, connections}, std::move(hooks));
        this->server->bind("127.0.0.1:0");
        this->server->start();
    }
    [[nodiscard]] httplib::Client client() const
    {
        return httplib::Client("http://" + this->server->address());
    }
    static nlohmann::json errorOf(const httplib::Result &result)
    {
        return nlohmann::json::parse(result->body).at("error");
    }

    std::unique_ptr<CallerServer> server;
};

CallerServer::Hooks echoHooks()
{
    CallerServer::Hooks hooks;
    hooks.model = [](const CallerRequest &request) { return CompleteResponse{200, "application/json", request.body}; };
    return hooks;
}

// Guards against a body over the limit that makes the server close the connection before the caller receives the error.
TEST_F(CallerServerTest, bodyOverTheLimitIsRejectedAndConnectionStaysUsable)
{
    this->start(echoHooks());
    httplib::Client client = this->client();
    client.set_keep_alive(true);
    const httplib::Result rejected = client.Post("/v1/completions", std::string(bodyLimit + 1, 'x'), "application/json");
    ASSERT_TRUE(rejected);
    EXPECT_EQ(rejected->status, 413);
    EXPECT_EQ(errorOf(rejected).at("code"), "body_too_large");
    EXPECT_EQ(errorOf(rejected).at("state"), "not_run");
    const httplib::Result accepted = client.Post("/v1/completions", std::string(bodyLimit, 'x'), "application/json");
    ASSERT_TRUE(accepted);
    EXPECT_EQ(accepted->status, 200);
}

// Guards against a request that is run with a truncated body because its caller disconnected.
TEST_F(CallerServerTest, requestWithATruncatedBodyIsNotRun)
{
    std::atomic<int> runs{0};
    CallerServer::Hooks hooks;
    hooks.model = [&runs](const CallerRequest &request) {
        ++runs;
        return CompleteResponse{200, "application/json", request.body};
    };
    this->start(std::move(hooks));
    httplib::Client client = this->client();
    // The provider fails after half of the Content-Length, and the client closes the connection.
    const auto half = [](std::size_t offset, std::size_t, httplib::DataSink &sink) { return offset == 0 && sink.write("half", 4); };
    EXPECT_FALSE(client.Post("/v1/completions", 8, half, "application/json"));
    const httplib::Result whole = this->client().Post("/v1/completions", "whole", "application/json");
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->body, "whole");
    this->server->stop();
    EXPECT_EQ(runs, 1);
}

TEST_F(CallerServerTest, invalidRequestsAreRejectedWithTheirErrorCode)
{
    this->start(echoHooks());
    httplib::Client client = this->client();
    const httplib::Result deadline = client.Post("/v1/completions", {{"X-Deadline-Ms", "soon"}}, "{}", "application/json");
    EXPECT_EQ(errorOf(deadline).at("code"), "invalid_deadline");
    const httplib::Result organisation = client.Post("/v1/completions", {{"X-Organisation", "a/b"}}, "{}", "application/json");
    EXPECT_EQ(errorOf(organisation).at("code"), "invalid_organisation");
    const httplib::Result job = client.Post("/v1/batches?service=s", "{}", "application/x-ndjson");
    EXPECT_EQ(errorOf(job).at("code"), "missing_key");
    const httplib::Result route = client.Get("/nowhere");
    EXPECT_EQ(errorOf(route).at("code"), "not_found");
}

// Guards against a failed stream that looks complete.
TEST_F(CallerServerTest, failureInMidStreamIsSentAsAnEventWithoutEndMarker)
{
    CallerServer::Hooks hooks;
    bool allPiecesSent = true;
    hooks.model = [&allPiecesSent](const CallerRequest &) {
        auto pieces = std::make_shared<int>(0);
        return StreamedResponse{"text/event-stream",
                                [pieces]() -> std::optional<std::string> {
                                    if (++*pieces == 3) {
                                        throw CallerError({502, "upstream_failed", "broken", RunState::Unknown});
                                    }
                                    return "data: piece\n\n";
                                },
                                [&allPiecesSent](bool allSent) { allPiecesSent = allSent; }};
    };
    this->start(hooks);
    const httplib::Result result = this->client().Post("/v1/completions", "{}", "application/json");
    ASSERT_TRUE(result);
    EXPECT_NE(result->body.find("\"code\":\"upstream_failed\""), std::string::npos);
    EXPECT_EQ(result->body.find("[DONE]"), std::string::npos);
    this->server->stop();
    EXPECT_FALSE(allPiecesSent);
}

// Guards against an unbounded number of requests in progress.
TEST_F(CallerServerTest, requestsOverTheLimitAreRejectedAsNotRun)
{
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    std::atomic<int> running{0};
    CallerServer::Hooks hooks;
    hooks.model = [&running, released](const CallerRequest &) {
        ++running;
        released.wait();
        return CompleteResponse{};
    };
    constexpr int limit = 4;
    this->start(hooks, limit);
    std::vector<std::future<int>> calls;
    for (int call = 0; call < limit; ++call) {
        calls.push_back(std::async(std::launch::async, [this] { return this->client().Post("/v1/completions", "{}", "application/json")->status; }));
    }
    while (running < limit) {
        std::this_thread::yield();
    }
    const httplib::Result rejected = this->client().Post("/v1/completions", "{}", "application/json");
    release.set_value();
    ASSERT_TRUE(rejected);
    EXPECT_EQ(rejected->status, 503);
    EXPECT_EQ(errorOf(rejected).at("code"), "too_many_requests");
    EXPECT_EQ(errorOf(rejected).at("state"), "not_run");
    for (std::future<int> &call : calls) {
        EXPECT_EQ(call.get(), 200);
    }
}

TEST_F(CallerServerTest, bindingAnAddressInUseThrows)
{
    this->start(echoHooks());
    CallerServer second({bodyLimit, jobLimit, 4}, echoHooks());
    EXPECT_THROW(second.bind(this->server->address()), ServerError);
}

} // namespace

} // namespace Bergamotramp
