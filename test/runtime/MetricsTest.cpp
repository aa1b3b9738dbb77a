#include "Metrics.h"

#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace Bergamotramp {

namespace {

// Guards against renamed metrics or labels, which dashboards and alerts would no longer find.
TEST(MetricsTest, textHasNamesAndLabels)
{
    Metrics metrics;
    metrics.requestEnded("modelo", wire::WORK_CLASS_ONLINE, RequestOutcome::NotRun, absl::Milliseconds(30));
    metrics.firstToken("modelo", wire::WORK_CLASS_BATCH, absl::Seconds(2));
    metrics.setSlots("modelo", {96, 10, 70});
    metrics.setMembers(wire::MEMBER_STATE_SUSPECT, 2);
    const std::string text = metrics.text();
    for (const char *line : {"bergamotramp_requests_total{class=\"online\",ending=\"not_run\",service=\"modelo\"} 1\n",
                             "bergamotramp_request_seconds_bucket{class=\"online\",service=\"modelo\",le=\"0.025\"} 0\n",
                             "bergamotramp_request_seconds_bucket{class=\"online\",service=\"modelo\",le=\"0.05\"} 1\n",
                             "bergamotramp_first_token_seconds_count{class=\"batch\",service=\"modelo\"} 1\n",
                             "bergamotramp_slots{service=\"modelo\",use=\"batch\"} 70\n",
                             "bergamotramp_members{state=\"suspect\"} 2\n"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }
}

// Guards against a counter that decreases, which monitoring systems interpret as a restart of the process.
TEST(MetricsTest, totalsNeverDecrease)
{
    Metrics metrics;
    metrics.setControlTotals({1, 100, 2, 200});
    metrics.setControlTotals({2, 150, 3, 250});
    metrics.setControlTotals({1, 100, 2, 200});
    EXPECT_NE(metrics.text().find("bergamotramp_control_bytes_total{direction=\"sent\"} 150\n"), std::string::npos) << metrics.text();
}

// Guards against lost increments when several threads count at the same time.
TEST(MetricsTest, countsFromManyThreads)
{
    Metrics metrics;
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&metrics] {
            for (int count = 0; count < 1000; ++count) {
                metrics.retried("modelo");
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    EXPECT_NE(metrics.text().find("bergamotramp_retries_total{service=\"modelo\"} 4000\n"), std::string::npos) << metrics.text();
}

} // namespace

} // namespace Bergamotramp
