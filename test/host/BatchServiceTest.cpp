#include "BatchService.h"

#include <atomic>
#include <map>
#include <sstream>

#include <absl/time/clock.h>
#include <gtest/gtest.h>
#include <httplib.h>

#include "EventLog.h"
#include "Eventually.h"
#include "StandinPlatform.h"
#include "StoreClient.h"
#include "TimerService.h"

namespace Bergamotramp {

namespace {

/** The batch service of one host; the test decides which hosts are live. */
struct BatchHost {
    BatchHost(const std::string &name, const std::string &storeAddress, std::function<std::vector<HostInfo>()> live, BatchService::RunItem runItem)
        : events(name, ""), store(StoreSettings{storeAddress, absl::Seconds(2)})
    {
        this->context.settings.name = name;
        this->context.settings.batchConcurrency = 8;
        this->context.incarnation = 1;
        this->context.store = &this->store;
        this->context.timers = &this->timers;
        this->context.events = &this->events;
        this->context.liveHosts = std::move(live);
        this->context.catalogue = [] { return std::make_shared<const Catalogue>(); };
        this->service = std::make_unique<BatchService>(this->context, std::move(runItem));
    }

    EventLog events;
    TimerService timers;
    StoreClient store;
    HostContext context;
    std::unique_ptr<BatchService> service;
};

class BatchServiceTest : public testing::Test
{
protected:
    BatchHost &addHost(const std::string &name, BatchService::RunItem runItem)
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            HostInfo host;
            host.name = name;
            host.incarnation = 1;
            this->live.push_back(host);
        }
        const auto liveHosts = [this] {
            const std::lock_guard<std::mutex> lock(this->mutex);
            return this->live;
        };
        this->hosts.push_back(std::make_unique<BatchHost>(name, this->platform.address(), liveHosts, std::move(runItem)));
        return *this->hosts.back();
    }

    void markDead(const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::erase_if(this->live, [&name](const HostInfo &host) { return host.name == name; });
    }

    static std::string makeInput(int items)
    {
        std::string input;
        for (int item = 0; item < items; ++item) {
            input += nlohmann::json({{"custom_id", std::to_string(item)}, {"body", {{"n", item}}}}).dump() + "\n";
        }
        return input;
    }

    static JobStatus submit(BatchHost &host, const std::string &input, const std::string &key = "night")
    {
        const auto submission = host.service->open({"coop", "modelo", key, absl::Now() + absl::Hours(1)});
        submission->append(input);
        return submission->commit();
    }

    static std::map<std::string, int> resultCounts(BatchHost &host, const std::string &id)
    {
        std::string text;
        host.service->writeResults("coop", id, [&text](std::string_view piece) {
            text.append(piece);
            return true;
        });
        std::map<std::string, int> counts;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            ++counts[nlohmann::json::parse(line).at("custom_id").get<std::string>()];
        }
        return counts;
    }

    static bool reachesState(BatchHost &host, const std::string &id, const std::string &state)
    {
        return eventually([&] {
            try {
                return host.service->status("coop", id).state == state;
            } catch (const BatchError &) {
                return false;
            }
        });
    }

    void setFaults(const nlohmann::json &faults)
    {
        httplib::Client control("http://" + this->platform.address());
        ASSERT_EQ(control.Post("/control/faults", faults.dump(), "application/json")->status, 200);
    }

    StandinPlatform platform;
    std::mutex mutex;
    std::vector<HostInfo> live;
    std::vector<std::unique_ptr<BatchHost>> hosts;
};

ItemResult complete(const JobHeader &, const std::string &, const std::string &body, CallCancellation &)
{
    return {true, false, body, ""};
}

// Guards against lost or duplicated results when two hosts share a job.
TEST_F(BatchServiceTest, twoHostsFinishEveryItemOnce)
{
    BatchHost &first = this->addHost("host-1", complete);
    BatchHost &second = this->addHost("host-2", complete);
    const JobStatus job = submit(first, makeInput(2000));
    ASSERT_TRUE(reachesState(second, job.id, "completed"));
    EXPECT_EQ(second.service->status("coop", job.id).completed, 2000);
    const std::map<std::string, int> results = resultCounts(second, job.id);
    EXPECT_EQ(results.size(), 2000U);
    EXPECT_TRUE(std::all_of(results.begin(), results.end(), [](const auto &entry) { return entry.second == 1; }));
}

// Guards against running a resubmitted job a second time, and against accepting different input under the same key.
TEST_F(BatchServiceTest, resubmittedJobReturnsTheFirstOne)
{
    BatchHost &first = this->addHost("host-1", complete);
    BatchHost &second = this->addHost("host-2", complete);
    const JobStatus job = submit(first, makeInput(30));
    EXPECT_EQ(submit(second, makeInput(30)).id, job.id);
    try {
        submit(second, makeInput(31));
        FAIL() << "another body was accepted under the key";
    } catch (const BatchError &error) {
        EXPECT_EQ(error.code(), "conflict");
    }
    EXPECT_EQ(first.service->list("coop").size(), 1U);
}

