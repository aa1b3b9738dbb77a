#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <mutex>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <absl/time/clock.h>

#include "LoadReport.h"
#include "Percentiles.h"
#include "TestHost.h"

namespace Bergamotramp {

namespace {

LoadPlan parsePlan(const std::string &text)
{
    LoadPlan plan = LoadPlan::fromJson(nlohmann::json::parse(text));
    plan.runId = "test";
    return plan;
}

std::string answerTo(const std::string &prompt)
{
    return "answer to " + prompt;
}

std::string expectedAnswer(const std::string &prompt, std::int64_t)
{
    return answerTo(prompt);
}

std::string completionEvent(const std::string &text)
{
    return "data: " + nlohmann::json({{"choices", {{{"text", text}}}}}).dump() + "\n\n";
}

LoadObservation runAgainst(const TestHost &host, const LoadPlan &plan)
{
    return runLoad(
        plan, [&host] { return std::vector<std::string>{host.address()}; }, expectedAnswer);
}

/** Serves completions with the text that @p answer returns for the prompt, with or without the end marker. */
void serveCompletions(TestHost &host, const std::function<std::string(const std::string &)> &answer, bool withEnd = true)
{
    host.server.Post("/v1/completions", [answer, withEnd](const httplib::Request &request, httplib::Response &response) {
        const std::string text = answer(nlohmann::json::parse(request.body)["prompt"]);
        response.set_content(completionEvent(text) + (withEnd ? "data: [DONE]\n\n" : ""), "text/event-stream");
    });
    host.start();
}

TEST(PercentilesTest, nearestRankMatchesItsDefinition)
{
    EXPECT_TRUE(rc::check([] {
        auto values =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<double>>(rc::gen::map(rc::gen::inRange(-50, 50), [](int value) { return value * 1.0; })));
        const double percent = *rc::gen::element(50.0, 90.0, 95.0, 99.0, 100.0);
        std::sort(values.begin(), values.end());
        const double result = nearestRank(values, percent);
        const auto atMost = [&values](double bound) { return std::count_if(values.begin(), values.end(), [bound](double value) { return value <= bound; }); };
        const double needed = percent / 100 * static_cast<double>(values.size());
        RC_ASSERT(static_cast<double>(atMost(result)) >= needed);
        RC_ASSERT(static_cast<double>(atMost(result - 0.5)) < needed);
    }));
    EXPECT_EQ(Percentiles::of({}).count, 0U);
    EXPECT_EQ(Percentiles::of({3, 1, 2}).p50, 2);
    EXPECT_EQ(Percentiles::of({3, 1, 2}).max, 3);
}

TEST(LoadPlanTest, sameSeedGivesSameRequestsInOrder)
{
    const LoadPlan plan = parsePlan(R"({"seed": 5, "durationSeconds": 100, "streams": [
        {"service": "a", "ratePerSecond": 20, "maxTokens": [10, 10], "stragglerShare": 0.1, "stragglerFactor": 7}, {"service": "b", "ratePerSecond": 5}]})");
    const std::vector<PlannedRequest> requests = planRequests(plan);
    EXPECT_EQ(requests, planRequests(plan));
    EXPECT_TRUE(std::is_sorted(requests.begin(), requests.end(), [](const auto &left, const auto &right) { return left.intendedTime < right.intendedTime; }));
    // Poisson counts: 2500 arrivals and 200 stragglers are expected, with a tolerance of five standard deviations.
    EXPECT_NEAR(static_cast<double>(requests.size()), 2500, 5 * std::sqrt(2500));
    const auto stragglers = std::count_if(requests.begin(), requests.end(), [](const PlannedRequest &request) { return request.straggler; });
    EXPECT_NEAR(static_cast<double>(stragglers), 200, 5 * std::sqrt(200));
    for (const PlannedRequest &request : requests) {
        EXPECT_TRUE(request.stream == 1 || request.maxTokens == (request.straggler ? 70 : 10));
    }
}

// Guards against a load that exceeds its limits on the number of requests and on their times.
TEST(LoadPlanTest, limitsAreRespected)
{
    const std::vector<PlannedRequest> requests =
        planRequests(parsePlan(R"({"durationSeconds": 10, "maxRequests": 50, "streams": [{"service": "a", "ratePerSecond": 1000}]})"));
    EXPECT_EQ(requests.size(), 50U);
    const LoadPlan limited = parsePlan(R"({"durationSeconds": 10, "streams": [{"service": "a", "ratePerSecond": 50, "beginSeconds": 2, "endSeconds": 4}]})");
    for (const PlannedRequest &request : planRequests(limited)) {
        EXPECT_GE(request.intendedTime, absl::Seconds(2));
        EXPECT_LT(request.intendedTime, absl::Seconds(4));
    }
}

TEST(LoadPlanTest, namesTheInvalidKey)
{
    try {
        parsePlan(R"({"streams": [{"service": "a", "maxTokens": [5, 2]}]})");
        FAIL();
    } catch (const std::exception &error) {
        EXPECT_STREQ(error.what(), "streams[0].maxTokens: must be [minimum, maximum]");
    }
}

// Guards against coordinated omission: the latency of requests that wait for a stalled server must include the whole stall,
// although only two of them can be in flight.
TEST(LoadRunnerTest, stallShowsInThePercentiles)
{
    constexpr absl::Duration stall = absl::Milliseconds(800);
    const LoadPlan plan = parsePlan(R"({"durationSeconds": 1, "concurrency": 2, "streams": [{"service": "a", "ratePerSecond": 100}]})");
    TestHost host;
    std::once_flag first;
    absl::Time stallEnd;
    serveCompletions(host, [&](const std::string &prompt) {
        std::call_once(first, [&] { stallEnd = absl::Now() + stall; });
        absl::SleepFor(stallEnd - absl::Now());
        return answerTo(prompt);
    });
    const LoadObservation observation = runAgainst(host, plan);
    const std::vector<PlannedRequest> requests = planRequests(plan);
    // The first request is sent no earlier than intended, so no response arrives before this time.
    const absl::Duration firstResponse = requests.front().intendedTime + stall;
    std::vector<double> lowestLatencies;
    for (const PlannedRequest &request : requests) {
        lowestLatencies.push_back(absl::ToDoubleMilliseconds(std::max(absl::ZeroDuration(), firstResponse - request.intendedTime)));
    }
    const Percentiles lowerBound = Percentiles::of(lowestLatencies);
    const nlohmann::json measured = summariseLoad(plan, observation)["total"];
    EXPECT_EQ(measured["answered"], requests.size());
    EXPECT_GT(lowerBound.p50, 200);
    EXPECT_GE(measured["answer_ms"]["p50"].get<double>() + 0.01, lowerBound.p50);
    EXPECT_GE(measured["answer_ms"]["p90"].get<double>() + 0.01, lowerBound.p90);
    EXPECT_GE(measured["first_token_ms"]["p50"].get<double>() + 0.01, lowerBound.p50);
    EXPECT_GT(measured["send_delay_ms"]["p50"].get<double>(), 100);
}

// Guards against counting a response to another request, or a truncated response, as goodput.
TEST(LoadRunnerTest, mismatchedAndIncompleteResponsesAreErrors)
{
    const LoadPlan plan = parsePlan(R"({"durationSeconds": 0.2, "verifyText": true, "streams": [{"service": "a", "ratePerSecond": 100}]})");
    TestHost swappingHost;
    std::atomic<int> calls{0};
    serveCompletions(swappingHost, [&calls](const std::string &prompt) { return answerTo(++calls == 1 ? "another prompt" : prompt); });
    const nlohmann::json swapped = summariseLoad(plan, runAgainst(swappingHost, plan))["total"];
    EXPECT_EQ(swapped["errors_by_code"], nlohmann::json({{"wrong_answer", 1}}));
    EXPECT_EQ(swapped["errors_by_state"]["unknown"], 1);
    EXPECT_EQ(swapped["answered"], planRequests(plan).size() - 1);

    TestHost truncatingHost;
    serveCompletions(truncatingHost, answerTo, false);
    const nlohmann::json incomplete = summariseLoad(plan, runAgainst(truncatingHost, plan))["total"];
    EXPECT_EQ(incomplete["errors_by_code"]["incomplete_answer"], planRequests(plan).size());
    EXPECT_EQ(incomplete["goodput"], 0);
}