// Guards against a job that makes no progress because the host that had claimed its segments is gone.
TEST_F(BatchServiceTest, segmentsOfALostHostAreTakenOver)
{
    std::atomic<bool> stuck{true};
    BatchHost &first = this->addHost("host-1", [&stuck](const JobHeader &, const std::string &, const std::string &body, CallCancellation &cancellation) {
        while (stuck && !cancellation.cancelled()) {
            absl::SleepFor(absl::Milliseconds(5));
        }
        return ItemResult{true, false, body, ""};
    });
    const JobStatus job = submit(first, makeInput(40));
    ASSERT_TRUE(eventually([&first] { return first.service->statusJson().at("running_items") > 0; }));
    this->markDead("host-1");
    BatchHost &second = this->addHost("host-2", complete);
    EXPECT_TRUE(reachesState(second, job.id, "completed"));
    stuck = false;
    const std::map<std::string, int> results = resultCounts(second, job.id);
    EXPECT_EQ(results.size(), 40U);
    EXPECT_TRUE(std::all_of(results.begin(), results.end(), [](const auto &entry) { return entry.second == 1; }));
}

// Guards against results that are still committed after a job was cancelled.
TEST_F(BatchServiceTest, cancelledJobStopsAndCommitsNothingMore)
{
    std::atomic<int> started{0};
    BatchHost &first = this->addHost("host-1", [&started](const JobHeader &, const std::string &, const std::string &body, CallCancellation &cancellation) {
        ++started;
        while (!cancellation.cancelled()) {
            absl::SleepFor(absl::Milliseconds(5));
        }
        return ItemResult{true, false, body, ""};
    });
    BatchHost &second = this->addHost("host-2", complete);
    this->markDead("host-2");
    const JobStatus job = submit(first, makeInput(40));
    ASSERT_TRUE(eventually([&started] { return started > 0; }));
    const JobStatus cancelled = second.service->cancel("coop", job.id);
    EXPECT_EQ(cancelled.state, "cancelled");
    ASSERT_TRUE(eventually([&first] { return first.service->statusJson().at("segments").empty(); }));
    const JobStatus later = first.service->status("coop", job.id);
    EXPECT_EQ(later.completed, cancelled.completed);
    EXPECT_EQ(later.state, "cancelled");
}

// Guards against lost or duplicated jobs when writes take effect but the store's answers to them are lost.
TEST_F(BatchServiceTest, lostStoreAnswersDoNotLoseItems)
{
    BatchHost &first = this->addHost("host-1", complete);
    // Fewer lost answers in a row than a submission has attempts, so the job must be accepted.
    this->setFaults({{"loseAnswers", 4}});
    const JobStatus job = submit(first, makeInput(100));
    this->setFaults({{"loseAnswers", 4}});
    ASSERT_TRUE(reachesState(first, job.id, "completed"));
    EXPECT_EQ(resultCounts(first, job.id).size(), 100U);
}

// Guards against accepting a job that isn't durable, and against a job that doesn't resume after an outage of the store.
TEST_F(BatchServiceTest, outageRefusesNewJobsAndDelaysAcceptedOnes)
{
    BatchHost &first = this->addHost("host-1", complete);
    const JobStatus job = submit(first, makeInput(100));
    this->setFaults({{"outage", true}});
    try {
        submit(first, makeInput(10), "refused");
        FAIL() << "a job was acknowledged during the outage";
    } catch (const BatchError &error) {
        EXPECT_EQ(error.code(), "store_unavailable");
        EXPECT_EQ(error.state(), "not_run");
    }
    this->setFaults({{"outage", false}});
    EXPECT_TRUE(reachesState(first, job.id, "completed"));
}

// Guards against a job that never completes because some of its items always fail.
TEST_F(BatchServiceTest, itemsThatNeverSucceedEndAsFailed)
{
    BatchHost &first = this->addHost("host-1", [](const JobHeader &, const std::string &customId, const std::string &body, CallCancellation &) {
        const bool bad = customId == "3" || customId == "4";
        return bad ? ItemResult{false, customId == "3", "", "broken"} : ItemResult{true, false, body, ""};
    });
    const JobStatus job = submit(first, makeInput(10));
    ASSERT_TRUE(reachesState(first, job.id, "completed"));
    const JobStatus status = first.service->status("coop", job.id);
    EXPECT_EQ(status.completed, 8);
    EXPECT_EQ(status.failed, 2);
}

} // namespace

} // namespace Bergamotramp