TEST(LoadRunnerTest, typedErrorsAreCountedByCodeAndState)
{
    const LoadPlan plan = parsePlan(
        R"({"durationSeconds": 0.2, "streams": [{"service": "v", "kind": "plain", "path": "/x", "ratePerSecond": 100, "echo": true, "keyed": true}]})");
    TestHost host;
    std::atomic<int> calls{0};
    host.server.Post("/s/v/x", [&calls](const httplib::Request &request, httplib::Response &response) {
        EXPECT_FALSE(request.get_header_value("Idempotency-Key").empty());
        if (++calls == 1) {
            response.status = 503;
            response.set_content(R"({"error": {"code": "too_many_requests", "message": "", "state": "not_run"}})", "application/json");
            return;
        }
        response.set_content(request.body, "text/plain");
    });
    host.start();
    const nlohmann::json summary = summariseLoad(plan, runAgainst(host, plan))["total"];
    EXPECT_EQ(summary["errors_by_code"], nlohmann::json({{"too_many_requests", 1}}));
    EXPECT_EQ(summary["errors_by_state"]["not_run"], 1);
    EXPECT_EQ(summary["answered"], planRequests(plan).size() - 1);
}

TEST(LoadReportTest, itemsPerSecondCountsAfterTheWarmup)
{
    const JobObservation job{"id", "running", "", {{1, 0, 0}, {2, 100, 0}, {3, 150, 1}, {6, 300, 1}}};
    EXPECT_EQ(itemsPerSecond(job, absl::Seconds(2)), 50);
    EXPECT_EQ(itemsPerSecond(job, absl::Seconds(6)), 0);
}

// Guards against a load that samples its job without submitting it exactly once under its key.
TEST(LoadCommandTest, observesTheJobAndWritesTheCsv)
{
    TestHost host;
    std::atomic<int> submissions{0};
    host.server.Post("/v1/batches", [&submissions](const httplib::Request &request, httplib::Response &response) {
        ++submissions;
        EXPECT_EQ(std::count(request.body.begin(), request.body.end(), '\n'), 7);
        response.set_content(R"({"id": "j", "state": "running"})", "application/json");
    });
    host.server.Get("/v1/batches/j", [](const httplib::Request &, httplib::Response &response) {
        response.set_content(R"({"id": "j", "state": "completed", "counts": {"total": 7, "completed": 7, "failed": 0}})", "application/json");
    });
    host.serveEntries({host.address()});
    serveCompletions(host, answerTo);
    const std::string prefix = "/tmp/load-test-" + host.address();
    std::ofstream(prefix + ".json") << R"({"durationSeconds": 0.3, "job": {"service": "a", "items": 7}})";
    const CliRun run = runCommand({"load",
                                   "--plan",
                                   prefix + ".json",
                                   "--stream",
                                   "service=a,ratePerSecond=50,maxTokens=4",
                                   "--csv",
                                   prefix + ".csv",
                                   "--output",
                                   "json",
                                   "--entry",
                                   host.address()});
    ASSERT_EQ(run.code, 0) << run.err;
    const nlohmann::json summary = nlohmann::json::parse(run.out);
    EXPECT_EQ(submissions, 1);
    EXPECT_EQ(summary["job"]["state"], "completed");
    EXPECT_EQ(summary["job"]["samples"].back()["completed"], 7);
    std::ifstream csv(prefix + ".csv");
    EXPECT_EQ(std::count(std::istreambuf_iterator<char>(csv), {}, '\n'), summary["total"]["requests"].get<int>() + 1);
    std::remove((prefix + ".json").c_str());
    std::remove((prefix + ".csv").c_str());
}

TEST(LoadCommandTest, invalidStreamOptionIsAUsageError)
{
    EXPECT_EQ(runCommand({"load", "--stream", "service=a,rate=5", "--entry", "127.0.0.1:1"}).code, 2);
    EXPECT_EQ(runCommand({"load", "--stream", "service", "--entry", "127.0.0.1:1"}).code, 2);
    EXPECT_EQ(runCommand({"load", "--stream", "service=a", "--entry", "127.0.0.1:1"}).code, 4);
}

} // namespace

} // namespace Bergamotramp
